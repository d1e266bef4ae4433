/* MUTATIONS: GRANT_AT_ONCE_AFTER_RESTART COUNT_FROM_GRANT ASK_NEW_LIST_ONLY
 * BOUNDS: three instances, a lease of two ticks, a list lag of one tick, two rounds of instance 0,
 *   one of 1 and 2, one restart in total, one list change, five ticks. Every message ever sent may
 *   be delivered at any later time, any number of times or never.
 *
 * A holder needs a grant of the same round from every other candidate of its list and, after a list
 * change, of the previous list. The lease starts for the holder when it sends the request, and for
 * a granter when it receives the request. An instance that sends a request promises the lease to
 * itself. A restarted instance has lost its state: for the length of a lease and the list's lag, it
 * neither grants nor requests a lease, and it knows the new list only. The candidates are 0 and 1
 * in the old list and 2 in the new one, so the lists have no candidate in common. A pause is a
 * schedule in which an instance takes no step while ticks go on.
 * The fault ACK_WITHOUT_NUMBER can be built too, but leads to no error within these bounds.
 * Checked: two instances never hold the lease at the same time.
 */

#define COUNT 3
#define LEASE 2
#define LIST_LAG 1
#define SETTLE (LEASE + LIST_LAG)
#define LAST_TICK 5
#define ROUNDS(i) ((i) == 0 -> 2 : 1)
#define NOBODY 9

byte now = 0;
byte changedAt = NOBODY;         /* the tick of the list change */
bool hasNewList[COUNT];
bool askedFormer[COUNT];         /* had the old list, so it asks the candidates of that one too */
bool hasRestarted = false;
byte settledAt[COUNT];
byte life[COUNT];                /* incarnation: 1 after a restart */

byte promisedTo[COUNT];          /* instance + COUNT * life, or NOBODY */
byte promisedUntil[COUNT];

byte rounds[COUNT];              /* rounds started; the last one is in progress if isAsking */
bool isAsking[COUNT];
byte sentAt[COUNT];
byte awaited[COUNT];             /* bit set of the instances that have not granted the round */
byte heldUntil[COUNT];

/* All messages that were ever sent: bit n stands for round n. Requests of an earlier run may still
 * be delivered. */
byte requestBits[COUNT];
byte requestRun[COUNT];          /* bit n: round n belongs to run 1 */
byte replyBits[COUNT * COUNT];   /* [granter * COUNT + asker] */

#define BIT(n) (1 << (n))
#define HOLDS(i) (now < heldUntil[i])
#define CHECK assert(!(HOLDS(0) && HOLDS(1)) && !(HOLDS(0) && HOLDS(2)) && !(HOLDS(1) && HOLDS(2)))
#define IS_CANDIDATE(i) ((hasNewList[i] && i == 2) || (!hasNewList[i] && i != 2))
#define SELF(i) (i + COUNT * life[i])
#define IS_FREE_FOR(i, who) (now >= promisedUntil[i] || promisedTo[i] == who)

inline begin(i) {
  rounds[i]++;
  isAsking[i] = true;
  sentAt[i] = now;
  promisedTo[i] = SELF(i);
  promisedUntil[i] = now + LEASE;
  requestBits[i] = requestBits[i] | BIT(rounds[i]);
  if
  :: life[i] == 1 -> requestRun[i] = requestRun[i] | BIT(rounds[i])
  :: else
  fi;
  if
  :: i == 0 -> awaited[i] = 2
  :: i == 1 -> awaited[i] = 1
  :: i == 2 ->
#ifdef ASK_NEW_LIST_ONLY
     awaited[i] = 0
#else
     awaited[i] = (askedFormer[i] -> 3 : 0)
#endif
  fi;
  if
  :: awaited[i] == 0 -> heldUntil[i] = now + LEASE; CHECK
  :: else
  fi
}

#define RUN_OF(j, n) (j + (((requestRun[j] >> n) & 1) -> COUNT : 0))
/* Instance i may now grant round n of instance j. */
#define MAY_GRANT(i, j, n) (i != j && (requestBits[j] & BIT(n)) && now >= settledAt[i] \
  && IS_FREE_FOR(i, RUN_OF(j, n)))

inline grant(i, j, n) {
  promisedTo[i] = RUN_OF(j, n);
  promisedUntil[i] = now + LEASE;
  replyBits[i * COUNT + j] = replyBits[i * COUNT + j] | BIT(n)
}

#ifdef ACK_WITHOUT_NUMBER
#define HAS_REPLY(i, j) (replyBits[j * COUNT + i] != 0)
#else
#define HAS_REPLY(i, j) (replyBits[j * COUNT + i] & BIT(rounds[i]))
#endif
#define MAY_TAKE(i, j) (isAsking[i] && (awaited[i] & BIT(j)) && HAS_REPLY(i, j))

/* Instance i processes a grant of instance j. */
inline take(i, j) {
  awaited[i] = awaited[i] & (7 - BIT(j));
  if
  :: awaited[i] == 0 ->
#ifdef COUNT_FROM_GRANT
     heldUntil[i] = now + LEASE;
#else
     heldUntil[i] = sentAt[i] + LEASE;
#endif
     isAsking[i] = false;
     CHECK
  :: else
  fi
}

inline restart(i) {
  hasRestarted = true;
  life[i] = 1;
  hasNewList[i] = (changedAt != NOBODY);
  askedFormer[i] = false;
  promisedTo[i] = NOBODY;
  promisedUntil[i] = 0;
  isAsking[i] = false;
  awaited[i] = 0;
  heldUntil[i] = 0;
#ifdef GRANT_AT_ONCE_AFTER_RESTART
  settledAt[i] = now
#else
  settledAt[i] = now + SETTLE
#endif
}

proctype instance(byte me) {
end:
  do
  :: atomic { (IS_CANDIDATE(me) && rounds[me] < ROUNDS(me) && now >= settledAt[me]
       && IS_FREE_FOR(me, SELF(me))) -> begin(me) }
  :: atomic { MAY_GRANT(me, 0, 1) -> grant(me, 0, 1) }
  :: atomic { MAY_GRANT(me, 0, 2) -> grant(me, 0, 2) }
  :: atomic { MAY_GRANT(me, 1, 1) -> grant(me, 1, 1) }
  :: atomic { MAY_GRANT(me, 2, 1) -> grant(me, 2, 1) }
  :: atomic { MAY_TAKE(me, 0) -> take(me, 0) }
  :: atomic { MAY_TAKE(me, 1) -> take(me, 1) }
  :: atomic { (changedAt != NOBODY && !hasNewList[me]) ->
       hasNewList[me] = true; askedFormer[me] = true; isAsking[me] = false }
  :: atomic { !hasRestarted -> restart(me) }
  od
}

/* Resets expired values, so that states with the same future become equal. */
inline forget(i) {
  if
  :: promisedUntil[i] <= now -> promisedUntil[i] = 0; promisedTo[i] = NOBODY
  :: else
  fi;
  if
  :: heldUntil[i] <= now -> heldUntil[i] = 0
  :: else
  fi;
  if
  :: settledAt[i] <= now -> settledAt[i] = 0
  :: else
  fi;
  if
  :: (isAsking[i] && sentAt[i] + LEASE <= now) -> isAsking[i] = false; awaited[i] = 0
  :: else
  fi;
  if
  :: !isAsking[i] -> sentAt[i] = 0
  :: else
  fi
}

proctype clock() {
end:
  do
  :: atomic { changedAt == NOBODY -> changedAt = now }
  /* The list's lag is bounded: no tick passes while an instance would exceed it. */
  :: atomic { (now < LAST_TICK && (changedAt == NOBODY || now < changedAt + LIST_LAG
       || (hasNewList[0] && hasNewList[1] && hasNewList[2]))) ->
       now++; forget(0); forget(1); forget(2) }
  od
}

init {
  atomic {
    promisedTo[0] = NOBODY; promisedTo[1] = NOBODY; promisedTo[2] = NOBODY;
    run instance(0); run instance(1); run instance(2); run clock()
  }
}

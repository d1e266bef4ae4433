/* MUTATIONS: LEND_BEFORE_SUBTRACT RETURN_IN_USE GRANT_COUNTED_TWICE SPEND_AT_ONCE_AFTER_RESTART
 * BOUNDS: one lender with one credit, one borrower, two numbered requests, one restart of the
 *   lender, nine ticks. Every message ever sent may be delivered at any later time, any number of
 *   times or never: this covers loss, duplication, reordering and delay.
 *
 * The lender subtracts the credit before it replies. It gets the credit back when the loan is
 * returned, or when the request's deadline and a margin have passed since it received the request.
 * The borrower uses a grant at most once and only within USE_BY after it sent the request. It
 * returns a loan only when that loan is not in use. A restarted lender has lost the records of its
 * loans, so it uses no credit during a hold-off that is longer than a request's deadline.
 * Checked: the free credit and the credits in flight add up to at most one.
 */

#define LAST_TICK 9
#define DEADLINE 2               /* time from sending a request to its deadline */
#define USE_BY 1                 /* time after sending a request in which its grant may be used */
#define HOLD_OFF (USE_BY + DEADLINE + 2)

byte now = 0;

/* The lender. */
byte free = 1;
byte lentTo = 0;                 /* number of the request with the current loan; 0: none */
byte lentUntil = 0;
bool isGone[3];                  /* loan was returned: its request is refused if it arrives later */
byte ownUntil = 0;               /* deadline of the lender's own request */
bool hasOwn = false;             /* the lender has an own request in flight */
bool isOwnForgotten = false;     /* the own request was started before the restart */
bool hasRestarted = false;
bool isHeldOff = false;
byte spendsFrom = 0;

/* The borrower. */
byte asked = 0;                  /* number of the last request sent; requests are numbered from 1 */
byte sentAt[3];
byte pending = 0;                /* number of the request that waits for a grant; 0: none */
byte inUse = 0;                  /* number of the loan in use; 0: none */
byte useUntil = 0;

/* All messages that were ever sent. */
bool requests[3];
bool grants[3];
bool returns[3];

#define IN_FLIGHT ((hasOwn -> 1 : 0) + (inUse != 0 -> 1 : 0))
#define CHECK assert(free + IN_FLIGHT <= 1)

inline lend(n) {
  if
  :: lentTo == n -> grants[n] = true
  :: (lentTo == 0 && free == 1 && !isGone[n]) ->
#ifndef LEND_BEFORE_SUBTRACT
     free = 0;
#endif
     lentTo = n; lentUntil = now + DEADLINE + 1; grants[n] = true
  :: else
  fi
}

inline takeBack(n) {
  if
  :: lentTo == n -> lentTo = 0; free = 1
  :: else
  fi;
  isGone[n] = true;
  CHECK
}

inline accept(n) {
  if
#ifdef GRANT_COUNTED_TWICE
  :: (inUse == 0 && now <= sentAt[n] + USE_BY) ->
#else
  :: (pending == n && now <= sentAt[n] + USE_BY) ->
#endif
     pending = 0; inUse = n; useUntil = sentAt[n] + DEADLINE;
     CHECK
#ifdef RETURN_IN_USE
  :: inUse == n -> returns[n] = true
#endif
  :: (pending == n && now > sentAt[n] + USE_BY) -> pending = 0; returns[n] = true
  :: else ->
     if
     :: (inUse != n && pending != n) -> returns[n] = true
     :: else
     fi
  fi
}

inline endOwn() {
  hasOwn = false;
  if
  :: isOwnForgotten -> isOwnForgotten = false
  :: else -> free = 1
  fi;
  CHECK
}

inline restart() {
  hasRestarted = true;
  free = 0;
  lentTo = 0;
  isGone[1] = false;
  isGone[2] = false;
  isOwnForgotten = hasOwn;
  isHeldOff = true;
#ifdef SPEND_AT_ONCE_AFTER_RESTART
  spendsFrom = now
#else
  spendsFrom = now + HOLD_OFF
#endif
}

active proctype lender() {
  do
  :: atomic { requests[1] -> lend(1) }
  :: atomic { requests[2] -> lend(2) }
  :: atomic { returns[1] -> takeBack(1) }
  :: atomic { returns[2] -> takeBack(2) }
  :: atomic { (lentTo != 0 && now >= lentUntil) -> lentTo = 0; free = 1; CHECK }
  :: atomic { (free == 1 && lentTo == 0) ->
       free = 0; hasOwn = true; ownUntil = now + DEADLINE; CHECK }
  :: atomic { hasOwn -> endOwn() }
  :: atomic { !hasRestarted -> restart() }
  :: atomic { (isHeldOff && now >= spendsFrom) -> isHeldOff = false; free = 1; CHECK }
  od
}

active proctype borrower() {
  do
  :: atomic { (asked < 2 && inUse == 0 && pending == 0) ->
       asked++; sentAt[asked] = now; pending = asked; requests[asked] = true }
  :: atomic { grants[1] -> accept(1) }
  :: atomic { grants[2] -> accept(2) }
  :: atomic { pending != 0 -> pending = 0 }               /* no reply in time */
  :: atomic { inUse != 0 -> returns[inUse] = true; inUse = 0 } /* the request has ended */
  od
}

/* Targets end each request at its deadline without being told. */
active proctype clock() {
  do
  :: atomic { now < LAST_TICK ->
       now++;
       if
       :: (hasOwn && now >= ownUntil) -> endOwn()
       :: else
       fi;
       if
       :: (inUse != 0 && now >= useUntil) -> returns[inUse] = true; inUse = 0
       :: else
       fi;
       CHECK }
  od
}

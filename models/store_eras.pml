/* MUTATIONS: REVISION_ONLY CHANGES_BY_REVISION OLD_ERA_AFTER_NEW IGNORE_ERA_OF_CHANGES
 * MUTATIONS: IGNORE_START_OF_CHANGES LISTING_ACROSS_ERAS WAIT_FOR_LOST_REVISION
 * BOUNDS: 3 instances, of which 2 (WATCHERS) call the store; 3 writes and 1 return of the store from
 *   an older copy (WRITES, COMEBACKS); one announcement in flight, to any receiver; one response in
 *   flight, to instance 0 (DELAYED: to instances below this number), while all other calls are
 *   answered at once; a peer's history goes back to the start of its era or not at all.
 *
 * Models what instances hold of the store. When the store comes back from an older copy, its era
 * rises by one, its revision goes back, later writes are lost, and their revisions are given out
 * again for other writes. A call of the store names a revision only; the response contains the era.
 * A call of a peer names era and revision. A late response arrives at any time or never, so the
 * instance may have received other contents in the meantime. An announcement may be lost, late,
 * duplicated or overtaken.
 *
 * Safety: no instance replaces its contents by those of an older (era, revision) pair, and the
 * contents of an instance always equal those that the store had at the instance's pair.
 * Progress: when the store is stable and messages arrive, all instances have the store's pair after
 * two rounds of announcements.
 *
 * A pair is a number: 8 * era + revision. The contents are the set of writes, one bit for each.
 */

#define N 3
#ifndef WATCHERS
#define WATCHERS 2
#endif
#ifndef WRITES
#define WRITES 3
#endif
#ifndef COMEBACKS
#define COMEBACKS 1
#endif
#ifndef DELAYED
#define DELAYED 1
#endif
#define FIRST_PAGE_KEYS 5 /* writes whose keys are on the first page of a listing */

#define ERA(pair) ((pair) >> 3)
#define REVISION(pair) ((pair) & 7)
#define PAIR(era, revision) (((era) << 3) | (revision))

#ifdef REVISION_ONLY
#define NEWER(a, b) (REVISION(a) > REVISION(b))
#else
#define NEWER(a, b) ((a) > (b))
#endif

/* Which announcements and contents replace those of a pair. */
#ifdef OLD_ERA_AFTER_NEW
#define REPLACES(a, b) (ERA(a) != ERA(b) || NEWER(a, b))
#else
#define REPLACES(a, b) NEWER(a, b)
#endif

/* The changes of which store response an instance applies. An instance that may not apply them
 * lists the store. */
#ifdef IGNORE_ERA_OF_CHANGES
#define CONTINUES(newPair, callPair, pair) (NEWER(newPair, pair))
#else
#ifdef IGNORE_START_OF_CHANGES
#define CONTINUES(newPair, callPair, pair) (ERA(newPair) == ERA(pair) && NEWER(newPair, pair))
#else
#define CONTINUES(newPair, callPair, pair) \
    (ERA(newPair) == ERA(callPair) && ERA(newPair) == ERA(pair) && NEWER(newPair, pair))
#endif
#endif

/* Whether a peer answers with changes only. */
#ifdef CHANGES_BY_REVISION
#define HAS_CHANGES(peerPair, callPair) (REVISION(callPair) < REVISION(peerPair))
#define PEER_CONTINUES(newPair, pair) (NEWER(newPair, pair))
#else
#define HAS_CHANGES(peerPair, callPair) (ERA(callPair) == ERA(peerPair) && callPair < peerPair)
#define PEER_CONTINUES(newPair, pair) (ERA(newPair) == ERA(pair) && NEWER(newPair, pair))
#endif

mtype = { Empty, Watch, StoreChanges, PeerChanges, Contents, FirstPage };

byte store = 0;        /* pair of the store */
byte history[(COMEBACKS + 1) * 8]; /* contents of the store at each pair */
byte writes = 0;

byte pair[N];
byte contents[N];
byte announcement = 0; /* a pair in flight */

/* The late response to each instance. */
mtype late[N] = Empty;
byte latePair[N];
byte callPair[N];      /* pair of the instance when it made the call, for changes */

inline applyContents(i, newPair)
{
    if
    :: REPLACES(newPair, pair[i]) ->
        assert(newPair > pair[i]);
        pair[i] = newPair;
        contents[i] = history[newPair];
        assert(contents[i] == history[pair[i]])
    :: else -> skip
    fi
}

/* Adds the changes of the era of `newPair` after the revision of `after`. */
inline addChanges(i, newPair, after)
{
    assert(newPair > pair[i]);
    contents[i] = contents[i] | (history[newPair] & ~history[PAIR(ERA(newPair), REVISION(after))]);
    pair[i] = newPair;
    assert(contents[i] == history[pair[i]])
}

inline dropLate(i)
{
    late[i] = Empty;
    latePair[i] = 0;
    callPair[i] = 0
}

/* The second page is read later than the first one. The listing starts again if the store has
 * changed in the meantime. */
inline readSecondPage(i)
{
    if
    :: store == latePair[i] -> applyContents(i, store)
    :: else ->
#ifdef LISTING_ACROSS_ERAS
        if
        :: store > pair[i] ->
            contents[i] = (history[latePair[i]] & FIRST_PAGE_KEYS) |
                          (history[store] & (255 - FIRST_PAGE_KEYS));
            pair[i] = store;
            assert(contents[i] == history[pair[i]])
        :: else -> skip
        fi
#else
        skip
#endif
    fi
}

inline receiveLate(i)
{
    if
    :: late[i] == StoreChanges && CONTINUES(latePair[i], callPair[i], pair[i]) ->
        addChanges(i, latePair[i], callPair[i])
    :: late[i] == PeerChanges && PEER_CONTINUES(latePair[i], pair[i]) ->
        addChanges(i, latePair[i], callPair[i])
    :: late[i] == Contents -> applyContents(i, latePair[i])
    :: late[i] == FirstPage -> readSecondPage(i)
    :: else -> skip
    fi;
    dropLate(i)
}

/* A watch that hangs, also while the store comes back. */
inline watchLate(i)
{
    late[i] = Watch;
    callPair[i] = pair[i]
}

/* The store answers a watch with the changes after a revision, if it has that revision. */
inline answerWatch(i)
{
    if
    :: REVISION(callPair[i]) <= REVISION(store) ->
        late[i] = StoreChanges;
        latePair[i] = store
    :: else -> dropLate(i)
    fi
}

inline listLate(i)
{
    late[i] = FirstPage;
    latePair[i] = store
}

inline callPeerLate(i, peer)
{
    latePair[i] = pair[peer];
    if
    :: HAS_CHANGES(pair[peer], pair[i]) ->
        late[i] = PeerChanges;
        callPair[i] = pair[i]
    :: late[i] = Contents /* the peer has no history back to that revision */
    fi
}

inline watch(i)
{
    if
    :: REVISION(pair[i]) <= REVISION(store) && CONTINUES(store, pair[i], pair[i]) ->
        addChanges(i, store, pair[i])
    :: else -> skip
    fi
}

/* A watcher that may not apply the changes, or whose revision the store does not have, lists. */
inline synchronizeWithStore(i)
{
    watch(i);
#ifdef WAIT_FOR_LOST_REVISION
    if
    :: REVISION(pair[i]) <= REVISION(store) -> applyContents(i, store)
    :: else -> skip
    fi
#else
    applyContents(i, store)
#endif
}

inline synchronizeWithPeer(i, peer)
{
    if
    :: HAS_CHANGES(pair[peer], pair[i]) && PEER_CONTINUES(pair[peer], pair[i]) ->
        addChanges(i, pair[peer], pair[i])
    :: else -> applyContents(i, pair[peer])
    fi
}

proctype Instance(byte id)
{
    byte peer = 0;
    do
    :: atomic { id < WATCHERS && store != pair[id] -> synchronizeWithStore(id) }
    :: atomic { id < WATCHERS && id < DELAYED && late[id] == Empty -> watchLate(id) }
    :: atomic { late[id] == Watch && store != callPair[id] -> answerWatch(id) }
    :: atomic { id < WATCHERS && id < DELAYED && late[id] == Empty && store != pair[id] ->
        listLate(id) }
    :: atomic { REPLACES(announcement, pair[id]) ->
        if
        :: peer = (id + 1) % N
        :: peer = (id + 2) % N
        fi;
        if
        :: synchronizeWithPeer(id, peer)
        :: id < DELAYED && late[id] == Empty -> callPeerLate(id, peer)
        fi;
        peer = 0 }
    :: atomic { late[id] != Empty && late[id] != Watch -> receiveLate(id) }
    :: atomic { late[id] != Empty -> dropLate(id) }
    :: atomic { announcement != pair[id] -> announcement = pair[id] } /* the earlier one is lost */
    :: break
    od
}

proctype Store()
{
    byte kept = 0;
    byte at = 0;
    do
    :: atomic { writes < WRITES ->
        history[store + 1] = history[store] | (1 << writes);
        store++;
        writes++ }
    :: atomic { ERA(store) < COMEBACKS ->
        do
        :: kept < REVISION(store) -> kept++
        :: break
        od;
        do
        :: at <= kept ->
            history[PAIR(ERA(store) + 1, at)] = history[PAIR(ERA(store), at)];
            at++
        :: else -> break
        od;
        store = PAIR(ERA(store) + 1, kept);
        kept = 0;
        at = 0 }
    :: break
    od
}

/* All instances announce their pair to all. */
inline announceToAll()
{
    from = 0;
    do
    :: from < N ->
        to = 0;
        do
        :: to < N ->
            if
            :: REPLACES(pair[from], pair[to]) -> synchronizeWithPeer(to, from)
            :: else -> skip
            fi;
            to++
        :: else -> break
        od;
        from++
    :: else -> break
    od
}

init
{
    byte i = 0;
    byte from = 0;
    byte to = 0;
    byte round = 0;
    atomic { run Instance(0); run Instance(1); run Instance(2); run Store() }
    (_nr_pr == 1);
    d_step {
        do
        :: round < 2 ->
            i = 0;
            do
            :: i < WATCHERS -> synchronizeWithStore(i); i++
            :: else -> break
            od;
            announceToAll();
            i = 0;
            do /* The late responses arrive after newer ones. */
            :: i < N ->
                if
                :: late[i] == Watch -> answerWatch(i)
                :: else -> skip
                fi;
                receiveLate(i);
                i++
            :: else -> break
            od;
            round++
        :: else -> break
        od;
        assert(pair[0] == store && pair[1] == store && pair[2] == store)
    }
}

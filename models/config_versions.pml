/* MUTATIONS: MUTATE_ACCEPT_OLDER MUTATE_FIRST_DIGEST MUTATE_START_WITHOUT_PEERS
 * BOUNDS: 3 instances, versions 1 to 2 with two texts of version 2, 2 messages in flight, 2
 *   restarts in total, a platform that may become stale once.
 * Models configuration versions. Instances read a platform that may serve an old document, and
 * exchange their documents over a network that loses, duplicates and reorders messages. A restarted
 * instance has no document and asks its peers before it serves requests.
 *
 * Safety: the version that an incarnation has in force never decreases. When an instance starts to
 * serve, its version is at least the highest one that the answering peers had in force.
 * Convergence: when every instance has finally received the document of every other one, all
 * instances have the same text.
 *
 * A document is a number: 10 * version + digest. An instance prefers the higher number.
 */

#define N 3
#define NONE 0
#define OLD 10
#define NEW_LOW 20
#define NEW_HIGH 21
#define VERSION(d) ((d) / 10)

byte inForce[N];      /* the document of an instance; NONE: it has none */
bool serves[N];
byte platform = OLD;
bool isStale = false;
byte message[2];      /* documents in flight, to any receiver; NONE: empty */
byte restartsLeft = 2;
byte publications = 0;

inline adopt(i, document)
{
#ifdef MUTATE_ACCEPT_OLDER
    if
    :: document != NONE ->
#else
#ifdef MUTATE_FIRST_DIGEST
    if
    :: VERSION(document) > VERSION(inForce[i]) ->
#else
    if
    :: document > inForce[i] ->
#endif
#endif
        assert(!serves[i] || VERSION(document) >= VERSION(inForce[i]));
        inForce[i] = document
    :: else -> skip
    fi
}

/* Asks every peer; any of them may fail to answer. */
inline start(i)
{
    byte peer = 0;
    byte best = NONE;
    do
    :: peer < N ->
        if
        :: peer != i && inForce[peer] > best -> best = inForce[peer]
        :: skip /* no answer */
        fi;
        peer++
    :: else -> break
    od;
#ifndef MUTATE_START_WITHOUT_PEERS
    adopt(i, best);
#endif
    if
    :: inForce[i] != NONE ->
        assert(VERSION(inForce[i]) >= VERSION(best));
        serves[i] = true
    :: else -> skip
    fi;
    peer = 0;
    best = NONE
}

proctype Instance(byte id)
{
    do
    :: atomic { !isStale && platform != NONE -> adopt(id, platform) }
    :: atomic { isStale -> adopt(id, OLD) }
    :: atomic { !serves[id] && inForce[id] != NONE -> start(id) }
    :: atomic { inForce[id] != NONE -> /* sends; overwriting a slot models a lost message */
        if
        :: message[0] = inForce[id]
        :: message[1] = inForce[id]
        fi }
    :: atomic { message[0] != NONE -> adopt(id, message[0]) } /* the message stays: a duplicate */
    :: atomic { message[1] != NONE -> adopt(id, message[1]); message[1] = NONE }
    :: atomic { restartsLeft > 0 -> restartsLeft--; inForce[id] = NONE; serves[id] = false }
    :: break
    od
}

proctype Operators()
{
    /* If two operators update the same version, the platform refuses the second update. But a
     * platform that was restored from a copy may serve another text of the same version. */
    do
    :: atomic { publications < 2 ->
        publications++;
        if
        :: platform = NEW_LOW
        :: platform = NEW_HIGH
        fi }
    :: atomic { !isStale -> isStale = true }
    :: break
    od
}

init
{
    byte i = 0;
    byte j = 0;
    atomic { run Instance(0); run Instance(1); run Instance(2); run Operators() }
    (_nr_pr == 1);
    /* Every instance receives the document of every other one, in two rounds. */
    atomic {
        byte round = 0;
        do
        :: round < 2 ->
            i = 0;
            do
            :: i < N ->
                j = 0;
                do
                :: j < N -> adopt(i, inForce[j]); j++
                :: else -> break
                od;
                i++
            :: else -> break
            od;
            round++
        :: else -> break
        od;
        assert(inForce[0] == inForce[1] && inForce[1] == inForce[2])
    }
}

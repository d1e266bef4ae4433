#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::placement {

/// @brief A target in messages and tables; `stableHash` of its id.
using EngineKey = std::uint64_t;

/// @brief One request on the engines that work for it.
struct Work
{
    std::uint64_t id = 0; ///< Unique over all instances and runs.
    std::string owner; ///< Host of the instance that placed it.
    std::vector<EngineKey> engines; ///< The first one receives the request; the rest help to read.
    std::vector<TokenCount> memory; ///< Held at each engine, in the same order.
    TokenCount promptTokens = 0;
    double partMs = 0; ///< Reading time of one part at the published speed.
    double weight = 1; ///< How much a late answer costs, against other work.
    Milliseconds latencyTarget; ///< From the request's arrival to its first event.
    Milliseconds dueAt; ///< When its first event is late.
    Milliseconds pauseTarget; ///< Zero: none stated.
    Milliseconds placedAt; ///< When it is sent to its engines.
    Milliseconds expiresAt; ///< Nobody waits for it any longer.
    bool isShort = false; ///< Its prompt hardly disturbs the streams of its engine.
    bool isWriting = false; ///< Its first event has come.
};

/// @brief What is known to be under way at one engine.
struct EngineState
{
    Milliseconds lastReadAt; ///< When the last part known to be read was read.
    std::vector<std::uint64_t> works; ///< In the order of placement.
    double pace = 1; ///< Measured reading time over the published one.
    int unknown = 0; ///< Requests that the engine reported beyond those known here.
    Milliseconds reportedAt;
};

/// @brief How long a report of unknown requests counts; an answer takes about this long to write.
constexpr Milliseconds reportLife = Milliseconds(1'500);

/// @brief A long prompt that waits for engines to be free.
struct WaitingWork
{
    std::uint64_t id = 0; ///< The id of the work that it becomes.
    std::string owner;
    double readingMs = 0; ///< Of the whole prompt, at one engine.
    Milliseconds turn; ///< The one with the earliest turn goes first.
    Milliseconds expiresAt;
};

/// @brief All placements that this instance has made or heard of.
struct Ledger
{
    std::unordered_map<std::uint64_t, Work> works;
    std::unordered_map<std::uint64_t, WaitingWork> waiting;
    std::unordered_map<EngineKey, EngineState> engines;
};

/// @brief Milliseconds from placement until an engine starts on a part: two hops of a request.
constexpr Milliseconds transitTime = Milliseconds(4);

/// @brief Weight of a new measurement of an engine's pace against the earlier ones.
constexpr double paceSmoothing = 0.3;

/// @brief How much longer a part takes to read at an engine that writes as well: each step of
///        reading is also one of writing.
constexpr double writingSlowdown = 1.12;

/// @brief Part of a prompt's reading time by which its turn comes later than its arrival.
///
/// Lets middle prompts pass very long ones, which take many engines for seconds, without letting
/// the latter wait for ever.
constexpr double turnDelay = 0.5;

/// @brief A prompt does not wait behind one that takes so many times as long to read: engines read
///        the part that came last first, so it costs the longer one little.
constexpr double passingFactor = 4;

/// @brief When a prompt that arrived at a time has its turn.
Milliseconds turnOf(Milliseconds arrivedAt, double readingMs);

/// @brief Enters a waiting work, or corrects its turn.
void addWaiting(Ledger &ledger, const WaitingWork &waiting);

/// @brief True if no other waiting work has an earlier turn, leaving aside those that it passes.
/// @param readingMs Of the whole prompt at one engine.
/// @complexity Linear in the waiting works.
bool isFirstInLine(const Ledger &ledger, std::uint64_t id, Milliseconds turn, double readingMs);

/// @brief Reading time of the waiting works that go before it, milliseconds.
double readingAhead(const Ledger &ledger, Milliseconds turn, double readingMs);

/// @brief Enters a placement; it does not wait any longer. A work with that id that is known
///        already is left as it is.
/// @complexity Linear in the work's engines.
void addWork(Ledger &ledger, Work work);

/// @brief Takes in that the first event of a work has come: all its parts are read.
void noteWriting(Ledger &ledger, std::uint64_t id, Milliseconds now);

/// @brief Takes in how many requests an engine says it has in hand.
///
/// Some go on although their caller has left, or come from an instance that is gone.
void noteReport(Ledger &ledger, EngineKey engine, int inHand, Milliseconds now);

/// @brief Requests at an engine that are not in the ledger, as last reported.
int unknownRequests(const EngineState &engine, Milliseconds now);

/// @brief Takes in how long a work without helpers took against what was expected.
void notePace(Ledger &ledger, std::uint64_t id, double expectedMs, double takenMs);

/// @brief Takes out a work that has ended, whatever its end, or one that waits no longer.
void removeWork(Ledger &ledger, std::uint64_t id, Milliseconds now);

/// @brief Takes out the works of an instance whose run has ended.
void removeWorksOf(Ledger &ledger, const std::string &owner, Milliseconds now);

/// @brief Takes out the works of an owner that are not in its latest statement, and those that have
///        expired. @param stated Ids; sorted.
void keepStated(Ledger &ledger, const std::string &owner, const std::vector<std::uint64_t> &stated,
                Milliseconds now);

/// @brief Takes out works that have expired.
void removeExpired(Ledger &ledger, Milliseconds now);

/// @brief Milliseconds until an engine has read what is placed there.
/// @complexity Linear in the works at the engine.
double readingBacklog(const Ledger &ledger, EngineKey engine, Milliseconds now);

} // namespace egretmount::placement

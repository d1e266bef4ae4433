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
struct InFlightRequest
{
    std::uint64_t id = 0; ///< Unique over all instances and runs.
    std::string owner; ///< Host of the instance that placed it.
    std::vector<EngineKey> engines; ///< The first one receives the request; the rest help to read.
    std::vector<TokenCount> memory; ///< Held at each engine, in the same order.
    TokenCount promptTokens = 0;
    double shardPrefillMs = 0; ///< Reading time of one part at the published speed.
    double weight = 1; ///< How much a late answer costs, against other work.
    Milliseconds latencyTarget; ///< From the request's arrival to its first event.
    Milliseconds dueAt; ///< When its first event is late.
    Milliseconds eventGapTarget; ///< Zero: none stated.
    Milliseconds placedAt; ///< When it is sent to its engines.
    Milliseconds expiresAt; ///< Nobody waits for it any longer.
    bool isShort = false; ///< Its prompt hardly disturbs the streams of its engine.
    bool isDecoding = false; ///< Its first event has come.
};

/// @brief What is known to be under way at one engine.
struct EngineState
{
    Milliseconds lastPrefilledAt; ///< When the last part known to be read was read.
    std::vector<std::uint64_t> requestIds; ///< In the order of placement.
    double prefillSlowdown = 1; ///< Measured reading time over the published one.
    int untracked = 0; ///< Requests that the engine reported beyond those known here.
    Milliseconds reportedAt;
};

/// @brief How long a report of unknown requests counts; an answer takes about this long to write.
constexpr Milliseconds reportLifetime = Milliseconds(1'500);

/// @brief A long prompt that waits for engines to be free.
struct QueuedRequest
{
    std::uint64_t id = 0; ///< The id of the work that it becomes.
    std::string owner;
    double prefillMs = 0; ///< Of the whole prompt, at one engine.
    Milliseconds virtualArrival; ///< The one with the earliest turn goes first.
    Milliseconds expiresAt;
};

/// @brief All placements that this instance has made or heard of.
struct LoadTracker
{
    std::unordered_map<std::uint64_t, InFlightRequest> inFlight;
    std::unordered_map<std::uint64_t, QueuedRequest> queued;
    std::unordered_map<EngineKey, EngineState> engines;
};

/// @brief Milliseconds from placement until an engine starts on a part: two hops of a request.
constexpr Milliseconds dispatchLatency = Milliseconds(4);

/// @brief Weight of a new measurement of an engine's pace against the earlier ones.
constexpr double prefillSlowdownSmoothing = 0.3;

/// @brief How much longer a part takes to read at an engine that writes as well: each step of
///        reading is also one of writing.
constexpr double mixedBatchSlowdown = 1.12;

/// @brief Part of a prompt's reading time by which its turn comes later than its arrival.
///
/// Lets middle prompts pass very long ones, which take many engines for seconds, without letting
/// the latter wait for ever.
constexpr double virtualDelayPerPrefill = 0.5;

/// @brief A prompt does not wait behind one that takes so many times as long to read: engines read
///        the part that came last first, so it costs the longer one little.
constexpr double overtakeFactor = 4;

/// @brief When a prompt that arrived at a time has its turn.
Milliseconds virtualArrival(Milliseconds arrivedAt, double prefillMs);

/// @brief Enters a waiting work, or corrects its turn.
void enqueue(LoadTracker &tracker, const QueuedRequest &queued);

/// @brief True if no other waiting work has an earlier turn, leaving aside those that it passes.
/// @param readingMs Of the whole prompt at one engine.
/// @complexity Linear in the waiting works.
bool isFirstInQueue(const LoadTracker &tracker, std::uint64_t id, Milliseconds virtualArrival, double prefillMs);

/// @brief Reading time of the waiting works that go before it, milliseconds.
double prefillQueuedAhead(const LoadTracker &tracker, Milliseconds virtualArrival, double prefillMs);

/// @brief Enters a placement; it does not wait any longer. A work with that id that is known
///        already is left as it is.
/// @complexity Linear in the work's engines.
void addInFlight(LoadTracker &tracker, InFlightRequest request);

/// @brief Takes in that the first event of a work has come: all its parts are read.
void markDecoding(LoadTracker &tracker, std::uint64_t id, Milliseconds now);

/// @brief Takes in how many requests an engine says it has in hand.
///
/// Some go on although their caller has left, or come from an instance that is gone.
void recordEngineReport(LoadTracker &tracker, EngineKey engine, int inFlight, Milliseconds now);

/// @brief Requests at an engine that are not in the ledger, as last reported.
int untrackedRequests(const EngineState &engine, Milliseconds now);

/// @brief Takes in how long a work without helpers took against what was expected.
void updatePrefillSlowdown(LoadTracker &tracker, std::uint64_t id, double expectedMs, double takenMs);

/// @brief Takes out a work that has ended, whatever its end, or one that waits no longer.
void removeRequest(LoadTracker &tracker, std::uint64_t id, Milliseconds now);

/// @brief Takes out the works of an instance whose run has ended.
void removeRequestsOf(LoadTracker &tracker, const std::string &owner, Milliseconds now);

/// @brief Takes out the works of an owner that are not in its latest statement, and those that have
///        expired. @param stated Ids; sorted.
void retainOnly(LoadTracker &tracker, const std::string &owner, const std::vector<std::uint64_t> &liveIds,
                Milliseconds now);

/// @brief Takes out works that have expired.
void removeExpired(LoadTracker &tracker, Milliseconds now);

/// @brief Milliseconds until an engine has read what is placed there.
/// @complexity Linear in the works at the engine.
double prefillBacklog(const LoadTracker &tracker, EngineKey engine, Milliseconds now);

} // namespace egretmount::placement

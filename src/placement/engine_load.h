#pragma once

#include <vector>

#include <egretmount/placement/planner.h>

namespace egretmount::placement {

/// @brief A stream that an engine decodes now or will decode after its prefill.
struct DecodeStream
{
    double eventGapTarget = 0; ///< Milliseconds.
    double weight = 0;
};

/// @brief A shard whose prefill is not complete.
struct PendingShard
{
    double weight = 0;
    double latencyTarget = 0; ///< Milliseconds.
    double dueInMs = 0; ///< Time until its request's first event is late; may be negative.
    double callerTimeout =
        0; ///< Milliseconds from its arrival or placement until its caller leaves.
    double leavesInMs = 0; ///< Time until the caller leaves without an event; may be negative.
    double finishMs = 0; ///< Expected time until its prefill is complete.
    double wholePrefillMs = 0; ///< Prefill time of all shards of its request together.
    bool isShort = false; ///< Its request is short; see `isShort`.
};

/// @brief The load of one candidate, as far as it matters to a new request.
struct EngineLoad
{
    const Candidate *candidate = nullptr;
    double backlogMs = 0; ///< Prefill time of the requests placed there.
    double prefillSlowdown = 1; ///< Measured prefill time divided by the published one.
    double eventIntervalMs = 0; ///< Without any prefill, but with the new request decoding.
    int primaryRequests = 0; ///< Requests that it decodes or will decode.
    int untracked = 0; ///< Requests that it reported beyond the tracked ones.
    bool hasReport = false; ///< `untracked` was reported within `reportLifetime`.
    double unannounced = 0; ///< Expected requests of other instances that are not known yet, less
                            ///< those that have ended without an announcement.
    int decodingOfOthers = 0; ///< Requests of other instances that it decodes.
    int helperShards = 0; ///< Shards that it prefills for other engines.
    int tightStreams = 0; ///< Streams whose event gap target is no longer than the new one's.
    TokenCount memory = 0; ///< Tokens held by the requests placed there.
    bool isInShortPool = false;
    bool isInOwnCell = false; ///< It is in this cell's part of the short pool.
    std::vector<DecodeStream> streams;
    std::vector<PendingShard> pending;
};

/// @brief Returns the expected number of requests that an engine decodes or will decode.
inline double requestsAt(const EngineLoad &load)
{
    return load.primaryRequests + load.untracked + load.unannounced;
}

/// @brief Collects the load of a candidate. @complexity Linear in the requests at the engine.
/// @param policy If it is off, the expected ends of the pending shards are left out.
EngineLoad loadOf(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                  const Candidate &candidate, const Demand &demand, LoadPolicy policy,
                  Milliseconds now);

/// @brief Marks the engines of the short pool: in the order of their keys, the first ones that may
///        be in it and be primary.
/// @param size Number of engines to mark at most.
/// @param forecast Says which of them belong to the cell of this instance.
void markShortPool(std::vector<EngineLoad> &loads, int size, const DemandForecast &forecast);

/// @brief Subtracts the requests of other instances whose end is expected to be unannounced.
void subtractUnannouncedEnds(std::vector<EngineLoad> &loads, const DemandForecast &forecast);

/// @brief Adds the mean number of untracked requests to the engines of the own cell's part of the
///        short pool that have not reported lately.
///
/// Engines of other cells have many untracked requests at any time, and those for long prompts few,
/// so they say nothing of each other.
///
/// After a restart, or if instances are cut off from each other, only the reports of engines tell
/// of many requests. Engines that have not reported yet would seem empty.
void estimateUnreported(std::vector<EngineLoad> &loads);

/// @brief Estimates the load of the engines in the other cells' parts of the short pool, which this
///        instance knows only in part: the mean of the own cell's part, or what is known if that is
///        more.
///
/// Callers choose instances at random, so all cells have a similar load. Without this estimate, the
/// other parts seem empty, and all instances of a cell whose part is full choose them at once.
/// Nothing changes if the own cell has no engine in the pool.
/// @param forecast Gives the short requests of the own cell that are not known yet.
void estimateOtherCells(std::vector<EngineLoad> &loads, const DemandForecast &forecast);

} // namespace egretmount::placement

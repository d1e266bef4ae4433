#pragma once

#include <vector>

#include <egretmount/placement/planner.h>

namespace egretmount::placement {

/// @brief A stream that an engine writes or will write.
struct DecodeStream
{
    double eventGapTarget = 0; ///< Milliseconds.
    double weight = 0;
};

/// @brief A part that an engine has not read yet.
struct PendingShard
{
    double weight = 0;
    double latencyTarget = 0; ///< Milliseconds.
    double dueInMs = 0; ///< Milliseconds until its request's first event is late; may be negative.
};

/// @brief What one candidate has in hand, as far as a new request is concerned.
struct EngineLoad
{
    const Candidate *candidate = nullptr;
    double backlogMs = 0; ///< Milliseconds of reading.
    double prefillSlowdown = 1;
    double eventIntervalMs = 0; ///< A pass without reading, the new request's writing included.
    int primaryRequests = 0; ///< Requests that it writes or will write.
    int untracked = 0; ///< Requests that it says it has, beyond those.
    int helperShards = 0; ///< Parts that it reads for others.
    int tightStreams = 0; ///< Streams with a pause target as tight as the new one's, or tighter.
    TokenCount memory = 0;
    bool isInShortPool = false;
    std::vector<DecodeStream> streams;
    std::vector<PendingShard> pending;
};

/// @brief Gathers the load of a candidate. @complexity Linear in the works at the engine.
EngineLoad loadOf(const LoadTracker &tracker, const fleet::EngineSpeed &speed, const Candidate &candidate,
                  const Demand &demand, Milliseconds now);

/// @brief Marks the short lane: the first usable engines in the order of their keys.
void markShortPool(std::vector<EngineLoad> &loads, int size);

} // namespace egretmount::placement

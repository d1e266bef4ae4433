#pragma once

#include <vector>

#include <egretmount/placement/planner.h>

namespace egretmount::placement {

/// @brief A stream that an engine writes or will write.
struct LoadedStream
{
    double pauseTarget = 0; ///< Milliseconds.
    double weight = 0;
};

/// @brief A part that an engine has not read yet.
struct PendingPart
{
    double weight = 0;
    double latencyTarget = 0; ///< Milliseconds.
    double dueIn = 0; ///< Milliseconds until its request's first event is late; may be negative.
};

/// @brief What one candidate has in hand, as far as a new request is concerned.
struct EngineLoad
{
    const Candidate *candidate = nullptr;
    double backlog = 0; ///< Milliseconds of reading.
    double pace = 1;
    double passMs = 0; ///< A pass without reading, the new request's writing included.
    int received = 0; ///< Requests that it writes or will write.
    int unknown = 0; ///< Requests that it says it has, beyond those.
    int helped = 0; ///< Parts that it reads for others.
    int shortWriters = 0; ///< Streams with a pause target as tight as the new one's, or tighter.
    TokenCount memory = 0;
    bool isInLane = false;
    std::vector<LoadedStream> streams;
    std::vector<PendingPart> pending;
};

/// @brief Gathers the load of a candidate. @complexity Linear in the works at the engine.
EngineLoad loadOf(const Ledger &ledger, const fleet::EngineSpeed &speed, const Candidate &candidate,
                  const Demand &demand, Milliseconds now);

/// @brief Marks the short lane: the first usable engines in the order of their keys.
void markLane(std::vector<EngineLoad> &loads, int size);

} // namespace egretmount::placement

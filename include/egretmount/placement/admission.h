#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/placement/planner.h>

namespace egretmount::placement {

/// @brief Load of the engines that prefill long prompts.
struct LongPool
{
    int engines = 0;
    double backlogMs = 0; ///< Prefill time placed at all engines of the pool together.
    double queuedMs = 0; ///< Prefill time of the queued prompts that come first.
    double demand = 0; ///< Recently placed prefill time, as a share of the capacity of the pool.
};

/// @brief Estimates how long a long prompt that arrives now is queued.
/// @param prefillMs Prefill time of the whole prompt at one engine.
/// @return Milliseconds until its prefill starts.
double expectedQueueingTime(const LongPool &pool, double prefillMs);

/// @brief Admission control: true if a long prompt should be admitted, false if it should be
///        refused at once.
///
/// A long prompt uses engine time that other requests need. The function prices this time by the
/// utilization of the pool: the expected queueing time or the recent demand, whichever is higher.
/// It admits the prompt if the weight of its response is at least the price of its prefill. A
/// response that would be late has a lower weight. Idle engines admit any prompt. As the demand or
/// the queue grows, the longest prompts are refused first: their prefill time grows with the square
/// of their size, their weight only in proportion to it.
/// @param demand The latency target and the client timeout count from now.
/// @param relativeWeight Factor of the prompt's weight by its rank and its team's share; see
///        `relativeWeight` in short_admission.h. It counts only as far as capacity is scarce.
bool shouldAdmit(const fleet::EngineSpeed &speed, const LongPool &pool, const Demand &demand,
                 double relativeWeight = 1);

} // namespace egretmount::placement

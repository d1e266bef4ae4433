#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/placement/planner.h>

namespace egretmount::placement {

/// @brief How busy the engines are that read long prompts.
struct LongPool
{
    int engines = 0;
    double backlogMs = 0; ///< Reading placed at all of them.
    double queuedMs = 0; ///< Reading of the prompts that wait and go first.
    double demand = 0; ///< Reading that was placed lately, as a share of what the lane can read.
};

/// @brief Milliseconds until a long prompt that arrives now begins to be read.
/// @param readingMs Of the whole prompt at one engine.
double expectedQueueingTime(const LongPool &pool, double prefillMs);

/// @brief True if a long prompt should be taken, false if it is better refused at once.
///
/// A long prompt takes time of engines that others wait for, or will. Its reading is priced by how
/// long they wait or by the demand of late, whichever is more, and it is taken if the weight of the
/// answer that it can still get is above the price: at idle engines any prompt is taken; as the
/// demand or the line grows, the longest ones are refused first, as
/// their reading grows with the square of their size and their weight only with the size.
/// @param demand Its latency target and patience count from now.
bool shouldAdmit(const fleet::EngineSpeed &speed, const LongPool &pool, const Demand &demand);

} // namespace egretmount::placement

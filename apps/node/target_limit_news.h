#pragma once

#include <cstdint>

#include <egretmount/core/clock.h>
#include <egretmount/placement/load_tracker.h>

namespace egretmount::node {

/// @brief What an instance tells the others of a target's rate limit.
struct TargetLimitNews
{
    placement::EngineKey target = 0;
    std::int64_t startedAt = 0; ///< Start stamp of the incarnation that named it.
    double perSecond = 0; ///< Zero: the target names no limit any more.
    Milliseconds heardAt;
};

} // namespace egretmount::node

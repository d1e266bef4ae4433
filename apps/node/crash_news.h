#pragma once

#include <vector>

#include <egretmount/limits/crash_causes.h>

namespace egretmount::node {

/// @brief What one instance tells the others of requests that crash targets.
struct CrashNews
{
    /// @brief A cause that the sender blocks.
    struct BlockedCause
    {
        limits::Cause cause;
        limits::CauseBlock block;
    };

    std::vector<limits::TargetCrash> crashes; ///< That the sender has observed.
    std::vector<BlockedCause> blocked;
    std::vector<limits::Cause> sound; ///< Causes that a target has survived.

    bool isEmpty() const { return crashes.empty() && blocked.empty() && sound.empty(); }
};

} // namespace egretmount::node

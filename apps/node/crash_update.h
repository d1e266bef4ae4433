#pragma once

#include <vector>

#include <egretmount/limits/crash_causes.h>

namespace egretmount::node {

/// @brief What one instance announces to the others about requests that crash targets.
struct CrashUpdate
{
    std::vector<limits::TargetCrash> crashes; ///< That the sender has observed.
    std::vector<limits::BlockedCause> blocked; ///< By the sender.
    std::vector<limits::Cause> sound; ///< Causes that a target has survived.

    bool isEmpty() const { return crashes.empty() && blocked.empty() && sound.empty(); }
};

} // namespace egretmount::node

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::limits {

/// @brief Instances that may send to one cold target; the others leave it alone.
///
/// A share of a cold target's rate has to be at least one request a second to be of use.
constexpr std::size_t maxSendersPerColdTarget = 8;

/// @brief Part of a cold target's rate that all senders use together.
///
/// Instances whose lists differ may choose different senders for a moment.
constexpr double coldRateUtilization = 0.8;

/// @brief What this instance sent to each cold target within the last second.
struct ColdTargetLimiter
{
    std::map<TargetId, std::deque<Milliseconds>> sendTimes;
};

/// @brief Takes one request out of this instance's share of a cold target's rate.
///
/// The senders of a target are the living instances that rank first by a hash over both names, so
/// all instances agree without a message, and a change of the list moves few of them.
/// @param ratePerSecond What the target bears from all instances; zero: no bound.
/// @param living All living instances, this one included.
/// @return False if the share is used up or this instance is none of the senders.
bool tryAcquireCold(ColdTargetLimiter &limiter, const TargetId &target, double ratePerSecond,
                     const InstanceId &self, const std::vector<InstanceId> &living,
                     Milliseconds now);

/// @brief This instance's requests to a cold target in a second; see `tryAcquireCold`.
int coldRateShare(const TargetId &target, double ratePerSecond, const InstanceId &self,
              const std::vector<InstanceId> &living);

} // namespace egretmount::limits

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::limits {

/// @brief Maximum number of instances that send requests to the same cold target.
///
/// A target is cold for a while after its start. Its request rate is split among few instances
/// only, since a share of less than one request per second is of no use.
constexpr std::size_t maxSendersPerColdTarget = 8;

/// @brief Fraction of a cold target's rate limit that all senders use together.
///
/// The rest is headroom: instances whose member lists differ for a moment may choose different
/// senders.
constexpr double coldRateUtilization = 0.8;

/// @brief Sliding-window rate limiter for the requests that this instance sends to cold targets.
struct ColdTargetLimiter
{
    std::map<TargetId, std::deque<Milliseconds>> sendTimes; ///< Of the last second.
};

/// @brief Uses one request of this instance's share of a cold target's rate limit.
///
/// The senders of a target are the living instances that rank first by a hash of both names
/// (rendezvous hashing). All instances choose the same senders without exchanging messages, and a
/// change of the member list replaces few of them.
/// @param ratePerSecond Rate limit of the target for all instances together; zero: unlimited.
/// @param living All living instances, including this one.
/// @return False if the share is used up or this instance is not a sender of the target.
bool tryAcquireCold(ColdTargetLimiter &limiter, const TargetId &target, double ratePerSecond,
                    const InstanceId &self, const std::vector<InstanceId> &living,
                    Milliseconds now);

/// @brief Returns how many requests per second this instance may send to a cold target.
///
/// The parameters are those of `tryAcquireCold`.
/// @return Zero if this instance is not a sender of the target.
int coldRateShare(const TargetId &target, double ratePerSecond, const InstanceId &self,
                  const std::vector<InstanceId> &living);

} // namespace egretmount::limits

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/fleet/target_table.h>

namespace egretmount::limits {

/// @brief Number of instances that send to a target with a rate limit, beyond one for each request
///        per second of the limit.
///
/// Each may send one request at once, and the target expects few more than its limit.
constexpr int minRateSenders = 2;

/// @brief Fraction of a rate limit that the senders use together.
///
/// The rest is headroom: instances whose member lists differ for a moment may choose different
/// senders.
constexpr double rateUtilization = 0.8;

/// @brief Least rate that is used, in requests per second. Only a response can tell that a target
///        which takes no requests takes some again.
constexpr double minRate = 0.1;
constexpr double maxRate = 1e6;

/// @brief Time without news of a limit after which every instance may find out whether it still
///        holds, at its part of the rate.
constexpr Milliseconds rateStaleTime = Milliseconds(30'000);

/// @brief How long a limit that has ended, or that of a target which is not listed, is remembered.
constexpr Milliseconds endedRateLifetime = Milliseconds(60'000);

/// @brief The rate limit that a target has named, in one incarnation.
struct TargetRate
{
    std::int64_t startedAt = 0; ///< Start stamp of the incarnation.
    double perSecond = 0; ///< Requests per second from all instances together; zero: no limit.
    Milliseconds heardAt; ///< When the target last stated that.
    Milliseconds usedAt; ///< When this instance last sent a request, or learnt of the limit.
};

/// @brief The rate limits of all targets.
struct TargetRates
{
    std::map<TargetId, TargetRate> byTarget;
};

/// @brief What an instance needs to know of the others to find its share of a rate.
struct RateSharing
{
    const InstanceId &self;
    const std::vector<InstanceId> &living; ///< All live instances, including this one.
};

/// @brief Records that a target names a rate limit. Older statements, and those of earlier
///        incarnations, are ignored.
/// @param heardAt When this instance, or the one that passes it on, heard the target.
/// @return True if the limit was not known, or has changed.
bool recordRate(TargetRates &rates, const TargetId &target, std::int64_t startedAt,
                double perSecond, Milliseconds heardAt, Milliseconds now);

/// @brief Records that a target names no rate limit any more.
/// @return True if it had one.
bool recordUnlimited(TargetRates &rates, const TargetId &target, std::int64_t startedAt,
                     Milliseconds heardAt);

/// @brief Returns the rate limit of a target; null if it has named none.
const TargetRate *findRate(const TargetRates &rates, const fleet::TargetEntry &target);

/// @brief Returns the requests per second that this instance may send to a target.
///
/// The senders of a target are the live instances that rank first by a hash of both names. All
/// instances choose the same senders without exchanging messages.
/// @return Zero if this instance is not one of the senders.
double rateShare(const TargetRate &rate, const TargetId &target, const RateSharing &sharing,
                 Milliseconds now);

/// @brief Returns the time until this instance may send a request to a target; zero if it may now,
///        nothing if others send all that the target takes.
std::optional<Milliseconds> timeUntilSend(const TargetRates &rates,
                                          const fleet::TargetEntry &target,
                                          const RateSharing &sharing, Milliseconds now);

/// @brief Counts a request that this instance sends to a target.
void recordSend(TargetRates &rates, const fleet::TargetEntry &target, Milliseconds now);

/// @brief Removes the limits of targets and incarnations that are gone.
void removeOutdated(TargetRates &rates, const fleet::TargetTable &table, Milliseconds now);

} // namespace egretmount::limits

#include <egretmount/limits/target_rates.h>

#include <algorithm>
#include <cmath>
#include <iterator>

#include <egretmount/core/hash.h>

namespace egretmount::limits {

namespace {

std::size_t rankOf(const TargetId &target, const RateSharing &sharing)
{
    const std::uint64_t seed = stableHash(target.value);
    const std::uint64_t ownHash = stableHash(sharing.self.value, seed);
    return static_cast<std::size_t>(std::count_if(
        sharing.living.begin(), sharing.living.end(), [&](const InstanceId &instance) {
            return instance != sharing.self && stableHash(instance.value, seed) < ownHash;
        }));
}

} // namespace

bool recordRate(TargetRates &rates, const TargetId &target, std::int64_t startedAt,
                double perSecond, Milliseconds heardAt, Milliseconds now)
{
    const auto [position, isNew] = rates.byTarget.try_emplace(target);
    TargetRate &rate = position->second;
    const bool isLater = isNew || startedAt > rate.startedAt;
    if (!isLater && (startedAt < rate.startedAt || heardAt < rate.heardAt))
        return false;
    if (isLater) {
        rate = {};
        rate.startedAt = startedAt;
    }
    // The messages between instances contain rates in single precision.
    const double used = static_cast<float>(std::clamp(perSecond, minRate, maxRate));
    if (rate.perSecond <= 0)
        rate.usedAt = now; // the target has just got requests of this instance, or of others
    const bool hasChanged = used != rate.perSecond;
    rate.perSecond = used;
    rate.heardAt = heardAt;
    return hasChanged;
}

bool recordUnlimited(TargetRates &rates, const TargetId &target, std::int64_t startedAt,
                     Milliseconds heardAt)
{
    const auto found = rates.byTarget.find(target);
    if (found == rates.byTarget.end() || startedAt < found->second.startedAt
        || heardAt < found->second.heardAt)
        return false;
    const bool wasLimited = found->second.perSecond > 0;
    found->second.perSecond = 0;
    found->second.heardAt = heardAt;
    return wasLimited;
}

const TargetRate *findRate(const TargetRates &rates, const fleet::TargetEntry &target)
{
    const auto found = rates.byTarget.find(target.id);
    if (found == rates.byTarget.end() || found->second.startedAt < target.startedAt
        || found->second.perSecond <= 0)
        return nullptr;
    return &found->second;
}

double rateShare(const TargetRate &rate, const TargetId &target, const RateSharing &sharing,
                 Milliseconds now)
{
    const std::size_t instances = std::max<std::size_t>(sharing.living.size(), 1);
    const double wanted = minRateSenders + std::floor(rate.perSecond);
    const std::size_t senders =
        wanted < static_cast<double>(instances) ? static_cast<std::size_t>(wanted) : instances;
    const double used = rateUtilization * rate.perSecond;
    if (rankOf(target, sharing) < senders)
        return used / static_cast<double>(senders);
    const bool isStale = now - rate.heardAt >= rateStaleTime;
    return isStale ? used / static_cast<double>(instances) : 0;
}

std::optional<Milliseconds> timeUntilSend(const TargetRates &rates,
                                          const fleet::TargetEntry &target,
                                          const RateSharing &sharing, Milliseconds now)
{
    const TargetRate *rate = findRate(rates, target);
    if (rate == nullptr)
        return Milliseconds();
    const double share = rateShare(*rate, target.id, sharing, now);
    if (share <= 0)
        return std::nullopt;
    const Milliseconds interval(static_cast<std::int64_t>(std::ceil(1'000 / share)));
    return std::max(rate->usedAt + interval - now, Milliseconds());
}

void recordSend(TargetRates &rates, const fleet::TargetEntry &target, Milliseconds now)
{
    const auto found = rates.byTarget.find(target.id);
    if (found != rates.byTarget.end())
        found->second.usedAt = now;
}

void removeOutdated(TargetRates &rates, const fleet::TargetTable &table, Milliseconds now)
{
    for (auto position = rates.byTarget.begin(); position != rates.byTarget.end();) {
        const TargetRate &rate = position->second;
        const auto listed = table.targets.find(position->first);
        const bool isListed = listed != table.targets.end();
        const bool hasRestarted = isListed && listed->second.entry.startedAt > rate.startedAt;
        const bool isInForce = isListed && rate.perSecond > 0;
        const bool isOver = hasRestarted || (!isInForce && now - rate.heardAt >= endedRateLifetime);
        position = isOver ? rates.byTarget.erase(position) : std::next(position);
    }
}

} // namespace egretmount::limits

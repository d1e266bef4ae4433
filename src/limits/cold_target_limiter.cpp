#include <egretmount/limits/cold_target_limiter.h>

#include <algorithm>

#include <egretmount/core/hash.h>

namespace egretmount::limits {

int coldRateShare(const TargetId &target, double ratePerSecond, const InstanceId &self,
                  const std::vector<InstanceId> &living)
{
    const std::uint64_t seed = stableHash(target.value);
    const std::uint64_t ownHash = stableHash(self.value, seed);
    const std::size_t rank = static_cast<std::size_t>(
        std::count_if(living.begin(), living.end(), [&](const InstanceId &instance) {
            return instance != self && stableHash(instance.value, seed) < ownHash;
        }));
    if (rank >= maxSendersPerColdTarget)
        return 0;
    const std::size_t senders =
        std::min(maxSendersPerColdTarget, std::max<std::size_t>(living.size(), 1));
    return static_cast<int>(ratePerSecond * coldRateUtilization / static_cast<double>(senders));
}

bool tryAcquireCold(ColdTargetLimiter &limiter, const TargetId &target, double ratePerSecond,
                    const InstanceId &self, const std::vector<InstanceId> &living, Milliseconds now)
{
    if (ratePerSecond <= 0)
        return true;
    std::deque<Milliseconds> &times = limiter.sendTimes[target];
    while (!times.empty() && now - times.front() >= Milliseconds(1'000))
        times.pop_front();
    if (static_cast<int>(times.size()) >= coldRateShare(target, ratePerSecond, self, living))
        return false;
    times.push_back(now);
    return true;
}

} // namespace egretmount::limits

#include <egretmount/limits/cold_gate.h>

#include <algorithm>

#include <egretmount/core/hash.h>

namespace egretmount::limits {

int coldShare(const TargetId &target, double ratePerSecond, const InstanceId &self,
              const std::vector<InstanceId> &living)
{
    const std::uint64_t seed = stableHash(target.value);
    const std::uint64_t own = stableHash(self.value, seed);
    const std::size_t ahead = static_cast<std::size_t>(
        std::count_if(living.begin(), living.end(), [&](const InstanceId &instance) {
            return instance != self && stableHash(instance.value, seed) < own;
        }));
    if (ahead >= coldTargetSenders)
        return 0;
    const std::size_t senders =
        std::min(coldTargetSenders, std::max<std::size_t>(living.size(), 1));
    return static_cast<int>(ratePerSecond * coldHeadroom / static_cast<double>(senders));
}

bool takeColdRequest(ColdGate &gate, const TargetId &target, double ratePerSecond,
                     const InstanceId &self, const std::vector<InstanceId> &living,
                     Milliseconds now)
{
    if (ratePerSecond <= 0)
        return true;
    std::deque<Milliseconds> &times = gate.sent[target];
    while (!times.empty() && now - times.front() >= Milliseconds(1'000))
        times.pop_front();
    if (static_cast<int>(times.size()) >= coldShare(target, ratePerSecond, self, living))
        return false;
    times.push_back(now);
    return true;
}

} // namespace egretmount::limits

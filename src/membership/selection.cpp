#include <egretmount/membership/selection.h>

#include <algorithm>
#include <utility>

#include <egretmount/core/digest.h>

namespace egretmount::membership {

namespace {

std::uint64_t weightOf(const InstanceId &instance, std::string_view subject)
{
    return digestHash(instance.value, digestHash(subject));
}

} // namespace

bool isPlatformWatcher(const InstanceList &list, const InstanceId &instance)
{
    if (list.empty())
        return true;
    const ListedInstance *self = findListed(list, instance);
    if (!self || self->state != ListedState::Live)
        return false;
    const std::uint64_t own = weightOf(instance, self->zone.value);
    const auto isBefore = [&](const ListedInstance &other) {
        return other.zone == self->zone && other.state == ListedState::Live
               && std::pair(weightOf(other.id, self->zone.value), other.id)
                      > std::pair(own, instance);
    };
    const std::ptrdiff_t before = std::count_if(list.begin(), list.end(), isBefore);
    return static_cast<std::size_t>(before) < watchersPerZone;
}

std::vector<InstanceId> choosePeers(const InstanceList &list, const InstanceId &instance,
                                    std::size_t count)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> order;
    for (const ListedInstance &other : list) {
        if (other.id != instance)
            order.emplace_back(weightOf(other.id, instance.value), other.id);
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<InstanceId> chosen;
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        chosen.push_back(order[i].second);
    return chosen;
}

bool isHeartbeatPeerOf(const InstanceList &list, const InstanceId &instance,
                       const InstanceId &sender)
{
    const std::pair<std::uint64_t, InstanceId> own(weightOf(instance, sender.value), instance);
    std::size_t before = 0;
    for (const ListedInstance &other : list) {
        if (other.id == sender || other.id == instance)
            continue;
        if (std::pair(weightOf(other.id, sender.value), other.id) > own)
            ++before;
        if (before == heartbeatFanout)
            return false;
    }
    return true;
}

InstanceId chooseCoordinator(const InstanceList &list, std::string_view subject)
{
    std::pair<std::uint64_t, InstanceId> best;
    for (const ListedInstance &instance : list) {
        if (instance.state == ListedState::Live)
            best = std::max(best, std::pair(weightOf(instance.id, subject), instance.id));
    }
    return best.second;
}

} // namespace egretmount::membership

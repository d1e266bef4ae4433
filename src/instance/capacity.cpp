#include <egretmount/instance/capacity.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

#include <egretmount/core/hash.h>

namespace egretmount::instance {

double relativeCapacity(const Capacity &capacity)
{
    if (!capacity.cpuShare)
        return 0;
    double relative = *capacity.cpuShare * capacity.cores.value_or(1);
    if (capacity.linkMbps)
        relative = std::min(relative, *capacity.linkMbps / linkMbpsPerCore);
    const double steps = std::round(std::min(relative, maxRelativeCapacity) / capacityResolution);
    return std::max(steps, 1.0) * capacityResolution;
}

double capacityOf(const Capacities &capacities, const std::string &host)
{
    const auto found = capacities.find(host);
    return found == capacities.end() ? 0 : found->second;
}

double preferredCapacity(const std::vector<InstanceId> &living, const Capacities &capacities)
{
    double largest = 0;
    std::size_t known = 0;
    if (capacities.empty())
        return 0;
    for (const InstanceId &instance : living) {
        const double capacity = capacityOf(capacities, instance.value);
        known += capacity > 0 ? 1 : 0;
        largest = std::max(largest, capacity);
    }
    return 2 * known > living.size() ? largest * preferredShareOfLargest : 0;
}

std::vector<InstanceId> roleOrder(const std::vector<InstanceId> &living,
                                  const Capacities &capacities)
{
    const double least = preferredCapacity(living, capacities);
    std::vector<std::tuple<bool, std::uint64_t, const InstanceId *>> places;
    places.reserve(living.size());
    for (const InstanceId &instance : living) {
        const bool isOther = least > 0 && capacityOf(capacities, instance.value) < least;
        places.emplace_back(isOther, stableHash(instance.value), &instance);
    }
    std::sort(places.begin(), places.end());
    std::vector<InstanceId> order;
    order.reserve(places.size());
    for (const auto &[isOther, hash, instance] : places)
        order.push_back(*instance);
    return order;
}

std::vector<InstanceId> preferredInstances(const std::vector<InstanceId> &living,
                                           const Capacities &capacities)
{
    const double least = preferredCapacity(living, capacities);
    if (least <= 0)
        return {};
    std::vector<InstanceId> preferred;
    for (const InstanceId &instance : living) {
        if (capacityOf(capacities, instance.value) >= least)
            preferred.push_back(instance);
    }
    return roleOrder(preferred, capacities);
}

CapacityRange rangeOf(const std::vector<InstanceId> &living, const Capacities &capacities)
{
    if (preferredCapacity(living, capacities) <= 0)
        return {};
    CapacityRange range;
    for (const InstanceId &instance : living) {
        const double capacity = capacityOf(capacities, instance.value);
        if (capacity <= 0)
            continue;
        range.smallest = range.smallest > 0 ? std::min(range.smallest, capacity) : capacity;
        range.largest = std::max(range.largest, capacity);
    }
    return range.largest > range.smallest ? range : CapacityRange();
}

double relayCost(int inFlight, int failuresInRow, double capacity, const CapacityRange &range,
                 double random)
{
    if (range.smallest <= 0)
        return inFlight + failuresInRow + random;
    const double size = (capacity > 0 ? capacity : range.smallest) / range.largest;
    // The least of exponentially distributed costs is a draw in proportion to their rates.
    return -std::log1p(-random) * (inFlight + 1) / size
           + failuresInRow * range.largest / range.smallest;
}

} // namespace egretmount::instance

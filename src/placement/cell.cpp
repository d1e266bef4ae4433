#include <egretmount/placement/cell.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <egretmount/core/hash.h>

namespace egretmount::placement {

int cellCount(std::size_t instances, std::size_t engines)
{
    const std::size_t most = std::min(instances / minInstancesPerCell, engines / minEnginesPerCell);
    std::size_t count = 1;
    while (2 * count <= most)
        count *= 2;
    return static_cast<int>(count);
}

Cell cellOf(const InstanceId &self, const std::vector<InstanceId> &living, std::size_t engines)
{
    Cell cell;
    cell.count = cellCount(living.size(), engines);
    if (cell.count == 1) {
        cell.members = living;
        return cell;
    }
    std::vector<std::pair<std::uint64_t, const InstanceId *>> order;
    order.reserve(living.size());
    for (const InstanceId &instance : living)
        order.emplace_back(stableHash(instance.value), &instance);
    std::sort(order.begin(), order.end());
    const std::size_t count = static_cast<std::size_t>(cell.count);
    const auto indexAt = [&](std::size_t place) { return place * count / order.size(); };
    const auto own = std::find_if(order.begin(), order.end(),
                                  [&](const auto &entry) { return *entry.second == self; });
    const std::size_t index = indexAt(static_cast<std::size_t>(own - order.begin()));
    cell.index = static_cast<int>(index);
    for (std::size_t place = 0; place < order.size(); ++place) {
        if (indexAt(place) == index)
            cell.members.push_back(*order[place].second);
    }
    std::sort(cell.members.begin(), cell.members.end());
    return cell;
}

} // namespace egretmount::placement

#include <egretmount/fleet/target_table.h>

#include <algorithm>

namespace egretmount::fleet {

bool applyEntry(TargetTable &table, const TargetEntry &entry, Milliseconds now)
{
    const auto [position, isNew] = table.targets.try_emplace(entry.id);
    Target &target = position->second;
    const bool isNewRun =
        isNew || target.entry.startedAt != entry.startedAt || target.entry.address != entry.address;
    target.entry = entry;
    target.isUnlisted = false;
    if (entry.coldLeft > Milliseconds() || isNewRun)
        target.coldUntil = now + entry.coldLeft;
    return isNewRun;
}

bool applyRemoval(TargetTable &table, const TargetId &id, Milliseconds now)
{
    const auto found = table.targets.find(id);
    if (found == table.targets.end())
        return false;
    Target &target = found->second;
    if (!target.entry.isDraining) {
        if (!target.isUnlisted) {
            target.removeAt = now + unlistedGrace;
            if (table.hadOutage)
                target.removeAt = std::max(target.removeAt, table.outageEndedAt + outageGrace);
        }
        target.isUnlisted = true;
        return false;
    }
    table.targets.erase(found);
    return true;
}

std::vector<TargetId> applyListing(TargetTable &table, const std::vector<TargetEntry> &entries,
                                   Milliseconds now)
{
    std::set<TargetId> listed;
    for (const TargetEntry &entry : entries) {
        listed.insert(entry.id);
        applyEntry(table, entry, now);
    }
    std::vector<TargetId> missing;
    for (const auto &[id, target] : table.targets) {
        if (listed.count(id) == 0)
            missing.push_back(id);
    }
    missing.erase(std::remove_if(missing.begin(), missing.end(),
                                 [&](const TargetId &id) { return !applyRemoval(table, id, now); }),
                  missing.end());
    return missing;
}

void markOutageEnded(TargetTable &table, Milliseconds now)
{
    table.hadOutage = true;
    table.outageEndedAt = now;
}

bool looksLikeLeaseExpiry(const TargetTable &table, const std::vector<TargetId> &removed)
{
    std::map<ServiceId, int> gone;
    for (const TargetId &id : removed) {
        const auto found = table.targets.find(id);
        if (found != table.targets.end() && !found->second.entry.isDraining)
            ++gone[found->second.entry.service];
    }
    for (const auto &[service, count] : gone) {
        const ServiceId &name = service;
        const auto all =
            std::count_if(table.targets.begin(), table.targets.end(),
                          [&](const auto &entry) { return entry.second.entry.service == name; });
        if (count > 1 && count >= leaseExpiryShare * static_cast<double>(all))
            return true;
    }
    return false;
}

std::vector<TargetId> removeUnlisted(TargetTable &table, Milliseconds now)
{
    std::vector<TargetId> removed;
    for (auto position = table.targets.begin(); position != table.targets.end();) {
        const Target &target = position->second;
        if (target.isUnlisted && now >= target.removeAt) {
            removed.push_back(position->first);
            position = table.targets.erase(position);
        } else {
            ++position;
        }
    }
    return removed;
}

bool isUsable(const TargetTable &table, const Target &target)
{
    return !target.entry.isDraining && table.evacuated.count(target.entry.zone) == 0;
}

bool isCold(const Target &target, Milliseconds now)
{
    return now < target.coldUntil;
}

} // namespace egretmount::fleet

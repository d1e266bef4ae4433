#include <egretmount/fleet/target_table.h>

#include <algorithm>

namespace egretmount::fleet {

namespace {

// From the choice of a target to the arrival of the request, which a busy instance may delay, and
// the interval at which `removeUnlisted` is called.
constexpr Milliseconds arrivalTime = Milliseconds(400);

bool isRecentlyRestored(const TargetTable &table, Milliseconds now)
{
    return table.wasRestored && now - table.restoredAt < operatorGrace;
}

void recordRemoval(TargetTable &table, const Target &target, Milliseconds now)
{
    for (auto position = table.removed.begin(); position != table.removed.end();) {
        if (now - position->second.removedAt >= removalMemory)
            position = table.removed.erase(position);
        else
            ++position;
    }
    table.removed[target.entry.id] = { target.entry.startedAt, now };
}

// Applies an entry of a listing that may be older than the table. Returns whether the target
// counts as listed.
bool applyRestoredEntry(TargetTable &table, const TargetEntry &entry, Milliseconds now)
{
    const auto found = table.targets.find(entry.id);
    if (found == table.targets.end()) {
        const auto removed = table.removed.find(entry.id);
        if (removed == table.removed.end() || removed->second.startedAt < entry.startedAt
            || now - removed->second.removedAt >= removalMemory) {
            applyEntry(table, entry, now);
        } else {
            table.withheld.try_emplace(entry.id, WithheldEntry { entry, now + reregistrationTime });
        }
        return true;
    }
    Target &target = found->second;
    if (entry.startedAt < target.entry.startedAt)
        return false;
    if (entry.startedAt != target.entry.startedAt || entry.address != target.entry.address) {
        applyEntry(table, entry, now);
        return true;
    }
    // The remaining warm-up time in an older entry is out of date.
    const bool isDraining = target.entry.isDraining || entry.isDraining;
    target.entry = entry;
    target.entry.isDraining = isDraining;
    target.isUnlisted = false;
    return true;
}

void retainListed(std::map<TargetId, WithheldEntry> &withheld, const std::set<TargetId> &listed)
{
    for (auto position = withheld.begin(); position != withheld.end();) {
        if (listed.count(position->first) == 0)
            position = withheld.erase(position);
        else
            ++position;
    }
}

} // namespace

bool applyEntry(TargetTable &table, const TargetEntry &entry, Milliseconds now)
{
    const auto [position, isNew] = table.targets.try_emplace(entry.id);
    Target &target = position->second;
    const bool isNewRun =
        isNew || target.entry.startedAt != entry.startedAt || target.entry.address != entry.address;
    target.entry = entry;
    target.isUnlisted = false;
    table.withheld.erase(entry.id);
    table.removed.erase(entry.id);
    if (entry.coldLeft > Milliseconds() || isNewRun)
        target.coldUntil = now + entry.coldLeft;
    return isNewRun;
}

Milliseconds unlistedGrace(const TargetTable &table, Milliseconds age)
{
    return std::max(table.drainTime - arrivalTime - age, Milliseconds());
}

bool applyRemoval(TargetTable &table, const TargetId &id, Milliseconds now, Milliseconds age)
{
    table.withheld.erase(id);
    const auto found = table.targets.find(id);
    if (found == table.targets.end())
        return false;
    Target &target = found->second;
    if (!target.entry.isDraining) {
        if (!target.isUnlisted) {
            target.unlistedAt = now;
            target.removeAt = now + unlistedGrace(table, age);
        }
        target.isUnlisted = true;
        return false;
    }
    recordRemoval(table, target, now);
    table.targets.erase(found);
    return true;
}

std::vector<TargetId> applyListing(TargetTable &table, const std::vector<TargetEntry> &entries,
                                   Milliseconds now, Milliseconds age)
{
    const bool isRestored = isRecentlyRestored(table, now);
    std::set<TargetId> listed;
    for (const TargetEntry &entry : entries) {
        if (isRestored && !applyRestoredEntry(table, entry, now))
            continue;
        if (!isRestored)
            applyEntry(table, entry, now);
        listed.insert(entry.id);
    }
    retainListed(table.withheld, listed);
    std::vector<TargetId> missing;
    for (const auto &[id, target] : table.targets) {
        if (listed.count(id) == 0)
            missing.push_back(id);
    }
    missing.erase(
        std::remove_if(missing.begin(), missing.end(),
                       [&](const TargetId &id) { return !applyRemoval(table, id, now, age); }),
        missing.end());
    return missing;
}

void markRestored(TargetTable &table, Milliseconds now)
{
    table.wasRestored = true;
    table.restoredAt = now;
}

void applyEvacuationListing(TargetTable &table, const std::set<ZoneId> &listed, Milliseconds now)
{
    if (!isRecentlyRestored(table, now)) {
        table.evacuated = listed;
        table.keptEvacuations.clear();
        table.withheldEvacuations.clear();
        return;
    }
    for (const ZoneId &zone : table.evacuated) {
        if (listed.count(zone) == 0)
            table.keptEvacuations.try_emplace(zone, now + operatorGrace);
    }
    std::map<ZoneId, Milliseconds> withheld;
    for (const ZoneId &zone : listed) {
        table.keptEvacuations.erase(zone);
        const auto end = table.evacuationEnds.find(zone);
        const bool wasCancelled =
            end != table.evacuationEnds.end() && now - end->second < removalMemory;
        if (!wasCancelled || table.evacuated.count(zone) > 0) {
            table.evacuated.insert(zone);
            continue;
        }
        const auto earlier = table.withheldEvacuations.find(zone);
        withheld[zone] =
            earlier == table.withheldEvacuations.end() ? now + reregistrationTime : earlier->second;
    }
    table.withheldEvacuations = std::move(withheld);
}

void applyEvacuation(TargetTable &table, const ZoneId &zone, bool isEvacuated, Milliseconds now)
{
    table.keptEvacuations.erase(zone);
    table.withheldEvacuations.erase(zone);
    if (isEvacuated) {
        table.evacuated.insert(zone);
        table.evacuationEnds.erase(zone);
    } else if (table.evacuated.erase(zone) > 0) {
        table.evacuationEnds[zone] = now;
    }
}

SettledChanges settleRestored(TargetTable &table, Milliseconds now)
{
    SettledChanges settled;
    std::vector<TargetEntry> due;
    for (const auto &[id, withheld] : table.withheld) {
        if (now >= withheld.applyAt)
            due.push_back(withheld.entry);
    }
    for (const TargetEntry &entry : due) {
        applyEntry(table, entry, now);
        settled.applied.push_back(entry.id);
    }
    for (const auto &[zone, dropAt] : table.keptEvacuations) {
        if (now >= dropAt)
            settled.released.push_back(zone);
    }
    for (const auto &[zone, applyAt] : table.withheldEvacuations) {
        if (now >= applyAt)
            settled.evacuated.push_back(zone);
    }
    for (const ZoneId &zone : settled.released)
        applyEvacuation(table, zone, false, now);
    for (const ZoneId &zone : settled.evacuated)
        applyEvacuation(table, zone, true, now);
    return settled;
}

Milliseconds removalDue(const TargetTable &table, const Target &target)
{
    const std::optional<Milliseconds> limit = returnLimit(table.contact, target.unlistedAt);
    return std::max(target.removeAt, limit.value_or(target.removeAt));
}

std::vector<TargetId> removeUnlisted(TargetTable &table, Milliseconds now)
{
    std::vector<TargetId> removed;
    for (auto position = table.targets.begin(); position != table.targets.end();) {
        const Target &target = position->second;
        if (target.isUnlisted && now >= removalDue(table, target)) {
            recordRemoval(table, target, now);
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

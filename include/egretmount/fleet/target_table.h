#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/fleet/registry_contact.h>

namespace egretmount::fleet {

/// @brief The latest registry entry of a target, as reported by the target.
struct TargetEntry
{
    TargetId id;
    ServiceId service;
    std::string address; ///< Host and port.
    ZoneId zone;
    int slots = 1; ///< Requests that it serves concurrently.
    bool isDraining = false; ///< It is leaving and accepts no new requests.
    Milliseconds coldLeft; ///< Time until it is warm, as of the registry read.
    std::int64_t startedAt = 0; ///< The target's start stamp; a different one means a restart.
};

/// @brief The state of a target as known to this instance.
struct Target
{
    TargetEntry entry;
    Milliseconds coldUntil; ///< It counts as cold before this time.
    bool isUnlisted = false; ///< Its entry disappeared although it was not draining.
    Milliseconds unlistedAt; ///< When this instance learned of that.
    Milliseconds removeAt; ///< When it is removed; later if its entry may have expired.
};

/// @brief A target that was removed from the table.
struct RemovedTarget
{
    std::int64_t startedAt = 0; ///< The start stamp of its entry.
    Milliseconds removedAt;
};

/// @brief An entry that a restored registry lists although its target was removed before.
struct WithheldEntry
{
    TargetEntry entry;
    Milliseconds applyAt; ///< When it is believed, unless it is removed or rewritten earlier.
};

/// @brief The targets of all services and the availability zones that are being evacuated.
struct TargetTable
{
    std::map<TargetId, Target> targets;
    std::set<ZoneId> evacuated;
    RegistryContact contact;
    /// How long a target serves after the registry has accepted that it leaves.
    Milliseconds drainTime = Milliseconds(2'000);
    Milliseconds restoredAt; ///< When the registry was last found to be restored from a copy.
    bool wasRestored = false;
    std::map<TargetId, RemovedTarget> removed; ///< During the last `removalMemory`.
    std::map<TargetId, WithheldEntry> withheld;
    std::map<ZoneId, Milliseconds> evacuationEnds; ///< When evacuations were cancelled.
    std::map<ZoneId, Milliseconds> keptEvacuations; ///< Evacuated but not listed; when to drop.
    std::map<ZoneId, Milliseconds> withheldEvacuations; ///< Listed but cancelled; when to apply.
};

/// @brief Returns how long a target stays usable after this instance has learned that its entry
///        disappeared although it was not draining.
///
/// It serves on for `drainTime` after the removal. The last requests take a part of that time to
/// arrive.
/// @param age Time for which the removal may have been unknown to this instance.
/// @return Zero if the target may have ended by then.
Milliseconds unlistedGrace(const TargetTable &table, Milliseconds age);

/// @brief How long an evacuation or a configuration that a restored registry lacks is kept: the
///        operators write again what was lost within a few seconds.
constexpr Milliseconds operatorGrace = Milliseconds(5'000);

/// @brief How long removed targets and cancelled evacuations are remembered. A registry is restored
///        from a copy that is some seconds old.
constexpr Milliseconds removalMemory = Milliseconds(60'000);

/// @brief Adds or updates the entry of a target.
/// @return True if the target is new or has restarted, or has a new address.
bool applyEntry(TargetTable &table, const TargetEntry &entry, Milliseconds now);

/// @brief Applies the removal of a registry entry.
/// @param age Time for which the removal may have been unknown to this instance.
/// @return True if the target was draining and is removed. False if it is unknown, or if it stays
///         usable for a grace period.
bool applyRemoval(TargetTable &table, const TargetId &id, Milliseconds now,
                  Milliseconds age = Milliseconds());

/// @brief Replaces all entries by a full listing of the registry. Targets that are missing from it
///        are treated as removed.
///
/// Within `operatorGrace` of `markRestored`, the listing may be older than the table. An entry of
/// the same run then does not end a drain, an entry of an earlier run counts as missing, and the
/// entry of a target that was removed before is withheld for `reregistrationTime`.
/// @param age Time for which removals may have been unknown to this instance.
/// @return The targets that were removed without a grace period.
std::vector<TargetId> applyListing(TargetTable &table, const std::vector<TargetEntry> &entries,
                                   Milliseconds now, Milliseconds age = Milliseconds());

/// @brief Marks that the registry was restored from an older copy.
void markRestored(TargetTable &table, Milliseconds now);

/// @brief Replaces the evacuated availability zones by those of a full listing.
///
/// Within `operatorGrace` of `markRestored`, an evacuation that is not listed is kept for
/// `operatorGrace`, and one that was cancelled before is withheld for `reregistrationTime`.
void applyEvacuationListing(TargetTable &table, const std::set<ZoneId> &listed, Milliseconds now);

/// @brief Applies the request or the cancellation of an evacuation.
void applyEvacuation(TargetTable &table, const ZoneId &zone, bool isEvacuated, Milliseconds now);

/// @brief What `settleRestored` has changed.
struct SettledChanges
{
    std::vector<TargetId> applied; ///< Entries that were withheld.
    std::vector<ZoneId> evacuated; ///< Evacuations that were withheld.
    std::vector<ZoneId> released; ///< Evacuations that were kept.
};

/// @brief Adopts what the restored registry states once the time to write again what was lost has
///        passed. Call this regularly.
SettledChanges settleRestored(TargetTable &table, Milliseconds now);

/// @brief Returns when an unlisted target is removed unless its entry returns.
///
/// One that leaves is removed before it stops serving. One whose entry may have expired in an
/// absence of the registry has until the end of `reregistrationTime` to write it again.
Milliseconds removalDue(const TargetTable &table, const Target &target);

/// @brief Removes unlisted targets whose grace period has ended. @return The removed targets.
std::vector<TargetId> removeUnlisted(TargetTable &table, Milliseconds now);

/// @brief True if the target may receive new requests: it is not draining, and its availability
///        zone is not being evacuated.
bool isUsable(const TargetTable &table, const Target &target);

/// @brief True if the target has not finished warming up.
bool isCold(const Target &target, Milliseconds now);

} // namespace egretmount::fleet

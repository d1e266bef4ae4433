#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::fleet {

/// @brief What a target last said of itself in the registry.
struct TargetEntry
{
    TargetId id;
    ServiceId service;
    std::string address; ///< Host and port.
    ZoneId zone;
    int slots = 1;
    bool isDraining = false;
    Milliseconds coldLeft; ///< How much longer it is cold, when the entry was read.
    std::int64_t startedAt = 0; ///< The target's own start stamp; another one means a restart.
};

/// @brief A target as this instance knows it.
struct Target
{
    TargetEntry entry;
    Milliseconds coldUntil;
    Milliseconds removeAt; ///< When it is given up if its entry does not come back.
    bool isUnlisted = false; ///< Its entry is gone without notice.
};

/// @brief The targets of all services and the availability zones that are being evacuated.
struct TargetTable
{
    std::map<TargetId, Target> targets;
    std::set<ZoneId> evacuated;
    Milliseconds outageEndedAt; ///< When the registry last came back.
    bool hadOutage = false;
};

/// @brief How long a target stays usable whose entry went without its having said that it leaves.
///
/// One that leaves unannounced goes on serving for 2 s; the difference covers the time until the
/// removal is heard of.
constexpr Milliseconds unlistedGrace = Milliseconds(1'400);

/// @brief The same after an outage of the registry, counted from its end: leases of living targets
///        lapse meanwhile, and they register again within about 2 s.
constexpr Milliseconds outageGrace = Milliseconds(2'300);

/// @brief Part of a service's targets that do not leave at the same moment.
constexpr double leaseExpiryShare = 0.4;

/// @brief Takes in an entry. @return True if this is a new run of the target.
bool applyEntry(TargetTable &table, const TargetEntry &entry, Milliseconds now);

/// @brief Takes in the removal of an entry.
/// @return True if the target is gone for good, false if it is kept for a grace.
bool applyRemoval(TargetTable &table, const TargetId &id, Milliseconds now);

/// @brief Replaces all entries by a full listing of the registry.
/// @return The targets that are gone.
std::vector<TargetId> applyListing(TargetTable &table, const std::vector<TargetEntry> &entries,
                                  Milliseconds now);

/// @brief Takes in that the registry answers again after an outage.
void markOutageEnded(TargetTable &table, Milliseconds now);

/// @brief True if so many targets of one service go at once, without having said that they leave,
///        that their leases have rather lapsed: in an outage too short to be noticed here.
bool looksLikeLeaseExpiry(const TargetTable &table, const std::vector<TargetId> &removed);

/// @brief Drops unlisted targets whose grace has ended. @return Those dropped.
std::vector<TargetId> removeUnlisted(TargetTable &table, Milliseconds now);

/// @brief True if new requests may be sent to the target.
bool isUsable(const TargetTable &table, const Target &target);

/// @brief True if the target counts as cold.
bool isCold(const Target &target, Milliseconds now);

} // namespace egretmount::fleet

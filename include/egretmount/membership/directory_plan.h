#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <egretmount/instance/capacity.h>

namespace egretmount::membership {

/// @brief How the instances are spread over the sections of the directory, by capacity.
///
/// Callers pick one of the named instances at random, so an instance's share of the callers is the
/// part of the sections that name it, divided by their size. The instances form a ring, ordered by
/// the hash of their address, with one section at each place. An instance is named by the section
/// at its own place and by those just before it, in a number proportional to its capacity. The loss
/// of an instance therefore moves the others by at most one place.
struct DirectoryPlan
{
    struct Entry
    {
        std::string host;
        std::size_t sections = 1; ///< Number of sections that name the host.
    };

    std::vector<Entry> entries; ///< In ring order.
    std::size_t limit = 0; ///< Greatest number of hosts in one section.
};

/// @brief Least mean number of names in a section beside those that almost all sections have.
///
/// Shorter sections allow larger differences between the shares of instances. With twelve names,
/// one of 4,096 responses names only instances that have failed when half of all fail at once.
/// Names that all sections have do not count, because they may fail together: this also holds when
/// the few large instances and half of the others fail.
constexpr std::size_t minSectionSize = 12;

/// @brief Part of the sections from which a host counts as named by almost all. The largest ones
///        are named by less than all of them where the mean size is rounded down, but by at least
///        twelve thirteenths unless the upper limit of the size applies.
constexpr double almostAllSections = 0.9;

/// @brief Part of the limit that the mean size of a section does not exceed. The sizes differ by
///        about a tenth, and a section that exceeds the limit is cut.
constexpr double maxMeanSectionShare = 0.875;

/// @brief Returns whether the sections of the directory differ from those of
///        `directorySection(hosts, self, limit)`: there are more hosts than a response holds, and
///        the capacities of more than half of them are known, and the largest is at least
///        `instance::unequalCapacityFactor` times the smallest. With fewer, those known to be large
///        would get the callers of those not known to be so.
/// @param capacities Relative capacities; empty: all are alike.
/// @complexity Linear in the number of hosts, with a lookup for each.
bool needsDirectoryPlan(const std::vector<std::string> &hosts,
                        const instance::Capacities &capacities, std::size_t limit);

/// @brief Spreads the hosts over the sections of the directory.
///
/// The mean size of a section is the largest with which the share of each host can be proportional
/// to its capacity, within the limits above. If `minSectionSize` calls for longer sections, the
/// share of the hosts that all sections name is smaller than their capacity. A host of unknown
/// capacity counts as the smallest.
/// @pre `needsDirectoryPlan(hosts, capacities, limit)`
/// @complexity N log N in the number of hosts; up to N times as much if many reach their limit.
DirectoryPlan directoryPlan(const std::vector<std::string> &hosts,
                            const instance::Capacities &capacities, std::size_t limit);

/// @brief Returns the place of a host in the ring, or that of the next one if it is not listed.
/// @complexity Linear in the number of hosts, with a hash for each.
std::size_t directoryPlace(const DirectoryPlan &plan, const std::string &host);

/// @brief Returns the place whose section a response names. Successive responses of one instance go
///        through all places, because callers may ask only the few instances nearest to them.
/// @param ownPlace Place of the responding instance, which the first response uses.
/// @param response Number of earlier responses.
std::size_t responsePlace(const DirectoryPlan &plan, std::size_t ownPlace, std::size_t response);

/// @brief Returns the hosts that the section at a place names, at most `plan.limit`, starting with
///        the host at that place.
/// @complexity N log N in the number of hosts.
std::vector<std::string> directorySection(const DirectoryPlan &plan, std::size_t place);

} // namespace egretmount::membership

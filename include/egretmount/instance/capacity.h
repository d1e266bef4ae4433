#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egretmount/core/ids.h>

namespace egretmount::instance {

/// @brief Size of an instance as stated by its environment. Empty: unknown.
struct Capacity
{
    std::optional<double> cpuShare; ///< Part of each core that the instance may use.
    std::optional<double> cores; ///< Number of cores to which `cpuShare` applies.
    std::optional<double> memoryMb;
    std::optional<double> maxDescriptors; ///< Limit of open file descriptors.
    std::optional<double> linkMbps; ///< Bandwidth of the network link in Mbit/s.
};

/// @brief Link bandwidth in Mbit/s that counts as much as one core.
constexpr double linkMbpsPerCore = 400;

/// @brief Resolution of a relative capacity. All instances compare rounded values, because messages
///        state the capacity with this resolution.
constexpr double capacityResolution = 0.001;

/// @brief Greatest relative capacity that is told apart; larger ones count as this one.
constexpr double maxRelativeCapacity = 60;

/// @brief Factor between the largest and the smallest instance from which capacities count as
///        unequal.
///
/// Below it, sharing the callers evenly overloads no instance.
constexpr double unequalCapacityFactor = 2;

/// @brief Returns one number for the size of an instance: its cores or, if that is less, its link
///        in units of `linkMbpsPerCore`.
///
/// A missing number of cores counts as one. A missing link does not limit the capacity.
/// @return A multiple of `capacityResolution`; zero if the share of the cores is unknown.
double relativeCapacity(const Capacity &capacity);

/// @brief Relative capacities of instances, by host. Zero or missing: unknown.
using Capacities = std::map<std::string, double, std::less<>>;

/// @brief Returns the relative capacity of an instance; zero: unknown.
double capacityOf(const Capacities &capacities, const std::string &host);

/// @brief Part of the largest capacity from which an instance is preferred for special roles.
constexpr double preferredShareOfLargest = 0.5;

/// @brief Returns the least capacity of the instances that are preferred for special roles.
///
/// Capacities count once those of more than half of the instances are known. With fewer, an
/// instance that has learnt few other capacities would take itself for one of the largest, and
/// during an upgrade most instances would take up the same role at once.
/// @param living Living instances.
/// @return Zero if all instances are alike, because too few capacities are known.
/// @complexity Linear in the number of instances, with a lookup for each.
double preferredCapacity(const std::vector<InstanceId> &living, const Capacities &capacities);

/// @brief Returns the living instances in the order in which they take up special roles: those
///        with at least half of the largest capacity in the order of their hashes, then the others
///        in the order of theirs. An unknown capacity next to known ones counts as small.
/// @complexity N log N in the number of instances.
std::vector<InstanceId> roleOrder(const std::vector<InstanceId> &living,
                                  const Capacities &capacities);

/// @brief Returns the living instances that are preferred for special roles, in the order in which
///        they take them up. Empty: all instances are alike.
/// @complexity N log N in the number of instances.
std::vector<InstanceId> preferredInstances(const std::vector<InstanceId> &living,
                                           const Capacities &capacities);

/// @brief Smallest and largest known capacity; zeros: all instances are alike.
struct CapacityRange
{
    double smallest = 0;
    double largest = 0;
};

/// @brief Returns the range of the capacities if they differ and those of more than half of the
///        living instances are known, else zeros.
/// @complexity Linear in the number of instances, with a lookup for each.
CapacityRange rangeOf(const std::vector<InstanceId> &living, const Capacities &capacities);

/// @brief Returns the cost of a relay through a peer, to choose the cheapest peer.
///
/// An instance knows its own relays only, and all instances that reach no target choose at the same
/// time. Where capacities differ, idle peers are therefore drawn in proportion to their capacity: a
/// fixed order would give the relays of all senders to the few large peers. A failure costs as much
/// as a request at the smallest instance, so that a large peer which cannot be reached is not
/// preferred because of its size. With equal or unknown capacities, the peer with the fewest
/// requests and failures is the cheapest one.
/// @param inFlight Relays of this instance in flight through the peer.
/// @param capacity Relative capacity of the peer; zero: unknown, counts as the smallest.
/// @param random Random number, uniform in [0, 1), drawn for each peer.
double relayCost(int inFlight, int failuresInRow, double capacity, const CapacityRange &range,
                 double random);

} // namespace egretmount::instance

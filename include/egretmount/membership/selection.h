#pragma once

#include <vector>

#include <egretmount/membership/instance_list.h>

namespace egretmount::membership {

/// @brief Number of platform watchers in each availability zone.
constexpr std::size_t watchersPerZone = 2;

/// @brief Number of peers that an instance sends heartbeats to.
constexpr std::size_t heartbeatFanout = 5;

/// @brief Number of peers that a new instance asks for their configuration before it is ready.
constexpr std::size_t startupFanout = 12;

/// @brief Returns true if an instance watches the platform for the others of its availability zone.
///
/// The watchers are the first `watchersPerZone` live instances of the zone by rendezvous hashing,
/// so all instances with the same list agree on them. Without a list, every instance watches.
/// @complexity Linear in the length of the list.
bool isPlatformWatcher(const InstanceList &list, const InstanceId &instance);

/// @brief Returns the first `count` other instances in the rendezvous order of an instance.
/// @complexity N log N in the length of the list.
std::vector<InstanceId> choosePeers(const InstanceList &list, const InstanceId &instance,
                                    std::size_t count);

/// @brief Returns true if `instance` is one of the heartbeat peers of `sender`.
/// @complexity Linear in the length of the list; stops early if it is not.
bool isHeartbeatPeerOf(const InstanceList &list, const InstanceId &instance,
                       const InstanceId &sender);

/// @brief Returns the instance that is responsible for a subject: the first live one in the
///        rendezvous order of the subject.
/// @return An empty id for a list without live instances.
/// @complexity Linear in the length of the list.
InstanceId chooseCoordinator(const InstanceList &list, std::string_view subject);

} // namespace egretmount::membership

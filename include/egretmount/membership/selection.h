#pragma once

#include <vector>

#include <egretmount/membership/instance_list.h>

namespace egretmount::membership {

/// @brief Platform watchers in each availability zone.
constexpr std::size_t watchersPerZone = 2;

/// @brief Peers that an instance sends heartbeats to.
constexpr std::size_t heartbeatFanout = 5;

/// @brief Peers that a fresh instance asks for their configuration before it is ready.
constexpr std::size_t startupFanout = 12;

/// @brief True if an instance watches the platform for the others of its availability zone.
///
/// The first live instances of a rendezvous order over the published list; every instance with the
/// same list gives the same answer. Without a list every instance watches.
/// @complexity Linear in the length of the list.
bool isPlatformWatcher(const InstanceList &list, const InstanceId &instance);

/// @brief The first `count` other instances in the rendezvous order of one instance.
/// @complexity N log N in the length of the list.
std::vector<InstanceId> choosePeers(const InstanceList &list, const InstanceId &instance,
                                    std::size_t count);

/// @brief True if `instance` is among the heartbeat peers that `sender` chooses.
/// @complexity Linear in the length of the list; stops early when it is not.
bool isHeartbeatPeerOf(const InstanceList &list, const InstanceId &instance, const InstanceId &sender);

/// @brief The instance that acts for all on one subject: the first live one of its rendezvous
/// order. @return An empty id for a list without live instances.
/// @complexity Linear in the length of the list.
InstanceId chooseCoordinator(const InstanceList &list, std::string_view subject);

} // namespace egretmount::membership

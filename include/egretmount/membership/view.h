#pragma once

#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/membership/instance_list.h>

namespace egretmount::membership {

/// @brief What this instance last heard of another one.
struct PeerView
{
    InstanceRun run;
    ZoneId zone;
    std::string httpAddress;
    Milliseconds lastHeard;
    ConfigVersion configVersion = 0;
    bool isDraining = false;
};

/// @brief Who there is, as this instance sees it: the platform's list and its own heartbeats.
struct MembershipState
{
    InstanceRun self;
    InstanceList listed;
    std::vector<PeerView> peers; ///< Sorted by instance.
};

/// @brief A peer not heard of for this long is suspected.
constexpr Milliseconds suspicionTimeout = Milliseconds(2'000);

/// @brief Takes in what a peer says of itself. A lower incarnation than the known one is ignored.
/// @return False if it was ignored.
/// @complexity Linear in the number of peers.
bool noteHeartbeat(MembershipState &state, const PeerView &heard);

/// @brief The last word of a peer. @return Null if it was never heard of.
const PeerView *findPeer(const MembershipState &state, const InstanceId &id);

/// @brief True if the peer was never heard of or is silent for `suspicionTimeout`.
bool isSuspected(const MembershipState &state, const InstanceId &id, Milliseconds now);

/// @brief Instances that callers may be sent to: listed as live, not draining, not suspected.
std::vector<ListedInstance> callableInstances(const MembershipState &state, bool isSelfDraining,
                                              Milliseconds now);

} // namespace egretmount::membership

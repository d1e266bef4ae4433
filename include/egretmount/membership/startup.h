#pragma once

#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/membership/instance_list.h>

namespace egretmount::membership {

/// @brief Progress of a new instance that waits for its peers before it serves.
///
/// It asks them for their configuration, because the configuration from the platform may be stale.
struct StartupState
{
    bool hasList = false;
    Milliseconds listedAt; ///< When the first list arrived.
    std::vector<InstanceId> awaited; ///< Peers that have not responded yet; sorted.
};

/// @brief Greatest time to wait for responses, from the first list on.
constexpr Milliseconds startupTimeout = Milliseconds(1'500);

/// @brief Selects the peers to ask from the first instance list; later lists have no effect.
void applyFirstList(StartupState &state, const InstanceList &list, const InstanceId &self,
                    Milliseconds now);

/// @brief Stops waiting for a peer. Call it once its configuration is known here or the peer cannot
///        be reached.
void markPeerDone(StartupState &state, const InstanceId &peer);

/// @brief Returns true once no peer is awaited or `startupTimeout` has passed.
bool isStartupComplete(const StartupState &state, Milliseconds now);

} // namespace egretmount::membership

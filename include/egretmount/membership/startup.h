#pragma once

#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/membership/instance_list.h>

namespace egretmount::membership {

/// @brief A fresh instance asks its peers for their configuration before it serves, so that a stale
/// platform cannot start it with an old one.
struct StartupState
{
    bool hasList = false;
    Milliseconds listedAt; ///< When the first list came.
    std::vector<InstanceId> awaited; ///< Peers without an answer so far; sorted.
};

/// @brief Time after which a peer without an answer is not waited for any more.
constexpr Milliseconds startupTimeout = Milliseconds(1'500);

/// @brief Takes the first instance list; later ones change nothing.
void applyFirstList(StartupState &state, const InstanceList &list, const InstanceId &self,
                   Milliseconds now);

/// @brief Notes that a peer's configuration is known here, or that the peer cannot be reached.
void markPeerDone(StartupState &state, const InstanceId &peer);

/// @brief True once every asked peer has answered or was waited for long enough.
bool isStartupComplete(const StartupState &state, Milliseconds now);

} // namespace egretmount::membership

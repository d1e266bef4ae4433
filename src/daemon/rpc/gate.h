#pragma once

#include <functional>
#include <string>

#include <kj/async.h>

#include <egretmount/membership/instance_list.h>

#include "rpc/peer.capnp.h"

namespace egretmount::rpc {

/// @brief What one end of a connection says of itself.
struct PeerIdentity
{
    InstanceRun run;
    ZoneId zone;
    std::string httpAddress;
    std::string rpcAddress;
};

/// @brief Reads and writes identities.
PeerIdentity readIdentity(wire::Identity::Reader reader);
void writeIdentity(const PeerIdentity &identity, wire::Identity::Builder builder);
InstanceRun readRun(wire::InstanceRun::Reader reader);
void writeRun(const InstanceRun &run, wire::InstanceRun::Builder builder);

/// @brief Makes the `Peer` capability for a proven caller.
using PeerFactory = std::function<wire::Peer::Client(const PeerIdentity &caller)>;

/// @brief The bootstrap capability of an instance: it hands out a `Peer` after a proof of the key.
/// @param fleetKey Secret that all instances share.
wire::Gate::Client makeGate(std::string fleetKey, PeerFactory factory);

/// @brief Proves the fleet key to the other end and demands the same proof from it.
/// @return The other end's `Peer`; rejected if either proof fails.
kj::Promise<wire::Peer::Client> authenticatePeer(wire::Gate::Client gate, std::string fleetKey,
                                          PeerIdentity self);

} // namespace egretmount::rpc

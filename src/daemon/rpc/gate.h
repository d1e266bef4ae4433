#pragma once

#include <functional>
#include <string>

#include <kj/async.h>

#include <egretmount/membership/instance_list.h>

#include "rpc/peer.capnp.h"

namespace egretmount::rpc {

/// @brief Identity that an instance states for itself in the handshake.
struct PeerIdentity
{
    InstanceRun run;
    ZoneId zone;
    std::string httpAddress;
    std::string rpcAddress;
};

/// @brief Converts identities and instance runs from and to their Cap'n Proto form.
PeerIdentity readIdentity(wire::Identity::Reader reader);
void writeIdentity(const PeerIdentity &identity, wire::Identity::Builder builder);
InstanceRun readRun(wire::InstanceRun::Reader reader);
void writeRun(const InstanceRun &run, wire::InstanceRun::Builder builder);

/// @brief Creates the `Peer` capability for an authenticated caller.
using PeerFactory = std::function<wire::Peer::Client(const PeerIdentity &caller)>;

/// @brief Creates the bootstrap capability of an instance. It grants the `Peer` capability to
///        callers that prove knowledge of the fleet key.
/// @param fleetKey Secret that all instances share.
wire::Gate::Client makeGate(std::string fleetKey, PeerFactory factory);

/// @brief Performs the client side of the handshake, in which both sides prove knowledge of the
///        fleet key.
/// @return A promise for the `Peer` capability of the other instance; rejected if either proof is
///        wrong.
kj::Promise<wire::Peer::Client> authenticatePeer(wire::Gate::Client gate, std::string fleetKey,
                                                 PeerIdentity self);

} // namespace egretmount::rpc

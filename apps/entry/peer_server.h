#pragma once

#include "kernel/service.h"
#include "rpc/gate.h"

namespace egretmount::entry {

/// @brief Makes the capability that a proven peer calls; it passes calls on to the services.
wire::Peer::Client makePeerServer(kernel::ServiceRegistry &registry,
                                  const rpc::PeerIdentity &caller);

} // namespace egretmount::entry

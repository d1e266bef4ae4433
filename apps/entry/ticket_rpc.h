#pragma once

#include <egretmount/runonce/ticket.h>
#include <egretmount/runonce/witness.h>

#include "rpc/peer.capnp.h"

namespace egretmount::entry {

/// @brief Reads and writes tickets and answers of the protocol between instances.
runonce::Ticket readTicket(wire::Ticket::Reader reader);
void writeTicket(const runonce::Ticket &ticket, wire::Ticket::Builder builder);
runonce::WitnessAnswer fromWire(wire::WitnessAnswer answer);
wire::WitnessAnswer toWire(runonce::WitnessAnswer answer);

} // namespace egretmount::entry

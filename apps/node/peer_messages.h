#pragma once

#include <string>
#include <vector>

#include <capnp/message.h>

#include <egretmount/core/clock.h>
#include <egretmount/membership/roster.h>
#include <egretmount/placement/ledger.h>

#include "peer_message.capnp.h"

namespace egretmount::node {

/// @brief The bytes of a message for one datagram.
std::string serializePacked(capnp::MallocMessageBuilder &builder);

/// @brief Fills in what is known of instances.
void writeMembers(wire::PeerMessage::Builder message, const std::vector<membership::RosterEntry> &records);
std::vector<membership::RosterEntry> readMembers(wire::PeerMessage::Reader message);

/// @brief Fills in which instances are silent.
void writeSuspicions(wire::PeerMessage::Builder message, const std::vector<membership::SilenceClaim> &suspicions);
std::vector<membership::SilenceClaim> readSuspicions(wire::PeerMessage::Reader message);

/// @brief Fills in works and waiting works. Times become ages: clocks of instances differ.
void writeRequests(wire::PeerMessage::Builder message, const std::vector<const placement::Work *> &inFlight,
                const std::vector<const placement::WaitingWork *> &queued, Milliseconds now);

/// @brief Reads a work of another instance into this one's time.
placement::Work readInFlight(wire::InFlightRequest::Reader in, const std::string &owner, Milliseconds now);

/// @brief Reads a waiting work of another instance into this one's time.
placement::WaitingWork readQueued(wire::QueuedRequest::Reader in, const std::string &owner,
                                   Milliseconds now);

} // namespace egretmount::node

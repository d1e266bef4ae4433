#pragma once

#include <string>
#include <vector>

#include <capnp/message.h>

#include <egretmount/core/clock.h>
#include <egretmount/membership/member_list.h>
#include <egretmount/placement/ledger.h>

#include "peer_news.capnp.h"

namespace egretmount::node {

/// @brief The bytes of a message for one datagram.
std::string serialized(capnp::MallocMessageBuilder &message);

/// @brief Fills in what is known of instances.
void writeRoster(wire::News::Builder news, const std::vector<membership::MemberRecord> &entries);
std::vector<membership::MemberRecord> readRoster(wire::News::Reader news);

/// @brief Fills in which instances are silent.
void writeClaims(wire::News::Builder news, const std::vector<membership::Suspicion> &claims);
std::vector<membership::Suspicion> readClaims(wire::News::Reader news);

/// @brief Fills in works and waiting works. Times become ages: clocks of instances differ.
void writeWorks(wire::News::Builder news, const std::vector<const placement::Work *> &works,
                const std::vector<const placement::WaitingWork *> &waiting, Milliseconds now);

/// @brief Reads a work of another instance into this one's time.
placement::Work readWork(wire::PlacedWork::Reader in, const std::string &owner, Milliseconds now);

/// @brief Reads a waiting work of another instance into this one's time.
placement::WaitingWork readWaiting(wire::WaitingWork::Reader in, const std::string &owner,
                                   Milliseconds now);

} // namespace egretmount::node

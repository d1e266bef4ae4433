#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <capnp/message.h>

#include <egretmount/core/clock.h>
#include <egretmount/membership/member_list.h>
#include <egretmount/placement/load_tracker.h>

#include "crash_update.h"
#include "peer_message.capnp.h"
#include "target_limit_news.h"

namespace egretmount::node {

/// @brief Serializes a message in the packed encoding, as the payload of one datagram.
std::string serializePacked(capnp::MallocMessageBuilder &builder);

/// @brief Returns a duration in milliseconds as a message field; too short or long ones are
/// clamped.
std::uint32_t durationField(Milliseconds duration);

/// @brief Writes the member records of a membership message.
void writeMembers(wire::PeerMessage::Builder message,
                  const std::vector<membership::MemberRecord> &records);

/// @brief Returns the member records of a message.
std::vector<membership::MemberRecord> readMembers(wire::PeerMessage::Reader message);

/// @brief Writes the instances that the sender suspects to have failed.
void writeSuspicions(wire::PeerMessage::Builder message,
                     const std::vector<membership::Suspicion> &suspicions);

/// @brief Returns the suspicions of a message.
std::vector<membership::Suspicion> readSuspicions(wire::PeerMessage::Reader message);

/// @brief Writes in-flight and queued requests.
///
/// Points in time become durations relative to `now` because the clocks of instances differ.
void writeRequests(wire::PeerMessage::Builder message,
                   const std::vector<const placement::InFlightRequest *> &inFlight,
                   const std::vector<const placement::QueuedRequest *> &queued, Milliseconds now);

/// @brief Reads an in-flight request of another instance, with times on this instance's clock.
/// @param owner The host that placed the request.
placement::InFlightRequest readInFlight(wire::InFlightRequest::Reader in, const std::string &owner,
                                        Milliseconds now);

/// @brief Reads a queued request of another instance, with times on this instance's clock.
/// @param owner The host on which the request is queued.
placement::QueuedRequest readQueued(wire::QueuedRequest::Reader in, const std::string &owner,
                                    Milliseconds now);

/// @brief Writes what the sender knows of requests that crash targets.
void writeCrashUpdate(wire::PeerMessage::Builder message, const CrashUpdate &update,
                      Milliseconds now);

/// @brief Reads what another instance knows of requests that crash targets, with times on this
///        instance's clock.
CrashUpdate readCrashUpdate(wire::PeerMessage::Reader message, Milliseconds now);

/// @brief Writes the rate limits of targets, and ends of limits.
void writeLimits(wire::PeerMessage::Builder message, const std::vector<TargetLimitNews> &limits,
                 Milliseconds now);

/// @brief Reads the rate limits of targets, with times on this instance's clock.
std::vector<TargetLimitNews> readLimits(wire::PeerMessage::Reader message, Milliseconds now);

} // namespace egretmount::node

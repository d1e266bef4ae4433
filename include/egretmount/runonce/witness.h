#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/runonce/ticket.h>

namespace egretmount::runonce {

/// @brief Answer of a witness to a request for a permit or a void.
enum class WitnessAnswer {
    Granted, ///< The permit; given once for a ticket.
    Voided, ///< The ticket will never get a permit.
    AlreadyPermitted, ///< The permit was given before.
    Unknown, ///< Another run of the witness was meant, or it has forgotten the ticket.
};

/// @brief What a witness has answered about one ticket.
struct WitnessRecord
{
    bool isVoided = false;
    Milliseconds evictAt;
};

/// @brief The latest ticket of an instance that a witness has forgotten.
struct EvictionWatermark
{
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
};

/// @brief The permits and voids that this run of an instance has given.
///
/// A forgotten ticket, and every earlier one of the same issuer, is answered with `Unknown`, so
/// that forgetting is safe at any time and needs no agreement of clocks.
struct WitnessState
{
    InstanceRun self;
    std::map<TicketKey, WitnessRecord> records;
    std::deque<TicketKey> insertionOrder; ///< Keys of `records`, oldest first.
    std::map<InstanceId, EvictionWatermark> watermarks;
    Incarnation incarnationWatermark =
        0; ///< Runs of issuers up to this number are forgotten as a whole.
};

/// @brief Most tickets that a witness remembers.
constexpr std::size_t maxWitnessRecords = 100'000;

/// @brief Most issuers of which a witness remembers what it has forgotten.
constexpr std::size_t maxWatermarks = 4'096;

/// @brief Answers the issuer's request for a permit. Only `Granted` is a permit.
/// @complexity Logarithmic in the number of records.
WitnessAnswer requestPermit(WitnessState &state, const Ticket &ticket, Milliseconds now);

/// @brief Answers any instance's request to void a ticket. @return Never `Granted`.
/// @complexity Logarithmic in the number of records.
WitnessAnswer voidTicket(WitnessState &state, const Ticket &ticket, Milliseconds now);

/// @brief Forgets the oldest record; tickets up to it are unknown from now on.
/// @pre There is a record.
void evictOldest(WitnessState &state);

/// @brief Forgets records whose time has come. Call it from time to time.
void expireRecords(WitnessState &state, Milliseconds now);

} // namespace egretmount::runonce

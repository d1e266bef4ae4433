#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/runonce/ticket.h>

namespace egretmount::runonce {

/// @brief A witness's answer to a request to permit or to void a call.
enum class WitnessAnswer {
    Granted, ///< The call may be executed. Given at most once for each ticket.
    Voided, ///< The call never gets a permit.
    AlreadyPermitted, ///< The permit was given to an earlier request.
    /// The ticket names another run of the witness, or its record was evicted.
    Unknown,
};

/// @brief A witness's record of one ticket.
struct WitnessRecord
{
    bool isVoided = false; ///< False if the permit was given.
    Milliseconds evictAt; ///< The record is removed after this time.
};

/// @brief The latest ticket of an issuer whose record was evicted.
struct EvictionWatermark
{
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
};

/// @brief The permits and voids that this run of an instance has given.
///
/// For each issuer, the witness keeps a watermark: the latest ticket whose record was evicted. It
/// answers requests about that ticket and all earlier ones with `Unknown`. Records can therefore be
/// evicted at any time, and the clocks of the instances need not agree.
struct WitnessState
{
    InstanceRun self;
    std::map<TicketKey, WitnessRecord> records;
    std::deque<TicketKey> insertionOrder; ///< Keys of `records`, oldest first.
    std::map<InstanceId, EvictionWatermark> watermarks; ///< By issuer.
    /// All tickets of issuers with an incarnation up to this one are treated as evicted. It rises
    /// when a watermark is removed because there are more than `maxWatermarks`.
    Incarnation incarnationWatermark = 0;
};

/// @brief Maximum number of records of a witness; a new record then evicts the oldest one.
constexpr std::size_t maxWitnessRecords = 100'000;

/// @brief Maximum number of issuers for which a witness keeps a watermark.
constexpr std::size_t maxWatermarks = 4'096;

/// @brief Answers the issuer's request for a permit. Only `Granted` permits the call.
/// @complexity Logarithmic in the number of records.
WitnessAnswer requestPermit(WitnessState &state, const Ticket &ticket, Milliseconds now);

/// @brief Answers an instance's request to void a ticket. Any instance may send one.
/// @return Any answer but `Granted`.
/// @complexity Logarithmic in the number of records.
WitnessAnswer voidTicket(WitnessState &state, const Ticket &ticket, Milliseconds now);

/// @brief Evicts the oldest record. Requests about its ticket and earlier ones of the same issuer
///        are answered with `Unknown` from then on.
/// @pre There is a record.
void evictOldest(WitnessState &state);

/// @brief Evicts the records that have passed `evictAt`. Must be called periodically.
void expireRecords(WitnessState &state, Milliseconds now);

} // namespace egretmount::runonce

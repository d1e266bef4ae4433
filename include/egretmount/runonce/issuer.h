#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <egretmount/core/clock.h>
#include <egretmount/core/error.h>
#include <egretmount/core/ids.h>
#include <egretmount/runonce/ticket.h>
#include <egretmount/runonce/witness.h>

namespace egretmount::runonce {

/// @brief The response of a target to a call.
struct CallResponse
{
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    TargetId target;
};

/// @brief The phases of the call that belongs to a ticket.
enum class CallPhase {
    Issued, ///< The ticket was not used yet.
    Running, ///< A target is being selected; nothing was sent.
    AwaitingPermit, ///< The witness was asked for the permit; nothing was sent.
    Dispatched, ///< A target may have received the call.
    Finished, ///< The result is stored and does not change any more.
};

/// @brief The issuer's record of one ticket.
struct CallRecord
{
    CallPhase phase = CallPhase::Issued;
    Milliseconds expiry; ///< The ticket cannot start a call after this time.
    Milliseconds evictAt; ///< The record of an unused ticket or finished call is removed then.
    Milliseconds permitRequestedAt;
    std::uint64_t fingerprint = 0; ///< Hash of the call; a ticket is valid for one call only.
    std::optional<Result<CallResponse>> result; ///< Set once finished.
};

/// @brief The tickets that this run of the instance has issued.
struct IssuerState
{
    InstanceRun self;
    Milliseconds lifetime; ///< Time from issue to expiry of new tickets.
    std::uint64_t lastSequence = 0;
    std::map<std::uint64_t, CallRecord> records;
    std::size_t storedBytes = 0; ///< Total size of the stored response bodies.
};

/// @brief Maximum number of ticket records. No tickets are issued while it is reached.
constexpr std::size_t maxOpenTickets = 50'000;

/// @brief Maximum size of the stored response bodies; those of the oldest tickets are dropped
///        first.
constexpr std::size_t maxStoredBytes = 64UL << 20U;

/// @brief Time after requesting a permit during which the call may be sent.
constexpr Milliseconds permitValidity = Milliseconds(2'000);

/// @brief Minimum time for which the result of a finished call is kept.
constexpr Milliseconds minResultRetention = Milliseconds(30'000);

/// @brief How to handle a request that carries a ticket.
enum class BeginKind {
    Start, ///< This request executes the call.
    Join, ///< Another request executes the call; wait for its result.
    Stored, ///< Respond with the stored result.
};

struct BeginDecision
{
    BeginKind kind = BeginKind::Stored;
    Result<CallResponse> result; ///< Valid only for `Stored`.
};

/// @brief Issues a ticket.
/// @param witness If its instance is empty, there is no witness and the call needs no permit.
/// @return The ticket, or `Overloaded` if there are `maxOpenTickets` records already.
Result<Ticket> issueTicket(IssuerState &state, const TeamId &team, const ServiceId &service,
                           const InstanceRun &witness, Milliseconds now);

/// @brief Decides how to handle a request with a ticket of this run. Only the first request may
///        start the call.
/// @pre The issuer of the ticket is this run, and the ticket was decoded with the fleet key.
/// @param fingerprint Hash of the call, to detect that the ticket was used for another one.
/// @complexity Logarithmic in the number of open tickets.
BeginDecision begin(IssuerState &state, const Ticket &ticket, std::uint64_t fingerprint,
                    Milliseconds now);

/// @brief Records that the witness is being asked for the permit.
void onPermitRequested(IssuerState &state, std::uint64_t sequence, Milliseconds now);

/// @brief Processes the witness's answer. A late answer, for example after a pause of the process,
///        gives no permit.
/// @return The time until which the call may be sent, or an empty value if it must not be sent.
std::optional<Milliseconds> onWitnessAnswer(IssuerState &state, std::uint64_t sequence,
                                            WitnessAnswer answer, Milliseconds now);

/// @brief Stores the result of a call, unless it has one already.
void finish(IssuerState &state, std::uint64_t sequence, const Result<CallResponse> &result,
            Milliseconds now);

/// @brief Removes the records that have passed `evictAt`. Records of running calls are kept.
void expireTickets(IssuerState &state, Milliseconds now);

} // namespace egretmount::runonce

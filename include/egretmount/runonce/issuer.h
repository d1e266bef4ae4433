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

/// @brief The answer of a target to a call.
struct CallResponse
{
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    TargetId target;
};

/// @brief How far the call of a ticket has come.
enum class CallPhase {
    Issued, ///< Nobody has used the ticket.
    Running, ///< Looks for a target; nothing was sent.
    AwaitingPermit,
    Dispatched, ///< A target may have received it.
    Finished, ///< The result stands and never changes.
};

/// @brief What the issuer knows of one ticket.
struct CallRecord
{
    CallPhase phase = CallPhase::Issued;
    Milliseconds expiry;
    Milliseconds evictAt;
    Milliseconds permitRequestedAt;
    std::uint64_t fingerprint = 0; ///< Hash of the call, so that a ticket serves one call alone.
    std::optional<Result<CallResponse>> result; ///< Set once finished.
};

/// @brief The tickets that this run of an instance has issued.
struct IssuerState
{
    InstanceRun self;
    Milliseconds lifetime; ///< Of new tickets.
    std::uint64_t lastSequence = 0;
    std::map<std::uint64_t, CallRecord> records;
    std::size_t storedBytes = 0; ///< Bodies of stored answers.
};

/// @brief Most tickets that are remembered at one time; further ones are refused.
constexpr std::size_t maxOpenTickets = 50'000;

/// @brief Most bytes of stored answers; the oldest bodies are dropped first.
constexpr std::size_t maxStoredBytes = 64UL << 20U;

/// @brief A permit is good for this long after it was asked for.
constexpr Milliseconds permitValidity = Milliseconds(2'000);

/// @brief A finished call is remembered at least this long.
constexpr Milliseconds minResultRetention = Milliseconds(30'000);

/// @brief What to do with a request that carries a ticket.
enum class BeginKind {
    Start, ///< This request executes the call.
    Join, ///< The call is running: wait for its result.
    Stored, ///< The result is known.
};

struct BeginDecision
{
    BeginKind kind = BeginKind::Stored;
    Result<CallResponse> result; ///< For `Stored`.
};

/// @brief Issues a ticket.
/// @param witness Empty: none; the call then needs no permit.
/// @return The ticket, or `Overloaded` if too many are open.
Result<Ticket> issueTicket(IssuerState &state, const TeamId &team, const ServiceId &service,
                           const InstanceRun &witness, Milliseconds now);

/// @brief Decides on a request with a ticket of this run. Only the first one may start.
/// @pre The ticket's issuer is this run, and it was decoded under the fleet key.
/// @complexity Logarithmic in the number of open tickets.
BeginDecision begin(IssuerState &state, const Ticket &ticket, std::uint64_t fingerprint,
                    Milliseconds now);

/// @brief Notes that the witness is asked for the permit.
void onPermitRequested(IssuerState &state, std::uint64_t sequence, Milliseconds now);

/// @brief Takes in the witness's answer. An answer that comes late, as after a pause of the
///        process, gives no permit.
/// @return The time until which the call may be sent, or nothing if it must not be sent.
std::optional<Milliseconds> onWitnessAnswer(IssuerState &state, std::uint64_t sequence,
                                            WitnessAnswer answer, Milliseconds now);

/// @brief Stores the result of a call. The first result stands.
void finish(IssuerState &state, std::uint64_t sequence, const Result<CallResponse> &result,
            Milliseconds now);

/// @brief Forgets tickets whose time has come. Calls that are running are kept.
void expireTickets(IssuerState &state, Milliseconds now);

} // namespace egretmount::runonce

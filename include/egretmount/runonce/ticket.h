#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <egretmount/core/clock.h>
#include <egretmount/core/error.h>
#include <egretmount/core/ids.h>

namespace egretmount::runonce {

/// @brief Permits at most one execution of a call that must not be repeated.
struct Ticket
{
    InstanceRun issuer; ///< Only this run of the instance may dispatch the call.
    std::uint64_t sequence = 0; ///< Number of the ticket within that run, starting at one.
    TeamId team;
    ServiceId service;
    InstanceRun witness; ///< Gives the permit. If its instance is empty, no permit is needed.
    /// Time on the issuer's monotonic clock, which other instances must not compare with their own.
    Milliseconds expiry;
    Milliseconds lifetime; ///< Time from issue to expiry.

    bool hasWitness() const { return !witness.instance.isEmpty(); }
};

/// @brief Identifies a ticket.
struct TicketKey
{
    InstanceRun issuer;
    std::uint64_t sequence = 0;

    friend bool operator<(const TicketKey &a, const TicketKey &b)
    {
        return std::tie(a.issuer, a.sequence) < std::tie(b.issuer, b.sequence);
    }
};

/// @brief Returns the key that identifies a ticket.
TicketKey keyOf(const Ticket &ticket);

/// @brief Maximum length of an encoded ticket, in bytes.
constexpr std::size_t maxTicketBytes = 1'024;

/// @brief Encodes a ticket as an HTTP header value with a MAC computed with the fleet key.
/// @complexity Linear in the length of the names.
std::string encodeTicket(const Ticket &ticket, std::string_view fleetKey);

/// @brief Decodes a ticket that an instance with the same fleet key has encoded.
/// @return The ticket, or `TicketInvalid` with verdict `NotRun` if the text is malformed or its MAC
///         does not match.
/// @complexity Linear in the length of the text.
Result<Ticket> decodeTicket(std::string_view text, std::string_view fleetKey);

} // namespace egretmount::runonce

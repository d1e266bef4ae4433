#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <egretmount/core/clock.h>
#include <egretmount/core/error.h>
#include <egretmount/core/ids.h>

namespace egretmount::runonce {

/// @brief The right to one execution of one call that may not be repeated.
struct Ticket
{
    InstanceRun issuer; ///< The only run of an instance that may dispatch the call.
    std::uint64_t sequence = 0; ///< Counts the tickets of that run, from one.
    TeamId team;
    ServiceId service;
    InstanceRun witness; ///< Gives the permit; an empty instance: no permit is needed.
    Milliseconds expiry; ///< On the issuer's monotonic clock; no other instance may compare it.
    Milliseconds lifetime; ///< Time from issue to expiry.

    bool hasWitness() const { return !witness.instance.isEmpty(); }
};

/// @brief Identity of a ticket.
struct TicketKey
{
    InstanceRun issuer;
    std::uint64_t sequence = 0;

    friend bool operator<(const TicketKey &a, const TicketKey &b)
    {
        return std::tie(a.issuer, a.sequence) < std::tie(b.issuer, b.sequence);
    }
};

/// @brief The identity of a ticket.
TicketKey keyOf(const Ticket &ticket);

/// @brief Greatest length of the text of a ticket, in bytes.
constexpr std::size_t maxTicketBytes = 1'024;

/// @brief Writes a ticket as one header value, authenticated under the fleet key.
/// @complexity Linear in the length of its names.
std::string encodeTicket(const Ticket &ticket, std::string_view fleetKey);

/// @brief Reads a ticket that an instance with the same fleet key has written.
/// @return The ticket, or `TicketInvalid` with verdict `NotRun` for any other text.
/// @complexity Linear in the length of the text.
Result<Ticket> decodeTicket(std::string_view text, std::string_view fleetKey);

} // namespace egretmount::runonce

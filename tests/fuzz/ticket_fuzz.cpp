// Fuzz target: checks that arbitrary bytes are never accepted as a signed ticket, and that tickets
// with arbitrary names are equal after encoding and decoding.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <egretmount/runonce/ticket.h>

using namespace egretmount;

namespace {

constexpr std::string_view key = "fuzz key";

runonce::Ticket makeTicket(std::string_view text)
{
    runonce::Ticket ticket;
    const std::size_t third = text.size() / 3;
    ticket.issuer = { InstanceId(std::string(text.substr(0, third))), text.size() };
    ticket.sequence = text.size();
    ticket.team = TeamId(std::string(text.substr(third, third)));
    ticket.service = ServiceId(std::string(text.substr(2 * third)));
    return ticket;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    if (runonce::decodeTicket(text, key))
        std::abort(); // a forged ticket was accepted
    const runonce::Ticket ticket = makeTicket(text);
    const std::string encoded = runonce::encodeTicket(ticket, key);
    const Result<runonce::Ticket> decoded = runonce::decodeTicket(encoded, key);
    const bool roundTrips = decoded && decoded->issuer == ticket.issuer
                            && decoded->team == ticket.team && decoded->service == ticket.service;
    if (encoded.size() <= runonce::maxTicketBytes && !roundTrips)
        std::abort();
    return 0;
}

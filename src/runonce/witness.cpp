#include <egretmount/runonce/witness.h>

#include <algorithm>
#include <tuple>

namespace egretmount::runonce {

namespace {

bool isEvicted(const WitnessState &state, const Ticket &ticket)
{
    if (ticket.issuer.incarnation <= state.incarnationWatermark)
        return true;
    const auto found = state.watermarks.find(ticket.issuer.instance);
    if (found == state.watermarks.end())
        return false;
    const EvictionWatermark &last = found->second;
    return std::tie(ticket.issuer.incarnation, ticket.sequence)
           <= std::tie(last.incarnation, last.sequence);
}

// Raises the watermark of the ticket's issuer. If there are too many watermarks, removes the one
// with the lowest incarnation and raises `incarnationWatermark` to it, so that none of its tickets
// can get a second permit.
void recordEviction(WitnessState &state, const TicketKey &key)
{
    EvictionWatermark &last = state.watermarks[key.issuer.instance];
    if (std::tie(last.incarnation, last.sequence) < std::tie(key.issuer.incarnation, key.sequence))
        last = { key.issuer.incarnation, key.sequence };
    if (state.watermarks.size() <= maxWatermarks)
        return;
    using Row = std::pair<const InstanceId, EvictionWatermark>;
    const auto oldest = std::min_element(
        state.watermarks.begin(), state.watermarks.end(),
        [](const Row &a, const Row &b) { return a.second.incarnation < b.second.incarnation; });
    state.incarnationWatermark = std::max(state.incarnationWatermark, oldest->second.incarnation);
    state.watermarks.erase(oldest);
}

// The first request about a ticket decides whether its call is permitted or voided. All later
// requests are answered from the record.
WitnessAnswer decide(WitnessState &state, const Ticket &ticket, bool isVoid, Milliseconds now)
{
    if (ticket.witness != state.self || isEvicted(state, ticket))
        return WitnessAnswer::Unknown;
    const TicketKey key = keyOf(ticket);
    const auto known = state.records.find(key);
    if (known != state.records.end())
        return known->second.isVoided ? WitnessAnswer::Voided : WitnessAnswer::AlreadyPermitted;
    if (state.records.size() >= maxWitnessRecords)
        evictOldest(state);
    state.records[key] = { isVoid, now + ticket.lifetime };
    state.insertionOrder.push_back(key);
    return isVoid ? WitnessAnswer::Voided : WitnessAnswer::Granted;
}

} // namespace

WitnessAnswer requestPermit(WitnessState &state, const Ticket &ticket, Milliseconds now)
{
    return decide(state, ticket, false, now);
}

WitnessAnswer voidTicket(WitnessState &state, const Ticket &ticket, Milliseconds now)
{
    return decide(state, ticket, true, now);
}

void evictOldest(WitnessState &state)
{
    recordEviction(state, state.insertionOrder.front());
    state.records.erase(state.insertionOrder.front());
    state.insertionOrder.pop_front();
}

void expireRecords(WitnessState &state, Milliseconds now)
{
    while (!state.insertionOrder.empty()
           && state.records[state.insertionOrder.front()].evictAt <= now)
        evictOldest(state);
}

} // namespace egretmount::runonce

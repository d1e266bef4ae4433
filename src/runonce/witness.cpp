#include <egretmount/runonce/witness.h>

#include <algorithm>
#include <tuple>

namespace egretmount::runonce {

namespace {

bool isForgotten(const WitnessState &state, const Ticket &ticket)
{
    if (ticket.issuer.incarnation <= state.forgottenRuns)
        return true;
    const auto found = state.forgotten.find(ticket.issuer.instance);
    if (found == state.forgotten.end())
        return false;
    const ForgottenTicket &last = found->second;
    return std::tie(ticket.issuer.incarnation, ticket.sequence)
           <= std::tie(last.incarnation, last.sequence);
}

void noteForgotten(WitnessState &state, const TicketKey &key)
{
    ForgottenTicket &last = state.forgotten[key.issuer.instance];
    if (std::tie(last.incarnation, last.sequence) < std::tie(key.issuer.incarnation, key.sequence))
        last = { key.issuer.incarnation, key.sequence };
    if (state.forgotten.size() <= maxForgottenIssuers)
        return;
    using Row = std::pair<const InstanceId, ForgottenTicket>;
    const auto oldest = std::min_element(
        state.forgotten.begin(), state.forgotten.end(),
        [](const Row &a, const Row &b) { return a.second.incarnation < b.second.incarnation; });
    state.forgottenRuns = std::max(state.forgottenRuns, oldest->second.incarnation);
    state.forgotten.erase(oldest);
}

// The first answer about a ticket is kept; a later question gets the same one.
WitnessAnswer decide(WitnessState &state, const Ticket &ticket, bool isVoid, Milliseconds now)
{
    if (ticket.witness != state.self || isForgotten(state, ticket))
        return WitnessAnswer::Unknown;
    const TicketKey key = keyOf(ticket);
    const auto known = state.records.find(key);
    if (known != state.records.end())
        return known->second.isVoided ? WitnessAnswer::Voided : WitnessAnswer::AlreadyPermitted;
    if (state.records.size() >= maxWitnessRecords)
        forgetOldest(state);
    state.records[key] = { isVoid, now + ticket.lifetime };
    state.order.push_back(key);
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

void forgetOldest(WitnessState &state)
{
    noteForgotten(state, state.order.front());
    state.records.erase(state.order.front());
    state.order.pop_front();
}

void expireRecords(WitnessState &state, Milliseconds now)
{
    while (!state.order.empty() && state.records[state.order.front()].forgetAt <= now)
        forgetOldest(state);
}

} // namespace egretmount::runonce

#include <egretmount/credit/lending.h>

namespace egretmount::credit {

namespace {

// Ends a gathering without success: the own part is free again.
GatherStep abandon(EscrowState &state, const RequestId &id)
{
    GatherStep step;
    step.request = id;
    state.gatherings.erase(id);
    const auto found = state.flights.find(id);
    if (found == state.flights.end())
        return step;
    Flight &flight = found->second;
    if (Account *account = findAccount(state, flight.target))
        account->ownInUse = account->ownInUse - flight.ownPart;
    for (const Borrowed &loan : flight.loans)
        state.numbersInUse.erase(loan.number);
    step.returns = std::move(flight.loans);
    state.flights.erase(found);
    return step;
}

GatherStep complete(EscrowState &state, const RequestId &id, Milliseconds now)
{
    GatherStep step;
    step.state = GatherState::Complete;
    step.request = id;
    Flight &flight = state.flights[id];
    flight.since = now;
    if (Account *account = findAccount(state, flight.target))
        account->active = account->active + flight.ownPart + flight.borrowedPart;
    state.gatherings.erase(id);
    return step;
}

GatherStep askNext(EscrowState &state, const RequestId &id, Milliseconds now)
{
    Gathering &gathering = state.gatherings[id];
    const Account *account = findAccount(state, gathering.target);
    if (!account || gathering.lendersLeft.empty() || now >= gathering.useBy)
        return abandon(state, id);
    GatherStep step;
    step.state = GatherState::Asking;
    step.request = id;
    step.lender = gathering.lendersLeft.front();
    gathering.lendersLeft.erase(gathering.lendersLeft.begin());
    const std::uint64_t number = ++state.lastNumber;
    state.asks[number] = { id, step.lender, now };
    step.ask = { state.self,
                 number,
                 gathering.target,
                 gathering.missing,
                 gathering.request.deadline - now + state.settings.margin,
                 account->isCold };
    return step;
}

GatherStep ignore(const EscrowState &state, const InstanceId &lender, const CreditGrant &grant)
{
    GatherStep step;
    step.state = GatherState::Ignored;
    if (grant.isGranted && state.numbersInUse.count(grant.number) == 0)
        step.returns.push_back({ lender, grant.number });
    return step;
}

} // namespace

CreditGrant lend(EscrowState &state, const CreditRequest &request, Milliseconds now)
{
    const LoanKey key { request.borrower, request.number };
    const auto known = state.loans.find(key);
    if (known != state.loans.end()) {
        const Capacity &amount = known->second.amount;
        return { request.number, !isNothing(amount), amount };
    }
    Account *account = findAccount(state, request.target);
    // A borrower that knows the target to be cold knows more than a lender that takes it for warm.
    if (!account || (request.wantsCold && !account->isCold))
        return { request.number, false, {} };
    const Capacity amount = orZero(least(request.wanted, room(state, *account, now)));
    const bool lacksSlot = request.wanted.slots > 0 && amount.slots == 0;
    if (lacksSlot || isNothing(amount))
        return { request.number, false, {} };
    state.loans[key] = { request.target, amount, now, now + request.hold };
    account->lent = account->lent + amount;
    return { request.number, true, amount };
}

void takeBack(EscrowState &state, const LoanKey &key, const TargetId &target, Milliseconds now)
{
    const auto loan = state.loans.find(key);
    if (loan == state.loans.end()) {
        // The request may still be under way: a loan of nothing stands in its place.
        state.loans[key] = { target, {}, now, now + state.settings.holdOff };
        return;
    }
    if (Account *account = findAccount(state, loan->second.target))
        account->lent = account->lent - loan->second.amount;
    loan->second.amount = {};
}

GatherStep beginGathering(EscrowState &state, const TargetId &target, const Request &request,
                          std::vector<InstanceId> lenders, Milliseconds now)
{
    GatherStep failed;
    failed.request = request.id;
    Account *account = findAccount(state, target);
    if (!account || state.flights.count(request.id) > 0)
        return failed;
    const Capacity need = needOf(*account, request);
    if (!fitsInto(need, account->isCold ? account->coldCapacity : account->capacity))
        return failed;
    const Capacity own = least(need, room(state, *account, now));
    account->ownInUse = account->ownInUse + own;
    Flight flight { target, own, {}, now, request.deadline + state.settings.margin, {} };
    state.flights[request.id] = std::move(flight);
    state.gatherings[request.id] = { target, request, need - own, std::move(lenders),
                                     now + state.settings.grantUse };
    return isNothing(need - own) ? complete(state, request.id, now)
                                 : askNext(state, request.id, now);
}

GatherStep noteGrant(EscrowState &state, const InstanceId &lender, const CreditGrant &grant,
                     Milliseconds now)
{
    const auto ask = state.asks.find(grant.number);
    if (ask == state.asks.end() || ask->second.lender != lender)
        return ignore(state, lender, grant);
    const RequestId id = ask->second.request;
    state.asks.erase(ask);
    const auto found = state.gatherings.find(id);
    if (found == state.gatherings.end())
        return ignore(state, lender, grant);
    Gathering &gathering = found->second;
    Flight &flight = state.flights[id];
    if (grant.isGranted) {
        flight.loans.push_back({ lender, grant.number });
        state.numbersInUse.insert(grant.number);
    }
    if (now >= gathering.useBy)
        return abandon(state, id);
    if (grant.isGranted) {
        const Capacity used = least(grant.amount, gathering.missing);
        gathering.missing = gathering.missing - used;
        flight.borrowedPart = flight.borrowedPart + used;
    }
    return isNothing(gathering.missing) ? complete(state, id, now) : askNext(state, id, now);
}

GatherStep cancelGathering(EscrowState &state, const RequestId &request)
{
    GatherStep step;
    step.request = request;
    return state.gatherings.count(request) > 0 ? abandon(state, request) : step;
}

GatherStep noteNoAnswer(EscrowState &state, std::uint64_t number, Milliseconds now)
{
    const auto ask = state.asks.find(number);
    if (ask == state.asks.end())
        return ignore(state, {}, {});
    const RequestId id = ask->second.request;
    state.asks.erase(ask);
    return state.gatherings.count(id) > 0 ? askNext(state, id, now) : ignore(state, {}, {});
}

} // namespace egretmount::credit

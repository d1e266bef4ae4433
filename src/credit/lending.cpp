#include <egretmount/credit/lending.h>

namespace egretmount::credit {

namespace {

// Ends the borrowing without success: releases the own amount and returns the loans.
BorrowStep abortBorrow(EscrowState &state, const RequestId &id)
{
    BorrowStep step;
    step.request = id;
    state.pendingBorrows.erase(id);
    const auto found = state.reservations.find(id);
    if (found == state.reservations.end())
        return step;
    CapacityReservation &reservation = found->second;
    if (Account *account = findAccount(state, reservation.target))
        account->ownInUse = account->ownInUse - reservation.ownAmount;
    for (const LoanRef &loan : reservation.loans)
        state.loansInUse.erase(loan.number);
    step.returns = std::move(reservation.loans);
    state.reservations.erase(found);
    return step;
}

// Ends the borrowing with success: the reservation now counts as dispatched.
BorrowStep completeBorrow(EscrowState &state, const RequestId &id, Milliseconds now)
{
    BorrowStep step;
    step.state = BorrowState::Complete;
    step.request = id;
    CapacityReservation &reservation = state.reservations[id];
    reservation.reservedAt = now;
    if (Account *account = findAccount(state, reservation.target))
        account->dispatched =
            account->dispatched + reservation.ownAmount + reservation.borrowedAmount;
    state.pendingBorrows.erase(id);
    return step;
}

// Asks the next lender for the missing capacity. Aborts if none is left or the time is over.
BorrowStep requestFromNextLender(EscrowState &state, const RequestId &id, Milliseconds now)
{
    PendingBorrow &borrow = state.pendingBorrows[id];
    const Account *account = findAccount(state, borrow.target);
    if (!account || borrow.remainingLenders.empty() || now >= borrow.completeBy)
        return abortBorrow(state, id);
    BorrowStep step;
    step.state = BorrowState::SendRequest;
    step.request = id;
    step.lender = borrow.remainingLenders.front();
    borrow.remainingLenders.erase(borrow.remainingLenders.begin());
    const std::uint64_t number = ++state.lastRequestNumber;
    state.pendingCreditRequests[number] = { id, step.lender, now };
    step.creditRequest = { state.self,
                           number,
                           borrow.target,
                           borrow.missing,
                           borrow.request.deadline - now + state.settings.deadlineMargin,
                           account->isCold };
    return step;
}

// Returns the loan of a grant that matches no pending request, unless the grant is a duplicate of
// one that is in use.
BorrowStep ignoreGrant(const EscrowState &state, const InstanceId &lender, const CreditGrant &grant)
{
    BorrowStep step;
    step.state = BorrowState::Ignored;
    if (grant.isGranted && state.loansInUse.count(grant.number) == 0)
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
        return { request.number, !isNonPositive(amount), amount };
    }
    Account *account = findAccount(state, request.target);
    // The borrower may have learned before the lender that the target is cold. The lender then has
    // no valid share to lend from.
    if (!account || (request.wantsCold && !account->isCold))
        return { request.number, false, {} };
    const Capacity amount =
        clampToZero(componentMin(request.wanted, availableCapacity(state, *account, now)));
    const bool lacksSlot = request.wanted.slots > 0 && amount.slots == 0;
    if (lacksSlot || isNonPositive(amount))
        return { request.number, false, {} };
    state.loans[key] = { request.target, amount, now, now + request.hold };
    account->lent = account->lent + amount;
    return { request.number, true, amount };
}

void acceptReturn(EscrowState &state, const LoanKey &key, const TargetId &target, Milliseconds now)
{
    const auto loan = state.loans.find(key);
    if (loan == state.loans.end()) {
        // The credit request may still arrive. A tombstone with a zero amount makes `lend` refuse
        // it.
        state.loans[key] = { target, {}, now, now + state.settings.holdOff };
        return;
    }
    if (Account *account = findAccount(state, loan->second.target))
        account->lent = account->lent - loan->second.amount;
    loan->second.amount = {};
}

BorrowStep beginBorrow(EscrowState &state, const TargetId &target, const Request &request,
                       std::vector<InstanceId> lenders, Milliseconds now)
{
    BorrowStep failed;
    failed.request = request.id;
    Account *account = findAccount(state, target);
    if (!account || state.reservations.count(request.id) > 0)
        return failed;
    const Capacity need = requiredCapacity(*account, request);
    if (!fitsInto(need, account->isCold ? account->coldCapacity : account->capacity))
        return failed;
    const Capacity own = componentMin(need, availableCapacity(state, *account, now));
    account->ownInUse = account->ownInUse + own;
    CapacityReservation reservation {
        target, own, {}, now, request.deadline + state.settings.deadlineMargin, {}
    };
    state.reservations[request.id] = std::move(reservation);
    state.pendingBorrows[request.id] = { target, request, need - own, std::move(lenders),
                                         now + state.settings.grantValidity };
    return isNonPositive(need - own) ? completeBorrow(state, request.id, now)
                                     : requestFromNextLender(state, request.id, now);
}

BorrowStep onGrant(EscrowState &state, const InstanceId &lender, const CreditGrant &grant,
                   Milliseconds now)
{
    const auto pending = state.pendingCreditRequests.find(grant.number);
    if (pending == state.pendingCreditRequests.end() || pending->second.lender != lender)
        return ignoreGrant(state, lender, grant);
    const RequestId id = pending->second.request;
    state.pendingCreditRequests.erase(pending);
    const auto found = state.pendingBorrows.find(id);
    if (found == state.pendingBorrows.end())
        return ignoreGrant(state, lender, grant);
    PendingBorrow &borrow = found->second;
    CapacityReservation &reservation = state.reservations[id];
    if (grant.isGranted) {
        reservation.loans.push_back({ lender, grant.number });
        state.loansInUse.insert(grant.number);
    }
    if (now >= borrow.completeBy)
        return abortBorrow(state, id);
    if (grant.isGranted) {
        const Capacity used = componentMin(grant.amount, borrow.missing);
        borrow.missing = borrow.missing - used;
        reservation.borrowedAmount = reservation.borrowedAmount + used;
    }
    return isNonPositive(borrow.missing) ? completeBorrow(state, id, now)
                                         : requestFromNextLender(state, id, now);
}

BorrowStep cancelBorrow(EscrowState &state, const RequestId &request)
{
    BorrowStep step;
    step.request = request;
    return state.pendingBorrows.count(request) > 0 ? abortBorrow(state, request) : step;
}

BorrowStep onCreditRequestFailed(EscrowState &state, std::uint64_t number, Milliseconds now)
{
    const auto pending = state.pendingCreditRequests.find(number);
    if (pending == state.pendingCreditRequests.end())
        return ignoreGrant(state, {}, {});
    const RequestId id = pending->second.request;
    state.pendingCreditRequests.erase(pending);
    return state.pendingBorrows.count(id) > 0 ? requestFromNextLender(state, id, now)
                                              : ignoreGrant(state, {}, {});
}

} // namespace egretmount::credit

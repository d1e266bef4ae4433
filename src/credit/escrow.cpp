#include <egretmount/credit/escrow.h>

#include <algorithm>

namespace egretmount::credit {

namespace {

Takeover startTakeover(const EscrowSettings &settings, Milliseconds holdOffEndsAt)
{
    Takeover takeover;
    takeover.holdOffEndsAt = holdOffEndsAt;
    takeover.endsAt = holdOffEndsAt + settings.maxDeadline + settings.deadlineMargin;
    return takeover;
}

Capacity usableWarmCapacity(const Account &account, Milliseconds now)
{
    return account.confirmedShare
           + usableGain(account.takeover, account.share - account.confirmedShare, now);
}

Capacity usableColdCapacity(const Account &account, Milliseconds now)
{
    if (now >= account.leaseExpiresAt)
        return {};
    return usableGain(account.takeover, account.coldCapacity, now);
}

// Returns true while a report can still make more of the share usable.
bool needsReports(const Account &account, Milliseconds now)
{
    const bool isGuarded = account.isCold || !fitsInto(account.share, account.confirmedShare);
    return isGuarded && now < account.takeover.endsAt;
}

void setShare(const EscrowState &state, Account &account, const Capacity &share, Milliseconds now)
{
    if (account.isCold) {
        account.share = share;
        return;
    }
    account.confirmedShare = componentMin(usableWarmCapacity(account, now), share);
    account.share = share;
    if (!fitsInto(share, account.confirmedShare))
        account.takeover = startTakeover(state.settings, now + state.settings.holdOff);
}

// Returns the load of this instance that a report certainly includes: that of the requests which
// were sent before the report can have been made and have not ended.
Capacity ownLoadInReport(const EscrowState &state, const TargetId &target, Milliseconds receivedAt)
{
    Capacity own;
    for (const std::pair<const RequestId, CapacityReservation> &entry : state.reservations) {
        const CapacityReservation &reservation = entry.second;
        if (reservation.target == target
            && reservation.reservedAt <= receivedAt - state.settings.reportLag)
            own = own + reservation.ownAmount + reservation.borrowedAmount;
    }
    return own;
}

void evaluateReport(const EscrowState &state, const TargetId &target, Account &account,
                    Milliseconds now)
{
    if (!account.report || now < account.report->receivedAt + state.settings.reportLag)
        return;
    const Capacity own = ownLoadInReport(state, target, account.report->receivedAt);
    recordOthersLoad(account.takeover, clampToZero(account.report->used - own),
                     account.report->receivedAt);
    account.report.reset();
}

void restartTakeovers(EscrowState &state, Milliseconds now)
{
    for (std::pair<const TargetId, Account> &entry : state.accounts) {
        Account &account = entry.second;
        account.confirmedShare = {};
        account.leaseExpiresAt = Milliseconds();
        account.report.reset();
        account.takeover = startTakeover(state.settings, now + state.settings.holdOff);
    }
}

void clearLoansInUse(EscrowState &state, const CapacityReservation &reservation)
{
    for (const LoanRef &loan : reservation.loans)
        state.loansInUse.erase(loan.number);
}

// A target that was removed from the document and added again may still execute requests from
// before. Restores the sums of its account from the reservations, releases and loans.
void restoreUsage(const EscrowState &state, const TargetId &target, Account &account)
{
    for (const std::pair<const RequestId, CapacityReservation> &entry : state.reservations) {
        const CapacityReservation &reservation = entry.second;
        if (reservation.target != target)
            continue;
        account.ownInUse = account.ownInUse + reservation.ownAmount;
        if (state.pendingBorrows.count(entry.first) == 0)
            account.dispatched =
                account.dispatched + reservation.ownAmount + reservation.borrowedAmount;
    }
    for (const CapacityReservation &reservation : state.unconfirmedReleases) {
        if (reservation.target == target)
            account.ownInUse = account.ownInUse + reservation.ownAmount;
    }
    for (const std::pair<const LoanKey, Loan> &entry : state.loans) {
        if (entry.second.target == target)
            account.lent = account.lent + entry.second.amount;
    }
}

void expire(EscrowState &state, Milliseconds now)
{
    for (auto loan = state.loans.begin(); loan != state.loans.end();) {
        if (now < loan->second.endsAt) {
            ++loan;
            continue;
        }
        if (Account *account = findAccount(state, loan->second.target))
            account->lent = account->lent - loan->second.amount;
        loan = state.loans.erase(loan);
    }
    const auto hasEnded = [&state, now](const CapacityReservation &reservation) {
        if (now < reservation.endsAt)
            return false;
        clearLoansInUse(state, reservation);
        if (Account *account = findAccount(state, reservation.target))
            account->ownInUse = account->ownInUse - reservation.ownAmount;
        return true;
    };
    state.unconfirmedReleases.erase(std::remove_if(state.unconfirmedReleases.begin(),
                                                   state.unconfirmedReleases.end(), hasEnded),
                                    state.unconfirmedReleases.end());
}

} // namespace

void setTargets(EscrowState &state, const std::vector<config::Target> &targets,
                const ListedInstances &listedInstances, Milliseconds now)
{
    std::map<TargetId, Account> accounts;
    for (const config::Target &target : targets) {
        Account &account = accounts[target.id];
        const auto known = state.accounts.find(target.id);
        if (known != state.accounts.end())
            account = std::move(known->second);
        else
            restoreUsage(state, target.id, account);
        account.capacity = target.capacity;
        account.coldCapacity = target.coldCapacity;
        account.holders = listedInstances.topRanked(target.id, maxHolders);
        const auto self =
            std::find(account.holders.begin(), account.holders.end(), state.self.instance);
        const std::size_t rank = static_cast<std::size_t>(self - account.holders.begin());
        const Capacity share = self == account.holders.end()
                                   ? Capacity()
                                   : shareOf(target.capacity, rank, listedInstances.size());
        setShare(state, account, share, now);
    }
    state.accounts = std::move(accounts);
}

void tick(EscrowState &state, Milliseconds now)
{
    const Milliseconds gap = now - state.lastTick;
    state.lastTick = now;
    if (gap > state.settings.pauseThreshold)
        state.resumesAt = now + state.settings.listLag;
    // During the gap, a list that this instance has never read may have given its shares to others.
    if (gap > state.settings.holdOff - state.settings.listLag * 2)
        restartTakeovers(state, now);
    expire(state, now);
    for (std::pair<const TargetId, Account> &entry : state.accounts)
        evaluateReport(state, entry.first, entry.second, now);
}

void recordTargetLoad(EscrowState &state, const TargetId &target, const Capacity &used,
                      Milliseconds now)
{
    Account *account = findAccount(state, target);
    if (!account)
        return;
    account->hasReported = true;
    if (!needsReports(*account, now))
        return;
    evaluateReport(state, target, *account, now);
    if (!account->report)
        account->report = PendingReport { used, now };
}

void setCold(EscrowState &state, const TargetId &target, bool isCold, Milliseconds now)
{
    Account *account = findAccount(state, target);
    if (!account || account->isCold == isCold)
        return;
    const Capacity confirmedShare =
        isCold ? Capacity() : componentMin(usableColdCapacity(*account, now), account->share);
    account->isCold = isCold;
    account->confirmedShare = confirmedShare;
    account->leaseExpiresAt = Milliseconds();
    account->report.reset();
    account->takeover = startTakeover(state.settings, now + state.settings.holdOff);
}

void setLease(EscrowState &state, const TargetId &target, Milliseconds until, Milliseconds now)
{
    Account *account = findAccount(state, target);
    if (!account || !account->isCold)
        return;
    if (now >= account->leaseExpiresAt && now < until) {
        // Grants of the former holder may still be used for `grantValidity`. Only reports that were
        // made after that count, and a report may be as old as `reportLag` when it arrives.
        account->takeover = startTakeover(state.settings, now + state.settings.grantValidity
                                                              + state.settings.reportLag);
        account->report.reset();
    }
    account->leaseExpiresAt = until;
}

bool isPaused(const EscrowState &state, Milliseconds now)
{
    return now - state.lastTick > state.settings.pauseThreshold || now < state.resumesAt;
}

Capacity usableCapacity(const EscrowState &state, const Account &account, Milliseconds now)
{
    if (isPaused(state, now))
        return {};
    return account.isCold ? usableColdCapacity(account, now) : usableWarmCapacity(account, now);
}

Capacity availableCapacity(const EscrowState &state, const Account &account, Milliseconds now)
{
    return clampToZero(usableCapacity(state, account, now) - account.ownInUse - account.lent);
}

Capacity inFlightLimit(const EscrowState &state, const TargetId &target, Milliseconds now)
{
    const Account *account = findAccount(state, target);
    if (!account)
        return {};
    Capacity free = availableCapacity(state, *account, now);
    // Without tokens, no request can be sent, unless the target has no token limit.
    if (account->capacity.tokens > 0 && free.tokens == 0)
        free.slots = 0;
    return account->dispatched + free;
}

Capacity requiredCapacity(const Account &account, const Request &request)
{
    return { account.capacity.tokens > 0 ? request.memoryTokens() : 0, 1 };
}

bool reserve(EscrowState &state, const TargetId &target, const Request &request, Milliseconds now)
{
    Account *account = findAccount(state, target);
    if (!account || state.reservations.count(request.id) > 0)
        return false;
    const Capacity need = requiredCapacity(*account, request);
    if (!fitsInto(need, availableCapacity(state, *account, now)))
        return false;
    CapacityReservation reservation {
        target, need, {}, now, request.deadline + state.settings.deadlineMargin, {}
    };
    state.reservations[request.id] = std::move(reservation);
    account->ownInUse = account->ownInUse + need;
    account->dispatched = account->dispatched + need;
    return true;
}

std::vector<LoanRef> release(EscrowState &state, const RequestId &request, bool isCertain,
                             Milliseconds now)
{
    const auto found = state.reservations.find(request);
    if (found == state.reservations.end() || state.pendingBorrows.count(request) > 0)
        return {};
    const CapacityReservation reservation = found->second;
    state.reservations.erase(found);
    const bool isOver = isCertain || now >= reservation.endsAt;
    Account *account = findAccount(state, reservation.target);
    if (account) {
        account->dispatched =
            account->dispatched - reservation.ownAmount - reservation.borrowedAmount;
        if (isOver)
            account->ownInUse = account->ownInUse - reservation.ownAmount;
    }
    if (!isOver) {
        // The loans stay in use too; they expire at the lenders.
        state.unconfirmedReleases.push_back(reservation);
        return {};
    }
    clearLoansInUse(state, reservation);
    return reservation.loans;
}

void onTargetRestart(EscrowState &state, const TargetId &target, Milliseconds before)
{
    Account *account = findAccount(state, target);
    const auto isGone = [&](const CapacityReservation &reservation) {
        if (reservation.target != target || reservation.reservedAt >= before)
            return false;
        if (account)
            account->ownInUse = account->ownInUse - reservation.ownAmount;
        clearLoansInUse(state, reservation);
        return true;
    };
    state.unconfirmedReleases.erase(
        std::remove_if(state.unconfirmedReleases.begin(), state.unconfirmedReleases.end(), isGone),
        state.unconfirmedReleases.end());
}

Account *findAccount(EscrowState &state, const TargetId &target)
{
    const auto found = state.accounts.find(target);
    return found == state.accounts.end() ? nullptr : &found->second;
}

const Account *findAccount(const EscrowState &state, const TargetId &target)
{
    const auto found = state.accounts.find(target);
    return found == state.accounts.end() ? nullptr : &found->second;
}

} // namespace egretmount::credit

#include <egretmount/credit/escrow.h>

#include <algorithm>

namespace egretmount::credit {

namespace {

Takeover makeTakeover(const EscrowSettings &settings, Milliseconds opensAt)
{
    Takeover takeover;
    takeover.opensAt = opensAt;
    takeover.endsAt = opensAt + settings.longestDeadline + settings.margin;
    return takeover;
}

Capacity usableWarm(const Account &account, Milliseconds now)
{
    return account.kept + openPart(account.takeover, account.share - account.kept, now);
}

Capacity usableCold(const Account &account, Milliseconds now)
{
    if (now >= account.leaseUntil)
        return {};
    return openPart(account.takeover, account.coldCapacity, now);
}

// True while a report can still open something.
bool needsReports(const Account &account, Milliseconds now)
{
    const bool isGuarded = account.isCold || !fitsInto(account.share, account.kept);
    return isGuarded && now < account.takeover.endsAt;
}

void setShare(const EscrowState &state, Account &account, const Capacity &share, Milliseconds now)
{
    if (account.isCold) {
        account.share = share;
        return;
    }
    account.kept = least(usableWarm(account, now), share);
    account.share = share;
    if (!fitsInto(share, account.kept))
        account.takeover = makeTakeover(state.settings, now + state.settings.holdOff);
}

// Work that surely was and still is at the target since before a report was taken.
Capacity ownInReport(const EscrowState &state, const TargetId &target, Milliseconds takenAt)
{
    Capacity own;
    for (const std::pair<const RequestId, Flight> &entry : state.flights) {
        const Flight &flight = entry.second;
        if (flight.target == target && flight.since <= takenAt - state.settings.reportLag)
            own = own + flight.ownPart + flight.borrowedPart;
    }
    return own;
}

void evaluateReport(const EscrowState &state, const TargetId &target, Account &account,
                    Milliseconds now)
{
    if (!account.report || now < account.report->takenAt + state.settings.reportLag)
        return;
    const Capacity own = ownInReport(state, target, account.report->takenAt);
    noteOthers(account.takeover, orZero(account.report->used - own), account.report->takenAt);
    account.report.reset();
}

void guardAll(EscrowState &state, Milliseconds now)
{
    for (std::pair<const TargetId, Account> &entry : state.accounts) {
        Account &account = entry.second;
        account.kept = {};
        account.leaseUntil = Milliseconds();
        account.report.reset();
        account.takeover = makeTakeover(state.settings, now + state.settings.holdOff);
    }
}

void forgetLoans(EscrowState &state, const Flight &flight)
{
    for (const Borrowed &loan : flight.loans)
        state.numbersInUse.erase(loan.number);
}

// A target that comes back to the document may still hold work from before.
void countAgain(const EscrowState &state, const TargetId &target, Account &account)
{
    for (const std::pair<const RequestId, Flight> &entry : state.flights) {
        const Flight &flight = entry.second;
        if (flight.target != target)
            continue;
        account.ownInUse = account.ownInUse + flight.ownPart;
        if (state.gatherings.count(entry.first) == 0)
            account.active = account.active + flight.ownPart + flight.borrowedPart;
    }
    for (const Flight &flight : state.unknownEnds) {
        if (flight.target == target)
            account.ownInUse = account.ownInUse + flight.ownPart;
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
    const auto hasEnded = [&state, now](const Flight &flight) {
        if (now < flight.endsAt)
            return false;
        forgetLoans(state, flight);
        if (Account *account = findAccount(state, flight.target))
            account->ownInUse = account->ownInUse - flight.ownPart;
        return true;
    };
    state.unknownEnds.erase(
        std::remove_if(state.unknownEnds.begin(), state.unknownEnds.end(), hasEnded),
        state.unknownEnds.end());
}

} // namespace

void setTargets(EscrowState &state, const std::vector<config::Target> &targets,
                const Roster &roster, Milliseconds now)
{
    std::map<TargetId, Account> accounts;
    for (const config::Target &target : targets) {
        Account &account = accounts[target.id];
        const auto known = state.accounts.find(target.id);
        if (known != state.accounts.end())
            account = std::move(known->second);
        else
            countAgain(state, target.id, account);
        account.capacity = target.capacity;
        account.coldCapacity = target.coldCapacity;
        account.holders = roster.firstFor(target.id, maxHolders);
        const auto self =
            std::find(account.holders.begin(), account.holders.end(), state.self.instance);
        const std::size_t rank = static_cast<std::size_t>(self - account.holders.begin());
        const Capacity share = self == account.holders.end()
                                   ? Capacity()
                                   : shareOf(target.capacity, rank, roster.size());
        setShare(state, account, share, now);
    }
    state.accounts = std::move(accounts);
}

void tick(EscrowState &state, Milliseconds now)
{
    const Milliseconds gap = now - state.lastTick;
    state.lastTick = now;
    if (gap > state.settings.pauseBound)
        state.resumesAt = now + state.settings.listLag;
    // A list that came and went meanwhile may have given the shares to others.
    if (gap > state.settings.holdOff - state.settings.listLag * 2)
        guardAll(state, now);
    expire(state, now);
    for (std::pair<const TargetId, Account> &entry : state.accounts)
        evaluateReport(state, entry.first, entry.second, now);
}

void noteUsed(EscrowState &state, const TargetId &target, const Capacity &used, Milliseconds now)
{
    Account *account = findAccount(state, target);
    if (!account)
        return;
    account->isReported = true;
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
    const Capacity kept = isCold ? Capacity() : least(usableCold(*account, now), account->share);
    account->isCold = isCold;
    account->kept = kept;
    account->leaseUntil = Milliseconds();
    account->report.reset();
    account->takeover = makeTakeover(state.settings, now + state.settings.holdOff);
}

void setLease(EscrowState &state, const TargetId &target, Milliseconds until, Milliseconds now)
{
    Account *account = findAccount(state, target);
    if (!account || !account->isCold)
        return;
    if (now >= account->leaseUntil && now < until) {
        // Grants of the holder before may still be used, and reports must be younger than that.
        account->takeover =
            makeTakeover(state.settings, now + state.settings.grantUse + state.settings.reportLag);
        account->report.reset();
    }
    account->leaseUntil = until;
}

bool isPaused(const EscrowState &state, Milliseconds now)
{
    return now - state.lastTick > state.settings.pauseBound || now < state.resumesAt;
}

Capacity usable(const EscrowState &state, const Account &account, Milliseconds now)
{
    if (isPaused(state, now))
        return {};
    return account.isCold ? usableCold(account, now) : usableWarm(account, now);
}

Capacity room(const EscrowState &state, const Account &account, Milliseconds now)
{
    return orZero(usable(state, account, now) - account.ownInUse - account.lent);
}

Capacity spendable(const EscrowState &state, const TargetId &target, Milliseconds now)
{
    const Account *account = findAccount(state, target);
    if (!account)
        return {};
    Capacity free = room(state, *account, now);
    // No tokens means no room, unless tokens do not count at this target.
    if (account->capacity.tokens > 0 && free.tokens == 0)
        free.slots = 0;
    return account->active + free;
}

Capacity needOf(const Account &account, const Request &request)
{
    return { account.capacity.tokens > 0 ? request.memoryTokens() : 0, 1 };
}

bool take(EscrowState &state, const TargetId &target, const Request &request, Milliseconds now)
{
    Account *account = findAccount(state, target);
    if (!account || state.flights.count(request.id) > 0)
        return false;
    const Capacity need = needOf(*account, request);
    if (!fitsInto(need, room(state, *account, now)))
        return false;
    Flight flight { target, need, {}, now, request.deadline + state.settings.margin, {} };
    state.flights[request.id] = std::move(flight);
    account->ownInUse = account->ownInUse + need;
    account->active = account->active + need;
    return true;
}

std::vector<Borrowed> release(EscrowState &state, const RequestId &request, bool isCertain,
                              Milliseconds now)
{
    const auto found = state.flights.find(request);
    if (found == state.flights.end() || state.gatherings.count(request) > 0)
        return {};
    const Flight flight = found->second;
    state.flights.erase(found);
    const bool isOver = isCertain || now >= flight.endsAt;
    Account *account = findAccount(state, flight.target);
    if (account) {
        account->active = account->active - flight.ownPart - flight.borrowedPart;
        if (isOver)
            account->ownInUse = account->ownInUse - flight.ownPart;
    }
    if (!isOver) {
        // The loans come back at the lenders' own time.
        state.unknownEnds.push_back(flight);
        return {};
    }
    forgetLoans(state, flight);
    return flight.loans;
}

void noteRestart(EscrowState &state, const TargetId &target, Milliseconds before)
{
    Account *account = findAccount(state, target);
    const auto isGone = [&](const Flight &flight) {
        if (flight.target != target || flight.since >= before)
            return false;
        if (account)
            account->ownInUse = account->ownInUse - flight.ownPart;
        forgetLoans(state, flight);
        return true;
    };
    state.unknownEnds.erase(
        std::remove_if(state.unknownEnds.begin(), state.unknownEnds.end(), isGone),
        state.unknownEnds.end());
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

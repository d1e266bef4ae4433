#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/request.h>
#include <egretmount/credit/capacity.h>
#include <egretmount/credit/holders.h>
#include <egretmount/credit/takeover.h>

namespace egretmount::credit {

/// @brief Times that the safety of credits rests on.
///
/// `holdOff` must be at least the sum of `listLag`, `pauseThreshold`, `grantValidity` and
/// `reportLag`.
struct EscrowSettings
{
    Milliseconds holdOff = Milliseconds(2'000); ///< Before capacity that others held is used.
    Milliseconds listLag = Milliseconds(700); ///< Two instances have one list within this time.
    Milliseconds pauseThreshold =
        Milliseconds(400); ///< A longer gap between ticks counts as a pause.
    Milliseconds grantValidity =
        Milliseconds(400); ///< A grant is used this soon after asking, or never.
    Milliseconds reportLag = Milliseconds(400); ///< Greatest age of a report when it arrives.
    Milliseconds maxDeadline = Milliseconds(600'000); ///< Of any admitted request.
    Milliseconds deadlineMargin =
        Milliseconds(500); ///< After a deadline the target has surely stopped.
};

/// @brief A loan that this instance took.
struct LoanRef
{
    InstanceId lender;
    std::uint64_t number = 0;
};

/// @brief One request's hold on a target.
struct CapacityReservation
{
    TargetId target;
    Capacity ownAmount; ///< Out of the own share.
    Capacity borrowedAmount; ///< Out of other instances' shares.
    Milliseconds reservedAt;
    Milliseconds endsAt; ///< The target has surely stopped: deadline and margin.
    std::vector<LoanRef> loans; ///< That make up `borrowedAmount`.
};

/// @brief A report that waits until every end of work before it must be known.
struct PendingReport
{
    Capacity used;
    Milliseconds receivedAt;
};

/// @brief What one instance holds of one target.
struct Account
{
    Capacity capacity; ///< Of the whole target, warm.
    Capacity coldCapacity;
    std::vector<InstanceId> holders; ///< In rendezvous order, by the list in force.
    Capacity share; ///< By the list in force.
    Capacity confirmedShare; ///< The part of `share` that needs no takeover.
    Takeover takeover; ///< Guards `share - confirmedShare`, or the cold capacity while the lease is
                       ///< held.
    bool isCold = true; ///< Also while nothing is known.
    bool hasReported = false; ///< The target has reported to this instance.
    Milliseconds leaseExpiresAt; ///< The single holder's lease on a cold target; past: not held.
    std::optional<PendingReport> report;
    Capacity ownInUse; ///< Own parts of flights and of work whose end is unknown.
    Capacity dispatched; ///< Both parts of the flights that the dispatcher knows of.
    Capacity lent;
};

/// @brief Capacity lent to one request of another instance.
struct Loan
{
    TargetId target;
    Capacity amount;
    Milliseconds grantedAt;
    Milliseconds endsAt; ///< Comes back now at the latest.
};

/// @brief A loan is known by its borrower's incarnation and number.
using LoanKey = std::pair<InstanceRun, std::uint64_t>;

/// @brief One request to borrow that waits for its grant.
struct PendingCreditRequest
{
    RequestId request;
    InstanceId lender;
    Milliseconds sentAt;
};

/// @brief A request that gathers capacity from several instances.
struct PendingBorrow
{
    TargetId target;
    Request request;
    Capacity missing;
    std::vector<InstanceId> remainingLenders;
    Milliseconds completeBy; ///< Whole until then, or given back.
};

/// @brief All credits of one instance.
struct EscrowState
{
    InstanceRun self;
    EscrowSettings settings;
    Milliseconds lastTick;
    Milliseconds
        resumesAt; ///< After a pause nothing is spent before, so that the list is read first.
    std::map<TargetId, Account> accounts;
    std::map<RequestId, CapacityReservation> reservations;
    std::vector<CapacityReservation>
        unconfirmedReleases; ///< Work that a target may hold up to `endsAt`.
    std::map<LoanKey, Loan> loans;
    std::uint64_t lastRequestNumber = 0;
    std::map<std::uint64_t, PendingCreditRequest> pendingCreditRequests; ///< By number.
    std::map<RequestId, PendingBorrow> pendingBorrows;
    std::set<std::uint64_t> loansInUse; ///< Loans that back a flight; a repeated grant of one
                                        ///< must not be returned.
};

/// @brief Takes in the targets of a document and the instances of a list.
///
/// A share that shrinks does so at once. What is gained is guarded by a takeover. Targets that are
/// no longer named lose their account.
/// @complexity Targets times instances.
void setTargets(EscrowState &state, const std::vector<config::Target> &targets,
                const ListedInstances &listedInstances, Milliseconds now);

/// @brief Notes that the process runs, and takes back what has expired.
///
/// After a pause nothing is spent until the list has been read again. During a longer one, a list
/// may have come and gone that gave the shares to others, so each share is guarded anew. Call it
/// several times within `pauseThreshold`.
/// @complexity Linear in the number of accounts and loans.
void tick(EscrowState &state, Milliseconds now);

/// @brief Takes in the load that a target reports.
void recordTargetLoad(EscrowState &state, const TargetId &target, const Capacity &used,
                      Milliseconds now);

/// @brief Sets whether a target is cold. Turning cold voids the share at once; turning warm guards
///        it, as the lease's holder may have work beyond its share.
void setCold(EscrowState &state, const TargetId &target, bool isCold, Milliseconds now);

/// @brief Sets the end of the own lease on a cold target; a new lease guards the cold capacity.
void setLease(EscrowState &state, const TargetId &target, Milliseconds until, Milliseconds now);

/// @brief True while nothing may be spent, as the process has just been paused.
bool isPaused(const EscrowState &state, Milliseconds now);

/// @brief What may be in flight out of the own share, lent parts included. @complexity Constant.
Capacity usableCapacity(const EscrowState &state, const Account &account, Milliseconds now);

/// @brief What is free of the own share. @complexity Constant.
Capacity availableCapacity(const EscrowState &state, const Account &account, Milliseconds now);

/// @brief What the dispatcher may have in flight: its present flights and the room.
/// @complexity Logarithmic in the number of targets.
Capacity inFlightLimit(const EscrowState &state, const TargetId &target, Milliseconds now);

/// @brief What a request needs of a target.
/// @complexity Constant.
Capacity requiredCapacity(const Account &account, const Request &request);

/// @brief Puts a request in flight out of the own share. @return False if there is no room.
bool reserve(EscrowState &state, const TargetId &target, const Request &request, Milliseconds now);

/// @brief Ends a flight; one that still gathers is not ended, see `cancelBorrow`.
/// @param isCertain False: the target may hold it up to its deadline, so its capacity stays in use.
/// @return The loans to give back.
std::vector<LoanRef> release(EscrowState &state, const RequestId &request, bool isCertain,
                             Milliseconds now);

/// @brief Drops work of unknown end at a target that has restarted: it holds none of it.
/// @param before Work put in flight before was sent to the earlier start.
void onTargetRestart(EscrowState &state, const TargetId &target, Milliseconds before);

/// @brief The account of a target. @return Null if it has none. @complexity Logarithmic.
Account *findAccount(EscrowState &state, const TargetId &target);
const Account *findAccount(const EscrowState &state, const TargetId &target);

} // namespace egretmount::credit

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

/// @brief Time bounds that the safety of the credits depends on.
///
/// `holdOff` must be at least the sum of `listLag`, `pauseThreshold`, `grantValidity` and
/// `reportLag`.
struct EscrowSettings
{
    /// Time before capacity that another instance may have held can be used.
    Milliseconds holdOff = Milliseconds(2'000);
    /// Longest time until all instances have adopted a new instance list.
    Milliseconds listLag = Milliseconds(700);
    /// A longer gap between two ticks is treated as a pause of the process.
    Milliseconds pauseThreshold = Milliseconds(400);
    /// Time after beginning to borrow during which a grant may be used; later grants are returned.
    Milliseconds grantValidity = Milliseconds(400);
    /// Greatest age of a load report when it arrives.
    Milliseconds reportLag = Milliseconds(400);
    /// Longest time from admission to deadline of any request.
    Milliseconds maxDeadline = Milliseconds(600'000);
    /// Time after a request's deadline by which the target has certainly stopped executing it.
    Milliseconds deadlineMargin = Milliseconds(500);
};

/// @brief Identifies a loan on the borrower's side.
struct LoanRef
{
    InstanceId lender;
    std::uint64_t number = 0; ///< Number of the credit request that the lender granted.
};

/// @brief Capacity of a target that is reserved for one request.
struct CapacityReservation
{
    TargetId target;
    Capacity ownAmount; ///< Taken from this instance's share.
    Capacity borrowedAmount; ///< Borrowed from other instances.
    Milliseconds reservedAt;
    /// The request's deadline plus `deadlineMargin`: the target has certainly stopped by then.
    Milliseconds endsAt;
    std::vector<LoanRef> loans; ///< The loans that make up `borrowedAmount`.
};

/// @brief A load report that is evaluated only after `reportLag`.
///
/// By then, this instance has learned the end of each request that ended before the report was
/// made.
struct PendingReport
{
    Capacity used;
    Milliseconds receivedAt;
};

/// @brief The credits that this instance holds for one target.
struct Account
{
    Capacity capacity; ///< Capacity of the whole target when it is warm.
    Capacity coldCapacity; ///< Capacity of the whole target when it is cold.
    std::vector<InstanceId> holders; ///< In rendezvous order, computed from the current list.
    Capacity share; ///< This instance's part of `capacity`, computed from the current list.
    Capacity confirmedShare; ///< The part of `share` that no other instance can still be using.
    /// Protects `share - confirmedShare`, or the cold capacity while this instance has the lease.
    Takeover takeover;
    bool isCold = true; ///< Also true until the target is known to be warm.
    bool hasReported = false; ///< This instance has received a load report from the target.
    /// End of this instance's lease on a cold target. The lease is not held if this has passed.
    Milliseconds leaseExpiresAt;
    std::optional<PendingReport> report;
    /// Sum of `ownAmount` over the reservations and the unconfirmed releases.
    Capacity ownInUse;
    /// Own and borrowed amounts of the reservations that the dispatcher knows of.
    Capacity dispatched;
    Capacity lent;
};

/// @brief Capacity lent to another instance for one request.
struct Loan
{
    TargetId target;
    Capacity amount; ///< Zero after the loan was returned.
    Milliseconds grantedAt;
    Milliseconds endsAt; ///< The loan expires then if it was not returned earlier.
};

/// @brief A loan is identified by its borrower's incarnation and the number of the credit request.
using LoanKey = std::pair<InstanceRun, std::uint64_t>;

/// @brief A credit request that was sent to a lender and not yet answered.
struct PendingCreditRequest
{
    RequestId request;
    InstanceId lender;
    Milliseconds sentAt;
};

/// @brief A request for which capacity is being borrowed, from one lender after the other.
struct PendingBorrow
{
    TargetId target;
    Request request;
    Capacity missing; ///< Capacity that is neither own nor borrowed yet.
    std::vector<InstanceId> remainingLenders; ///< Not asked yet, in this order.
    /// If the capacity is not complete by then, all loans are returned.
    Milliseconds completeBy;
};

/// @brief All credits of one instance.
struct EscrowState
{
    InstanceRun self;
    EscrowSettings settings;
    Milliseconds lastTick;
    /// End of the wait after a pause, which lets the instance read the current list before it
    /// uses any capacity.
    Milliseconds resumesAt;
    std::map<TargetId, Account> accounts;
    std::map<RequestId, CapacityReservation> reservations;
    /// Released reservations whose request the target may still be executing, up to `endsAt`.
    std::vector<CapacityReservation> unconfirmedReleases;
    std::map<LoanKey, Loan> loans; ///< Granted by this instance.
    std::uint64_t lastRequestNumber = 0;
    std::map<std::uint64_t, PendingCreditRequest> pendingCreditRequests; ///< By request number.
    std::map<RequestId, PendingBorrow> pendingBorrows;
    /// Numbers of the loans that back a reservation. A duplicate grant of one of them must not be
    /// returned.
    std::set<std::uint64_t> loansInUse;
};

/// @brief Computes the shares from the targets of a document and the instances of a list.
///
/// A reduced share takes effect at once. An increase becomes usable through a takeover. The
/// accounts of targets that are not in `targets` are removed.
/// @complexity Number of targets times number of instances.
void setTargets(EscrowState &state, const std::vector<config::Target> &targets,
                const ListedInstances &listedInstances, Milliseconds now);

/// @brief Detects pauses of the process, removes expired loans and unconfirmed releases, and
///        evaluates pending reports. Must be called several times within `pauseThreshold`.
///
/// After a pause, no capacity is used until the instance list has been read again. A pause longer
/// than `holdOff` less twice `listLag` can hide two list changes: the first gives this instance's
/// shares to others, and the second gives them back. After such a pause, all shares therefore go
/// through a new takeover.
/// @complexity Linear in the number of accounts, loans, and unconfirmed releases. Evaluating a
///             pending report takes linear time in the number of reservations.
void tick(EscrowState &state, Milliseconds now);

/// @brief Records the load that a target reports.
void recordTargetLoad(EscrowState &state, const TargetId &target, const Capacity &used,
                      Milliseconds now);

/// @brief Sets whether a target is cold.
///
/// When a target turns cold, its share can no longer be used. When it turns warm, the share goes
/// through a takeover, because the lease holder may have more requests in flight than its share.
void setCold(EscrowState &state, const TargetId &target, bool isCold, Milliseconds now);

/// @brief Sets the end of this instance's lease on a cold target. A newly acquired lease starts a
///        takeover of the cold capacity.
void setLease(EscrowState &state, const TargetId &target, Milliseconds until, Milliseconds now);

/// @brief Returns true during a pause of the process and the wait that follows it, when no
///        capacity may be used.
bool isPaused(const EscrowState &state, Milliseconds now);

/// @brief Returns the part of the own share that may be in use, including what is lent.
/// @complexity Constant.
Capacity usableCapacity(const EscrowState &state, const Account &account, Milliseconds now);

/// @brief Returns the part of the own share that is neither in use nor lent.
/// @complexity Constant.
Capacity availableCapacity(const EscrowState &state, const Account &account, Milliseconds now);

/// @brief Returns the capacity that the dispatcher may have in flight at a target: what it has
///        dispatched plus what is available.
/// @complexity Logarithmic in the number of targets.
Capacity inFlightLimit(const EscrowState &state, const TargetId &target, Milliseconds now);

/// @brief Returns the capacity that a request needs at a target.
/// @complexity Constant.
Capacity requiredCapacity(const Account &account, const Request &request);

/// @brief Reserves capacity for a request from the own share.
/// @return False if the available capacity is too small or the request has a reservation already.
bool reserve(EscrowState &state, const TargetId &target, const Request &request, Milliseconds now);

/// @brief Ends a request's reservation, unless it is still borrowing (see `cancelBorrow`).
/// @param isCertain False if the target may still execute the request. Its capacity then stays in
///                  use up to the deadline and the margin.
/// @return The loans to return to their lenders.
std::vector<LoanRef> release(EscrowState &state, const RequestId &request, bool isCertain,
                             Milliseconds now);

/// @brief Removes the unconfirmed releases of a target that has restarted, as the new process
///        executes none of their requests.
/// @param before Only requests that were reserved before this time are removed: they were sent to
///               the previous process.
void onTargetRestart(EscrowState &state, const TargetId &target, Milliseconds before);

/// @brief Finds the account of a target. @return Null if there is none. @complexity Logarithmic.
Account *findAccount(EscrowState &state, const TargetId &target);
const Account *findAccount(const EscrowState &state, const TargetId &target);

} // namespace egretmount::credit

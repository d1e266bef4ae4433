#pragma once

#include <egretmount/credit/escrow.h>

namespace egretmount::credit {

/// @brief Asks a lender for capacity of a target for one request.
struct CreditRequest
{
    InstanceRun borrower;
    std::uint64_t number = 0; ///< Counts the credit requests of this incarnation.
    TargetId target;
    Capacity wanted;
    /// Time after the receipt of this request by which the borrower has certainly stopped using the
    /// capacity.
    Milliseconds hold;
    bool wantsCold = false; ///< The borrower treats the target as cold.
};

/// @brief The reply to the credit request with the same number. The amount may be less than wanted.
struct CreditGrant
{
    std::uint64_t number = 0;
    bool isGranted = false;
    Capacity amount;
};

/// @brief Lends the available capacity, up to the wanted amount, and subtracts it immediately.
///
/// Refuses the loan if a slot is wanted and none is available, as the tokens alone would be
/// useless. A duplicate request gets the same grant again, or a refusal if the loan was returned.
CreditGrant lend(EscrowState &state, const CreditRequest &request, Milliseconds now);

/// @brief Accepts the return of a loan; duplicates have no effect.
///
/// A return of an unknown loan leaves a tombstone, so that a credit request that arrives after its
/// return is refused.
void acceptReturn(EscrowState &state, const LoanKey &key, const TargetId &target, Milliseconds now);

/// @brief What the caller must do next for a request that borrows capacity.
enum class BorrowState {
    SendRequest, ///< Send `creditRequest` to `lender`.
    Complete, ///< The capacity is reserved; dispatch the request.
    Failed, ///< The capacity is not available; send `returns`.
    Ignored, ///< The grant or failure matches no pending request; send `returns`.
};

/// @brief One step of borrowing capacity for a request.
struct BorrowStep
{
    BorrowState state = BorrowState::Failed;
    RequestId request;
    InstanceId lender;
    CreditRequest creditRequest;
    std::vector<LoanRef> returns;
};

/// @brief Starts to collect capacity for a request: the available part of the own share first, the
///        rest from `lenders` in the given order.
BorrowStep beginBorrow(EscrowState &state, const TargetId &target, const Request &request,
                       std::vector<InstanceId> lenders, Milliseconds now);

/// @brief Processes a grant. A grant is used at most once, only before `completeBy`, and only if it
///        replies to a pending credit request of this incarnation. Otherwise it must be returned.
/// @param lender The instance that sent the grant.
BorrowStep onGrant(EscrowState &state, const InstanceId &lender, const CreditGrant &grant,
                   Milliseconds now);

/// @brief Stops borrowing for a request that got capacity elsewhere or has ended.
/// @return A failed step with the loans to return.
BorrowStep cancelBorrow(EscrowState &state, const RequestId &request);

/// @brief Handles a credit request that failed or timed out: the next lender is asked. A grant that
///        arrives later is returned.
/// @param number Number of the credit request.
BorrowStep onCreditRequestFailed(EscrowState &state, std::uint64_t number, Milliseconds now);

} // namespace egretmount::credit

#pragma once

#include <egretmount/credit/escrow.h>

namespace egretmount::credit {

/// @brief Asks a holder for capacity for one request.
struct CreditRequest
{
    InstanceRun borrower;
    std::uint64_t number = 0; ///< Counts the requests of this incarnation.
    TargetId target;
    Capacity wanted;
    Milliseconds hold; ///< Until the capacity is surely unused, counted from the request's receipt.
    bool wantsCold = false; ///< The target has told the borrower that it is cold.
};

/// @brief Answers the request with the same number; less than wanted may be granted.
struct CreditGrant
{
    std::uint64_t number = 0;
    bool isGranted = false;
    Capacity amount;
};

/// @brief Lends what is free, up to what is wanted. The capacity counts as lent from now on.
///
/// Tokens without the slot that is wanted too are not lent.
/// A repeated request gets the same grant again. One that was given back is refused.
CreditGrant lend(EscrowState &state, const CreditRequest &request, Milliseconds now);

/// @brief Takes a loan back. Unknown and repeated returns are remembered, so that a request that
///        arrives after its return is refused.
void acceptReturn(EscrowState &state, const LoanKey &key, const TargetId &target, Milliseconds now);

/// @brief What to do next for a request that gathers capacity.
enum class BorrowState {
    SendRequest, ///< Send `creditRequest` to `lender`.
    Complete, ///< The request is in flight.
    Failed, ///< Not to be had; send the returns.
    Ignored, ///< The grant answers nothing; send the returns.
};

/// @brief A step of gathering.
struct BorrowStep
{
    BorrowState state = BorrowState::Failed;
    RequestId request;
    InstanceId lender;
    CreditRequest creditRequest;
    std::vector<LoanRef> returns;
};

/// @brief Starts to gather capacity for a request: what is free of the own share, the rest from
///        `lenders` in order.
BorrowStep beginBorrow(EscrowState &state, const TargetId &target, const Request &request,
                       std::vector<InstanceId> lenders, Milliseconds now);

/// @brief Takes in a grant. It counts once, in time, and only if it answers an ask of this
///        incarnation; else it is to be returned.
/// @param lender The instance that sent it.
BorrowStep onGrant(EscrowState &state, const InstanceId &lender, const CreditGrant &grant,
                   Milliseconds now);

/// @brief Ends a gathering early, as the request got capacity elsewhere or has ended.
/// @return A failed step with the loans to give back.
BorrowStep cancelBorrow(EscrowState &state, const RequestId &request);

/// @brief Gives an ask up: no answer came. A late grant is returned.
BorrowStep onCreditRequestFailed(EscrowState &state, std::uint64_t number, Milliseconds now);

} // namespace egretmount::credit

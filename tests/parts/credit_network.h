#pragma once

#include <deque>
#include <string>
#include <vector>

#include <egretmount/core/random.h>
#include <egretmount/credit/lending.h>

namespace egretmount::tests {

/// @brief Injected faults that the check of the target's capacity must detect.
enum class CreditFault {
    None,
    NoHoldOff, ///< An increase of a share is used at once.
    LateSubtraction, ///< The lender subtracts a loan only after it has sent the grant.
    GrantCountedTwice, ///< A duplicate grant is used again.
    UsedGrantReturned, ///< A duplicate grant is returned although the loan is in use.
    UnconfirmedReleaseIsFree, ///< A request that the target may still execute counts as ended.
    PauseIgnored, ///< A share is used after a pause without reading the list first.
};

/// @brief The result of one schedule.
struct CreditHistory
{
    bool hasViolation = false;
    std::string violation; ///< Time and amounts of the first violation.
    std::int64_t started = 0; ///< Requests that were sent to the target.
    std::int64_t borrowed = 0; ///< Requests among these that needed loans.
};

/// @brief Simulates instances, one target, and a network that loses, duplicates, delays and
///        reorders messages.
///
/// The seed determines the whole schedule: requests, list changes, restarts, pauses and partitions.
class CreditNetwork
{
public:
    CreditNetwork(std::uint64_t seed, CreditFault fault);

    /// @brief Runs the schedule until its end or the first violation.
    CreditHistory run();

private:
    enum class Kind {
        Borrow,
        Grant,
        Return,
        Subtract, ///< Makes the lender subtract a loan; used only by `LateSubtraction`.
    };

    struct Message
    {
        Kind kind = Kind::Borrow;
        int from = 0;
        int to = 0;
        Milliseconds at;
        credit::CreditRequest creditRequest;
        credit::CreditGrant grant;
        credit::LoanKey key;
    };

    struct Node
    {
        credit::EscrowState state;
        bool isUp = true;
        Milliseconds pausedUntil;
        Milliseconds startsAt;
        std::size_t listVersion = 0;
        Milliseconds adoptsAt;
        /// All credit requests that were sent; used only by `GrantCountedTwice`.
        std::map<std::uint64_t, credit::PendingCreditRequest> seenCreditRequests;
    };

    struct Execution // of a request at the target
    {
        RequestId id;
        int owner = 0;
        Incarnation incarnation = 0;
        credit::Capacity amount;
        Milliseconds deadline;
        Milliseconds endsAt;
    };

    bool chance(std::uint64_t oneIn) { return m_random.below(oneIn) == 0; }
    void start(int index);
    void adoptList(int index);
    void changeEnvironment();
    void stepNode(int index);
    void expireCreditRequests(int index);
    void deliver(const Message &message);
    void startRequest(int index);
    void applyStep(int index, const credit::BorrowStep &step);
    void returnAll(int index, const std::vector<credit::LoanRef> &loans);
    void send(Message message);
    void putInFlight(int index, const RequestId &id);
    void endExecutions();
    void report(int index);
    void check();

    Random m_random;
    CreditFault m_fault;
    Milliseconds m_now = Milliseconds(10'000);
    std::vector<Node> m_nodes;
    std::vector<std::vector<InstanceId>> m_lists;
    Milliseconds m_lastPublication;
    std::vector<Message> m_messages;
    std::vector<Execution> m_executions;
    std::deque<credit::Capacity> m_loads; // newest last, one a step
    bool m_isPartitioned = false;
    int m_requests = 0;
    CreditHistory m_history;
};

} // namespace egretmount::tests

#pragma once

#include <deque>
#include <string>
#include <vector>

#include <egretmount/core/random.h>
#include <egretmount/credit/lending.h>

namespace egretmount::tests {

/// @brief Deliberate faults that the check of the bound must find.
enum class CreditFault {
    None,
    NoHoldOff, ///< A gained share is spent at once.
    LateSubtraction, ///< The lender subtracts after it has answered.
    GrantCountedTwice, ///< A repeated grant counts again.
    UsedGrantReturned, ///< A repeated grant is returned although it is in use.
    UnconfirmedReleaseIsFree, ///< Work of unknown end counts as ended.
    PauseIgnored, ///< A share is spent after a pause as if none had been.
};

/// @brief What came of one schedule.
struct CreditHistory
{
    bool hasViolation = false;
    std::string violation;
    std::int64_t started = 0;
    std::int64_t borrowed = 0;
};

/// @brief Instances, one target and a network that loses, repeats, delays and reorders messages.
///
/// A seed decides everything: requests, list changes, restarts, pauses and partitions.
class CreditNetwork
{
public:
    CreditNetwork(std::uint64_t seed, CreditFault fault);

    /// @brief Runs the schedule up to its end or the first violation.
    CreditHistory run();

private:
    enum class Kind {
        Borrow,
        Grant,
        Return,
        Subtract, ///< Only with `LateSubtraction`.
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
        std::map<std::uint64_t, credit::PendingCreditRequest>
            seenCreditRequests; // for GrantCountedTwice
    };

    struct Execution // at the target
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

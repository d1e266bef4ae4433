// Seeded schedules of one ticket with its issuer and witness. Guards against a call that runs
// twice, or runs after a caller was told that it does not. Messages are lost, duplicated and
// reordered. Processes pause or restart without their state. Other instances void the ticket.
#include <vector>

#include <doctest/doctest.h>

#include <egretmount/core/random.h>
#include <egretmount/runonce/issuer.h>
#include <egretmount/runonce/witness.h>

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::runonce;

namespace {

/// Injected faults that the check must detect.
enum class Mutation {
    None,
    SkipPermit, ///< The issuer dispatches without asking.
    ForgetVoid, ///< The witness evicts records without keeping watermarks.
    RestartKeepsRun, ///< A restarted witness answers under the identity of its earlier run.
    StartTwice, ///< The issuer also executes the call for requests that should join it.
};

struct Message
{
    enum class Kind {
        PermitRequest,
        PermitReply,
        Void
    } kind = Kind::PermitRequest;
    WitnessAnswer answer = WitnessAnswer::Unknown;
};

class Schedule
{
public:
    Schedule(std::uint64_t seed, Mutation mutation)
        : m_random(seed)
        , m_mutation(mutation)
    {
        m_issuer.self = { InstanceId("a"), 1 };
        m_issuer.lifetime = 1'000_ms;
        m_witness.self = { InstanceId("b"), 1 };
        m_ticket = *issueTicket(m_issuer, TeamId("t"), ServiceId("s"), m_witness.self, m_now);
    }

    /// Runs the schedule. Returns false if the call ran twice, or ran although a caller was told
    /// that it does not.
    bool isSafe()
    {
        constexpr int steps = 40;
        for (int i = 0; i < steps; ++i)
            step();
        return m_executions <= 1 && !(m_executions == 1 && m_reportedNotRun);
    }

private:
    void step()
    {
        switch (m_random.below(12)) {
        case 0:
        case 1:
        case 2:
            return request();
        case 3:
            m_messages.push_back({ Message::Kind::Void, {} });
            return;
        case 4:
            m_now += m_random.between(0_ms, 1'500_ms); // also stands for a pause of any process
            expireRecords(m_witness, m_now);
            if (m_mutation == Mutation::ForgetVoid)
                m_witness = { m_witness.self, {}, {}, {}, 0 };
            return;
        case 5:
            m_witness = { { InstanceId("b"), ++m_incarnation }, {}, {}, {}, 0 };
            if (m_mutation == Mutation::RestartKeepsRun)
                m_witness.self.incarnation = 1;
            return;
        case 6:
            m_isIssuerAlive = m_isIssuerAlive && m_random.below(4) != 0;
            return;
        default:
            return deliver();
        }
    }

    void request()
    {
        if (!m_isIssuerAlive)
            return;
        const BeginDecision decision = begin(m_issuer, m_ticket, 1, m_now);
        const bool isStart = decision.kind == BeginKind::Start;
        if (decision.kind == BeginKind::Stored && !decision.result)
            recordVerdict(decision.result.error().verdict);
        if (m_mutation == Mutation::SkipPermit && isStart)
            ++m_executions;
        if (m_mutation == Mutation::StartTwice)
            m_executions += decision.kind == BeginKind::Join ? 1 : 0;
        if (!isStart)
            return;
        onPermitRequested(m_issuer, m_ticket.sequence, m_now);
        m_messages.push_back({ Message::Kind::PermitRequest, {} });
    }

    void deliver()
    {
        if (m_messages.empty())
            return;
        const std::size_t index = m_random.below(m_messages.size());
        const Message message = m_messages[index];
        const std::uint64_t fate = m_random.below(8);
        if (fate != 0) // with zero, the message is delivered again later
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        if (fate == 1) // the message is lost
            return;
        if (message.kind == Message::Kind::Void) {
            if (voidTicket(m_witness, m_ticket, m_now) == WitnessAnswer::Voided)
                recordVerdict(Verdict::NotRun);
        } else if (message.kind == Message::Kind::PermitRequest) {
            m_messages.push_back(
                { Message::Kind::PermitReply, requestPermit(m_witness, m_ticket, m_now) });
        } else if (m_isIssuerAlive) {
            handlePermitReply(message.answer);
        }
    }

    void handlePermitReply(WitnessAnswer answer)
    {
        const CallPhase phase = m_issuer.records.at(1).phase;
        if (onWitnessAnswer(m_issuer, m_ticket.sequence, answer, m_now)) {
            ++m_executions;
            finish(m_issuer, m_ticket.sequence, CallResponse {}, m_now);
        } else if (phase == CallPhase::AwaitingPermit) {
            recordVerdict(Verdict::NotRun);
            finish(m_issuer, m_ticket.sequence,
                   fail(ErrorId::PermitRefused, Verdict::NotRun, "refused"), m_now);
        }
    }

    void recordVerdict(Verdict verdict)
    {
        m_reportedNotRun = m_reportedNotRun || verdict == Verdict::NotRun;
    }

    Random m_random;
    Mutation m_mutation;
    Milliseconds m_now = 1'000_ms;
    IssuerState m_issuer;
    WitnessState m_witness;
    Incarnation m_incarnation = 1;
    Ticket m_ticket;
    std::vector<Message> m_messages;
    bool m_isIssuerAlive = true;
    int m_executions = 0;
    bool m_reportedNotRun = false;
};

constexpr std::uint64_t schedules = 20'000;

std::uint64_t violations(Mutation mutation)
{
    std::uint64_t count = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        count += Schedule(seed, mutation).isSafe() ? 0 : 1;
    return count;
}

} // namespace

TEST_CASE("in every schedule a call runs at most once and never after the verdict 'not run'")
{
    MESSAGE("schedules run: ", schedules);
    CHECK(violations(Mutation::None) == 0);
}

TEST_CASE("the schedules detect each injected fault")
{
    for (const Mutation mutation : { Mutation::SkipPermit, Mutation::ForgetVoid,
                                     Mutation::RestartKeepsRun, Mutation::StartTwice }) {
        const std::uint64_t found = violations(mutation);
        MESSAGE("mutation ", static_cast<int>(mutation), ": schedules that find it: ", found);
        CHECK(found > 0);
    }
}

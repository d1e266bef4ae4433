#include "credit_network.h"

namespace egretmount::tests {

using namespace credit;
using namespace literals;

namespace {

constexpr int nodeCount = 4;
constexpr Milliseconds stepTime = 20_ms;
constexpr Milliseconds runTime = 16'000_ms;
constexpr Milliseconds maxRequestDuration = 2'000_ms;
constexpr Milliseconds grantTimeout = 150_ms;
constexpr std::size_t maxReportAgeSteps = 20; // greatest age of a report, in steps
const Capacity targetCapacity { 1'000, 10 };
const TargetId targetId("target");

InstanceId nameOf(int index)
{
    return InstanceId("node-" + std::to_string(index));
}

int indexOf(const InstanceId &id)
{
    return id.value.back() - '0';
}

std::vector<config::Target> targets()
{
    config::Target target;
    target.id = targetId;
    target.capacity = targetCapacity;
    return { target };
}

} // namespace

CreditNetwork::CreditNetwork(std::uint64_t seed, CreditFault fault)
    : m_random(seed)
    , m_fault(fault)
    , m_nodes(nodeCount)
{
    std::vector<InstanceId> all;
    all.reserve(nodeCount);
    for (int i = 0; i < nodeCount; ++i)
        all.push_back(nameOf(i));
    m_lists.push_back(all);
    m_lastPublication = m_now;
    m_loads.assign(maxReportAgeSteps, {});
    for (int i = 0; i < nodeCount; ++i)
        start(i);
}

CreditHistory CreditNetwork::run()
{
    const Milliseconds end = m_now + runTime;
    while (m_now < end && !m_history.hasViolation) {
        m_now += stepTime;
        changeEnvironment();
        endExecutions();
        for (int i = 0; i < nodeCount; ++i) {
            if (m_nodes[i].isUp && m_now >= m_nodes[i].pausedUntil)
                stepNode(i);
            check();
        }
    }
    return m_history;
}

void CreditNetwork::start(int index)
{
    Node &node = m_nodes[index];
    node = Node();
    node.state.self = { nameOf(index), static_cast<Incarnation>(m_now.count()) };
    node.state.settings.maxDeadline = maxRequestDuration;
    node.state.lastTick = m_now;
    node.adoptsAt = m_now + m_random.between(0_ms, node.state.settings.listLag);
}

void CreditNetwork::adoptList(int index)
{
    Node &node = m_nodes[index];
    node.listVersion = m_lists.size();
    setTargets(node.state, targets(), ListedInstances(m_lists.back()), m_now);
    setCold(node.state, targetId, false, m_now);
    if (m_fault == CreditFault::NoHoldOff)
        node.state.accounts[targetId].confirmedShare = node.state.accounts[targetId].share;
}

void CreditNetwork::changeEnvironment()
{
    const int index = static_cast<int>(m_random.below(nodeCount));
    Node &node = m_nodes[index];
    if (node.isUp && chance(150))
        node.pausedUntil = m_now + m_random.between(100_ms, 5'000_ms);
    if (node.isUp && chance(300)) {
        node.isUp = false;
        node.startsAt = m_now + m_random.between(0_ms, 1'000_ms);
    }
    for (int i = 0; i < nodeCount; ++i) {
        if (!m_nodes[i].isUp && m_now >= m_nodes[i].startsAt)
            start(i);
    }
    if (chance(100))
        m_isPartitioned = !m_isPartitioned;
    const Milliseconds lag = node.state.settings.listLag;
    if (m_now - m_lastPublication <= lag || !chance(100))
        return;
    std::vector<InstanceId> list;
    for (int i = 0; i < nodeCount; ++i) {
        if (!chance(3))
            list.push_back(nameOf(i));
    }
    for (Node &each : m_nodes) {
        // An instance that has not adopted the previous list yet adopts this one instead of it.
        if (each.listVersion == m_lists.size())
            each.adoptsAt = m_now + m_random.between(0_ms, lag);
    }
    m_lists.push_back(list);
    m_lastPublication = m_now;
}

void CreditNetwork::stepNode(int index)
{
    Node &node = m_nodes[index];
    const bool hasPaused = m_now - node.state.lastTick > node.state.settings.pauseThreshold;
    if (m_fault == CreditFault::PauseIgnored)
        node.state.lastTick = m_now;
    if (hasPaused && node.listVersion < m_lists.size())
        node.adoptsAt = m_now + m_random.between(0_ms, node.state.settings.listLag);
    if (node.listVersion < m_lists.size() && m_now >= node.adoptsAt)
        adoptList(index);
    // After a pause, messages and requests may be processed before the tick that detects it.
    if (chance(2))
        tick(node.state, m_now);
    std::vector<Message> due;
    for (std::size_t i = m_messages.size(); i-- > 0;) {
        if (m_messages[i].to == index && m_messages[i].at <= m_now) {
            due.push_back(m_messages[i]);
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    for (const Message &message : due)
        deliver(message);
    if (chance(4))
        startRequest(index);
    if (chance(5))
        report(index);
    tick(node.state, m_now);
    expireCreditRequests(index);
}

void CreditNetwork::expireCreditRequests(int index)
{
    EscrowState &state = m_nodes[index].state;
    std::vector<std::uint64_t> unanswered;
    for (const std::pair<const std::uint64_t, PendingCreditRequest> &entry :
         state.pendingCreditRequests) {
        if (m_now - entry.second.sentAt > grantTimeout)
            unanswered.push_back(entry.first);
    }
    for (std::uint64_t number : unanswered)
        applyStep(index, onCreditRequestFailed(state, number, m_now));
}

void CreditNetwork::deliver(const Message &message)
{
    Node &node = m_nodes[message.to];
    Message answer;
    answer.from = message.to;
    answer.to = message.from;
    switch (message.kind) {
    case Kind::Borrow:
        answer.kind = Kind::Grant;
        if (m_fault == CreditFault::LateSubtraction) {
            EscrowState copy = node.state;
            answer.grant = lend(copy, message.creditRequest, m_now);
            Message later = message;
            later.kind = Kind::Subtract;
            later.at = m_now + 100_ms;
            m_messages.push_back(later);
        } else {
            answer.grant = lend(node.state, message.creditRequest, m_now);
        }
        send(answer);
        break;
    case Kind::Subtract:
        lend(node.state, message.creditRequest, m_now);
        break;
    case Kind::Grant:
        if (m_fault == CreditFault::GrantCountedTwice) {
            const auto seen = node.seenCreditRequests.find(message.grant.number);
            if (seen != node.seenCreditRequests.end())
                node.state.pendingCreditRequests[message.grant.number] = seen->second;
        }
        if (m_fault == CreditFault::UsedGrantReturned && message.grant.isGranted
            && node.state.loansInUse.count(message.grant.number) > 0)
            returnAll(message.to, { { nameOf(message.from), message.grant.number } });
        applyStep(message.to, onGrant(node.state, nameOf(message.from), message.grant, m_now));
        break;
    case Kind::Return:
        acceptReturn(node.state, message.key, targetId, m_now);
        break;
    }
}

void CreditNetwork::startRequest(int index)
{
    Node &node = m_nodes[index];
    Request request;
    request.id = RequestId(std::to_string(++m_requests));
    request.promptTokens = static_cast<TokenCount>(1 + m_random.below(chance(4) ? 500 : 100));
    request.arrival = m_now;
    request.deadline = m_now + m_random.between(100_ms, maxRequestDuration);
    if (reserve(node.state, targetId, request, m_now))
        return putInFlight(index, request.id);
    std::vector<InstanceId> lenders;
    const Account *account = findAccount(node.state, targetId);
    if (!account)
        return;
    for (const InstanceId &holder : account->holders) {
        if (holder != node.state.self.instance)
            lenders.push_back(holder);
    }
    applyStep(index, beginBorrow(node.state, targetId, request, lenders, m_now));
}

void CreditNetwork::applyStep(int index, const BorrowStep &step)
{
    Node &node = m_nodes[index];
    returnAll(index, step.returns);
    if (step.state == BorrowState::Complete) {
        ++m_history.borrowed;
        putInFlight(index, step.request);
    }
    if (step.state != BorrowState::SendRequest)
        return;
    node.seenCreditRequests[step.creditRequest.number] =
        node.state.pendingCreditRequests[step.creditRequest.number];
    Message message;
    message.kind = Kind::Borrow;
    message.from = index;
    message.to = indexOf(step.lender);
    message.creditRequest = step.creditRequest;
    send(message);
}

void CreditNetwork::returnAll(int index, const std::vector<LoanRef> &loans)
{
    for (const LoanRef &loan : loans) {
        Message message;
        message.kind = Kind::Return;
        message.from = index;
        message.to = indexOf(loan.lender);
        message.key = { m_nodes[index].state.self, loan.number };
        send(message);
    }
}

void CreditNetwork::send(Message message)
{
    const bool isCut = m_isPartitioned && message.from % 2 != message.to % 2;
    if (isCut || chance(15))
        return;
    const int copies = chance(6) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        message.at = m_now + m_random.between(0_ms, chance(5) ? 900_ms : 60_ms);
        m_messages.push_back(message);
    }
}

void CreditNetwork::putInFlight(int index, const RequestId &id)
{
    ++m_history.started;
    const Node &node = m_nodes[index];
    const CapacityReservation &reservation = node.state.reservations.at(id);
    const Milliseconds deadline = reservation.endsAt - node.state.settings.deadlineMargin;
    m_executions.push_back({ id, index, node.state.self.incarnation,
                             reservation.ownAmount + reservation.borrowedAmount, deadline,
                             m_now + m_random.between(50_ms, maxRequestDuration) });
}

void CreditNetwork::endExecutions()
{
    Capacity load;
    for (std::size_t i = m_executions.size(); i-- > 0;) {
        Execution &execution = m_executions[i];
        Node &owner = m_nodes[execution.owner];
        const bool isOwned = owner.isUp && owner.state.self.incarnation == execution.incarnation;
        const bool isAwake = isOwned && m_now >= owner.pausedUntil;
        const bool isOver = m_now >= execution.endsAt || m_now >= execution.deadline;
        // The connection breaks, but the target continues to execute the request.
        if (!isOver && isAwake && chance(150)) {
            const bool isCertain = m_fault == CreditFault::UnconfirmedReleaseIsFree;
            returnAll(execution.owner, release(owner.state, execution.id, isCertain, m_now));
        }
        if (!isOver) {
            load = load + execution.amount;
            continue;
        }
        if (isAwake)
            returnAll(execution.owner, release(owner.state, execution.id, true, m_now));
        if (isAwake || !isOwned)
            m_executions.erase(m_executions.begin() + static_cast<std::ptrdiff_t>(i));
    }
    m_loads.push_back(load);
    m_loads.pop_front();
}

void CreditNetwork::report(int index)
{
    // The report is up to `reportLag` old.
    const std::size_t age = m_random.below(maxReportAgeSteps);
    recordTargetLoad(m_nodes[index].state, targetId, m_loads[maxReportAgeSteps - 1 - age], m_now);
}

void CreditNetwork::check()
{
    Capacity sum;
    for (const Execution &execution : m_executions) {
        if (m_now < execution.endsAt && m_now < execution.deadline)
            sum = sum + execution.amount;
    }
    for (const Node &node : m_nodes) {
        const Account *account = node.isUp ? findAccount(node.state, targetId) : nullptr;
        if (!account)
            continue;
        sum = sum + availableCapacity(node.state, *account, m_now);
        for (const std::pair<const RequestId, PendingBorrow> &entry : node.state.pendingBorrows) {
            const CapacityReservation &reservation = node.state.reservations.at(entry.first);
            if (m_now < entry.second.completeBy)
                sum = sum + reservation.ownAmount + reservation.borrowedAmount;
        }
    }
    if (fitsInto(sum, targetCapacity) || m_history.hasViolation)
        return;
    m_history.hasViolation = true;
    m_history.violation = "at " + std::to_string(m_now.count()) + " ms: tokens "
                          + std::to_string(sum.tokens) + ", slots " + std::to_string(sum.slots);
}

} // namespace egretmount::tests

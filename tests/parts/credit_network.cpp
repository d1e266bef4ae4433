#include "credit_network.h"

namespace egretmount::tests {

using namespace credit;
using namespace literals;

namespace {

constexpr int nodeCount = 4;
constexpr Milliseconds stepTime = 20_ms;
constexpr Milliseconds runTime = 16'000_ms;
constexpr Milliseconds longest = 2'000_ms;
constexpr Milliseconds answerTimeout = 150_ms;
constexpr std::size_t reportSteps = 20; // of age at most
const Capacity whole { 1'000, 10 };
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
    target.capacity = whole;
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
    m_loads.assign(reportSteps, {});
    for (int i = 0; i < nodeCount; ++i)
        start(i);
}

CreditHistory CreditNetwork::run()
{
    const Milliseconds end = m_now + runTime;
    while (m_now < end && !m_history.hasViolation) {
        m_now += stepTime;
        changeWorld();
        endWork();
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
    node.state.settings.longestDeadline = longest;
    node.state.lastTick = m_now;
    node.adoptsAt = m_now + m_random.between(0_ms, node.state.settings.listLag);
}

void CreditNetwork::adoptList(int index)
{
    Node &node = m_nodes[index];
    node.listVersion = m_lists.size();
    setTargets(node.state, targets(), Roster(m_lists.back()), m_now);
    setCold(node.state, targetId, false, m_now);
    if (m_fault == CreditFault::NoHoldOff)
        node.state.accounts[targetId].kept = node.state.accounts[targetId].share;
}

void CreditNetwork::changeWorld()
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
        // One that is about to read the list reads the newest.
        if (each.listVersion == m_lists.size())
            each.adoptsAt = m_now + m_random.between(0_ms, lag);
    }
    m_lists.push_back(list);
    m_lastPublication = m_now;
}

void CreditNetwork::stepNode(int index)
{
    Node &node = m_nodes[index];
    const bool hasPaused = m_now - node.state.lastTick > node.state.settings.pauseBound;
    if (m_fault == CreditFault::PauseIgnored)
        node.state.lastTick = m_now;
    if (hasPaused && node.listVersion < m_lists.size())
        node.adoptsAt = m_now + m_random.between(0_ms, node.state.settings.listLag);
    if (node.listVersion < m_lists.size() && m_now >= node.adoptsAt)
        adoptList(index);
    // Decisions may come before the tick that notices a pause.
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
    giveUpAsks(index);
}

void CreditNetwork::giveUpAsks(int index)
{
    EscrowState &state = m_nodes[index].state;
    std::vector<std::uint64_t> unanswered;
    for (const std::pair<const std::uint64_t, Ask> &entry : state.asks) {
        if (m_now - entry.second.sentAt > answerTimeout)
            unanswered.push_back(entry.first);
    }
    for (std::uint64_t number : unanswered)
        follow(index, noteNoAnswer(state, number, m_now));
}

void CreditNetwork::deliver(const Message &message)
{
    Node &node = m_nodes[message.to];
    Message answer;
    answer.from = message.to;
    answer.to = message.from;
    switch (message.kind) {
    case Kind::Ask:
        answer.kind = Kind::Grant;
        if (m_fault == CreditFault::LateSubtraction) {
            EscrowState copy = node.state;
            answer.grant = lend(copy, message.ask, m_now);
            Message later = message;
            later.kind = Kind::Subtract;
            later.at = m_now + 100_ms;
            m_messages.push_back(later);
        } else {
            answer.grant = lend(node.state, message.ask, m_now);
        }
        send(answer);
        break;
    case Kind::Subtract:
        lend(node.state, message.ask, m_now);
        break;
    case Kind::Grant:
        if (m_fault == CreditFault::GrantCountedTwice) {
            const auto seen = node.seenAsks.find(message.grant.number);
            if (seen != node.seenAsks.end())
                node.state.asks[message.grant.number] = seen->second;
        }
        if (m_fault == CreditFault::UsedGrantReturned && message.grant.isGranted
            && node.state.numbersInUse.count(message.grant.number) > 0)
            returnAll(message.to, { { nameOf(message.from), message.grant.number } });
        follow(message.to, noteGrant(node.state, nameOf(message.from), message.grant, m_now));
        break;
    case Kind::Return:
        takeBack(node.state, message.key, targetId, m_now);
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
    request.deadline = m_now + m_random.between(100_ms, longest);
    if (take(node.state, targetId, request, m_now))
        return putInFlight(index, request.id);
    std::vector<InstanceId> lenders;
    const Account *account = findAccount(node.state, targetId);
    if (!account)
        return;
    for (const InstanceId &holder : account->holders) {
        if (holder != node.state.self.instance)
            lenders.push_back(holder);
    }
    follow(index, beginGathering(node.state, targetId, request, lenders, m_now));
}

void CreditNetwork::follow(int index, const GatherStep &step)
{
    Node &node = m_nodes[index];
    returnAll(index, step.returns);
    if (step.state == GatherState::Complete) {
        ++m_history.borrowed;
        putInFlight(index, step.request);
    }
    if (step.state != GatherState::Asking)
        return;
    node.seenAsks[step.ask.number] = node.state.asks[step.ask.number];
    Message message;
    message.kind = Kind::Ask;
    message.from = index;
    message.to = indexOf(step.lender);
    message.ask = step.ask;
    send(message);
}

void CreditNetwork::returnAll(int index, const std::vector<Borrowed> &loans)
{
    for (const Borrowed &loan : loans) {
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
    ++m_history.taken;
    const Node &node = m_nodes[index];
    const Flight &flight = node.state.flights.at(id);
    const Milliseconds deadline = flight.endsAt - node.state.settings.margin;
    m_work.push_back({ id, index, node.state.self.incarnation, flight.ownPart + flight.borrowedPart,
                       deadline, m_now + m_random.between(50_ms, longest) });
}

void CreditNetwork::endWork()
{
    Capacity load;
    for (std::size_t i = m_work.size(); i-- > 0;) {
        Work &work = m_work[i];
        Node &owner = m_nodes[work.owner];
        const bool isOwned = owner.isUp && owner.state.self.incarnation == work.incarnation;
        const bool isAwake = isOwned && m_now >= owner.pausedUntil;
        const bool isOver = m_now >= work.endsAt || m_now >= work.deadline;
        // The connection breaks; the target goes on.
        if (!isOver && isAwake && chance(150)) {
            const bool isCertain = m_fault == CreditFault::UnknownEndIsFree;
            returnAll(work.owner, release(owner.state, work.id, isCertain, m_now));
        }
        if (!isOver) {
            load = load + work.amount;
            continue;
        }
        if (isAwake)
            returnAll(work.owner, release(owner.state, work.id, true, m_now));
        if (isAwake || !isOwned)
            m_work.erase(m_work.begin() + static_cast<std::ptrdiff_t>(i));
    }
    m_loads.push_back(load);
    m_loads.pop_front();
}

void CreditNetwork::report(int index)
{
    // Of an age of up to a report's lag.
    const std::size_t age = m_random.below(reportSteps);
    noteUsed(m_nodes[index].state, targetId, m_loads[reportSteps - 1 - age], m_now);
}

void CreditNetwork::check()
{
    Capacity sum;
    for (const Work &work : m_work) {
        if (m_now < work.endsAt && m_now < work.deadline)
            sum = sum + work.amount;
    }
    for (const Node &node : m_nodes) {
        const Account *account = node.isUp ? findAccount(node.state, targetId) : nullptr;
        if (!account)
            continue;
        sum = sum + room(node.state, *account, m_now);
        for (const std::pair<const RequestId, Gathering> &entry : node.state.gatherings) {
            const Flight &flight = node.state.flights.at(entry.first);
            if (m_now < entry.second.useBy)
                sum = sum + flight.ownPart + flight.borrowedPart;
        }
    }
    if (fitsInto(sum, whole) || m_history.hasViolation)
        return;
    m_history.hasViolation = true;
    m_history.violation = "at " + std::to_string(m_now.count()) + " ms: tokens "
                          + std::to_string(sum.tokens) + ", slots " + std::to_string(sum.slots);
}

} // namespace egretmount::tests

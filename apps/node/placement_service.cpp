#include "placement_service.h"

#include <algorithm>
#include <cmath>

#include <glog/logging.h>

#include <egretmount/core/hash.h>
#include <egretmount/placement/admission.h>
#include <egretmount/placement/engine_cost.h>
#include <egretmount/placement/relocation.h>

#include "fleet_service.h"
#include "peer_service.h"
#include "platform/orders.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// Costs of a candidate, as shares of the request's weight.
constexpr double unlistedPenalty = 0.5; // may have left already
constexpr double coldPenalty = 0.3; // slow for its first seconds
constexpr double failurePenalty = 1; // times the share of recent sends that failed
constexpr double distrustPenalty = 1;
// Distrusted targets are left out as long as this share of a service's targets is trusted. Below
// it the rest would be crowded, and the fault may be this instance's own.
constexpr double trustedShare = 0.7;
constexpr double otherZonePenalty = 0.001; // breaks ties; a hop costs a millisecond or two
// Breaks ties differently on each instance: two that place at the same moment should not meet.
constexpr double ownOrderPenalty = 0.002;
// A request is refused if its answer is expected later than this share of the caller's patience:
// the estimate is off by a fifth or so.
constexpr double patienceShare = 0.9;
// When to come back if no target is known: targets register again within about two seconds.
constexpr Milliseconds noTargetDelay = Milliseconds(1'000);
constexpr Milliseconds fullDelay = Milliseconds(400); // about a quarter of an answer's writing time
// A part is sent although its engines have this much left to read, milliseconds: it is on the way
// for a few, and estimates are no better.
constexpr double startTolerance = 25;
// How often a waiting prompt looks whether it has its turn and engines are free.
constexpr Milliseconds askAgainDelay = Milliseconds(20);
// Long prompts are few: their demand is averaged over some of them.
constexpr Milliseconds longDemandWindow = Milliseconds(4'000);
constexpr Milliseconds ledgerSweep = Milliseconds(250);

Milliseconds roundedUp(double milliseconds)
{
    return Milliseconds(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

} // namespace

PlacementService::PlacementService(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_random(std::random_device()())
    , m_nextWork(m_random())
{
    m_longReading.window = longDemandWindow;
}

void PlacementService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    m_targets = &m_registry.find<TargetPool>();
    m_reactor.every(ledgerSweep, [this] { placement::removeExpired(m_ledger, m_reactor.now()); });
}

std::vector<const fleet::Target *>
PlacementService::usableTargets(const ServiceId &service, const std::set<TargetId> &excluded) const
{
    std::vector<const fleet::Target *> trusted;
    std::vector<const fleet::Target *> distrusted;
    for (const auto &[id, target] : m_fleet->table().targets) {
        if (target.entry.service != service || excluded.count(id) > 0
            || !fleet::isUsable(m_fleet->table(), target))
            continue;
        (m_targets->isDistrusted(keyOf(id)) ? distrusted : trusted).push_back(&target);
    }
    const double all = static_cast<double>(trusted.size() + distrusted.size());
    if (static_cast<double>(trusted.size()) < trustedShare * all)
        trusted.insert(trusted.end(), distrusted.begin(), distrusted.end());
    return trusted;
}

placement::Candidate PlacementService::candidateOf(const fleet::Target &target,
                                                   const fleet::ServiceSpec &service,
                                                   double weight) const
{
    placement::Candidate candidate;
    candidate.key = keyOf(target.entry.id);
    const TargetHealth &health = m_targets->health(candidate.key);
    candidate.penalty = failurePenalty * health.failureRate;
    if (m_targets->isDistrusted(candidate.key)) {
        candidate.penalty += distrustPenalty;
        candidate.mayHelp = false;
    }
    if (target.isUnlisted)
        candidate.penalty += unlistedPenalty;
    if (target.entry.zone != m_fleet->settings().zone)
        candidate.penalty += otherZonePenalty;
    const std::uint64_t own = stableHash(m_fleet->settings().host, candidate.key);
    candidate.penalty += ownOrderPenalty * static_cast<double>(own % 1'000) / 1'000;
    if (fleet::isCold(target, m_reactor.now())) {
        candidate.penalty += coldPenalty;
        candidate.mayHelp = false;
        candidate.mayReceive =
            limits::coldShare(target.entry.id, service.coldRequestsPerSecond,
                              InstanceId(m_fleet->settings().host), m_peers->living())
            > 0;
    }
    candidate.penalty *= weight;
    return candidate;
}

placement::Outlook PlacementService::outlook() const
{
    // Callers spread over the instances at random, so each one sees its share of the demand. What
    // is known to be in hand bounds the estimate from below; requests that were refused are missing
    // there.
    const double inHand =
        static_cast<double>(std::count_if(m_ledger.works.begin(), m_ledger.works.end(),
                                          [&](const auto &entry) { return entry.second.isShort; }));
    const double expected = placement::expectedInHand(m_shortDemand, m_reactor.now())
                            * static_cast<double>(m_peers->servingHosts().size());
    return { std::max(inHand, (inHand + expected) / 2) };
}

Decision PlacementService::placePrompt(const fleet::ServiceSpec &service, placement::Demand demand,
                                       const std::set<TargetId> &excluded, Milliseconds life,
                                       std::uint64_t work, bool hasRun)
{
    const Milliseconds now = m_reactor.now();
    const bool isShort = placement::isShort(*service.engine, demand.promptTokens);
    if (!hasRun && isShort)
        placement::noteArrival(m_shortDemand, 1, now);
    demand.mayWait = !hasRun;
    const bool hasTurn = m_peers->isSettled()
                         && placement::isFirstInLine(
                             m_ledger, work, turnOf(service, demand),
                             placement::partReadingTime(*service.engine, demand.promptTokens, 1));
    if (!isShort && !hasRun && work == 0) {
        const placement::LongLane lane = longLane(service, demand);
        if (!placement::isWorthTaking(*service.engine, lane, demand)) {
            const double reading =
                placement::partReadingTime(*service.engine, demand.promptTokens, 1);
            return Refusal { RefusalReason::Overloaded,
                             roundedUp(placement::expectedWait(lane, reading)), lane };
        }
    }
    if (!isShort && !hasRun && !hasTurn)
        return wait(service, demand, life, work);
    std::set<TargetId> unavailable = excluded;
    while (true) {
        const std::vector<const fleet::Target *> targets = usableTargets(service.id, unavailable);
        if (targets.empty())
            return Refusal { RefusalReason::NoTarget, noTargetDelay };
        std::vector<placement::Candidate> candidates;
        candidates.reserve(targets.size());
        for (const fleet::Target *target : targets)
            candidates.push_back(candidateOf(*target, service, demand.weight));
        const std::optional<placement::Plan> plan =
            placement::planPlacement(m_ledger, *service.engine, candidates, demand, outlook(), now);
        if (!plan) {
            // Once for each request: one that waits asks again many times a second.
            if (work == 0) {
                LOG(INFO) << "placement: no place service=" << service.id.value
                          << " tokens=" << demand.promptTokens << " usable=" << targets.size()
                          << " short_expected=" << outlook().shortRequests
                          << " in_hand=" << m_ledger.works.size()
                          << " waiting=" << m_ledger.waiting.size();
            }
            const bool mayWait = !hasRun && !isShort && demand.waited < demand.latencyTarget;
            if (mayWait)
                return wait(service, demand, life, work);
            return Refusal { RefusalReason::AllFull, fullDelay };
        }
        const double latest = patienceShare * static_cast<double>(demand.patience.count());
        if (!hasRun && plan->firstEventMs > latest) {
            const double after =
                plan->firstEventMs - static_cast<double>(demand.latencyTarget.count());
            return Refusal { RefusalReason::TooLate, roundedUp(after) };
        }
        if (plan->startMs > startTolerance)
            return wait(service, demand, life, work);
        const fleet::Target *first = m_fleet->targetWithKey(plan->engines.front());
        if (!fleet::isCold(*first, now)
            || limits::takeColdRequest(m_coldGate, first->entry.id, service.coldRequestsPerSecond,
                                       InstanceId(m_fleet->settings().host), m_peers->living(),
                                       now))
            return enter(service, demand, *plan, life, work);
        unavailable.insert(first->entry.id);
    }
}

placement::LongLane PlacementService::longLane(const fleet::ServiceSpec &service,
                                               const placement::Demand &demand) const
{
    const std::vector<const fleet::Target *> targets = usableTargets(service.id, {});
    placement::LongLane lane;
    const int all = static_cast<int>(targets.size());
    lane.engines = all - placement::shortLaneSize(*service.engine, outlook(), all);
    for (const fleet::Target *target : targets)
        lane.backlogMs += readingBacklog(target->entry.id);
    lane.demand = placement::currentRate(m_longReading, m_reactor.now())
                  / (1'000.0 * std::max(lane.engines, 1));
    lane.waitingMs = placement::readingAhead(
        m_ledger, turnOf(service, demand),
        placement::partReadingTime(*service.engine, demand.promptTokens, 1));
    return lane;
}

Milliseconds PlacementService::turnOf(const fleet::ServiceSpec &service,
                                      const placement::Demand &demand) const
{
    return placement::turnOf(m_reactor.now() - demand.waited,
                             placement::partReadingTime(*service.engine, demand.promptTokens, 1));
}

Waiting PlacementService::wait(const fleet::ServiceSpec &service, const placement::Demand &demand,
                               Milliseconds life, std::uint64_t work)
{
    if (work != 0 && m_ledger.waiting.count(work) > 0)
        return { work, askAgainDelay };
    placement::WaitingWork waiting;
    waiting.id = work != 0 ? work : ++m_nextWork;
    waiting.owner = m_fleet->settings().host;
    waiting.readingMs = placement::partReadingTime(*service.engine, demand.promptTokens, 1);
    waiting.turn = turnOf(service, demand);
    waiting.expiresAt = m_reactor.now() + life;
    placement::addWaiting(m_ledger, waiting);
    m_peers->tellPlaced(waiting.id);
    return { waiting.id, askAgainDelay };
}

Placement PlacementService::enter(const fleet::ServiceSpec &service,
                                  const placement::Demand &demand, const placement::Plan &plan,
                                  Milliseconds life, std::uint64_t work)
{
    const Milliseconds now = m_reactor.now();
    Placement placed;
    placed.target = m_fleet->targetWithKey(plan.engines.front())->entry;
    placed.expectedMs = plan.firstEventMs;
    placed.partMs = plan.partMs;
    placed.work = work != 0 ? work : ++m_nextWork;
    for (std::size_t i = 1; i < plan.engines.size(); ++i) {
        const fleet::TargetEntry &helper = m_fleet->targetWithKey(plan.engines[i])->entry;
        std::string ticket;
        if (plan.memory[i] > 0) {
            // Never the same name twice: an order without an answer may be carried out much later.
            ticket = 'e' + std::to_string(placed.work) + '-' + std::to_string(++m_lastTicket);
            placed.tickets.push_back({ helper.address, ticket, plan.memory[i] });
        }
        placed.helpers.push_back(helper.id);
        placed.helperNames.push_back(platform::helperName(helper.address, ticket));
    }
    placement::Work entry;
    entry.id = placed.work;
    entry.owner = m_fleet->settings().host;
    entry.engines = plan.engines;
    entry.memory = plan.memory;
    entry.promptTokens = demand.promptTokens;
    entry.isShort = placement::isShort(*service.engine, demand.promptTokens);
    entry.partMs = plan.partMs;
    entry.weight = demand.weight;
    entry.latencyTarget = demand.latencyTarget;
    entry.dueAt = now - demand.waited + demand.latencyTarget;
    entry.pauseTarget = demand.pauseTarget;
    entry.placedAt = now;
    entry.expiresAt = now + life;
    noteNewWork(entry);
    placement::addWork(m_ledger, std::move(entry));
    m_peers->tellPlaced(placed.work);
    return placed;
}

Decision PlacementService::placePlain(const fleet::ServiceSpec &service,
                                      const std::set<TargetId> &excluded)
{
    const Milliseconds now = m_reactor.now();
    const fleet::Target *best = nullptr;
    double bestCost = 0;
    std::uniform_real_distribution<double> tie(0, 0.05);
    for (const fleet::Target *target : usableTargets(service.id, excluded)) {
        const placement::Candidate candidate = candidateOf(*target, service, 1);
        if (!candidate.mayReceive)
            continue;
        const double load =
            static_cast<double>(m_targets->health(candidate.key).inHand) / target->entry.slots;
        const double cost = load + candidate.penalty + tie(m_random);
        if (best == nullptr || cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    if (best == nullptr)
        return Refusal { RefusalReason::NoTarget, noTargetDelay };
    if (fleet::isCold(*best, now)
        && !limits::takeColdRequest(m_coldGate, best->entry.id, service.coldRequestsPerSecond,
                                    InstanceId(m_fleet->settings().host), m_peers->living(), now))
        return Refusal { RefusalReason::AllFull, fullDelay };
    Placement placed;
    placed.target = best->entry;
    return placed;
}

void PlacementService::noteWriting(std::uint64_t work, double expectedMs, double takenMs,
                                   std::optional<int> inHand)
{
    const placement::Work *known = findWork(work);
    if (known == nullptr)
        return;
    const placement::EngineKey target = known->engines.front();
    placement::notePace(m_ledger, work, expectedMs, takenMs);
    placement::noteWriting(m_ledger, work, m_reactor.now());
    if (inHand)
        placement::noteReport(m_ledger, target, *inHand, m_reactor.now());
    m_peers->tellWriting(work, target, inHand);
}

double PlacementService::readingBacklog(const TargetId &target) const
{
    return placement::readingBacklog(m_ledger, keyOf(target), m_reactor.now());
}

void PlacementService::noteEnd(std::uint64_t work, bool isServed)
{
    if (work == 0)
        return;
    const placement::Work *known = findWork(work);
    if (known != nullptr && isServed && known->isShort)
        placement::noteServed(m_shortDemand, m_reactor.now() - known->placedAt);
    placement::removeWork(m_ledger, work, m_reactor.now());
    m_peers->tellEnded(work);
}

void PlacementService::noteNewWork(const placement::Work &work)
{
    if (work.partMs >= placement::relocationFromMs) {
        // The work is in the ledger when the listeners ask for the engines' backlogs.
        m_reactor.defer([this, engines = work.engines] {
            for (const auto &listener : m_readingListeners)
                listener(engines);
        });
    }
    if (!work.isShort) {
        placement::noteArrival(
            m_longReading, work.partMs * static_cast<double>(work.engines.size()), m_reactor.now());
    }
}

const placement::Work *PlacementService::findWork(std::uint64_t id) const
{
    const auto found = m_ledger.works.find(id);
    return found == m_ledger.works.end() ? nullptr : &found->second;
}

const placement::WaitingWork *PlacementService::findWaiting(std::uint64_t id) const
{
    const auto found = m_ledger.waiting.find(id);
    return found == m_ledger.waiting.end() ? nullptr : &found->second;
}

std::vector<const placement::WaitingWork *> PlacementService::ownWaiting() const
{
    std::vector<const placement::WaitingWork *> all;
    for (const auto &[id, waiting] : m_ledger.waiting) {
        if (waiting.owner == m_fleet->settings().host)
            all.push_back(&waiting);
    }
    return all;
}

std::vector<const placement::Work *> PlacementService::ownWorks() const
{
    std::vector<const placement::Work *> works;
    for (const auto &[id, work] : m_ledger.works) {
        if (work.owner == m_fleet->settings().host)
            works.push_back(&work);
    }
    return works;
}

} // namespace egretmount::node

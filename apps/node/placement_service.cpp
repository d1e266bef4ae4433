#include "placement_service.h"

#include <algorithm>
#include <cmath>

#include <glog/logging.h>

#include <egretmount/core/hash.h>
#include <egretmount/placement/admission.h>
#include <egretmount/placement/engine_cost.h>
#include <egretmount/placement/load_estimate.h>
#include <egretmount/placement/migration.h>

#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "platform/orders.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// Cost penalties of a candidate, as fractions of the request's weight.
constexpr double unlistedPenalty = 0.5; // an unlisted target may already have left
constexpr double coldPenalty = 0.3; // a cold target is slow for its first seconds
constexpr double failurePenalty = 1; // multiplied by the share of recent sends that failed
constexpr double ejectedPenalty = 1;
// Ejected targets are excluded while at least this share of the service's targets is healthy. Below
// it, the healthy targets would be overloaded, and the fault may lie with this instance.
constexpr double minHealthyShare = 0.7;
// A tie-breaker: a hop to another zone costs only a millisecond or two.
constexpr double otherZonePenalty = 0.001;
// Breaks ties differently on each instance, so that simultaneous placements use different targets.
constexpr double tieBreakPenalty = 0.002;
// A request is refused if its first event is expected later than this share of the client timeout,
// because the estimate is off by about a fifth.
constexpr double clientTimeoutShare = 0.9;
// If no target is known: targets register again within about two seconds.
constexpr Milliseconds noTargetRetryAfter = Milliseconds(1'000);
// About a quarter of the decode time of a response.
constexpr Milliseconds allFullRetryAfter = Milliseconds(400);
// A request is sent even if its engines still have this much prefill left: it takes a few
// milliseconds to arrive, and the estimates are no more accurate than this.
constexpr double maxStartDelayMs = 25;
// How often a queued prompt checks whether it is first in the queue and engines are free.
constexpr Milliseconds queuePollInterval = Milliseconds(20);
// Long prompts are rare, so the window must be long enough to average over several of them.
constexpr Milliseconds longDemandWindow = Milliseconds(4'000);
constexpr Milliseconds expirySweepInterval = Milliseconds(250);
// Configurations and instances change rarely, and a large configuration takes a while to look at.
constexpr Milliseconds policyUpdateInterval = Milliseconds(1'000);

Milliseconds roundedUp(double milliseconds)
{
    return Milliseconds(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

// True if no engine can take the request now, whether it is queued or refused for it.
bool hasNoCapacity(const PromptDecision &decision)
{
    const QueueReason *queued = std::get_if<QueueReason>(&decision);
    const Refusal *refusal = std::get_if<Refusal>(&decision);
    return (queued != nullptr && *queued == QueueReason::NoCapacity)
           || (refusal != nullptr && refusal->reason == RefusalReason::AllFull);
}

Audience audienceOf(const placement::InFlightRequest &request)
{
    return request.isCellLocal ? Audience::Cell : Audience::Fleet;
}

} // namespace

PlacementService::PlacementService(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                                   placement::LoadPolicyMode loadPolicyMode)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_loadPolicyMode(loadPolicyMode)
    , m_random(std::random_device()())
    , m_lastEntryId(m_random())
{
    m_longPrefillDemand.window = longDemandWindow;
}

void PlacementService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    m_targets = &m_registry.find<TargetPool>();
    m_loadTracker.self = m_fleet->settings().host;
    m_reactor.every(expirySweepInterval,
                    [this] { placement::removeExpired(m_loadTracker, m_reactor.now()); });
    m_reactor.every(policyUpdateInterval, [this] { updateLoadPolicy(); });
    m_fleet->onConfigured([this] { updateLoadPolicy(); });
    m_metrics = &m_registry.find<MetricsService>();
    m_metrics->addGauge("load_policy_on", [this] { return m_loadPolicy.isOn ? 1.0 : 0.0; });
    m_metrics->addGauge("queued_prompts",
                        [this] { return static_cast<double>(m_loadTracker.queued.size()); });
    m_metrics->addGauge("busiest_engine_over_mean", [this] { return busiestOverMean(); });
    m_metrics->addGauge("short_unannounced", [this] {
        return m_loadPolicy.isOn ? unannouncedArrivals(m_shortDemand) : 0.0;
    });
    addAdmissionGauges();
}

void PlacementService::updateLoadPolicy()
{
    const std::shared_ptr<const fleet::Configuration> configuration = m_fleet->configuration();
    const fleet::Configuration none;
    const placement::LoadPolicy policy = placement::policyFor(
        m_loadPolicyMode, configuration ? *configuration : none, fleetSize(configuration.get()));
    if (policy != m_loadPolicy) {
        LOG(INFO) << "placement: load policy changed on=" << policy.isOn
                  << " ranks=" << policy.hasRanks << " mode=" << nameOf(m_loadPolicyMode);
    }
    m_loadPolicy = policy;
    m_loadTracker.policy = policy;
}

placement::FleetSize PlacementService::fleetSize(const fleet::Configuration *configuration) const
{
    placement::FleetSize size { m_peers->livingCount(), 0 };
    if (configuration == nullptr)
        return size;
    for (const auto &[id, target] : m_fleet->table().targets) {
        const fleet::ServiceSpec *service =
            fleet::findService(*configuration, target.entry.service);
        size.engines += service != nullptr && service->engine ? 1 : 0;
    }
    return size;
}

bool PlacementService::isUsable(const fleet::Target &target, const ServiceId &service,
                                const std::set<TargetId> &excluded) const
{
    return target.entry.service == service && excluded.count(target.entry.id) == 0
           && fleet::isUsable(m_fleet->table(), target) && m_targets->acceptsWork(target.entry);
}

std::vector<const fleet::Target *>
PlacementService::usableTargets(const ServiceId &service, const std::set<TargetId> &excluded) const
{
    std::vector<const fleet::Target *> healthy;
    std::vector<const fleet::Target *> ejected;
    for (const auto &[id, target] : m_fleet->table().targets) {
        if (!isUsable(target, service, excluded))
            continue;
        (m_targets->isEjected(keyOf(id)) ? ejected : healthy).push_back(&target);
    }
    const double all = static_cast<double>(healthy.size() + ejected.size());
    if (static_cast<double>(healthy.size()) < minHealthyShare * all)
        healthy.insert(healthy.end(), ejected.begin(), ejected.end());
    return healthy;
}

Milliseconds PlacementService::timeUntilTarget(const ServiceId &service) const
{
    std::vector<const fleet::Target *> targets;
    for (const auto &[id, target] : m_fleet->table().targets) {
        if (target.entry.service == service && fleet::isUsable(m_fleet->table(), target))
            targets.push_back(&target);
    }
    return m_targets->timeUntilReturn(targets).value_or(Milliseconds());
}

Refusal PlacementService::noTargetRefusal(const ServiceId &service) const
{
    const Milliseconds untilReturn = timeUntilTarget(service);
    if (untilReturn > Milliseconds())
        return { RefusalReason::TurnedAway, untilReturn };
    return { RefusalReason::NoTarget, noTargetRetryAfter };
}

placement::Candidate PlacementService::candidateOf(const fleet::Target &target,
                                                   const fleet::ServiceSpec &service,
                                                   double weight) const
{
    placement::Candidate candidate;
    candidate.key = keyOf(target.entry.id);
    const TargetHealth &health = m_targets->health(candidate.key);
    candidate.penalty = failurePenalty * health.failureRate;
    if (m_targets->isEjected(candidate.key)) {
        candidate.penalty += ejectedPenalty;
        candidate.canBeHelper = candidate.canBeInShortPool = false;
    }
    // It stays in the short pool: only a response can tell that the limit has ended.
    if (m_targets->isLimited(target.entry))
        candidate.canBeHelper = false;
    if (target.isUnlisted)
        candidate.penalty += unlistedPenalty;
    if (target.entry.zone != m_fleet->settings().zone)
        candidate.penalty += otherZonePenalty;
    // With the policy on, the planner breaks ties differently for each request.
    if (!m_loadPolicy.isOn) {
        const std::uint64_t tieBreak = stableHash(m_fleet->settings().host, candidate.key);
        candidate.penalty += tieBreakPenalty * static_cast<double>(tieBreak % 1'000) / 1'000;
    }
    if (fleet::isCold(target, m_reactor.now())) {
        candidate.penalty += coldPenalty;
        candidate.canBeHelper = candidate.canBeInShortPool = false;
        candidate.canBePrimary =
            limits::coldRateShare(target.entry.id, service.coldRequestsPerSecond,
                                  InstanceId(m_fleet->settings().host), m_peers->living())
            > 0;
    }
    candidate.penalty *= weight;
    return candidate;
}

std::vector<placement::Candidate>
PlacementService::candidatesOf(const std::vector<const fleet::Target *> &targets,
                               const fleet::ServiceSpec &service, double weight) const
{
    std::vector<placement::Candidate> candidates;
    candidates.reserve(targets.size());
    for (const fleet::Target *target : targets)
        candidates.push_back(candidateOf(*target, service, weight));
    return candidates;
}

placement::DemandForecast
PlacementService::demandForecast(const placement::DemandRate &shortDemand) const
{
    // Callers choose instances at random, so each cell receives an equal share of the demand. The
    // number of tracked in-flight requests is a lower bound of the estimate, as it does not include
    // refused requests.
    const placement::Cell &cell = m_peers->cell();
    double inFlight = 0;
    for (const auto &[id, request] : m_loadTracker.inFlight) {
        if (request.isShort)
            inFlight += request.isCellLocal ? cell.count : 1;
    }
    if (m_loadPolicy.isOn) {
        inFlight =
            std::max(inFlight, placement::knownShortRequests(m_loadTracker, m_reactor.now()));
    }
    const double expected = placement::expectedInFlight(shortDemand, m_reactor.now()) * cell.count;
    return { std::max(inFlight, (inFlight + expected) / 2),
             cell.count,
             cell.index,
             m_loadPolicy,
             unannouncedArrivals(shortDemand),
             unannouncedEndShare(shortDemand) };
}

double PlacementService::unannouncedEndShare(const placement::DemandRate &shortDemand) const
{
    return placement::unannouncedEndShare(m_peers->meanEndDelay(), shortDemand.secondsInFlight);
}

double PlacementService::unannouncedArrivals(const placement::DemandRate &shortDemand) const
{
    return placement::unannouncedArrivals(shortDemand, m_peers->cell().members.size(),
                                          m_reactor.now());
}

Decision PlacementService::placePrompt(const fleet::ServiceSpec &service, placement::Demand demand,
                                       const std::set<TargetId> &excluded, Milliseconds timeLeft,
                                       std::uint64_t entryId, bool wasSent)
{
    const bool isShort = placement::isShort(*service.engine, demand.promptTokens);
    if (!wasSent && isShort && demand.deferralId == 0)
        recordShortArrival(service.id);
    demand.mayWait = !wasSent;
    demand.choiceSeed = choiceSeed(entryId);
    std::set<TargetId> unavailable = excluded;
    const PromptDecision decision = decidePrompt(service, demand, unavailable, timeLeft, entryId,
                                                 wasSent, m_shortDemand, m_coldTargetLimiter);
    // Logged once per request, because a queued request polls many times a second.
    if (entryId == 0 && hasNoCapacity(decision)) {
        LOG(INFO) << "placement: too few engines have a free slot and enough memory"
                  << (m_loadPolicy.isOn ? " or accept a long prompt now" : "")
                  << " service=" << service.id.value << " tokens=" << demand.promptTokens
                  << " usable=" << usableTargets(service.id, unavailable).size()
                  << " short_expected=" << demandForecast(m_shortDemand).shortRequests
                  << " in_hand=" << m_loadTracker.inFlight.size()
                  << " waiting=" << m_loadTracker.queued.size();
    }
    if (const placement::Plan *plan = std::get_if<placement::Plan>(&decision))
        return commitPlacement(service, demand, *plan, timeLeft, entryId);
    if (const Deferral *deferral = std::get_if<Deferral>(&decision))
        return defer(demand, *deferral);
    if (std::holds_alternative<QueueReason>(decision))
        return enqueueRequest(service, demand, timeLeft, entryId);
    const Refusal &refusal = std::get<Refusal>(decision);
    if (refusal.reason == RefusalReason::Congested)
        ++m_admissionRefusals;
    return refusal;
}

std::uint64_t PlacementService::choiceSeed(std::uint64_t entryId) const
{
    // The id of the request in the load tracker; no two instances use the same ones.
    if (!m_loadPolicy.isOn)
        return 0;
    return entryId != 0 ? entryId : m_lastEntryId + 1;
}

PromptDecision PlacementService::decidePrompt(
    const fleet::ServiceSpec &service, const placement::Demand &demand,
    std::set<TargetId> &unavailable, Milliseconds timeLeft, std::uint64_t entryId, bool wasSent,
    const placement::DemandRate &shortDemand, limits::ColdTargetLimiter &coldTargetLimiter) const
{
    const Milliseconds now = m_reactor.now();
    const bool isShort = placement::isShort(*service.engine, demand.promptTokens);
    // Also for prompts that are not first in the queue: waiting there would be in vain.
    const std::map<TargetId, fleet::Target> &known = m_fleet->table().targets;
    if (m_targets->hasNotices() && std::none_of(known.begin(), known.end(), [&](const auto &entry) {
            return isUsable(entry.second, service.id, unavailable);
        }))
        return noTargetRefusal(service.id);
    const bool isNextInQueue =
        m_peers->hasJoined()
        && placement::isFirstInQueue(
            m_loadTracker, entryId, virtualArrival(service, demand),
            placement::shardPrefillTime(*service.engine, demand.promptTokens, 1));
    if (!isShort && !wasSent && !demand.isAdmitted && entryId == 0) {
        const placement::LongPool longPool = longPoolLoad(service, demand, shortDemand);
        if (!placement::shouldAdmit(*service.engine, longPool, demand,
                                    relativeWeight(service.id, demand))) {
            const double prefillMs =
                placement::shardPrefillTime(*service.engine, demand.promptTokens, 1);
            return Refusal { RefusalReason::Overloaded,
                             roundedUp(placement::expectedQueueingTime(longPool, prefillMs)),
                             longPool };
        }
    }
    if (!isShort && !wasSent && !isNextInQueue)
        return m_peers->hasJoined() ? QueueReason::PromptsAhead : QueueReason::NotJoined;
    const bool mayDefer = m_loadPolicy.isOn && isShort && !wasSent && !demand.isAdmitted;
    if (mayDefer && demand.deferralId != 0) {
        if (const std::optional<PromptDecision> decision =
                remainsDeferred(service, demand, unavailable, timeLeft))
            return *decision;
    }
    while (true) {
        const std::vector<const fleet::Target *> targets = usableTargets(service.id, unavailable);
        if (targets.empty())
            return noTargetRefusal(service.id);
        const std::vector<placement::Candidate> candidates =
            candidatesOf(targets, service, demand.weight);
        const std::optional<placement::Plan> plan = placement::planPlacement(
            m_loadTracker, *service.engine, candidates, demand, demandForecast(shortDemand), now);
        if (mayDefer) {
            if (const std::optional<PromptDecision> decision =
                    deferOrRefuse(service, demand, plan, targets, timeLeft))
                return *decision;
        }
        if (!plan) {
            if (!wasSent
                && placement::mayWaitWithoutPlan(*service.engine, demand, m_loadPolicy, timeLeft))
                return QueueReason::NoCapacity;
            return Refusal { RefusalReason::AllFull, allFullRetryAfter };
        }
        const double latestFirstEventMs =
            clientTimeoutShare * static_cast<double>(demand.clientTimeout.count());
        if (!wasSent && plan->firstEventMs > latestFirstEventMs) {
            const double lateByMs =
                plan->firstEventMs - static_cast<double>(demand.latencyTarget.count());
            return Refusal { RefusalReason::TooLate, roundedUp(lateByMs) };
        }
        if (plan->startDelayMs > maxStartDelayMs)
            return QueueReason::EnginesBusy;
        const fleet::Target *first = m_fleet->findTarget(plan->engines.front());
        if (tryAcquireIfCold(coldTargetLimiter, *first, service))
            return *plan;
        unavailable.insert(first->entry.id);
    }
}

placement::LongPool PlacementService::longPoolLoad(const fleet::ServiceSpec &service,
                                                   const placement::Demand &demand,
                                                   const placement::DemandRate &shortDemand) const
{
    const std::vector<const fleet::Target *> targets = usableTargets(service.id, {});
    placement::LongPool longPool;
    const int all = static_cast<int>(targets.size());
    longPool.engines =
        all - placement::enginesKeptFromLong(*service.engine, demandForecast(shortDemand), all);
    for (const fleet::Target *target : targets)
        longPool.backlogMs += prefillBacklog(target->entry.id);
    longPool.demand = placement::currentRate(m_longPrefillDemand, m_reactor.now())
                      / (1'000.0 * std::max(longPool.engines, 1));
    longPool.queuedMs = placement::prefillQueuedAhead(
        m_loadTracker, virtualArrival(service, demand),
        placement::shardPrefillTime(*service.engine, demand.promptTokens, 1));
    return longPool;
}

Milliseconds PlacementService::virtualArrival(const fleet::ServiceSpec &service,
                                              const placement::Demand &demand) const
{
    return placement::virtualArrival(
        m_reactor.now() - demand.waited,
        placement::shardPrefillTime(*service.engine, demand.promptTokens, 1));
}

Queued PlacementService::enqueueRequest(const fleet::ServiceSpec &service,
                                        const placement::Demand &demand, Milliseconds timeLeft,
                                        std::uint64_t entryId)
{
    if (entryId != 0 && m_loadTracker.queued.count(entryId) > 0)
        return { entryId, queuePollInterval };
    placement::QueuedRequest waiting;
    waiting.id = entryId != 0 ? entryId : ++m_lastEntryId;
    waiting.owner = m_fleet->settings().host;
    waiting.prefillMs = placement::shardPrefillTime(*service.engine, demand.promptTokens, 1);
    waiting.virtualArrival = virtualArrival(service, demand);
    waiting.expiresAt = m_reactor.now() + timeLeft;
    waiting.rank = demand.rank;
    waiting.team = demand.team;
    placement::enqueue(m_loadTracker, waiting);
    m_peers->broadcastPlaced(waiting.id, Audience::Fleet);
    return { waiting.id, queuePollInterval };
}

Placement PlacementService::commitPlacement(const fleet::ServiceSpec &service,
                                            const placement::Demand &demand,
                                            const placement::Plan &plan, Milliseconds timeLeft,
                                            std::uint64_t entryId)
{
    const Milliseconds now = m_reactor.now();
    Placement placed;
    placed.target = m_fleet->findTarget(plan.engines.front())->entry;
    placed.expectedMs = plan.firstEventMs;
    placed.shardPrefillMs = plan.shardPrefillMs;
    placed.entryId = entryId != 0 ? entryId : ++m_lastEntryId;
    for (std::size_t i = 1; i < plan.engines.size(); ++i) {
        const fleet::TargetEntry &helper = m_fleet->findTarget(plan.engines[i])->entry;
        std::string reservation;
        if (plan.memory[i] > 0) {
            // Names are never reused, because an engine may carry out an order that got no response
            // much later.
            reservation =
                'e' + std::to_string(placed.entryId) + '-' + std::to_string(++m_lastReservation);
            placed.reservations.push_back({ helper, reservation, plan.memory[i] });
        }
        placed.helpers.push_back(helper.id);
        placed.helperNames.push_back(platform::helperName(helper.address, reservation));
    }
    placement::InFlightRequest entry;
    entry.id = placed.entryId;
    entry.owner = m_fleet->settings().host;
    entry.engines = plan.engines;
    entry.memory = plan.memory;
    entry.promptTokens = demand.promptTokens;
    entry.isShort = placement::isShort(*service.engine, demand.promptTokens);
    entry.shardPrefillMs = plan.shardPrefillMs;
    entry.weight = demand.weight;
    entry.latencyTarget = demand.latencyTarget;
    entry.dueAt = now - demand.waited + demand.latencyTarget;
    entry.eventGapTarget = demand.eventGapTarget;
    entry.placedAt = now;
    entry.expiresAt = now + timeLeft;
    entry.rank = demand.rank;
    entry.team = demand.team;
    entry.isCellLocal = entry.isShort && plan.isWithinCell && m_peers->cell().count > 1;
    recordNewRequest(entry);
    placement::addInFlight(m_loadTracker, std::move(entry));
    m_peers->broadcastPlaced(placed.entryId, audienceOf(*findInFlight(placed.entryId)));
    return placed;
}

bool PlacementService::tryAcquireIfCold(limits::ColdTargetLimiter &limiter,
                                        const fleet::Target &target,
                                        const fleet::ServiceSpec &service) const
{
    const Milliseconds now = m_reactor.now();
    return !fleet::isCold(target, now)
           || limits::tryAcquireCold(limiter, target.entry.id, service.coldRequestsPerSecond,
                                     InstanceId(m_fleet->settings().host), m_peers->living(), now);
}

const fleet::Target *PlacementService::leastLoaded(const fleet::ServiceSpec &service,
                                                   const std::set<TargetId> &excluded)
{
    const fleet::Target *best = nullptr;
    double bestCost = 0;
    std::uniform_real_distribution<double> tie(0, 0.05);
    for (const fleet::Target *target : usableTargets(service.id, excluded)) {
        const placement::Candidate candidate = candidateOf(*target, service, 1);
        if (!candidate.canBePrimary)
            continue;
        const double load =
            static_cast<double>(m_targets->health(candidate.key).inFlight) / target->entry.slots;
        const double cost = load + candidate.penalty + tie(m_random);
        if (best == nullptr || cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    return best;
}

Decision PlacementService::placePlain(const fleet::ServiceSpec &service,
                                      const std::set<TargetId> &excluded)
{
    const fleet::Target *best = leastLoaded(service, excluded);
    if (best == nullptr)
        return noTargetRefusal(service.id);
    if (!tryAcquireIfCold(m_coldTargetLimiter, *best, service))
        return Refusal { RefusalReason::AllFull, allFullRetryAfter };
    Placement placed;
    placed.target = best->entry;
    return placed;
}

std::optional<Proposal> PlacementService::proposePrompt(const fleet::ServiceSpec &service,
                                                        placement::Demand demand,
                                                        const std::set<TargetId> &excluded,
                                                        Milliseconds timeLeft) const
{
    demand.mayWait = false;
    demand.choiceSeed = choiceSeed(0);
    std::set<TargetId> unavailable = excluded;
    limits::ColdTargetLimiter coldTargetLimiter = m_coldTargetLimiter;
    const PromptDecision decision = decidePrompt(service, demand, unavailable, timeLeft, 0, true,
                                                 m_shortDemand, coldTargetLimiter);
    const placement::Plan *plan = std::get_if<placement::Plan>(&decision);
    if (plan == nullptr)
        return std::nullopt;
    Proposal proposal;
    proposal.placement.target = m_fleet->findTarget(plan->engines.front())->entry;
    proposal.placement.expectedMs = plan->firstEventMs;
    proposal.plan = *plan;
    proposal.demand = demand;
    return proposal;
}

std::optional<Proposal> PlacementService::proposePlain(const fleet::ServiceSpec &service,
                                                       const std::set<TargetId> &excluded)
{
    const fleet::Target *best = leastLoaded(service, excluded);
    limits::ColdTargetLimiter coldTargetLimiter = m_coldTargetLimiter;
    if (best == nullptr || !tryAcquireIfCold(coldTargetLimiter, *best, service))
        return std::nullopt;
    Proposal proposal;
    proposal.placement.target = best->entry;
    return proposal;
}

Placement PlacementService::accept(const fleet::ServiceSpec &service, const Proposal &proposal,
                                   Milliseconds timeLeft)
{
    if (proposal.placement.isRelay)
        return proposal.placement;
    // It succeeds, as it has for the proposal.
    tryAcquireIfCold(m_coldTargetLimiter, *m_fleet->findTarget(keyOf(proposal.placement.target.id)),
                     service);
    return proposal.plan ? commitPlacement(service, proposal.demand, *proposal.plan, timeLeft, 0)
                         : proposal.placement;
}

void PlacementService::markDecoding(std::uint64_t entryId, double expectedMs, double actualMs,
                                    std::optional<int> inFlight)
{
    const placement::InFlightRequest *known = findInFlight(entryId);
    if (known == nullptr)
        return;
    const placement::EngineKey target = known->engines.front();
    m_metrics->countFirstEvent(known->isShort ? PromptKind::Short : PromptKind::Long, expectedMs,
                               actualMs);
    placement::updatePrefillSlowdown(m_loadTracker, entryId, expectedMs, actualMs);
    placement::markDecoding(m_loadTracker, entryId, m_reactor.now());
    if (inFlight)
        placement::recordEngineReport(m_loadTracker, target, *inFlight, m_reactor.now());
    m_peers->broadcastDecoding(entryId, target, inFlight, audienceOf(*known));
}

double PlacementService::prefillBacklog(const TargetId &target) const
{
    return placement::prefillBacklog(m_loadTracker, keyOf(target), m_reactor.now());
}

void PlacementService::endRequest(std::uint64_t entryId, bool isCompleted)
{
    if (entryId == 0)
        return;
    const placement::InFlightRequest *known = findInFlight(entryId);
    if (known != nullptr && isCompleted && known->isShort)
        recordShortCompletion(*known);
    const Audience audience = known != nullptr ? audienceOf(*known) : Audience::Fleet;
    placement::removeRequest(m_loadTracker, entryId, m_reactor.now());
    m_peers->broadcastEnded(entryId, audience);
}

void PlacementService::recordNewRequest(const placement::InFlightRequest &request)
{
    if (request.shardPrefillMs >= placement::minMigrationPrefillMs) {
        // Deferred until the load tracker holds the request, as listeners query the backlogs.
        m_reactor.defer([this, engines = request.engines] {
            for (const auto &listener : m_longPrefillListeners)
                listener(engines);
        });
    }
    if (!request.isShort) {
        placement::recordArrival(
            m_longPrefillDemand,
            request.shardPrefillMs * static_cast<double>(request.engines.size()), m_reactor.now());
    }
}

const placement::InFlightRequest *PlacementService::findInFlight(std::uint64_t id) const
{
    const auto found = m_loadTracker.inFlight.find(id);
    return found == m_loadTracker.inFlight.end() ? nullptr : &found->second;
}

const placement::QueuedRequest *PlacementService::findQueued(std::uint64_t id) const
{
    const auto found = m_loadTracker.queued.find(id);
    return found == m_loadTracker.queued.end() ? nullptr : &found->second;
}

std::vector<const placement::QueuedRequest *> PlacementService::ownQueued() const
{
    std::vector<const placement::QueuedRequest *> all;
    for (const auto &[id, waiting] : m_loadTracker.queued) {
        if (waiting.owner == m_fleet->settings().host)
            all.push_back(&waiting);
    }
    return all;
}

std::vector<const placement::InFlightRequest *> PlacementService::ownInFlight() const
{
    std::vector<const placement::InFlightRequest *> requests;
    for (const auto &[id, request] : m_loadTracker.inFlight) {
        if (request.owner == m_fleet->settings().host)
            requests.push_back(&request);
    }
    return requests;
}

} // namespace egretmount::node

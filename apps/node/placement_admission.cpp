#include "placement_service.h"

#include <algorithm>
#include <limits>

#include <egretmount/placement/short_admission.h>

#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_service.h"

namespace egretmount::node {

// Admission of requests by rank and team; see docs/design/admission-by-rank-and-team.md.

namespace {

placement::ShortRequest shortRequestOf(const placement::Demand &demand, Milliseconds timeLeft)
{
    placement::ShortRequest request;
    request.latencyTarget = demand.latencyTarget;
    request.clientTimeout = demand.clientTimeout;
    request.waited = demand.waited;
    request.timeLeft = timeLeft;
    request.randomBits = demand.randomBits;
    request.isDeferred = demand.deferralId != 0;
    return request;
}

} // namespace

placement::SlotLoad
PlacementService::slotLoad(const fleet::ServiceSpec &service,
                           const std::vector<const fleet::Target *> &targets) const
{
    const Milliseconds now = m_reactor.now();
    const int cells = m_peers->cell().count;
    const int slots = service.engine->slots;
    const placement::DemandRate shortDemand = shortDemandOf(service.id);
    placement::SlotQuestion question {
        {}, static_cast<double>(slots), cells, unannouncedEndShare(shortDemand)
    };
    question.engines.reserve(targets.size());
    for (const fleet::Target *target : targets)
        question.engines.push_back(keyOf(target->entry.id));
    placement::SlotLoad load;
    load.slots = static_cast<double>(targets.size()) * slots;
    const placement::SlotUse use = placement::usedSlots(m_loadTracker, question, now);
    load.used = use.used;
    load.waiting = use.waiting;
    load.releasesPerSecond = load.slots / shortDemand.secondsInFlight;
    load.arrivalsPerSecond = placement::currentRate(shortDemand, now) * cells;
    return load;
}

ServiceId PlacementService::serviceOf(const placement::InFlightRequest &request) const
{
    const fleet::Target *target = m_fleet->findTarget(request.engines.front());
    return target != nullptr ? target->entry.service : ServiceId();
}

placement::DemandRate PlacementService::shortDemandOf(const ServiceId &service) const
{
    const auto found = m_shortDemandByService.find(service);
    return found != m_shortDemandByService.end() ? found->second : placement::DemandRate();
}

double PlacementService::shareOfDemand(const ServiceId &service) const
{
    const Milliseconds now = m_reactor.now();
    double all = 0;
    for (const auto &[id, demand] : m_shortDemandByService)
        all += placement::currentRate(demand, now);
    return all > 0 ? placement::currentRate(shortDemandOf(service), now) / all : 1;
}

void PlacementService::recordShortArrival(const ServiceId &service)
{
    const Milliseconds now = m_reactor.now();
    placement::recordArrival(m_shortDemand, 1, now);
    if (!service.isEmpty())
        placement::recordArrival(m_shortDemandByService[service], 1, now);
}

void PlacementService::recordShortCompletion(const placement::InFlightRequest &request)
{
    const Milliseconds inFlight = m_reactor.now() - request.placedAt;
    placement::recordCompletion(m_shortDemand, inFlight);
    const auto found = m_shortDemandByService.find(serviceOf(request));
    if (found != m_shortDemandByService.end())
        placement::recordCompletion(found->second, inFlight);
}

placement::Competition PlacementService::competitionFor(const ServiceId &service,
                                                        bool isShort) const
{
    std::vector<placement::EngineKey> engines;
    for (const auto &[id, target] : m_fleet->table().targets) {
        if (target.entry.service == service)
            engines.push_back(keyOf(id));
    }
    std::sort(engines.begin(), engines.end());
    return placement::competitionFor(m_loadTracker, engines, isShort);
}

double PlacementService::deferredAhead(const ServiceId &service, const placement::Demand &demand,
                                       int distance) const
{
    const auto counts = m_deferredCounts.find(service);
    placement::DeferredCounts own {};
    if (counts != m_deferredCounts.end())
        own = counts->second;
    const auto itself = m_deferrals.find(demand.deferralId);
    if (itself != m_deferrals.end())
        --own[static_cast<std::size_t>(itself->second.distance)];
    // Peers state one number for all services.
    const double stated = m_peers->deferredInCell() * shareOfDemand(service);
    return placement::estimateDeferred(own, distance, stated, m_peers->cell().count);
}

std::optional<PromptDecision> PlacementService::remainsDeferred(
    const fleet::ServiceSpec &service, const placement::Demand &demand,
    const std::set<TargetId> &unavailable, Milliseconds timeLeft) const
{
    const auto found = m_deferrals.find(demand.deferralId);
    if (found == m_deferrals.end())
        return std::nullopt;
    placement::ShortRequest request = shortRequestOf(demand, timeLeft);
    request.distance = found->second.distance;
    request.clientTimeout = found->second.clientTimeout;
    placement::SlotLoad load = slotLoad(service, usableTargets(service.id, unavailable));
    load.deferredAhead = deferredAhead(service.id, demand, request.distance);
    if (m_isStopping)
        return Refusal { RefusalReason::Stopping, placement::returnDelay(request, load) };
    if (!placement::remainsDeferred(request, load))
        return std::nullopt;
    Deferral deferral = found->second;
    deferral.pollAfter = placement::deferralPoll(request);
    return deferral;
}

std::optional<PromptDecision>
PlacementService::deferOrRefuse(const fleet::ServiceSpec &service, const placement::Demand &demand,
                                const std::optional<placement::Plan> &plan,
                                const std::vector<const fleet::Target *> &targets,
                                Milliseconds timeLeft) const
{
    const Milliseconds now = m_reactor.now();
    placement::SlotLoad load = slotLoad(service, targets);
    if (placement::isUnderused(load))
        return std::nullopt; // spares the look at all requests
    const double endShare = unannouncedEndShare(shortDemandOf(service.id));
    placement::ShortRequest request = shortRequestOf(demand, timeLeft);
    request.firstEventMs = plan ? plan->firstEventMs : std::numeric_limits<double>::infinity();
    request.isSlotFree =
        plan
        && placement::requestsAtPrimary(m_loadTracker, plan->engines.front(), endShare, now)
               < service.engine->slots;
    // A deferred request keeps its distance, so that its place in the order does not change.
    const auto known = m_deferrals.find(demand.deferralId);
    if (known != m_deferrals.end()) {
        request.clientTimeout = known->second.clientTimeout;
        request.distance = known->second.distance;
    }
    // The competition matters to the distance of a new request, and to the room beside more urgent
    // ones.
    if (known == m_deferrals.end() || request.distance > 0) {
        const placement::Competition competition = competitionFor(service.id, true);
        const int rank =
            placement::effectiveRank(competition, demand.rank, demand.team, m_peers->hasJoined());
        if (known == m_deferrals.end()) {
            request.distance = placement::drawnDistance(placement::rankDistance(competition, rank),
                                                        demand.randomBits);
        }
        load.moreUrgentShare =
            placement::moreUrgentShare(competition, demand.rank, rank, demand.team);
    }
    load.deferredAhead = deferredAhead(service.id, demand, request.distance);
    const placement::ShortDecision decision = placement::decideShort(request, load);
    if (decision.outcome == placement::ShortOutcome::Place)
        return std::nullopt;
    const AdmissionSummary summary { demand.rank, request.distance,   load.used,
                                     load.slots,  load.deferredAhead, decision.waitMs };
    if (decision.outcome == placement::ShortOutcome::Refuse)
        return Refusal { RefusalReason::Congested, decision.delay, {}, summary };
    if (m_isStopping) {
        return Refusal {
            RefusalReason::Stopping, placement::returnDelay(request, load), {}, summary
        };
    }
    return Deferral { service.id, request.distance, request.clientTimeout, decision.delay,
                      summary };
}

Queued PlacementService::defer(const placement::Demand &demand, const Deferral &deferral)
{
    if (m_deferrals.count(demand.deferralId) > 0)
        return { 0, deferral.pollAfter, demand.deferralId };
    m_deferrals[++m_lastDeferral] = deferral;
    ++m_deferredCounts[deferral.service][static_cast<std::size_t>(deferral.distance)];
    return { 0, deferral.pollAfter, m_lastDeferral, deferral.admission };
}

void PlacementService::endDeferral(std::uint64_t deferralId)
{
    const auto found = m_deferrals.find(deferralId);
    if (found == m_deferrals.end())
        return;
    const Deferral &ended = found->second;
    --m_deferredCounts[ended.service][static_cast<std::size_t>(ended.distance)];
    m_deferrals.erase(found);
}

double PlacementService::relativeWeight(const ServiceId &service,
                                        const placement::Demand &demand) const
{
    if (!m_loadPolicy.isOn)
        return 1;
    const placement::Competition competition = competitionFor(service, false);
    return placement::relativeWeight(
        competition,
        placement::effectiveRank(competition, demand.rank, demand.team, m_peers->hasJoined()));
}

void PlacementService::addAdmissionGauges()
{
    MetricsService &metrics = m_registry.find<MetricsService>();
    metrics.addGauge("requests_deferred",
                     [this] { return static_cast<double>(m_deferrals.size()); });
    metrics.addGauge("deferrals_since_start",
                     [this] { return static_cast<double>(m_lastDeferral); });
    metrics.addGauge("admission_refusals_since_start",
                     [this] { return static_cast<double>(m_admissionRefusals); });
}

} // namespace egretmount::node

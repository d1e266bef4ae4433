#include "placement_service.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include <egretmount/placement/engine_cost.h>

#include "fleet_service.h"
#include "peer_service.h"
#include "target_pool.h"

namespace egretmount::node {

// What operators see of the placement; nothing here changes any state.

PromptExplanation PlacementService::explainPrompt(const fleet::ServiceSpec &service,
                                                  placement::Demand demand,
                                                  Milliseconds timeLeft) const
{
    const Milliseconds now = m_reactor.now();
    demand.mayWait = true;
    // Copies, so that this question counts neither as an arrival nor as a request to a cold target.
    placement::DemandRate shortDemand = m_shortDemand;
    if (placement::isShort(*service.engine, demand.promptTokens))
        placement::recordArrival(shortDemand, 1, now);
    limits::ColdTargetLimiter coldTargetLimiter = m_coldTargetLimiter;
    PromptExplanation explanation;
    demand.choiceSeed = choiceSeed(0);
    std::set<TargetId> unavailable;
    explanation.decision = decidePrompt(service, demand, unavailable, timeLeft, 0, false,
                                        shortDemand, coldTargetLimiter);
    explanation.targets = usableTargets(service.id, unavailable);
    const std::vector<placement::Candidate> candidates =
        candidatesOf(explanation.targets, service, demand.weight);
    explanation.placement = placement::explainPlacement(m_loadTracker, *service.engine, candidates,
                                                        demand, demandForecast(shortDemand), now);
    explanation.coldLimited.assign(unavailable.begin(), unavailable.end());

    if (const QueueReason *queued = std::get_if<QueueReason>(&explanation.decision)) {
        const std::optional<placement::Plan> &chosen = explanation.placement.chosen;
        const double prefillMs =
            placement::shardPrefillTime(*service.engine, demand.promptTokens, 1);
        if (*queued == QueueReason::PromptsAhead) {
            const double waitMs = placement::expectedQueueingTime(
                longPoolLoad(service, demand, shortDemand), prefillMs);
            explanation.expectedWait = Milliseconds(std::llround(waitMs));
        } else if (*queued == QueueReason::EnginesBusy && chosen) {
            explanation.expectedWait = Milliseconds(std::llround(chosen->startDelayMs));
        } else if (*queued == QueueReason::NoCapacity) {
            explanation.expectedWait = demand.latencyTarget;
        }
    }
    return explanation;
}

std::string_view PlacementService::exclusionOf(const fleet::Target &target) const
{
    if (target.entry.isDraining)
        return "draining";
    if (!fleet::isUsable(m_fleet->table(), target))
        return "zone-evacuated";
    // A target that leaves does not come back, whatever else it has stated.
    if (m_targets->isLeaving(target.entry))
        return "leaving";
    if (m_targets->turnsAway(target.entry))
        return "turned-away";
    if (!m_targets->acceptsWork(target.entry))
        return "rate-limit";
    return m_targets->isEjected(keyOf(target.entry.id)) ? "ejected" : "";
}

double PlacementService::busiestOverMean() const
{
    const std::shared_ptr<const fleet::Configuration> configuration = m_fleet->configuration();
    if (!configuration)
        return 0;
    std::map<ServiceId, std::vector<placement::EngineKey>> enginesByService;
    for (const auto &[id, target] : m_fleet->table().targets) {
        const fleet::ServiceSpec *service =
            fleet::findService(*configuration, target.entry.service);
        if (service != nullptr && service->engine && isUsable(target, service->id, {}))
            enginesByService[service->id].push_back(keyOf(id));
    }
    double largest = 0;
    for (const auto &[service, engines] : enginesByService)
        largest = std::max(largest, placement::busiestOverMean(m_loadTracker, engines));
    return largest;
}

} // namespace egretmount::node

#include <egretmount/routing/borrowing.h>

#include <algorithm>
#include <tuple>

#include "dispatch_queue.h"

namespace egretmount::routing {

namespace {

// Returns the targets that can serve the request, regardless of this instance's shares of them.
std::vector<const TargetView *> eligibleTargets(const DispatchState &state, const Request &request,
                                                const std::vector<std::size_t> &excluded,
                                                Milliseconds now)
{
    std::vector<const TargetView *> eligible;
    for (std::size_t i = 0; i < state.targets.size(); ++i) {
        const TargetView &view = state.targets[i];
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), i) != excluded.end();
        const bool fits =
            view.capacity.tokens == 0 || request.memoryTokens() <= view.capacity.tokens;
        if (view.service == request.service && view.acceptsNewWork && view.failedUntil <= now
            && fits && !isExcluded)
            eligible.push_back(&view);
    }
    return eligible;
}

// Returns the usable targets outside the long pool for a long prompt, and none for others.
std::vector<std::size_t> excludedTargets(const DispatchState &state, const ServiceState &service,
                                         const Request &request, Milliseconds now)
{
    const PoolSizes sizes = poolSizes(state.policy, service.demand, service.order.size(),
                                      prefillRate(service.rates, defaultPrefillTokensPerMs, now));
    const bool isSplit = sizes.shortReserve > 0;
    if (!isSplit || !isLongClass(lengthClassOf(request.promptTokens)))
        return {};
    const std::size_t pool = std::min(sizes.longPool, service.order.size());
    return { service.order.begin() + static_cast<std::ptrdiff_t>(pool), service.order.end() };
}

// Returns true if a share has room. The request is then delayed by queueing, not by capacity.
bool hasOwnRoom(const DispatchState &state, const ServiceState &service, const Request &request,
                Milliseconds now)
{
    const std::vector<std::size_t> excluded = excludedTargets(state, service, request, now);
    return std::any_of(service.order.begin(), service.order.end(), [&](std::size_t i) {
        const TargetView &view = state.targets[i];
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), i) != excluded.end();
        return !isExcluded && view.failedUntil <= now && hasRoom(view, request, now);
    });
}

std::vector<TargetId> candidatesOf(const DispatchState &state, const ServiceState &service,
                                   const Request &request, Milliseconds now)
{
    std::vector<const TargetView *> eligible =
        eligibleTargets(state, request, excludedTargets(state, service, request, now), now);
    std::sort(eligible.begin(), eligible.end(), [](const TargetView *a, const TargetView *b) {
        return std::tie(a->waitingPromptTokens, a->inFlight.slots, a->id)
               < std::tie(b->waitingPromptTokens, b->inFlight.slots, b->id);
    });
    std::vector<TargetId> ids;
    ids.reserve(eligible.size());
    for (const TargetView *view : eligible)
        ids.push_back(view->id);
    return ids;
}

} // namespace

std::vector<CapacityBlockedRequest> findCapacityBlockedRequests(const DispatchState &state,
                                                                Milliseconds now)
{
    std::vector<CapacityBlockedRequest> blocked;
    for (auto service = state.services.begin(); service != state.services.end(); ++service) {
        for (const admission::Lane &lane : service->second.lanes) {
            const Request *front = admission::front(lane);
            if (front && !hasOwnRoom(state, service->second, *front, now))
                blocked.push_back({ *front, candidatesOf(state, service->second, *front, now) });
        }
    }
    return blocked;
}

Decisions dispatchToTarget(DispatchState &state, const RequestId &id, const TargetId &target,
                           Milliseconds now)
{
    Decisions decisions;
    TargetView *view = findView(state, target);
    if (!view)
        return decisions;
    ServiceState &service = serviceOf(state, view->service);
    const std::optional<Request> request = takeQueued(service, id);
    if (!request)
        return decisions;
    send(state, *request, false, *view, now, decisions);
    dispatchQueued(state, service, now, decisions);
    return decisions;
}

} // namespace egretmount::routing

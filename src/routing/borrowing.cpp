#include <egretmount/routing/borrowing.h>

#include <algorithm>
#include <tuple>

#include "pump.h"

namespace egretmount::routing {

namespace {

// Targets of the service that are open to the request, whatever this instance's share of them.
std::vector<const TargetView *> openTargets(const DispatchState &state, const Request &request,
                                            const std::vector<std::size_t> &closed,
                                            Milliseconds now)
{
    std::vector<const TargetView *> open;
    for (std::size_t i = 0; i < state.targets.size(); ++i) {
        const TargetView &view = state.targets[i];
        const bool isClosed = std::find(closed.begin(), closed.end(), i) != closed.end();
        const bool fits =
            view.capacity.tokens == 0 || request.memoryTokens() <= view.capacity.tokens;
        if (view.service == request.service && view.acceptsNewWork && view.failedUntil <= now
            && fits && !isClosed)
            open.push_back(&view);
    }
    return open;
}

// Usable targets outside the part of the order that the request's lane may use.
std::vector<std::size_t> closedTargets(const DispatchState &state, const ServiceState &service,
                                       const Request &request, Milliseconds now)
{
    const PoolSizes sizes = poolSizes(state.policy, service.demand, service.order.size(),
                                      prefillRate(service.rates, assumedPrefillTokensPerMs, now));
    const bool isSplit = sizes.shortReserve > 0;
    if (!isSplit || !isLongClass(lengthClassOf(request.promptTokens)))
        return {};
    const std::size_t pool = std::min(sizes.longPool, service.order.size());
    return { service.order.begin() + static_cast<std::ptrdiff_t>(pool), service.order.end() };
}

// True if a share has room: the request then waits for its turn, not for capacity.
bool hasOwnRoom(const DispatchState &state, const ServiceState &service, const Request &request,
                Milliseconds now)
{
    const std::vector<std::size_t> closed = closedTargets(state, service, request, now);
    return std::any_of(service.order.begin(), service.order.end(), [&](std::size_t i) {
        const TargetView &view = state.targets[i];
        const bool isClosed = std::find(closed.begin(), closed.end(), i) != closed.end();
        return !isClosed && view.failedUntil <= now && hasRoom(view, request, now);
    });
}

std::vector<TargetId> candidatesOf(const DispatchState &state, const ServiceState &service,
                                   const Request &request, Milliseconds now)
{
    std::vector<const TargetView *> open =
        openTargets(state, request, closedTargets(state, service, request, now), now);
    std::sort(open.begin(), open.end(), [](const TargetView *a, const TargetView *b) {
        return std::tie(a->waitingPromptTokens, a->inFlight.slots, a->id)
               < std::tie(b->waitingPromptTokens, b->inFlight.slots, b->id);
    });
    std::vector<TargetId> ids;
    ids.reserve(open.size());
    for (const TargetView *view : open)
        ids.push_back(view->id);
    return ids;
}

} // namespace

std::vector<BlockedRequest> blockedRequests(const DispatchState &state, Milliseconds now)
{
    std::vector<BlockedRequest> blocked;
    for (auto service = state.services.begin(); service != state.services.end(); ++service) {
        for (const admission::Lane &lane : service->second.lanes) {
            const Request *front = admission::front(lane);
            if (front && !hasOwnRoom(state, service->second, *front, now))
                blocked.push_back({ *front, candidatesOf(state, service->second, *front, now) });
        }
    }
    return blocked;
}

Decisions assignTo(DispatchState &state, const RequestId &id, const TargetId &target,
                   Milliseconds now)
{
    Decisions decisions;
    TargetView *view = findView(state, target);
    if (!view)
        return decisions;
    ServiceState &service = serviceOf(state, view->service);
    const std::optional<Request> request = takeWaiting(service, id);
    if (!request)
        return decisions;
    send(state, *request, false, *view, now, decisions);
    pump(state, service, now, decisions);
    return decisions;
}

} // namespace egretmount::routing

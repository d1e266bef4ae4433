#include "dispatch_queue.h"

#include <algorithm>

namespace egretmount::routing {

namespace {

// Long prompts are dispatched first: they are restricted to the long pool, and other prompts could
// fill it.
constexpr std::array<LengthClass, 4> laneDispatchOrder { LengthClass::Huge, LengthClass::Long,
                                                         LengthClass::Short, LengthClass::Medium };

admission::Lane &laneIn(ServiceState &service, LengthClass lane)
{
    return service.lanes[static_cast<std::size_t>(lane)];
}

void refuseExpired(DispatchState &state, ServiceState &service, Milliseconds now,
                   Decisions &decisions)
{
    while (!service.byLatestStart.empty() && service.byLatestStart.begin()->first <= now) {
        const RequestId id = service.byLatestStart.begin()->second;
        const LengthClass lane = service.queued.at(id).lane;
        removeQueued(service, id);
        const Milliseconds retryDelay =
            admission::retryAfter(laneBacklog(service, lane), state.random);
        decisions.refused.push_back(
            { id,
              { ErrorId::DeadlineUnreachable, Verdict::NotRun,
                "the request can no longer finish by its deadline", retryDelay } });
    }
}

// Returns the usable targets that are not in their back-off after a failure.
std::vector<std::size_t> availableTargets(const DispatchState &state, const ServiceState &service,
                                          Milliseconds now)
{
    std::vector<std::size_t> order;
    order.reserve(service.order.size());
    std::copy_if(service.order.begin(), service.order.end(), std::back_inserter(order),
                 [&](std::size_t i) { return state.targets[i].failedUntil <= now; });
    return order;
}

// Returns the memory that the next long request needs, or zero if none is queued.
TokenCount memoryForNextLong(const ServiceState &service)
{
    TokenCount needed = 0;
    for (LengthClass lane : { LengthClass::Long, LengthClass::Huge }) {
        const Request *next = admission::front(service.lanes[static_cast<std::size_t>(lane)]);
        needed = std::max(needed, next ? next->memoryTokens() : 0);
    }
    return needed;
}

Candidates candidatesFor(const DispatchState &state, const ServiceState &service, LengthClass lane,
                         const std::vector<std::size_t> &order, Milliseconds now)
{
    const double rate = prefillRate(service.rates, defaultPrefillTokensPerMs, now);
    const PoolSizes sizes = poolSizes(state.policy, service.demand, order.size(), rate);
    Candidates candidates { state.targets, order, 0, order.size(), rate };
    if (sizes.shortReserve == 0)
        return candidates;
    if (isLongClass(lane))
        candidates.last = sizes.longPool;
    else if (state.policy == LanePolicy::Static)
        candidates.first = sizes.longPool;
    candidates.reservedMemory = memoryForNextLong(service);
    candidates.longPoolEnd = candidates.reservedMemory > 0 ? sizes.longPool : 0;
    return candidates;
}

void dispatchLane(DispatchState &state, ServiceState &service, LengthClass lane,
                  const Candidates &candidates, Milliseconds now, Decisions &decisions)
{
    admission::Lane &queue = laneIn(service, lane);
    admission::DrainRate &drain = service.drainRates[static_cast<std::size_t>(lane)];
    while (const Request *next = admission::front(queue)) {
        const std::optional<std::size_t> choice =
            chooseTarget(candidates, *next, state.policy, state.ownZone, now);
        if (!choice)
            return;
        const bool isWithinShare = admission::isFrontWithinShare(queue);
        const Request request = admission::popFront(queue);
        service.byLatestStart.erase({ service.queued.at(request.id).latestStart, request.id });
        service.queued.erase(request.id);
        admission::recordDrained(drain, admission::costOf(request.promptTokens, request.maxTokens),
                                 now);
        send(state, request, isWithinShare, state.targets[*choice], now, decisions);
    }
    admission::closeDrainWindow(drain);
}

} // namespace

ServiceState &serviceOf(DispatchState &state, const ServiceId &id)
{
    const auto found = state.services.find(id);
    if (found != state.services.end())
        return found->second;
    ServiceState &service = state.services[id];
    const bool byArrival = state.policy == LanePolicy::Fifo || state.policy == LanePolicy::Priority;
    for (admission::Lane &lane : service.lanes) {
        lane.order = byArrival ? admission::LaneOrder::Arrival : admission::LaneOrder::FairDeadline;
    }
    return service;
}

LengthClass laneOf(const DispatchState &state, const Request &request)
{
    if (state.policy == LanePolicy::Fifo || state.policy == LanePolicy::Priority)
        return LengthClass::Short;
    return lengthClassOf(request.promptTokens);
}

void enqueue(ServiceState &service, LengthClass lane, const Request &request, double weight,
             Milliseconds now)
{
    admission::push(laneIn(service, lane), request, weight);
    if (isLongClass(lengthClassOf(request.promptTokens)))
        service.demand.longBacklog += request.promptTokens;
    const Milliseconds latestStart =
        request.deadline
        - expectedRunTime(service.rates, request.promptTokens, request.maxTokens, now);
    service.queued[request.id] = { lane, latestStart };
    service.byLatestStart.insert({ latestStart, request.id });
}

std::optional<Request> takeQueued(ServiceState &service, const RequestId &id)
{
    const auto queued = service.queued.find(id);
    if (queued == service.queued.end())
        return std::nullopt;
    admission::Lane &lane = laneIn(service, queued->second.lane);
    const Request request =
        lane.teams.at(lane.positions.at(id).first).requests.at(lane.positions.at(id).second);
    admission::remove(lane, id);
    service.byLatestStart.erase({ queued->second.latestStart, id });
    service.queued.erase(queued);
    return request;
}

void send(DispatchState &state, const Request &request, bool isWithinShare, TargetView &view,
          Milliseconds now, Decisions &decisions)
{
    const LengthClass length = lengthClassOf(request.promptTokens);
    const TokenCount before = ownPromptTokensAhead(view, length, state.policy);
    state.running[request.id] = { request, view.id, now, {}, false, before };
    recordSent(view, request, now);
    decisions.assigned.push_back(
        { request.id, view.id,
          enginePriority(state.policy, length, request.priority, isWithinShare) });
}

bool removeQueued(ServiceState &service, const RequestId &id)
{
    const std::optional<Request> request = takeQueued(service, id);
    if (request)
        removeFromLongBacklog(service, *request);
    return request.has_value();
}

void removeFromLongBacklog(ServiceState &service, const Request &request)
{
    if (isLongClass(lengthClassOf(request.promptTokens)))
        service.demand.longBacklog -= request.promptTokens;
}

Milliseconds laneBacklog(const ServiceState &service, LengthClass lane)
{
    const std::size_t index = static_cast<std::size_t>(lane);
    return admission::expectedWait(service.drainRates[index],
                                   static_cast<double>(service.lanes[index].queuedTokens));
}

void dispatchQueued(DispatchState &state, ServiceState &service, Milliseconds now,
                    Decisions &decisions)
{
    if (service.queued.empty())
        return;
    refuseExpired(state, service, now, decisions);
    const std::vector<std::size_t> order = availableTargets(state, service, now);
    for (LengthClass lane : laneDispatchOrder) {
        if (laneIn(service, lane).isEmpty())
            continue;
        dispatchLane(state, service, lane, candidatesFor(state, service, lane, order, now), now,
                     decisions);
    }
}

} // namespace egretmount::routing

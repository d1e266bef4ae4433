#include "pump.h"

#include <algorithm>

namespace egretmount::routing {

namespace {

// Long prompts come first, as they may go to the pool only and would else find no room in it.
constexpr std::array<LengthClass, 4> pumpOrder { LengthClass::Huge, LengthClass::Long,
                                                 LengthClass::Short, LengthClass::Medium };

admission::Lane &laneIn(ServiceState &service, LengthClass lane)
{
    return service.lanes[static_cast<std::size_t>(lane)];
}

void refuseLate(DispatchState &state, ServiceState &service, Milliseconds now, Decisions &decisions)
{
    while (!service.lastChances.empty() && service.lastChances.begin()->first <= now) {
        const RequestId id = service.lastChances.begin()->second;
        const LengthClass lane = service.waiting.at(id).lane;
        removeWaiting(service, id);
        const Milliseconds pause = admission::retryAfter(laneBacklog(service, lane), state.random);
        decisions.refused.push_back(
            { id,
              { ErrorId::DeadlineUnreachable, Verdict::NotRun,
                "the request can no longer finish by its deadline", pause } });
    }
}

// The usable targets without those that failed lately.
std::vector<std::size_t> candidatesNow(const DispatchState &state, const ServiceState &service,
                                       Milliseconds now)
{
    std::vector<std::size_t> order;
    order.reserve(service.order.size());
    std::copy_if(service.order.begin(), service.order.end(), std::back_inserter(order),
                 [&](std::size_t i) { return state.targets[i].failedUntil <= now; });
    return order;
}

// The memory that the next long request needs; zero if none waits.
TokenCount neededByLong(const ServiceState &service)
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
    const double rate = prefillRate(service.rates, assumedPrefillTokensPerMs, now);
    const PoolSizes sizes = poolSizes(state.policy, service.demand, order.size(), rate);
    Candidates candidates { state.targets, order, 0, order.size(), rate };
    if (sizes.shortReserve == 0)
        return candidates;
    if (isLongClass(lane))
        candidates.last = sizes.longPool;
    else if (state.policy == LanePolicy::Static)
        candidates.first = sizes.longPool;
    candidates.keptFree = neededByLong(service);
    candidates.poolEnd = candidates.keptFree > 0 ? sizes.longPool : 0;
    return candidates;
}

void pumpLane(DispatchState &state, ServiceState &service, LengthClass lane,
              const Candidates &candidates, Milliseconds now, Decisions &decisions)
{
    admission::Lane &queue = laneIn(service, lane);
    admission::DrainRate &drain = service.drains[static_cast<std::size_t>(lane)];
    while (const Request *next = admission::front(queue)) {
        const std::optional<std::size_t> choice =
            chooseTarget(candidates, *next, state.policy, state.ownZone, now);
        if (!choice)
            return;
        const bool isWithinShare = admission::isFrontWithinShare(queue);
        const Request request = admission::popFront(queue);
        service.lastChances.erase({ service.waiting.at(request.id).lastChance, request.id });
        service.waiting.erase(request.id);
        admission::noteDrained(drain, admission::costOf(request.promptTokens, request.maxTokens),
                               now);
        send(state, request, isWithinShare, state.targets[*choice], now, decisions);
    }
    admission::noteEmpty(drain);
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
    const Milliseconds lastChance =
        request.deadline
        - expectedRunTime(service.rates, request.promptTokens, request.maxTokens, now);
    service.waiting[request.id] = { lane, lastChance };
    service.lastChances.insert({ lastChance, request.id });
}

std::optional<Request> takeWaiting(ServiceState &service, const RequestId &id)
{
    const auto waiting = service.waiting.find(id);
    if (waiting == service.waiting.end())
        return std::nullopt;
    admission::Lane &lane = laneIn(service, waiting->second.lane);
    const Request request =
        lane.teams.at(lane.places.at(id).first).requests.at(lane.places.at(id).second);
    admission::remove(lane, id);
    service.lastChances.erase({ waiting->second.lastChance, id });
    service.waiting.erase(waiting);
    return request;
}

void send(DispatchState &state, const Request &request, bool isWithinShare, TargetView &view,
          Milliseconds now, Decisions &decisions)
{
    const LengthClass length = lengthClassOf(request.promptTokens);
    const TokenCount before = ownTokensBefore(view, length, state.policy);
    state.running[request.id] = { request, view.id, now, {}, false, before };
    noteSent(view, request, now);
    decisions.assigned.push_back(
        { request.id, view.id,
          enginePriority(state.policy, length, request.priority, isWithinShare) });
}

bool removeWaiting(ServiceState &service, const RequestId &id)
{
    const std::optional<Request> request = takeWaiting(service, id);
    if (request)
        noteLongDone(service, *request);
    return request.has_value();
}

void noteLongDone(ServiceState &service, const Request &request)
{
    if (isLongClass(lengthClassOf(request.promptTokens)))
        service.demand.longBacklog -= request.promptTokens;
}

Milliseconds laneBacklog(const ServiceState &service, LengthClass lane)
{
    const std::size_t index = static_cast<std::size_t>(lane);
    return admission::expectedWait(service.drains[index],
                                   static_cast<double>(service.lanes[index].queuedTokens));
}

void pump(DispatchState &state, ServiceState &service, Milliseconds now, Decisions &decisions)
{
    if (service.waiting.empty())
        return;
    refuseLate(state, service, now, decisions);
    const std::vector<std::size_t> order = candidatesNow(state, service, now);
    for (LengthClass lane : pumpOrder) {
        if (laneIn(service, lane).isEmpty())
            continue;
        pumpLane(state, service, lane, candidatesFor(state, service, lane, order, now), now,
                 decisions);
    }
}

} // namespace egretmount::routing

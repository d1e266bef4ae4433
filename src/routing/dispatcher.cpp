#include <egretmount/routing/dispatcher.h>

#include <algorithm>

#include <egretmount/core/digest.h>

#include "dispatch_queue.h"

namespace egretmount::routing {

using namespace literals;

namespace {

constexpr Milliseconds failureBackoff = 1'000_ms;

Decisions refusal(const Request &request, ErrorId id, const char *detail, Milliseconds retryAfter)
{
    Decisions decisions;
    decisions.refused.push_back({ request.id, { id, Verdict::NotRun, detail, retryAfter } });
    return decisions;
}

void carryOverState(TargetView &view, const TargetView &known, Milliseconds now)
{
    const bool hasReturned = view.acceptsNewWork && !known.acceptsNewWork;
    TargetView merged = known;
    merged.service = view.service;
    merged.zone = view.zone;
    merged.address = view.address;
    merged.acceptsNewWork = view.acceptsNewWork;
    merged.capacity = view.capacity;
    merged.spendable = view.spendable;
    if (hasReturned) {
        merged.slowStartBegin = now;
        merged.isInSlowStart = true;
    }
    view = std::move(merged);
}

bool isUsable(const TargetView &view)
{
    return view.acceptsNewWork && view.spendable.slots > 0;
}

void indexTargets(DispatchState &state)
{
    state.indexes.clear();
    for (auto service = state.services.begin(); service != state.services.end(); ++service) {
        service->second.order.clear();
        service->second.largestMemory = 0;
    }
    for (std::size_t i = 0; i < state.targets.size(); ++i) {
        const TargetView &view = state.targets[i];
        state.indexes[view.id] = i;
        ServiceState &service = serviceOf(state, view.service);
        service.largestMemory = std::max(service.largestMemory, view.capacity.tokens);
        if (isUsable(view))
            service.order.push_back(i);
    }
    for (auto service = state.services.begin(); service != state.services.end(); ++service) {
        std::vector<std::size_t> &order = service->second.order;
        std::sort(order.begin(), order.end(), [&state](std::size_t a, std::size_t b) {
            return digestHash(state.targets[a].id.value) < digestHash(state.targets[b].id.value);
        });
    }
}

// Returns the time at which a new request would complete. The queueing time gets a margin, as the
// queue changes meanwhile.
Milliseconds expectedCompletion(const ServiceState &service, LengthClass lane,
                                const Request &request, double weight, Milliseconds now)
{
    constexpr std::int64_t marginPercent = 125;
    const std::size_t index = static_cast<std::size_t>(lane);
    const Milliseconds wait = admission::expectedWait(
        service.drainRates[index], admission::tokensAhead(service.lanes[index], request, weight));
    return now + wait * marginPercent / 100
           + expectedRunTime(service.rates, request.promptTokens, request.maxTokens, now);
}

} // namespace

Decisions setTargets(DispatchState &state, std::vector<TargetView> targets, Milliseconds now)
{
    for (TargetView &view : targets) {
        const TargetView *known = findView(state, view.id);
        if (known)
            carryOverState(view, *known, now);
    }
    state.targets = std::move(targets);
    indexTargets(state);
    return tick(state, now);
}

Decisions setSpendable(DispatchState &state, const TargetId &target,
                       const config::Capacity &spendable, Milliseconds now)
{
    TargetView *view = findView(state, target);
    if (!view)
        return {};
    const bool wasUsable = isUsable(*view);
    view->spendable = spendable;
    if (isUsable(*view) != wasUsable)
        indexTargets(state);
    Decisions decisions;
    dispatchQueued(state, serviceOf(state, view->service), now, decisions);
    return decisions;
}

Decisions submit(DispatchState &state, const Request &request, double weight, Milliseconds now)
{
    ServiceState &service = serviceOf(state, request.service);
    const LengthClass lane = laneOf(state, request);
    const std::size_t index = static_cast<std::size_t>(lane);
    if (state.running.count(request.id) > 0 || service.queued.count(request.id) > 0)
        return refusal(request, ErrorId::Overloaded, "a request with this id is being served",
                       admission::retryAfter({}, state.random));
    if (service.largestMemory > 0 && request.memoryTokens() > service.largestMemory)
        return refusal(request, ErrorId::PromptTooLong, "no target has that much memory", {});
    recordArrival(service.demand, request.promptTokens, now);
    const Milliseconds backlog = laneBacklog(service, lane);
    if (admission::isFull(service.lanes[index], request.team, state.maxQueuedPerLane))
        return refusal(request, ErrorId::Overloaded, "the queue is full",
                       admission::retryAfter(backlog, state.random));
    if (expectedCompletion(service, lane, request, weight, now) > request.deadline)
        return refusal(request, ErrorId::DeadlineUnreachable,
                       "the request would not finish by its deadline",
                       admission::retryAfter(backlog, state.random));
    enqueue(service, lane, request, weight, now);
    Decisions decisions;
    dispatchQueued(state, service, now, decisions);
    return decisions;
}

void cancelQueued(DispatchState &state, const RequestId &request)
{
    for (auto service = state.services.begin(); service != state.services.end(); ++service)
        removeQueued(service->second, request);
}

Decisions onFirstToken(DispatchState &state, const RequestId &id, Milliseconds now)
{
    const auto found = state.running.find(id);
    if (found == state.running.end() || found->second.hasFirstToken)
        return {};
    RunningRequest &running = found->second;
    running.hasFirstToken = true;
    running.firstTokenAt = now;
    ServiceState &service = serviceOf(state, running.request.service);
    const TokenCount prompt = running.request.promptTokens;
    const Milliseconds elapsed = now - running.sentAt;
    recordPrefill(service.rates, prompt, running.promptTokensAhead, elapsed, now);
    removeFromLongBacklog(service, running.request);
    TargetView *view = findView(state, running.target);
    if (view) {
        recordPrefill(view->rates, prompt, running.promptTokensAhead, elapsed, now);
        recordFirstToken(*view, running.request);
    }
    Decisions decisions;
    dispatchQueued(state, service, now, decisions);
    return decisions;
}

Decisions finish(DispatchState &state, const RequestId &id, Outcome outcome, TokenCount generated,
                 Milliseconds now)
{
    const auto found = state.running.find(id);
    if (found == state.running.end())
        return {};
    const RunningRequest running = std::move(found->second);
    state.running.erase(found);
    ServiceState &service = serviceOf(state, running.request.service);
    if (!running.hasFirstToken)
        removeFromLongBacklog(service, running.request);
    else if (outcome == Outcome::Completed)
        recordDecode(service.rates, generated, running.request.maxTokens,
                     now - running.firstTokenAt, now);
    TargetView *view = findView(state, running.target);
    if (view) {
        recordEnded(*view, running.request);
        if (outcome == Outcome::Failed) {
            view->failedUntil = now + failureBackoff;
            view->slowStartBegin = view->failedUntil;
            view->isInSlowStart = true;
        }
    }
    Decisions decisions;
    dispatchQueued(state, service, now, decisions);
    return decisions;
}

Decisions applyReport(DispatchState &state, const TargetId &target, const LoadReport &report,
                      Milliseconds now)
{
    TargetView *view = findView(state, target);
    if (!view)
        return {};
    applyReport(*view, report, now);
    Decisions decisions;
    dispatchQueued(state, serviceOf(state, view->service), now, decisions);
    return decisions;
}

Decisions tick(DispatchState &state, Milliseconds now)
{
    Decisions decisions;
    for (auto service = state.services.begin(); service != state.services.end(); ++service)
        dispatchQueued(state, service->second, now, decisions);
    return decisions;
}

TargetView *findView(DispatchState &state, const TargetId &target)
{
    const auto found = state.indexes.find(target);
    return found == state.indexes.end() ? nullptr : &state.targets[found->second];
}

} // namespace egretmount::routing

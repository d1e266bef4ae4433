#include <egretmount/routing/span.h>

#include <algorithm>
#include <map>
#include <numeric>

#include "dispatch_queue.h"

namespace egretmount::routing {

namespace {

constexpr int percent = 100;

struct FreeTarget
{
    const TargetView *view = nullptr;
    TokenCount tokens = 0;
};

using FreeByZone = std::map<ZoneId, std::vector<FreeTarget>>;

bool isEligible(const TargetView &view, const ServiceId &service, Milliseconds now)
{
    return view.service == service && view.acceptsNewWork && view.failedUntil <= now
           && view.capacity.tokens > 0;
}

// Returns the free memory by the target's report or by own requests, whichever is less, up to the
// maximum for a span.
TokenCount freeTokens(const TargetView &view)
{
    const TokenCount used = std::max(view.report.usedTokens, view.inFlight.tokens);
    const TokenCount bound = view.capacity.tokens * spanMemoryPercent / percent;
    return std::clamp<TokenCount>(view.capacity.tokens - used, 0, bound);
}

FreeByZone freeByZone(const DispatchState &state, const ServiceId &service, Milliseconds now)
{
    FreeByZone zones;
    for (const TargetView &view : state.targets) {
        if (isEligible(view, service, now) && freeTokens(view) > 0)
            zones[view.zone].push_back({ &view, freeTokens(view) });
    }
    for (auto zone = zones.begin(); zone != zones.end(); ++zone) {
        std::sort(zone->second.begin(), zone->second.end(),
                  [](const FreeTarget &a, const FreeTarget &b) {
                      return a.tokens != b.tokens ? a.tokens > b.tokens : a.view->id < b.view->id;
                  });
    }
    return zones;
}

// Returns the smallest number of targets, at least `minShards`, that together have the memory, or
// zero if all of them do not.
std::size_t minTargetCount(const std::vector<FreeTarget> &free, TokenCount needed,
                           std::size_t minShards)
{
    TokenCount sum = 0;
    for (std::size_t i = 0; i < free.size(); ++i) {
        sum += free[i].tokens;
        if (sum >= needed && i + 1 >= minShards)
            return i + 1;
    }
    return 0;
}

SpanPlan splitPrompt(std::vector<FreeTarget> chosen, const ZoneId &zone, const Request &request)
{
    const TokenCount free = std::accumulate(
        chosen.begin(), chosen.end(), TokenCount(0),
        [](TokenCount sum, const FreeTarget &target) { return sum + target.tokens; });
    // All instances reserve in the order of the ids, so that two spans compete for the same target
    // first.
    std::sort(chosen.begin(), chosen.end(),
              [](const FreeTarget &a, const FreeTarget &b) { return a.view->id < b.view->id; });
    SpanPlan plan;
    plan.zone = zone;
    TokenCount left = request.promptTokens;
    TokenCount freeLeft = free;
    for (const FreeTarget &target : chosen) {
        const bool isLast = plan.shards.size() + 1 == chosen.size();
        const double share = static_cast<double>(target.tokens) / static_cast<double>(freeLeft);
        const TokenCount wanted =
            static_cast<TokenCount>(static_cast<double>(left + request.maxTokens) * share);
        const TokenCount tokens = isLast ? left : std::min(left, wanted);
        plan.shards.push_back({ target.view->id, tokens });
        left -= tokens;
        freeLeft -= target.tokens;
    }
    return plan;
}

} // namespace

bool needsSpan(const DispatchState &state, const Request &request)
{
    const auto service = state.services.find(request.service);
    return service != state.services.end() && service->second.largestMemory > 0
           && request.memoryTokens() > service->second.largestMemory;
}

std::optional<SpanPlan> planSpan(const DispatchState &state, const Request &request,
                                 std::size_t minShards, Milliseconds now)
{
    const FreeByZone zones = freeByZone(state, request.service, now);
    FreeByZone::const_iterator best = zones.end();
    std::size_t bestCount = 0;
    for (auto zone = zones.begin(); zone != zones.end(); ++zone) {
        const std::size_t count = minTargetCount(zone->second, request.memoryTokens(), minShards);
        const bool isOwn = zone->first == state.ownZone;
        if (count > 0
            && (best == zones.end() || count < bestCount || (count == bestCount && isOwn))) {
            best = zone;
            bestCount = count;
        }
    }
    if (best == zones.end())
        return std::nullopt;
    std::vector<FreeTarget> chosen(best->second.begin(),
                                   best->second.begin() + static_cast<std::ptrdiff_t>(bestCount));
    return splitPrompt(std::move(chosen), best->first, request);
}

std::optional<TargetId> replaceShard(const DispatchState &state, const SpanPlan &plan,
                                     std::size_t index, const Request &shard, Milliseconds now)
{
    const TargetView *best = nullptr;
    for (const TargetView &view : state.targets) {
        const auto isUsed = [&view](const SpanShard &one) { return one.target == view.id; };
        const bool isTaken = std::any_of(plan.shards.begin(), plan.shards.end(), isUsed);
        const bool isOther = view.id != plan.shards.at(index).target;
        if (view.zone == plan.zone && isEligible(view, shard.service, now) && !isTaken && isOther
            && freeTokens(view) >= shard.memoryTokens()
            && (!best || freeTokens(view) > freeTokens(*best)))
            best = &view;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

Request shardRequest(const Request &request, std::size_t index, TokenCount tokens,
                     TokenCount maxOutputTokens)
{
    Request shard = request;
    shard.id = RequestId(request.id.value + ".part" + std::to_string(index));
    shard.promptTokens = tokens;
    shard.maxTokens = maxOutputTokens;
    return shard;
}

Decisions reserveAt(DispatchState &state, const Request &request, const TargetId &target,
                    Milliseconds now)
{
    const TargetView *view = findView(state, target);
    if (!view || !hasRoom(*view, request, now))
        return {};
    return reserveBorrowed(state, request, target, now);
}

Decisions reserveBorrowed(DispatchState &state, const Request &request, const TargetId &target,
                          Milliseconds now)
{
    Decisions decisions;
    TargetView *view = findView(state, target);
    const bool isKnown = state.running.count(request.id) > 0;
    if (!view || isKnown || !isEligible(*view, request.service, now))
        return decisions;
    ServiceState &service = serviceOf(state, view->service);
    if (isLongClass(lengthClassOf(request.promptTokens)))
        service.demand.longBacklog += request.promptTokens;
    send(state, request, false, *view, now, decisions);
    return decisions;
}

} // namespace egretmount::routing

#include <egretmount/routing/span.h>

#include <algorithm>
#include <map>
#include <numeric>

#include "pump.h"

namespace egretmount::routing {

namespace {

constexpr int percent = 100;

struct FreeTarget
{
    const TargetView *view = nullptr;
    TokenCount tokens = 0;
};

using FreeByZone = std::map<ZoneId, std::vector<FreeTarget>>;

bool isOpen(const TargetView &view, const ServiceId &service, Milliseconds now)
{
    return view.service == service && view.acceptsNewWork && view.failedUntil <= now
           && view.capacity.tokens > 0;
}

// Free memory by the target's report or by own work, whichever is less, within a span's bound.
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
        if (isOpen(view, service, now) && freeTokens(view) > 0)
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

// Fewest targets, at least `least`, that hold the request together; zero if all do not.
std::size_t neededTargets(const std::vector<FreeTarget> &free, TokenCount needed, std::size_t least)
{
    TokenCount sum = 0;
    for (std::size_t i = 0; i < free.size(); ++i) {
        sum += free[i].tokens;
        if (sum >= needed && i + 1 >= least)
            return i + 1;
    }
    return 0;
}

SpanPlan divide(std::vector<FreeTarget> chosen, const ZoneId &zone, const Request &request)
{
    const TokenCount free = std::accumulate(
        chosen.begin(), chosen.end(), TokenCount(0),
        [](TokenCount sum, const FreeTarget &target) { return sum + target.tokens; });
    // Every instance reserves in this order, so that two spans meet at the same target first.
    std::sort(chosen.begin(), chosen.end(),
              [](const FreeTarget &a, const FreeTarget &b) { return a.view->id < b.view->id; });
    SpanPlan plan;
    plan.zone = zone;
    TokenCount left = request.promptTokens;
    TokenCount freeLeft = free;
    for (const FreeTarget &target : chosen) {
        const bool isLast = plan.parts.size() + 1 == chosen.size();
        const double share = static_cast<double>(target.tokens) / static_cast<double>(freeLeft);
        const TokenCount wanted =
            static_cast<TokenCount>(static_cast<double>(left + request.maxTokens) * share);
        const TokenCount tokens = isLast ? left : std::min(left, wanted);
        plan.parts.push_back({ target.view->id, tokens });
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
                                 std::size_t least, Milliseconds now)
{
    const FreeByZone zones = freeByZone(state, request.service, now);
    FreeByZone::const_iterator best = zones.end();
    std::size_t bestCount = 0;
    for (auto zone = zones.begin(); zone != zones.end(); ++zone) {
        const std::size_t count = neededTargets(zone->second, request.memoryTokens(), least);
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
    return divide(std::move(chosen), best->first, request);
}

std::optional<TargetId> replacePart(const DispatchState &state, const SpanPlan &plan,
                                    std::size_t index, const Request &part, Milliseconds now)
{
    const TargetView *best = nullptr;
    for (const TargetView &view : state.targets) {
        const auto isUsed = [&view](const SpanPart &one) { return one.target == view.id; };
        const bool isTaken = std::any_of(plan.parts.begin(), plan.parts.end(), isUsed);
        const bool isOther = view.id != plan.parts.at(index).target;
        if (view.zone == plan.zone && isOpen(view, part.service, now) && !isTaken && isOther
            && freeTokens(view) >= part.memoryTokens()
            && (!best || freeTokens(view) > freeTokens(*best)))
            best = &view;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

Request partRequest(const Request &request, std::size_t index, TokenCount tokens,
                    TokenCount answerTokens)
{
    Request part = request;
    part.id = RequestId(request.id.value + ".part" + std::to_string(index));
    part.promptTokens = tokens;
    part.maxTokens = answerTokens;
    return part;
}

Decisions reserveAt(DispatchState &state, const Request &request, const TargetId &target,
                    Milliseconds now)
{
    const TargetView *view = findView(state, target);
    if (!view || !hasRoom(*view, request, now))
        return {};
    return reserveLoaned(state, request, target, now);
}

Decisions reserveLoaned(DispatchState &state, const Request &request, const TargetId &target,
                        Milliseconds now)
{
    Decisions decisions;
    TargetView *view = findView(state, target);
    const bool isKnown = state.running.count(request.id) > 0;
    if (!view || isKnown || !isOpen(*view, request.service, now))
        return decisions;
    ServiceState &service = serviceOf(state, view->service);
    if (isLongClass(lengthClassOf(request.promptTokens)))
        service.demand.longBacklog += request.promptTokens;
    send(state, request, false, *view, now, decisions);
    return decisions;
}

} // namespace egretmount::routing

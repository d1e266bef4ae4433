#include <egretmount/routing/choice.h>

#include <tuple>

namespace egretmount::routing {

namespace {

// Lower is better.
std::tuple<TokenCount, bool, std::int64_t, const TargetId &> rank(const TargetView &view,
                                                                  const ZoneId &ownZone)
{
    return { view.waitingPromptTokens + view.report.waitingPromptTokens, view.zone != ownZone,
             view.inFlight.slots, view.id };
}

} // namespace

bool hasRoom(const TargetView &view, const Request &request)
{
    const bool hasTokens =
        view.spendable.tokens == 0
        || view.inFlight.tokens + request.memoryTokens() <= view.spendable.tokens;
    return hasTokens && view.inFlight.slots < view.spendable.slots;
}

const TargetView *chooseTarget(const std::vector<TargetView> &views, const Request &request,
                               const ZoneId &ownZone, Milliseconds now)
{
    const TargetView *best = nullptr;
    for (const TargetView &view : views) {
        const bool isEligible = view.service == request.service && view.acceptsNewWork
                                && view.failedUntil <= now && hasRoom(view, request);
        if (isEligible && (!best || rank(view, ownZone) < rank(*best, ownZone)))
            best = &view;
    }
    return best;
}

} // namespace egretmount::routing

#include <egretmount/routing/explain.h>

namespace egretmount::routing {

Ineligibility ineligibilityOf(const TargetView &view, const Request &request, Milliseconds now)
{
    if (view.service != request.service)
        return Ineligibility::OtherService;
    if (!view.acceptsNewWork)
        return Ineligibility::NoNewWork;
    if (view.failedUntil > now)
        return Ineligibility::RecentFailure;
    if (view.spendable.slots == 0)
        return Ineligibility::NoShare;
    if (!fitsShare(view, request))
        return Ineligibility::MemoryTooSmall;
    if (view.inFlight.slots >= view.spendable.slots)
        return Ineligibility::SlotsInUse;
    return hasRoom(view, request, now) ? Ineligibility::None : Ineligibility::MemoryInUse;
}

std::optional<TargetId> likelyTarget(const DispatchState &state, const Request &request,
                                     Milliseconds now)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < state.targets.size(); ++i) {
        if (ineligibilityOf(state.targets[i], request, now) == Ineligibility::None)
            order.push_back(i);
    }
    const std::optional<std::size_t> choice = chooseTarget(
        { state.targets, order, 0, order.size() }, request, state.policy, state.ownZone, now);
    if (!choice)
        return std::nullopt;
    return state.targets[*choice].id;
}

std::string describe(Ineligibility ineligibility)
{
    switch (ineligibility) {
    case Ineligibility::None:
        return "can take it";
    case Ineligibility::OtherService:
        return "serves another service";
    case Ineligibility::NoNewWork:
        return "it or its availability zone is taken out";
    case Ineligibility::RecentFailure:
        return "failed a moment ago and is left alone";
    case Ineligibility::NoShare:
        return "this instance holds no part of its capacity";
    case Ineligibility::MemoryTooSmall:
        return "the request needs more memory than this instance's share";
    case Ineligibility::MemoryInUse:
        return "the free part of this instance's share of its memory is too small now";
    case Ineligibility::SlotsInUse:
        return "this instance's share of its slots is in use";
    }
    return {};
}

} // namespace egretmount::routing

#include <egretmount/routing/explain.h>

namespace egretmount::routing {

Obstacle obstacleFor(const TargetView &view, const Request &request, Milliseconds now)
{
    if (view.service != request.service)
        return Obstacle::OtherService;
    if (!view.acceptsNewWork)
        return Obstacle::NoNewWork;
    if (view.failedUntil > now)
        return Obstacle::RecentFailure;
    if (view.spendable.slots == 0)
        return Obstacle::NoShare;
    if (!fitsShare(view, request))
        return Obstacle::MemoryTooSmall;
    if (view.inFlight.slots >= view.spendable.slots)
        return Obstacle::SlotsInUse;
    return hasRoom(view, request, now) ? Obstacle::None : Obstacle::MemoryInUse;
}

std::optional<TargetId> likelyTarget(const DispatchState &state, const Request &request,
                                     Milliseconds now)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < state.targets.size(); ++i) {
        if (obstacleFor(state.targets[i], request, now) == Obstacle::None)
            order.push_back(i);
    }
    const std::optional<std::size_t> choice = chooseTarget(
        { state.targets, order, 0, order.size() }, request, state.policy, state.ownZone, now);
    if (!choice)
        return std::nullopt;
    return state.targets[*choice].id;
}

std::string describe(Obstacle obstacle)
{
    switch (obstacle) {
    case Obstacle::None:
        return "can take it";
    case Obstacle::OtherService:
        return "serves another service";
    case Obstacle::NoNewWork:
        return "it or its availability zone is taken out";
    case Obstacle::RecentFailure:
        return "failed a moment ago and is left alone";
    case Obstacle::NoShare:
        return "this instance holds no part of its capacity";
    case Obstacle::MemoryTooSmall:
        return "the request needs more memory than this instance's share";
    case Obstacle::MemoryInUse:
        return "the free part of this instance's share of its memory is too small now";
    case Obstacle::SlotsInUse:
        return "this instance's share of its slots is in use";
    }
    return {};
}

} // namespace egretmount::routing

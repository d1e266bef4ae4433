#include <egretmount/instance/shutdown_plan.h>

#include <algorithm>

namespace egretmount::instance {

namespace {

// Connections are accepted for this long, because other instances still name this one for a moment
// and callers cache directory responses.
constexpr Milliseconds maxAnnouncing = Milliseconds(1'500);
constexpr double announcingShare = 0.25;
// By then callers have fetched a directory without this instance. The platform's rules excuse the
// end of a request at the end of the grace period only if it was sent within three seconds.
constexpr Milliseconds maxServing = Milliseconds(2'800);
constexpr double servingShare = 0.35;
// Time kept for the last responses and the exit. The least values leave room for the delay with
// which the process sees the stop signal and the beginning of a stage.
constexpr double abortingShare = 0.06;
constexpr Milliseconds minAborting = Milliseconds(250);
constexpr double exitingShare = 0.02;
constexpr Milliseconds minExiting = Milliseconds(160);

Milliseconds shareOf(Milliseconds time, double share)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

} // namespace

ShutdownPlan shutdownPlan(Milliseconds grace)
{
    const Milliseconds exitTime = std::max(shareOf(grace, exitingShare), minExiting);
    const Milliseconds abortTime = std::max(shareOf(grace, abortingShare), minAborting);
    ShutdownPlan plan;
    plan.exiting = std::max(grace - exitTime, Milliseconds());
    plan.aborting = std::clamp(grace - abortTime, Milliseconds(), plan.exiting);
    plan.refusing = std::min({ shareOf(grace, servingShare), maxServing, plan.aborting });
    plan.draining = std::min({ shareOf(grace, announcingShare), maxAnnouncing, plan.refusing });
    return plan;
}

ShutdownStage shutdownStage(const ShutdownPlan &plan, Milliseconds elapsed)
{
    if (elapsed >= plan.exiting)
        return ShutdownStage::Exiting;
    if (elapsed >= plan.aborting)
        return ShutdownStage::Aborting;
    if (elapsed >= plan.refusing)
        return ShutdownStage::Refusing;
    return elapsed >= plan.draining ? ShutdownStage::Draining : ShutdownStage::Announcing;
}

bool mayExit(ShutdownStage stage, const Obligations &owed)
{
    if (stage == ShutdownStage::Exiting)
        return true;
    return stage != ShutdownStage::Announcing && owed.requests == 0 && owed.connections == 0
           && owed.bytes == 0;
}

} // namespace egretmount::instance

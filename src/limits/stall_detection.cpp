#include <egretmount/limits/stall_detection.h>

#include <algorithm>

namespace egretmount::limits {

namespace {

// Time-out of a stream after its first event, in event-gap targets.
constexpr double stallEventGapTargets = 2;
// Time-out of a stream before its first event, as a multiple of the expected time to that event.
constexpr double stallFirstEventFactor = 2;

// Time-out of a caller between two events of a stream.
constexpr Milliseconds minClientTimeout = Milliseconds(2'000);
constexpr int clientTimeoutLatencyTargets = 4;
constexpr int clientTimeoutEventGapTargets = 8;

double milliseconds(Milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

Milliseconds clientTimeout(const fleet::Route &route)
{
    return clientTimeout(route.latencyTarget, route.eventGapTarget);
}

Milliseconds clientTimeout(Milliseconds latencyTarget, Milliseconds eventGapTarget)
{
    return std::max({ minClientTimeout, latencyTarget * clientTimeoutLatencyTargets,
                      eventGapTarget * clientTimeoutEventGapTargets });
}

bool isStalled(const StreamActivity &stream)
{
    const double minTimeout = stream.isDecoding
                                  ? stallEventGapTargets * milliseconds(stream.eventGapTarget)
                                  : stallFirstEventFactor * stream.expectedMs;
    // A target may send nothing while it prefills long prompts.
    const double timeout = std::max(minTimeout, milliseconds(targetIdleTimeout)) + stream.backlogMs;
    return milliseconds(stream.targetIdleTime) > timeout && milliseconds(stream.idleTime) > timeout;
}

bool shouldLeaveStalledTarget(TargetState state, int busyReports)
{
    return state != TargetState::Busy || busyReports >= maxBusyReports;
}

bool isStalled(Milliseconds idleTime, Milliseconds lifetime)
{
    return milliseconds(idleTime) > stallTimeoutShare * milliseconds(lifetime);
}

} // namespace egretmount::limits

#include <egretmount/limits/stall_detection.h>

#include <algorithm>

namespace egretmount::limits {

namespace {

constexpr double stallEventGapTargets = 2; // pause targets without an event of the stream
constexpr double stallFirstEventFactor = 2; // times the time expected to the first event

// Seen on the callers' side.
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
    return std::max({ minClientTimeout, route.latencyTarget * clientTimeoutLatencyTargets,
                      route.pauseTarget * clientTimeoutEventGapTargets });
}

bool isStalled(const StreamActivity &stream)
{
    const double minTimeout = stream.isDecoding ? stallEventGapTargets * milliseconds(stream.pauseTarget)
                                          : stallFirstEventFactor * stream.expectedMs;
    // A target that reads long prompts sends nothing meanwhile.
    const double timeout = std::max(minTimeout, milliseconds(targetIdleTimeout)) + stream.backlogMs;
    return milliseconds(stream.targetIdleTime) > timeout && milliseconds(stream.idleTime) > timeout;
}

bool isStalled(Milliseconds idleTime, Milliseconds lifetime)
{
    return milliseconds(idleTime) > stallTimeoutShare * milliseconds(lifetime);
}

} // namespace egretmount::limits

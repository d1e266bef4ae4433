#include <egretmount/limits/silence.h>

#include <algorithm>

namespace egretmount::limits {

namespace {

constexpr double silentPauses = 2; // pause targets without an event of the stream
constexpr double silentEstimates = 2; // times the time expected to the first event

// Seen on the callers' side.
constexpr Milliseconds leastPatience = Milliseconds(2'000);
constexpr int patienceTargets = 4;
constexpr int patiencePauses = 8;

double milliseconds(Milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

Milliseconds patienceOf(const fleet::Route &route)
{
    return std::max({ leastPatience, route.latencyTarget * patienceTargets,
                      route.eventGapTarget * patiencePauses });
}

bool isSilent(const StreamSilence &stream)
{
    const double least = stream.isWriting ? silentPauses * milliseconds(stream.eventGapTarget)
                                          : silentEstimates * stream.expectedMs;
    // A target that reads long prompts sends nothing meanwhile.
    const double allowed = std::max(least, milliseconds(silentTarget)) + stream.backlogMs;
    return milliseconds(stream.unheard) > allowed && milliseconds(stream.quiet) > allowed;
}

bool isSilent(Milliseconds quiet, Milliseconds life)
{
    return milliseconds(quiet) > plainSilenceShare * milliseconds(life);
}

} // namespace egretmount::limits

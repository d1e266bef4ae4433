#include <egretmount/config/polling.h>

#include <algorithm>

namespace egretmount::config {

using namespace literals;

namespace {

constexpr Milliseconds shortestListInterval = 1'000_ms;
constexpr std::int64_t listReadsPerSecond = 50; // limit for all instances together

Milliseconds fallbackAfter(Milliseconds at, Random &random)
{
    return at + fallbackDelay + random.between(0_ms, fallbackJitter);
}

} // namespace

void recordRead(PollState &state, Milliseconds at, Random &random)
{
    if (state.hasBeenRead && at <= state.lastReadAt)
        return;
    state.hasBeenRead = true;
    state.lastReadAt = at;
    state.fallbackAt = fallbackAfter(at, random);
}

void recordFailedRead(PollState &state, Milliseconds now, Random &random)
{
    state.fallbackAt = fallbackAfter(now, random);
}

PollStep nextStep(const PollState &state, bool isWatcher, Milliseconds now)
{
    if (isWatcher)
        return PollStep::Watch;
    if (!state.hasBeenRead || now >= state.fallbackAt)
        return PollStep::Read;
    return PollStep::Wait;
}

Milliseconds listInterval(std::size_t listedInstances)
{
    const Milliseconds second(1'000);
    const Milliseconds scaled =
        second * static_cast<std::int64_t>(listedInstances) / listReadsPerSecond;
    return std::max(shortestListInterval, scaled);
}

} // namespace egretmount::config

#include <egretmount/config/reading.h>

#include <algorithm>

namespace egretmount::config {

using namespace literals;

namespace {

constexpr Milliseconds shortestListInterval = 1'000_ms;
constexpr std::int64_t listReadsPerSecond = 50; // of all instances together

Milliseconds fallbackAfter(Milliseconds at, Random &random)
{
    return at + fallbackSilence + random.between(0_ms, fallbackJitter);
}

} // namespace

void noteRead(ReadingState &state, Milliseconds at, Random &random)
{
    if (state.isConfirmed && at <= state.confirmedAt)
        return;
    state.isConfirmed = true;
    state.confirmedAt = at;
    state.fallbackAt = fallbackAfter(at, random);
}

void noteFailedRead(ReadingState &state, Milliseconds now, Random &random)
{
    state.fallbackAt = fallbackAfter(now, random);
}

ReadStep nextStep(const ReadingState &state, bool isWatcher, Milliseconds now)
{
    if (isWatcher)
        return ReadStep::Watch;
    if (!state.isConfirmed || now >= state.fallbackAt)
        return ReadStep::Read;
    return ReadStep::Wait;
}

Milliseconds listInterval(std::size_t listedInstances)
{
    const Milliseconds second(1'000);
    const Milliseconds scaled =
        second * static_cast<std::int64_t>(listedInstances) / listReadsPerSecond;
    return std::max(shortestListInterval, scaled);
}

} // namespace egretmount::config

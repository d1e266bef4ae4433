#include <egretmount/credit/warmth.h>

#include <algorithm>

namespace egretmount::credit {

namespace {

constexpr std::size_t maxSamples = 31;
constexpr std::size_t minSamples = 8; // with fewer samples the median is not meaningful
constexpr double fixedCostTokens = 1'000; // fixed cost of any prompt, expressed in tokens

double median(std::vector<double> samples)
{
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    return *middle;
}

void addSample(WarmupState &warmup, double time)
{
    if (warmup.samples.size() < maxSamples) {
        warmup.samples.push_back(time);
        return;
    }
    warmup.samples[warmup.nextSample] = time;
    warmup.nextSample = (warmup.nextSample + 1) % maxSamples;
}

} // namespace

bool recordWarmupReport(WarmupState &warmup, std::uint64_t bootId, bool isWarm, Milliseconds now)
{
    const bool isRestart = warmup.bootId && *warmup.bootId != bootId;
    warmup.bootId = bootId;
    warmup.lastReport = now;
    if (!isWarm || now >= warmup.ignoreWarmUntil)
        warmup.isWarm = isWarm;
    return isRestart;
}

bool recordFirstTokenTime(WarmupState &warmup, const WarmupSettings &settings,
                          TokenCount promptTokens, Milliseconds took, Milliseconds now)
{
    const double time =
        static_cast<double>(took.count()) / (static_cast<double>(promptTokens) + fixedCostTokens);
    const bool isSlow = warmup.samples.size() >= minSamples && took > settings.minSlowTime
                        && time > settings.slowFactor * median(warmup.samples);
    if (!isSlow) {
        // Only normal times are added, as slow ones would shift the median towards the slowdown.
        addSample(warmup, time);
        warmup.consecutiveSlow = 0;
        return false;
    }
    if (++warmup.consecutiveSlow < settings.slowSamplesUntilCold || !warmup.isWarm)
        return false;
    warmup.consecutiveSlow = 0;
    warmup.isWarm = false;
    warmup.ignoreWarmUntil = now + settings.reportLag;
    return true;
}

} // namespace egretmount::credit

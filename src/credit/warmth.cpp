#include <egretmount/credit/warmth.h>

#include <algorithm>

namespace egretmount::credit {

namespace {

constexpr std::size_t keptTimes = 31;
constexpr std::size_t leastTimes = 8; // fewer say nothing of what is usual
constexpr double fixedTokens = 1'000; // tokens that stand for the work of any prompt

double median(std::vector<double> times)
{
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

void keep(Warmth &warmth, double time)
{
    if (warmth.times.size() < keptTimes) {
        warmth.times.push_back(time);
        return;
    }
    warmth.times[warmth.nextTime] = time;
    warmth.nextTime = (warmth.nextTime + 1) % keptTimes;
}

} // namespace

bool noteWarmth(Warmth &warmth, std::uint64_t bootId, bool isWarm, Milliseconds now)
{
    const bool isRestart = warmth.bootId && *warmth.bootId != bootId;
    warmth.bootId = bootId;
    warmth.lastReport = now;
    if (!isWarm || now >= warmth.distrustedUntil)
        warmth.isWarm = isWarm;
    return isRestart;
}

bool noteFirstTokenTime(Warmth &warmth, const WarmthSettings &settings, TokenCount promptTokens,
                        Milliseconds took, Milliseconds now)
{
    const double time =
        static_cast<double>(took.count()) / (static_cast<double>(promptTokens) + fixedTokens);
    const bool isSlow = warmth.times.size() >= leastTimes && took > settings.leastJump
                        && time > settings.jumpFactor * median(warmth.times);
    if (!isSlow) {
        // Slow times do not count into the median, or it would follow the jump.
        keep(warmth, time);
        warmth.slowInARow = 0;
        return false;
    }
    if (++warmth.slowInARow < settings.slowInARow || !warmth.isWarm)
        return false;
    warmth.slowInARow = 0;
    warmth.isWarm = false;
    warmth.distrustedUntil = now + settings.reportLag;
    return true;
}

} // namespace egretmount::credit

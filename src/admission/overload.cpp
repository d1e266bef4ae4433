#include <egretmount/admission/overload.h>

#include <algorithm>

namespace egretmount::admission {

using namespace literals;

namespace {

constexpr Milliseconds drainWindow = 300_ms;
constexpr double drainSampleWeight = 0.3; // of a new sample in the moving average
constexpr Milliseconds minSpread = 1'000_ms;

} // namespace

void recordDrained(DrainRate &rate, TokenCount tokens, Milliseconds now)
{
    if (!rate.isWindowOpen) {
        rate.isWindowOpen = true;
        rate.windowStart = now;
        rate.windowTokens = 0;
        return; // the request that opens the window left the queue before it
    }
    rate.windowTokens += tokens;
    const Milliseconds length = now - rate.windowStart;
    if (length < drainWindow)
        return;
    const double sample =
        static_cast<double>(rate.windowTokens) / static_cast<double>(length.count());
    const bool isFirst = rate.tokensPerMs <= 0;
    rate.tokensPerMs =
        isFirst ? sample : rate.tokensPerMs + drainSampleWeight * (sample - rate.tokensPerMs);
    rate.windowStart = now;
    rate.windowTokens = 0;
}

void closeDrainWindow(DrainRate &rate)
{
    rate.isWindowOpen = false;
}

Milliseconds expectedWait(const DrainRate &rate, double tokensAhead)
{
    if (rate.tokensPerMs <= 0)
        return {};
    return Milliseconds(static_cast<std::int64_t>(tokensAhead / rate.tokensPerMs));
}

Milliseconds retryAfter(Milliseconds backlog, Random &random)
{
    const Milliseconds least = std::clamp(backlog, minRetryAfter, maxRetryAfter / 2);
    return random.between(least, least + std::max(least, minSpread));
}

void recordRequest(RetryBudget &budget)
{
    budget.available = std::min(budget.maxAvailable, budget.available + budget.retriesPerRequest);
}

bool tryAcquireRetry(RetryBudget &budget)
{
    if (budget.available < 1)
        return false;
    budget.available -= 1;
    return true;
}

} // namespace egretmount::admission

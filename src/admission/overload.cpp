#include <egretmount/admission/overload.h>

#include <algorithm>

namespace egretmount::admission {

using namespace literals;

namespace {

constexpr Milliseconds drainWindow = 300_ms;
constexpr double drainWeight = 0.3; // of a new sample
constexpr Milliseconds leastSpread = 1'000_ms;

} // namespace

void noteDrained(DrainRate &rate, TokenCount tokens, Milliseconds now)
{
    if (!rate.isOpen) {
        rate.isOpen = true;
        rate.windowStart = now;
        rate.windowTokens = 0;
        return; // it opens the window, so its own tokens took no part of it
    }
    rate.windowTokens += tokens;
    const Milliseconds length = now - rate.windowStart;
    if (length < drainWindow)
        return;
    const double sample =
        static_cast<double>(rate.windowTokens) / static_cast<double>(length.count());
    const bool isFirst = rate.tokensPerMs <= 0;
    rate.tokensPerMs =
        isFirst ? sample : rate.tokensPerMs + drainWeight * (sample - rate.tokensPerMs);
    rate.windowStart = now;
    rate.windowTokens = 0;
}

void noteEmpty(DrainRate &rate)
{
    rate.isOpen = false;
}

Milliseconds expectedWait(const DrainRate &rate, double tokensAhead)
{
    if (rate.tokensPerMs <= 0)
        return {};
    return Milliseconds(static_cast<std::int64_t>(tokensAhead / rate.tokensPerMs));
}

Milliseconds retryAfter(Milliseconds backlog, Random &random)
{
    const Milliseconds least = std::clamp(backlog, leastRetryAfter, mostRetryAfter / 2);
    return random.between(least, least + std::max(least, leastSpread));
}

void noteRequest(RetryBudget &budget)
{
    budget.available = std::min(budget.most, budget.available + budget.retriesPerRequest);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.available < 1)
        return false;
    budget.available -= 1;
    return true;
}

} // namespace egretmount::admission

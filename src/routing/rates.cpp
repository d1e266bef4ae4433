#include <egretmount/routing/rates.h>

#include <algorithm>

#include <egretmount/core/length_class.h>

namespace egretmount::routing {

namespace {

constexpr double rateSampleWeight = 0.2;
constexpr double outputShareMargin = 1.5; // over the mean output share
// For shorter prompts, the network dominates the first-token time.
constexpr TokenCount minMeasuredPromptTokens = 2 * shortPromptTokens;
// Weight of a sample above the current overhead. Only the shortest samples did not queue.
constexpr double overheadRiseShare = 0.01;

void updateAverage(double &estimate, double sample)
{
    estimate = estimate > 0 ? estimate + rateSampleWeight * (sample - estimate) : sample;
}

bool isFresh(Milliseconds measured, Milliseconds now)
{
    return now - measured <= ratesLifetime;
}

} // namespace

void recordPrefill(Rates &rates, TokenCount promptTokens, TokenCount promptTokensAhead,
                   Milliseconds elapsed, Milliseconds now)
{
    const double elapsedMs = std::max(1.0, static_cast<double>(elapsed.count()));
    if (promptTokens < std::max(minMeasuredPromptTokens, promptTokensAhead)) {
        const double difference = elapsedMs - rates.overheadMs;
        const bool isLower = rates.overheadMs <= 0 || difference < 0;
        rates.overheadMs += isLower ? difference : overheadRiseShare * difference;
        return;
    }
    const double prefillMs = std::max(elapsedMs / 2, elapsedMs - rates.overheadMs);
    updateAverage(rates.prefillTokensPerMs,
                  static_cast<double>(promptTokens + promptTokensAhead) / prefillMs);
    rates.prefillMeasuredAt = now;
}

void recordDecode(Rates &rates, TokenCount generated, TokenCount maxTokens, Milliseconds elapsed,
                  Milliseconds now)
{
    if (maxTokens <= 0 || generated <= 0)
        return;
    rates.outputShare +=
        rateSampleWeight
        * (static_cast<double>(generated) / static_cast<double>(maxTokens) - rates.outputShare);
    if (generated < 2)
        return;
    updateAverage(rates.decodeMsPerToken,
                  static_cast<double>(elapsed.count()) / static_cast<double>(generated - 1));
    rates.decodeMeasuredAt = now;
}

double prefillRate(const Rates &rates, double fallback, Milliseconds now)
{
    const bool isUsable = rates.prefillTokensPerMs > 0 && isFresh(rates.prefillMeasuredAt, now);
    return isUsable ? rates.prefillTokensPerMs : fallback;
}

Milliseconds expectedRunTime(const Rates &rates, TokenCount promptTokens, TokenCount maxTokens,
                             Milliseconds now)
{
    double total = 0;
    if (rates.prefillTokensPerMs > 0 && isFresh(rates.prefillMeasuredAt, now))
        total += static_cast<double>(promptTokens) / rates.prefillTokensPerMs;
    if (rates.decodeMsPerToken > 0 && isFresh(rates.decodeMeasuredAt, now)) {
        const double share = std::min(1.0, rates.outputShare * outputShareMargin);
        total += static_cast<double>(maxTokens) * share * rates.decodeMsPerToken;
    }
    return Milliseconds(static_cast<std::int64_t>(total));
}

} // namespace egretmount::routing

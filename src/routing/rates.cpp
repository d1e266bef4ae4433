#include <egretmount/routing/rates.h>

#include <algorithm>

#include <egretmount/core/length_class.h>

namespace egretmount::routing {

namespace {

constexpr double sampleWeight = 0.2;
constexpr double outputMargin = 1.5; // over the mean part of `maxTokens` that answers use
// Below this the time of a prefill says more of the network than of the engine.
constexpr TokenCount leastBulkTokens = 2 * shortPromptTokens;
constexpr double overheadRise = 0.01; // of a longer sample, as only the shortest ones had no wait

void mix(double &estimate, double sample)
{
    estimate = estimate > 0 ? estimate + sampleWeight * (sample - estimate) : sample;
}

bool isFresh(Milliseconds measured, Milliseconds now)
{
    return now - measured <= ratesLifetime;
}

} // namespace

void noteFirstToken(Rates &rates, TokenCount promptTokens, TokenCount tokensBefore,
                    Milliseconds elapsed, Milliseconds now)
{
    const double elapsedMs = std::max(1.0, static_cast<double>(elapsed.count()));
    if (promptTokens < std::max(leastBulkTokens, tokensBefore)) {
        const double difference = elapsedMs - rates.overheadMs;
        const bool isLower = rates.overheadMs <= 0 || difference < 0;
        rates.overheadMs += isLower ? difference : overheadRise * difference;
        return;
    }
    const double working = std::max(elapsedMs / 2, elapsedMs - rates.overheadMs);
    mix(rates.prefillTokensPerMs, static_cast<double>(promptTokens + tokensBefore) / working);
    rates.prefillMeasured = now;
}

void noteAnswer(Rates &rates, TokenCount generated, TokenCount maxTokens, Milliseconds elapsed,
                Milliseconds now)
{
    if (maxTokens <= 0 || generated <= 0)
        return;
    rates.outputShare +=
        sampleWeight
        * (static_cast<double>(generated) / static_cast<double>(maxTokens) - rates.outputShare);
    if (generated < 2)
        return;
    mix(rates.msPerToken,
        static_cast<double>(elapsed.count()) / static_cast<double>(generated - 1));
    rates.decodeMeasured = now;
}

double prefillRate(const Rates &rates, double otherwise, Milliseconds now)
{
    const bool isUsable = rates.prefillTokensPerMs > 0 && isFresh(rates.prefillMeasured, now);
    return isUsable ? rates.prefillTokensPerMs : otherwise;
}

Milliseconds expectedRunTime(const Rates &rates, TokenCount promptTokens, TokenCount maxTokens,
                             Milliseconds now)
{
    double total = 0;
    if (rates.prefillTokensPerMs > 0 && isFresh(rates.prefillMeasured, now))
        total += static_cast<double>(promptTokens) / rates.prefillTokensPerMs;
    if (rates.msPerToken > 0 && isFresh(rates.decodeMeasured, now)) {
        const double share = std::min(1.0, rates.outputShare * outputMargin);
        total += static_cast<double>(maxTokens) * share * rates.msPerToken;
    }
    return Milliseconds(static_cast<std::int64_t>(total));
}

} // namespace egretmount::routing

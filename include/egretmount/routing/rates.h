#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::routing {

/// @brief Running estimates of how fast a target, or all targets of a service, work.
///
/// An estimate without samples for `ratesLifetime` is not used: if a bad one refused all requests,
/// no new sample could ever mend it.
struct Rates
{
    double overheadMs = 0; ///< First-token time of a short prompt that waits for nothing.
    double prefillTokensPerMs = 0; ///< Zero: not measured yet.
    double decodeMsPerToken = 0; ///< Of one stream; zero: not measured yet.
    double outputShare = 1; ///< Part of `maxTokens` that answers use.
    Milliseconds prefillMeasuredAt;
    Milliseconds decodeMeasuredAt;
};

/// @brief Used while no prefill rate of a service is measured.
constexpr double defaultPrefillTokensPerMs = 100;

constexpr Milliseconds ratesLifetime = Milliseconds(3'000);

/// @brief Takes in a first token.
///
/// Only prompts that are long in themselves measure the prefill rate: of the prompts before a short
/// one an unknown part was already processed when it was sent.
/// @param tokensBefore Prompts that the target had to process before.
void recordPrefill(Rates &rates, TokenCount promptTokens, TokenCount promptTokensAhead,
                    Milliseconds elapsed, Milliseconds now);

/// @brief Takes in a whole answer. @param elapsed From the first token to the last.
void recordDecode(Rates &rates, TokenCount generated, TokenCount maxTokens, Milliseconds elapsed,
                Milliseconds now);

/// @brief The prefill rate in tokens per millisecond, or `fallback` while it is not measured.
double prefillRate(const Rates &rates, double fallback, Milliseconds now);

/// @brief Time that a request takes from being sent to its last token, if nothing is before it.
/// @return Zero for what is not measured.
Milliseconds expectedRunTime(const Rates &rates, TokenCount promptTokens, TokenCount maxTokens,
                             Milliseconds now);

} // namespace egretmount::routing

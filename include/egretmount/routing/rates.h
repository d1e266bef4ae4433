#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::routing {

/// @brief Moving averages of the prefill and decode rates of a target or of a whole service.
///
/// An estimate that got no sample for `ratesLifetime` is not used. Otherwise an estimate that is
/// far too low could cause all requests to be refused, and no new sample could correct it.
struct Rates
{
    double overheadMs = 0; ///< First-token time of a short prompt that does not queue.
    double prefillTokensPerMs = 0; ///< Zero if not measured yet.
    double decodeMsPerToken = 0; ///< For one stream; zero if not measured yet.
    double outputShare = 1; ///< Mean fraction of `maxTokens` that outputs use.
    Milliseconds prefillMeasuredAt;
    Milliseconds decodeMeasuredAt;
};

/// @brief Prefill rate of a service without a measured rate.
constexpr double defaultPrefillTokensPerMs = 100;

/// @brief Time after its last sample during which an estimate is used.
constexpr Milliseconds ratesLifetime = Milliseconds(3'000);

/// @brief Updates the prefill rate, or the overhead for a short prompt, with a first-token time.
///
/// Only prompts that are long, and at least as long as those ahead of them, update the prefill
/// rate: an unknown part of the prompts ahead was already prefilled when the request was sent.
/// @param promptTokensAhead Prompt tokens that the target had to prefill first.
/// @param elapsed Time from sending the request to its first token.
void recordPrefill(Rates &rates, TokenCount promptTokens, TokenCount promptTokensAhead,
                   Milliseconds elapsed, Milliseconds now);

/// @brief Updates the decode rate and the output share with a complete response.
/// @param elapsed Time from the first token to the last.
void recordDecode(Rates &rates, TokenCount generated, TokenCount maxTokens, Milliseconds elapsed,
                  Milliseconds now);

/// @brief Returns the prefill rate in tokens per ms, or `fallback` without a recent sample.
double prefillRate(const Rates &rates, double fallback, Milliseconds now);

/// @brief Estimates the time from sending a request to its last token if nothing is queued ahead.
///
/// Prefill or decode without a recent sample counts as zero.
Milliseconds expectedRunTime(const Rates &rates, TokenCount promptTokens, TokenCount maxTokens,
                             Milliseconds now);

} // namespace egretmount::routing

#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <utility>

#include <egretmount/core/ids.h>

namespace egretmount::admission {

/// @brief Ring buffer of the tokens-per-byte ratios of recent prompts.
struct RatioSamples
{
    static constexpr std::size_t maxSamples = 32;

    std::array<double, maxSamples> ratios {};
    std::size_t count = 0; ///< Samples recorded in total.
    double upperRatio = 0; ///< Second highest ratio; highest of few samples.
};

/// @brief Estimates the tokens of a prompt from its length, calibrated by reported usage.
///
/// The estimate is an upper quantile, as too low an estimate overcommits the memory of an engine.
struct TokenEstimator
{
    std::map<ServiceId, RatioSamples> services;
    std::map<std::pair<ServiceId, TeamId>, RatioSamples> teams;
};

/// @brief Tokens per byte that are assumed until enough usage is reported.
constexpr double defaultTokensPerByte = 0.25;

/// @brief Records the usage that an engine reported. Short prompts are ignored, as the fixed tokens
///        that an engine adds distort their ratio.
/// @complexity Linearithmic in the retained samples.
void recordUsage(TokenEstimator &estimator, const ServiceId &service, const TeamId &team,
                 std::int64_t promptBytes, TokenCount promptTokens);

/// @brief Returns the estimated tokens of a prompt, at least one. Uses the samples of the team if
///        there are enough, otherwise those of the service.
/// @complexity Logarithmic in the teams.
TokenCount estimateTokens(const TokenEstimator &estimator, const ServiceId &service,
                          const TeamId &team, std::int64_t promptBytes);

} // namespace egretmount::admission

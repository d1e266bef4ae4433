#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <utility>

#include <egretmount/core/ids.h>

namespace egretmount::admission {

/// @brief Tokens for each byte of the latest prompts of one kind.
struct RatioSamples
{
    static constexpr std::size_t maxSamples = 32;

    std::array<double, maxSamples> ratios {};
    std::size_t count = 0; ///< Samples ever taken in.
    double upperRatio = 0; ///< The second highest ratio kept.
};

/// @brief Estimates the tokens of a prompt from its length, calibrated by what engines report.
///
/// The estimate is an upper quantile, as one that is too low overfills the memory of an engine.
struct TokenEstimator
{
    std::map<ServiceId, RatioSamples> services;
    std::map<std::pair<ServiceId, TeamId>, RatioSamples> teams;
};

/// @brief Used before the first report of usage, in tokens for each byte.
constexpr double defaultTokensPerByte = 0.25;

/// @brief Takes in the usage that an engine reported. Short prompts are ignored, as the fixed parts
///        that an engine adds distort their ratio.
/// @complexity Linear in the samples kept.
void recordUsage(TokenEstimator &estimator, const ServiceId &service, const TeamId &team,
               std::int64_t promptBytes, TokenCount promptTokens);

/// @brief Estimated tokens of a prompt: by the team's own samples if there are enough, else by
///        those of the service. At least one.
/// @complexity Logarithmic in the teams.
TokenCount estimateTokens(const TokenEstimator &estimator, const ServiceId &service,
                          const TeamId &team, std::int64_t promptBytes);

} // namespace egretmount::admission

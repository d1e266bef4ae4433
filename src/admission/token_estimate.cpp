#include <egretmount/admission/token_estimate.h>

#include <algorithm>
#include <cmath>

namespace egretmount::admission {

namespace {

constexpr std::int64_t leastPromptBytes = 512;
constexpr std::size_t leastSamples = 8;

void add(RatioSamples &samples, double ratio)
{
    samples.ratios[samples.count++ % RatioSamples::most] = ratio;
    const std::size_t kept = std::min(samples.count, RatioSamples::most);
    std::array<double, RatioSamples::most> sorted = samples.ratios;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(kept));
    samples.upper = sorted[kept > leastSamples ? kept - 2 : kept - 1];
}

} // namespace

void noteUsage(TokenEstimator &estimator, const ServiceId &service, const TeamId &team,
               std::int64_t promptBytes, TokenCount promptTokens)
{
    if (promptBytes < leastPromptBytes || promptTokens <= 0)
        return;
    const double ratio = static_cast<double>(promptTokens) / static_cast<double>(promptBytes);
    add(estimator.services[service], ratio);
    add(estimator.teams[{ service, team }], ratio);
}

TokenCount estimateTokens(const TokenEstimator &estimator, const ServiceId &service,
                          const TeamId &team, std::int64_t promptBytes)
{
    double ratio = assumedTokensPerByte;
    const auto ofTeam = estimator.teams.find({ service, team });
    const auto ofService = estimator.services.find(service);
    if (ofTeam != estimator.teams.end() && ofTeam->second.count >= leastSamples)
        ratio = ofTeam->second.upper;
    else if (ofService != estimator.services.end() && ofService->second.count >= leastSamples)
        ratio = ofService->second.upper;
    const double tokens = std::ceil(ratio * static_cast<double>(promptBytes));
    return std::max<TokenCount>(1, static_cast<TokenCount>(tokens));
}

} // namespace egretmount::admission

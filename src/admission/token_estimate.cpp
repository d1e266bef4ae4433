#include <egretmount/admission/token_estimate.h>

#include <algorithm>
#include <cmath>

namespace egretmount::admission {

namespace {

constexpr std::int64_t minPromptBytes = 512;
constexpr std::size_t minSamples = 8;

void addSample(RatioSamples &samples, double ratio)
{
    samples.ratios[samples.count++ % RatioSamples::maxSamples] = ratio;
    const std::size_t kept = std::min(samples.count, RatioSamples::maxSamples);
    std::array<double, RatioSamples::maxSamples> sorted = samples.ratios;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(kept));
    samples.upperRatio = sorted[kept > minSamples ? kept - 2 : kept - 1];
}

} // namespace

void recordUsage(TokenEstimator &estimator, const ServiceId &service, const TeamId &team,
                 std::int64_t promptBytes, TokenCount promptTokens)
{
    if (promptBytes < minPromptBytes || promptTokens <= 0)
        return;
    const double ratio = static_cast<double>(promptTokens) / static_cast<double>(promptBytes);
    addSample(estimator.services[service], ratio);
    addSample(estimator.teams[{ service, team }], ratio);
}

TokenCount estimateTokens(const TokenEstimator &estimator, const ServiceId &service,
                          const TeamId &team, std::int64_t promptBytes)
{
    double ratio = defaultTokensPerByte;
    const auto ofTeam = estimator.teams.find({ service, team });
    const auto ofService = estimator.services.find(service);
    if (ofTeam != estimator.teams.end() && ofTeam->second.count >= minSamples)
        ratio = ofTeam->second.upperRatio;
    else if (ofService != estimator.services.end() && ofService->second.count >= minSamples)
        ratio = ofService->second.upperRatio;
    const double tokens = std::ceil(ratio * static_cast<double>(promptBytes));
    return std::max<TokenCount>(1, static_cast<TokenCount>(tokens));
}

} // namespace egretmount::admission

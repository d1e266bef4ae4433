#include <egretmount/placement/engine_cost.h>

#include <algorithm>

namespace egretmount::placement {

double partReadingTime(const fleet::EngineSpeed &speed, TokenCount promptTokens, int parts)
{
    const double tokens = static_cast<double>(promptTokens);
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return (tokens / speed.readTokensPerMs + millionPairs * speed.readPairsMs) / parts;
}

double writingPassTime(const fleet::EngineSpeed &speed, int writers, TokenCount contextTokens)
{
    const double step = speed.stepMs + writers * speed.stepPerWriterMs
                        + static_cast<double>(contextTokens) / 1'000 * speed.stepPerContextMs;
    return step * speed.stepsPerPass;
}

double readingPerPass(const fleet::EngineSpeed &speed, double partMs, TokenCount partTokens)
{
    const TokenCount chunks =
        std::max<TokenCount>(1, (partTokens + speed.chunkTokens - 1) / speed.chunkTokens);
    const double chunkMs = partMs / static_cast<double>(chunks);
    return chunkMs * static_cast<double>(std::min<TokenCount>(chunks, speed.stepsPerPass));
}

} // namespace egretmount::placement

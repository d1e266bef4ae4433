#include <egretmount/placement/engine_cost.h>

#include <algorithm>

namespace egretmount::placement {

double shardPrefillTime(const fleet::EngineSpeed &speed, TokenCount promptTokens, int shards)
{
    const double tokens = static_cast<double>(promptTokens);
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return (tokens / speed.prefillTokensPerMs + millionPairs * speed.attentionMsPerMillionPairs)
           / shards;
}

double decodeEventInterval(const fleet::EngineSpeed &speed, int streams, TokenCount contextTokens)
{
    const double step = speed.stepMs + streams * speed.stepPerStreamMs
                        + static_cast<double>(contextTokens) / 1'000 * speed.stepPerContextMs;
    return step * speed.stepsPerEvent;
}

double prefillPerEventInterval(const fleet::EngineSpeed &speed, double shardPrefillMs,
                               TokenCount shardTokens)
{
    const TokenCount chunks =
        std::max<TokenCount>(1, (shardTokens + speed.chunkTokens - 1) / speed.chunkTokens);
    const double chunkMs = shardPrefillMs / static_cast<double>(chunks);
    return chunkMs * static_cast<double>(std::min<TokenCount>(chunks, speed.stepsPerEvent));
}

} // namespace egretmount::placement

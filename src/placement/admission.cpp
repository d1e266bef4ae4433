#include <egretmount/placement/admission.h>

#include <algorithm>
#include <cmath>

#include <egretmount/placement/engine_cost.h>

namespace egretmount::placement {

namespace {

// Value of a late response, as a share of one in time.
constexpr double lateResponseValue = 0.25;
// Utilization from which the rank and the team of a prompt count; at full utilization they count
// wholly.
constexpr double scarcityRampStart = 0.7;
// Expected times are off by about a fifth.
constexpr double estimateMargin = 1.15;

// Returns the length of the longest prompt that one engine prefills within a time. It solves the
// quadratic formula of `shardPrefillTime` for the tokens.
double prefillableTokens(const fleet::EngineSpeed &speed, double milliseconds)
{
    const double perToken = 1 / speed.prefillTokensPerMs;
    const double perSquaredToken = speed.attentionMsPerMillionPairs / 2 / 1e6;
    if (perSquaredToken <= 0)
        return milliseconds / perToken;
    return (-perToken + std::sqrt(perToken * perToken + 4 * perSquaredToken * milliseconds))
           / (2 * perSquaredToken);
}

} // namespace

double expectedQueueingTime(const LongPool &pool, double prefillMs)
{
    const int engines = std::max(pool.engines, 1);
    const double backlog = pool.backlogMs / engines;
    // The shorter a prompt is compared with the running prefills, the sooner it overtakes them.
    const double waitedShare = backlog > 0 ? prefillMs / (prefillMs + backlog) : 0;
    return backlog * waitedShare + pool.queuedMs / engines;
}

bool shouldAdmit(const fleet::EngineSpeed &speed, const LongPool &pool, const Demand &demand,
                 double relativeWeight)
{
    if (pool.engines < 1)
        return true; // without a long pool the planner decides
    const double target = std::max(static_cast<double>(demand.latencyTarget.count()), 1.0);
    const double prefillMs = shardPrefillTime(speed, demand.promptTokens, 1);
    const double wait = expectedQueueingTime(pool, prefillMs);
    const double firstEventMs = wait + prefillMs / std::min(pool.engines, maxShards);
    const double clientTimeout = static_cast<double>(demand.clientTimeout.count());
    if (firstEventMs > clientTimeout)
        return false;
    const double utilization = std::min(std::max(wait / target, pool.demand), 1.0);
    // Ranks and shares decide who is served where not all can be. Below that, they would refuse
    // prompts that disturb nobody.
    const double scarcity =
        std::clamp((utilization - scarcityRampStart) / (1 - scarcityRampStart), 0.0, 1.0);
    const double value = demand.weight * (1 + (relativeWeight - 1) * scarcity)
                         * (firstEventMs * estimateMargin <= target ? 1 : lateResponseValue);
    // At full utilization, a millisecond of engine time costs the weight per millisecond of the
    // longest prompt that one engine prefills within the latency target.
    const TokenCount referenceTokens = static_cast<TokenCount>(prefillableTokens(speed, target));
    const double pricePerMs = weightOf(speed, referenceTokens) / target * utilization;
    return value >= pricePerMs * prefillMs;
}

} // namespace egretmount::placement

#include <egretmount/placement/admission.h>

#include <algorithm>
#include <cmath>

#include <egretmount/placement/engine_cost.h>

namespace egretmount::placement {

namespace {

// Weight of a late answer as a share of one in time.
constexpr double lateWorth = 0.25;
// Expected times are off by a fifth or so.
constexpr double safety = 1.15;

// Tokens of the prompt that one engine reads within a time.
double tokensRead(const fleet::EngineSpeed &speed, double milliseconds)
{
    const double perToken = 1 / speed.readTokensPerMs;
    const double perSquare = speed.readPairsMs / 2 / 1e6;
    if (perSquare <= 0)
        return milliseconds / perToken;
    return (-perToken + std::sqrt(perToken * perToken + 4 * perSquare * milliseconds))
           / (2 * perSquare);
}

} // namespace

double expectedWait(const LongLane &lane, double readingMs)
{
    const int engines = std::max(lane.engines, 1);
    const double backlog = lane.backlogMs / engines;
    // The smaller a prompt is beside what is being read, the sooner it goes ahead of it.
    const double passed = backlog > 0 ? readingMs / (readingMs + backlog) : 0;
    return backlog * passed + lane.waitingMs / engines;
}

bool isWorthTaking(const fleet::EngineSpeed &speed, const LongLane &lane, const Demand &demand)
{
    if (lane.engines < 1)
        return true; // nothing is known of a lane; the planner decides
    const double target = std::max(static_cast<double>(demand.latencyTarget.count()), 1.0);
    const double reading = partReadingTime(speed, demand.promptTokens, 1);
    const double wait = expectedWait(lane, reading);
    const double first = wait + reading / std::min(lane.engines, maxParts);
    const double patience = static_cast<double>(demand.patience.count());
    if (first > patience)
        return false;
    const double worth = demand.weight * (first * safety <= target ? 1 : lateWorth);
    // The price of a millisecond once others wait for their whole target: what a prompt is worth
    // that one engine reads in just that time.
    const TokenCount usual = static_cast<TokenCount>(tokensRead(speed, target));
    const double scarcity = std::min(std::max(wait / target, lane.demand), 1.0);
    const double price = weightOf(speed, usual) / target * scarcity;
    return worth >= price * reading;
}

} // namespace egretmount::placement

#include <egretmount/placement/planner.h>

#include <algorithm>
#include <array>
#include <cmath>

#include <egretmount/placement/engine_cost.h>

#include "engine_load.h"

namespace egretmount::placement {

namespace {

// Part of a request's weight that is lost if it is late or has a pause that is too long.
constexpr double missedTargetCost = 0.75; // answers in time are worth about four times late ones
// Lateness counts from this share of a target on, fully from the second one: estimates are off by
// a fifth or so.
constexpr double latencyRampStart = 0.7;
constexpr double latencyRampEnd = 1.05;
constexpr double eventGapRampStart = 0.8;
constexpr double eventGapRampEnd = 1.05;
// Share of the weight for an answer at the latency target against one at once; breaks ties.
constexpr double latencyCostAtTarget = 0.08;
// Share of the weight for each further engine: one more that can fail or be late.
constexpr double costPerShard = 0.004;
// Cost of taking an engine that nobody writes at; keeps writers of a kind together.
constexpr double spreadCost = 0.06;
// A prompt that an engine reads within this time is short: split in two it stays, with the rest of
// a pass, below the shortest pauses that callers notice.
constexpr double maxShortPrefillMs = 250;
// Reading of a long prompt's part that the short lane bears, with what is to be read there already.
constexpr double maxShortPoolBacklogMs = 90;
// Part of an engine's slots that the short lane is planned to fill: arrivals come in clumps.
constexpr double shortPoolFill = 0.7;
// Part of all engines that the short lane leaves to long prompts.
constexpr double minLongPoolShare = 0.1;
// Cost of placing a short request outside its lane, as a share of its weight.
constexpr double outsidePoolCost = 0.1;
// Requests that write at one engine before others are preferred, as a share of its slots.
constexpr double slotFill = 0.8;
// Fixed time of a request on the way to an engine and back, milliseconds.
constexpr double roundTripMs = 8;

// Part of an engine's memory that is planned with: writers grow, and reports lag.
constexpr double usableMemoryShare = 0.97;
// Free memory that the first engine of a prompt needs at least if the rest is set aside elsewhere.
constexpr double minPrimaryMemoryShare = 0.4;
constexpr std::size_t maxReservations = 3; // engines asked to set memory aside; each is an order

constexpr std::array<int, 9> shardCounts = { 1, 2, 3, 4, 6, 8, 11, 14, maxShards };

double ramp(double value, double from, double to)
{
    return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

// One way to serve a request: so many parts, from a certain time on.
struct PlanVariant
{
    double shardPrefillMs = 0;
    double prefillPerInterval = 0; // of the part, milliseconds
    double startDelayMs = 0;
    int shards = 1;
    bool isLongPrompt = false;
    bool usesReservations = false; // helpers set memory aside
};

struct EngineOption
{
    const EngineLoad *load = nullptr;
    double finishMs = 0; // milliseconds from now until the part is read
    double interferenceCost = 0; // weight lost by others, and doubts about the engine
    double cost = 0; // harm and own lateness if this engine were the slowest
};

double backlogAfter(const EngineLoad &load, double startDelayMs)
{
    return std::max(0.0, load.backlogMs - startDelayMs);
}

// Weight lost by streams at the engine whose pauses grow too long if the part is read as well.
double decodeInterferenceCost(const EngineLoad &load, const PlanVariant &variant)
{
    const double backlog = backlogAfter(load, variant.startDelayMs);
    const double before = load.eventIntervalMs + backlog;
    const double after =
        load.eventIntervalMs
        + std::min(backlog + variant.shardPrefillMs * load.prefillSlowdown, std::max(backlog, variant.prefillPerInterval));
    double cost = 0;
    for (const DecodeStream &stream : load.streams) {
        const double from = eventGapRampStart * stream.eventGapTarget;
        const double to = eventGapRampEnd * stream.eventGapTarget;
        cost += stream.weight * missedTargetCost * (ramp(after, from, to) - ramp(before, from, to));
    }
    return std::max(cost, 0.0);
}

// Weight lost by requests whose parts are read later because this part goes ahead of them.
double prefillDelayCost(const EngineLoad &load, const PlanVariant &variant)
{
    if (backlogAfter(load, variant.startDelayMs) <= 0)
        return 0;
    double cost = 0;
    for (const PendingShard &shard : load.pending) {
        const double from = shard.dueInMs - (1 - latencyRampStart) * shard.latencyTarget;
        const double to = shard.dueInMs + (latencyRampEnd - 1) * shard.latencyTarget;
        const double finishMs = load.backlogMs + load.eventIntervalMs;
        const double delay = variant.shardPrefillMs * load.prefillSlowdown;
        cost += shard.weight
                * (missedTargetCost * (ramp(finishMs + delay, from, to) - ramp(finishMs, from, to))
                   + latencyCostAtTarget * delay / std::max(shard.latencyTarget, 1.0));
    }
    return cost;
}

double latenessCost(const Demand &demand, double firstEventMs)
{
    const double target = static_cast<double>(demand.latencyTarget.count());
    const double clientTimeout = static_cast<double>(demand.clientTimeout.count());
    const double time = firstEventMs + static_cast<double>(demand.waited.count());
    return demand.weight
           * (missedTargetCost * ramp(time, latencyRampStart * target, latencyRampEnd * target)
              + (1 - missedTargetCost) * ramp(firstEventMs, 0.6 * clientTimeout, clientTimeout)
              + latencyCostAtTarget * time / std::max(target, 1.0));
}

// Cost beyond the part's own reading of receiving the request at an engine.
double primaryCost(const EngineLoad &load, const fleet::EngineSpeed &speed, const Demand &demand,
                     const PlanVariant &variant)
{
    const double fill =
        static_cast<double>(load.primaryRequests + load.untracked) / (slotFill * speed.slots);
    double cost = demand.weight * missedTargetCost * ramp(fill, 1.0, 1.0 / slotFill);
    if (load.tightStreams == 0)
        cost += spreadCost;
    // The pauses that reading under way will cause to this very stream.
    const double target = static_cast<double>(demand.eventGapTarget.count());
    if (target > 0) {
        const double rest = load.eventIntervalMs + backlogAfter(load, variant.startDelayMs);
        cost += demand.weight * missedTargetCost * ramp(rest, eventGapRampStart * target, eventGapRampEnd * target);
    }
    return cost;
}

TokenCount neededMemory(const fleet::EngineSpeed &speed, const Demand &demand)
{
    return demand.promptTokens + std::min(demand.maxOutputTokens, speed.typicalOutputTokens);
}

TokenCount freeMemory(const EngineLoad &load, const fleet::EngineSpeed &speed)
{
    const TokenCount usable =
        static_cast<TokenCount>(static_cast<double>(speed.memoryTokens) * usableMemoryShare);
    return std::max<TokenCount>(usable - load.memory, 0);
}

bool canBePrimaryFor(const EngineLoad &load, const fleet::EngineSpeed &speed, const Demand &demand,
                const PlanVariant &variant)
{
    if (!load.candidate->canBePrimary || load.primaryRequests + load.helperShards >= 2 * speed.slots)
        return false;
    const TokenCount least =
        variant.usesReservations
            ? static_cast<TokenCount>(static_cast<double>(speed.memoryTokens) * minPrimaryMemoryShare)
            : neededMemory(speed, demand);
    return freeMemory(load, speed) >= least;
}

// Spreads what the first engine has no room for over the helpers with most room. False if there is
// not enough.
bool assignMemory(Plan &plan, const std::vector<EngineLoad> &loads, const fleet::EngineSpeed &speed,
                  const Demand &demand)
{
    plan.memory.assign(plan.engines.size(), 0);
    std::vector<std::pair<TokenCount, std::size_t>> freeByEngine;
    for (std::size_t i = 0; i < plan.engines.size(); ++i) {
        for (const EngineLoad &load : loads) {
            if (load.candidate->key == plan.engines[i])
                freeByEngine.emplace_back(freeMemory(load, speed), i);
        }
    }
    TokenCount left = neededMemory(speed, demand);
    plan.memory[0] = std::min(left, freeByEngine[0].first);
    left -= plan.memory[0];
    std::sort(freeByEngine.begin() + 1, freeByEngine.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    for (std::size_t i = 1; i < freeByEngine.size() && i <= maxReservations && left > 0; ++i) {
        const TokenCount taken = std::min(left, freeByEngine[i].first);
        plan.memory[freeByEngine[i].second] = taken;
        left -= taken;
    }
    return left <= 0;
}

bool canPrefill(const EngineLoad &load, const fleet::EngineSpeed &speed, const PlanVariant &variant)
{
    if (!load.candidate->canBeHelper && !load.candidate->canBePrimary)
        return false;
    if (load.helperShards >= speed.slots)
        return false;
    return !variant.isLongPrompt || !load.isInShortPool
           || load.backlogMs + variant.shardPrefillMs <= maxShortPoolBacklogMs;
}

std::vector<EngineOption> engineOptions(const std::vector<EngineLoad> &loads, const fleet::EngineSpeed &speed,
                              const Demand &demand, const PlanVariant &variant)
{
    std::vector<EngineOption> options;
    for (const EngineLoad &load : loads) {
        if (!canPrefill(load, speed, variant))
            continue;
        EngineOption option;
        option.load = &load;
        const double intervalWait = load.primaryRequests > 0 ? load.eventIntervalMs / 2 : 0;
        // Parts go ahead of what an engine reads; a whole short prompt waits its turn.
        const bool isQueuedInOrder = variant.shards == 1 && !variant.isLongPrompt;
        const double start = isQueuedInOrder ? load.backlogMs : variant.startDelayMs;
        option.finishMs = start + variant.shardPrefillMs * load.prefillSlowdown + intervalWait;
        option.interferenceCost = load.candidate->penalty + decodeInterferenceCost(load, variant);
        if (!isQueuedInOrder)
            option.interferenceCost += prefillDelayCost(load, variant);
        if (!variant.isLongPrompt && !load.isInShortPool)
            option.interferenceCost += demand.weight * outsidePoolCost;
        option.cost = option.interferenceCost + latenessCost(demand, option.finishMs);
        options.push_back(option);
    }
    return options;
}

// The option at which receiving the request costs least. Null if none can receive it.
const EngineOption *cheapestPrimary(const std::vector<EngineOption> &options, const fleet::EngineSpeed &speed,
                            const Demand &demand, const PlanVariant &variant)
{
    const EngineOption *first = nullptr;
    double least = 0;
    for (const EngineOption &option : options) {
        if (!canBePrimaryFor(*option.load, speed, demand, variant))
            continue;
        const double cost = option.cost + primaryCost(*option.load, speed, demand, variant);
        if (first == nullptr || cost < least) {
            first = &option;
            least = cost;
        }
    }
    return first;
}

std::optional<Plan> planVariant(const std::vector<EngineLoad> &loads,
                                const fleet::EngineSpeed &speed, const Demand &demand,
                                const PlanVariant &variant)
{
    std::vector<EngineOption> options = engineOptions(loads, speed, demand, variant);
    const std::size_t shards = static_cast<std::size_t>(variant.shards);
    const EngineOption *found =
        options.size() < shards ? nullptr : cheapestPrimary(options, speed, demand, variant);
    if (found == nullptr)
        return std::nullopt;
    const EngineOption first = *found;
    Plan plan;
    plan.shardPrefillMs = variant.shardPrefillMs;
    plan.startDelayMs = variant.startDelayMs;
    plan.engines.push_back(first.load->candidate->key);
    double finishMs = first.finishMs;
    double interferenceCost = first.interferenceCost + primaryCost(*first.load, speed, demand, variant);
    std::sort(options.begin(), options.end(),
              [](const EngineOption &a, const EngineOption &b) { return a.cost < b.cost; });
    for (const EngineOption &option : options) {
        if (plan.engines.size() == shards)
            break;
        if (option.load == first.load || !option.load->candidate->canBeHelper)
            continue;
        plan.engines.push_back(option.load->candidate->key);
        finishMs = std::max(finishMs, option.finishMs);
        interferenceCost += option.interferenceCost;
    }
    if (plan.engines.size() < shards)
        return std::nullopt;
    if (!assignMemory(plan, loads, speed, demand))
        return std::nullopt;
    plan.firstEventMs = finishMs + first.load->eventIntervalMs + roundTripMs;
    plan.cost =
        interferenceCost + latenessCost(demand, plan.firstEventMs) + demand.weight * costPerShard * variant.shards;
    return plan;
}

// When so many engines that may read the part are expected to be free.
std::optional<double> enginesFreeAfter(const std::vector<EngineLoad> &loads,
                                        const fleet::EngineSpeed &speed, const PlanVariant &variant)
{
    std::vector<double> backlogs;
    for (const EngineLoad &load : loads) {
        if (canPrefill(load, speed, variant))
            backlogs.push_back(load.backlogMs);
    }
    if (backlogs.size() < static_cast<std::size_t>(variant.shards))
        return std::nullopt;
    const auto position = backlogs.begin() + (variant.shards - 1);
    std::nth_element(backlogs.begin(), position, backlogs.end());
    return *position;
}

std::optional<Plan> bestPlan(const std::vector<EngineLoad> &loads, const fleet::EngineSpeed &speed,
                             const Demand &demand, PlanVariant variant)
{
    std::optional<Plan> best;
    const auto consider = [&] {
        const std::optional<Plan> plan = planVariant(loads, speed, demand, variant);
        if (plan && (!best || plan->cost < best->cost))
            best = plan;
    };
    for (const int shards : shardCounts) {
        if (shards > 1 && demand.promptTokens / shards < speed.chunkTokens)
            break;
        variant.shards = shards;
        variant.shardPrefillMs = shardPrefillTime(speed, demand.promptTokens, shards);
        variant.prefillPerInterval = prefillPerEventInterval(speed, variant.shardPrefillMs, demand.promptTokens / shards);
        variant.startDelayMs = 0;
        consider();
        const std::optional<double> free = variant.isLongPrompt && demand.mayWait
                                               ? enginesFreeAfter(loads, speed, variant)
                                               : std::nullopt;
        if (free && *free > 0) {
            variant.startDelayMs = *free;
            consider();
        }
    }
    return best;
}

} // namespace

double weightOf(const fleet::EngineSpeed &speed, TokenCount promptTokens)
{
    const double typicalTokens = static_cast<double>(std::max<TokenCount>(speed.typicalPromptTokens, 1));
    return 1 + static_cast<double>(promptTokens) / typicalTokens;
}

bool isShort(const fleet::EngineSpeed &speed, TokenCount promptTokens)
{
    return shardPrefillTime(speed, promptTokens, 1) <= maxShortPrefillMs;
}

int shortPoolSize(const fleet::EngineSpeed &speed, const DemandForecast &forecast, int engines)
{
    const int needed =
        static_cast<int>(std::ceil(forecast.shortRequests / (shortPoolFill * speed.slots))) + 1;
    const int forLong = std::max(1, static_cast<int>(std::lround(engines * minLongPoolShare)));
    return std::clamp(needed, 0, std::max(0, engines - forLong));
}

std::optional<Plan> planPlacement(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                                  const std::vector<Candidate> &candidates, const Demand &demand,
                                  const DemandForecast &forecast, Milliseconds now)
{
    std::vector<EngineLoad> loads;
    loads.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        loads.push_back(loadOf(tracker, speed, candidate, demand, now));
    markShortPool(loads, shortPoolSize(speed, forecast, static_cast<int>(loads.size())));
    PlanVariant variant;
    variant.isLongPrompt = !isShort(speed, demand.promptTokens);
    std::optional<Plan> plan = bestPlan(loads, speed, demand, variant);
    if (plan || !variant.isLongPrompt)
        return plan;
    variant.usesReservations = true;
    return bestPlan(loads, speed, demand, variant);
}

} // namespace egretmount::placement

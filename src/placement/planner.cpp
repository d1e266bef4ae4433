#include <egretmount/placement/planner.h>

#include <algorithm>
#include <array>
#include <cmath>

#include <egretmount/limits/stall_detection.h>
#include <egretmount/placement/engine_cost.h>
#include <egretmount/placement/load_estimate.h>
#include <egretmount/placement/slot_wait.h>

#include "engine_load.h"

namespace egretmount::placement {

namespace {

// All costs are in units of request weight; those called a share are multiplied by the weight of
// the affected request.

// Share lost if a request misses its latency target or its event gap target. A response in time is
// worth about four times a late one.
constexpr double missedTargetCost = 0.75;
// The cost of a missed target rises linearly between these shares of the target, as estimates are
// off by about a fifth.
constexpr double latencyRampStart = 0.7;
constexpr double latencyRampEnd = 1.05;
constexpr double eventGapRampStart = 0.8;
constexpr double eventGapRampEnd = 1.05;
// Share lost by an answer at the latency target against an immediate one; breaks ties.
constexpr double latencyCostAtTarget = 0.08;
// Share for each shard: every further engine can fail or be late.
constexpr double costPerShard = 0.004;
// Cost of a primary engine without streams of similar event gap targets; keeps such streams
// together.
constexpr double spreadCost = 0.06;
// Longest prefill of a short prompt. Split in two, and together with the rest of an event interval,
// it stays below the shortest event gaps that clients notice.
constexpr double maxShortPrefillMs = 250;
// Longest prefill backlog of an engine of the short pool, including a new shard of a long prompt.
constexpr double maxShortPoolBacklogMs = 90;
// Share of an engine's slots that the short pool is sized for; the rest absorbs bursts of arrivals.
constexpr double shortPoolFill = 0.7;
// The same for short requests with the load policy on. Long prompts keep to the lower share: the
// instances estimate the demand differently, and a long prefill stalls all streams of its engine.
constexpr double shortPoolFillWithPolicy = 0.75;
// Share of all engines that the short pool leaves to long prompts.
constexpr double minLongPoolShare = 0.1;
// Share lost by a short request that is placed outside the short pool.
constexpr double outsidePoolCost = 0.1;
// Share lost by a short request that is placed in another cell's part of the short pool, where the
// load is known only from reports.
constexpr double otherCellCost = 0.05;
// Share of an engine's slots that may be in use before other engines are preferred.
constexpr double slotFill = 0.8;
// With the load policy on, the crowding of an engine rises slowly between these shares of its
// slots.
constexpr double evenFillStart = 0.5;
constexpr double crowdedFill = 0.95;
// Crowding at `crowdedFill`; the cost that follows is less than `outsidePoolCost`.
constexpr double evenFillCrowding = 0.8 * outsidePoolCost / missedTargetCost;
// A pending shard should be complete by this share of its caller's timeout, as estimates are too
// low at times.
constexpr double pendingTimeoutShare = 0.9;
// Share of a caller's timeout from which the risk counts that the caller leaves.
constexpr double timeoutRampStart = 0.6;
// Largest random share that decides between engines of equal cost, so that simultaneous placements
// of several instances use different ones. A hop to another zone costs half of it.
constexpr double tieBreakCost = 0.002;
// Fixed network round trip of a request to an engine and back.
constexpr double roundTripMs = 8;

// Share of an engine's memory that is used for planning: decoding streams grow, and reports lag.
constexpr double usableMemoryShare = 0.97;
// Share of its memory that the primary engine must have free if helpers reserve the rest.
constexpr double minPrimaryMemoryShare = 0.4;
// Most helpers that reserve memory for one prompt: each reservation takes a message of its own.
constexpr std::size_t maxReservations = 3;

constexpr std::array<int, 9> shardCounts = { 1, 2, 3, 4, 6, 8, 11, 14, maxShards };

// Rises linearly from 0 at `from` to 1 at `to`, and is constant outside.
double ramp(double value, double from, double to)
{
    return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

// One way to serve a request: its number of shards and the delay before its prefill starts.
struct PlanVariant
{
    double shardPrefillMs = 0;
    double prefillPerInterval = 0; // milliseconds of a shard's prefill in one event interval
    double startDelayMs = 0;
    int shards = 1;
    bool isLongPrompt = false;
    bool usesReservations = false; // helpers reserve memory
    bool hasLoadPolicy = false; // the decisions for scarce capacity apply
};

// An engine that can prefill a shard in a variant, with the resulting times and costs.
struct EngineOption
{
    const EngineLoad *load = nullptr;
    double finishMs = 0; // from now until the shard's prefill is complete
    double slotWaitMs = 0; // additional wait for a slot if the engine is the primary one
    double interferenceCost = 0; // cost to other requests, and the candidate's penalty
    double cost = 0; // interference, and own lateness if this engine is the slowest
};

double backlogAfter(const EngineLoad &load, double startDelayMs)
{
    return std::max(0.0, load.backlogMs - startDelayMs);
}

// Cost to the streams of the engine whose event gaps grow too long because of the shard's prefill.
double decodeInterferenceCost(const EngineLoad &load, const PlanVariant &variant)
{
    const double backlog = backlogAfter(load, variant.startDelayMs);
    const double before = load.eventIntervalMs + backlog;
    const double after = load.eventIntervalMs
                         + std::min(backlog + variant.shardPrefillMs * load.prefillSlowdown,
                                    std::max(backlog, variant.prefillPerInterval));
    double cost = 0;
    for (const DecodeStream &stream : load.streams) {
        const double from = eventGapRampStart * stream.eventGapTarget;
        const double to = eventGapRampEnd * stream.eventGapTarget;
        cost += stream.weight * missedTargetCost * (ramp(after, from, to) - ramp(before, from, to));
    }
    return std::max(cost, 0.0);
}

// Share of a pending shard's value that is lost by a delay because its caller may leave. A late
// response has a rest of its value, which falls evenly until its caller leaves. That begins at the
// ramp of the caller's timeout, or once the response is late if that is earlier, so that each
// further delay of a late shard has its cost.
double abandonmentShare(const PendingShard &shard, double delayMs)
{
    // Nothing is left to lose if its caller leaves even without the new shard.
    if (shard.leavesInMs <= shard.finishMs)
        return 0;
    const double lateAt = shard.dueInMs + (latencyRampEnd - 1) * shard.latencyTarget;
    const double rampAt = shard.leavesInMs - (1 - timeoutRampStart) * shard.callerTimeout;
    const double from = std::min({ lateAt, rampAt, shard.leavesInMs - 1 });
    return (1 - missedTargetCost)
           * (ramp(shard.finishMs + delayMs, from, shard.leavesInMs)
              - ramp(shard.finishMs, from, shard.leavesInMs));
}

// True if a pending shard is complete when the variant's prefill starts. None is if that starts at
// once, as an overdue shard has an expected end of zero.
bool isDoneBefore(const PendingShard &shard, const PlanVariant &variant)
{
    return variant.startDelayMs > 0 && shard.finishMs <= variant.startDelayMs;
}

// True if a new shard makes the caller of a pending one leave, who would stay otherwise. Shards of
// later prompts could otherwise starve an earlier one: in time each of them is worth more than the
// late one. Overdue prompts are protected only from ones of comparable size; otherwise a few small
// overdue ones would leave no engine to the largest prompts. Unsplit prompts are prefilled after
// all shards.
bool makesCallerLeave(const EngineLoad &load, const PlanVariant &variant)
{
    if (variant.shards == 1)
        return false;
    const double delayMs = variant.shardPrefillMs * load.prefillSlowdown;
    const double wholePrefillMs = variant.shardPrefillMs * variant.shards;
    return std::any_of(load.pending.begin(), load.pending.end(), [&](const PendingShard &shard) {
        const double latest = shard.leavesInMs - (1 - pendingTimeoutShare) * shard.callerTimeout;
        const bool isOverdue = shard.finishMs <= 0;
        const bool isProtected =
            !shard.isShort
            && (!isOverdue || shard.wholePrefillMs * overtakeFactor >= wholePrefillMs);
        return isProtected && !isDoneBefore(shard, variant) && shard.finishMs < shard.leavesInMs
               && shard.finishMs + delayMs > latest;
    });
}

// Cost to the requests whose shards are prefilled later because the new shard overtakes them.
double prefillDelayCost(const EngineLoad &load, const PlanVariant &variant)
{
    if (!variant.hasLoadPolicy && backlogAfter(load, variant.startDelayMs) <= 0)
        return 0;
    double cost = 0;
    for (const PendingShard &shard : load.pending) {
        // A shard whose caller has left has no value.
        if (variant.hasLoadPolicy && (shard.leavesInMs <= 0 || isDoneBefore(shard, variant)))
            continue;
        const double from = shard.dueInMs - (1 - latencyRampStart) * shard.latencyTarget;
        const double to = shard.dueInMs + (latencyRampEnd - 1) * shard.latencyTarget;
        const double finishMs =
            (variant.hasLoadPolicy ? shard.finishMs : load.backlogMs) + load.eventIntervalMs;
        const double delay = variant.shardPrefillMs * load.prefillSlowdown;
        cost += shard.weight
                * (missedTargetCost * (ramp(finishMs + delay, from, to) - ramp(finishMs, from, to))
                   + latencyCostAtTarget * delay / std::max(shard.latencyTarget, 1.0));
        if (variant.hasLoadPolicy)
            cost += shard.weight * abandonmentShare(shard, delay);
    }
    return cost;
}

// Cost of the time to the first event: a missed latency target, the risk that the client
// disconnects, and the latency itself.
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

// Crowding of an engine's slots: 1 if all are in use. With the load policy on it rises slowly
// first, which evens out the engines of the short pool and costs less than to leave the pool, and
// steeply for the last slots. It goes on growing above the slots, so that of two overfull engines
// the one with fewer requests costs less. At twice the slots, where the planner places no further
// requests, the whole weight of the request is the cost. A steeper rise would make an ejected
// engine cheaper than a short wait.
double slotCrowding(double requests, int slots, bool hasLoadPolicy)
{
    if (!hasLoadPolicy) {
        const double fill = requests / (slotFill * slots);
        return ramp(fill, 1.0, 1.0 / slotFill);
    }
    const double fill = requests / slots;
    const double aboveSlots = std::max(0.0, fill - 1);
    return evenFillCrowding * ramp(fill, evenFillStart, crowdedFill)
           + (1 - evenFillCrowding) * ramp(fill, crowdedFill, 1.0)
           + aboveSlots * (1 - missedTargetCost) / missedTargetCost;
}

// Cost of an engine as the primary one for its crowded slots.
double crowdingCost(const EngineLoad &load, const fleet::EngineSpeed &speed, const Demand &demand,
                    const PlanVariant &variant)
{
    return demand.weight * missedTargetCost
           * slotCrowding(requestsAt(load), speed.slots, variant.hasLoadPolicy);
}

// Cost of the wait for a slot beyond the cost of crowded slots. Both measure the same wait, so the
// greater one counts; their sum would make an ejected engine cheaper than a short wait.
double slotWaitCost(const Demand &demand, double crowding, double withoutWaitMs, double withWaitMs)
{
    if (withWaitMs <= withoutWaitMs)
        return 0;
    const double lateness = latenessCost(demand, withWaitMs) - latenessCost(demand, withoutWaitMs);
    return std::max(0.0, lateness - crowding);
}

// Additional cost of an engine as the primary one: crowded slots, and event gaps of the new stream.
double primaryCost(const EngineLoad &load, const fleet::EngineSpeed &speed, const Demand &demand,
                   const PlanVariant &variant)
{
    double cost = crowdingCost(load, speed, demand, variant);
    if (load.tightStreams == 0)
        cost += spreadCost;
    // The engine's prefill backlog delays the events of the new stream as well.
    const double target = static_cast<double>(demand.eventGapTarget.count());
    if (target > 0) {
        const double rest = load.eventIntervalMs + backlogAfter(load, variant.startDelayMs);
        cost += demand.weight * missedTargetCost
                * ramp(rest, eventGapRampStart * target, eventGapRampEnd * target);
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
    if (!load.candidate->canBePrimary || load.candidate->isRuledOut
        || load.primaryRequests + load.helperShards >= 2 * speed.slots)
        return false;
    const TokenCount least = variant.usesReservations ? static_cast<TokenCount>(
                                 static_cast<double>(speed.memoryTokens) * minPrimaryMemoryShare)
                                                      : neededMemory(speed, demand);
    return freeMemory(load, speed) >= least;
}

// Assigns the needed memory to the primary engine and, as far as that lacks memory, to the helpers
// with the most free memory. Returns false if there is not enough.
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

std::vector<EngineOption> engineOptions(const std::vector<EngineLoad> &loads,
                                        const fleet::EngineSpeed &speed, const Demand &demand,
                                        const PlanVariant &variant)
{
    std::vector<EngineOption> options;
    for (const EngineLoad &load : loads) {
        if (!canPrefill(load, speed, variant))
            continue;
        // A request that was sent before is not refused for the sake of others.
        if (variant.hasLoadPolicy && variant.isLongPrompt && demand.mayWait
            && makesCallerLeave(load, variant))
            continue;
        EngineOption option;
        option.load = &load;
        const double intervalWait = load.primaryRequests > 0 ? load.eventIntervalMs / 2 : 0;
        // Shards overtake the running prefills of an engine; an unsplit short prompt is queued.
        const bool isQueuedInOrder = variant.shards == 1 && !variant.isLongPrompt;
        const double start = isQueuedInOrder ? load.backlogMs : variant.startDelayMs;
        option.finishMs = start + variant.shardPrefillMs * load.prefillSlowdown + intervalWait;
        option.interferenceCost = load.candidate->penalty + decodeInterferenceCost(load, variant);
        if (!isQueuedInOrder)
            option.interferenceCost += prefillDelayCost(load, variant);
        if (demand.choiceSeed != 0) {
            option.interferenceCost +=
                demand.weight * tieBreakCost * randomShare(demand.choiceSeed, load.candidate->key);
        }
        if (!variant.isLongPrompt && !load.isInShortPool)
            option.interferenceCost += demand.weight * outsidePoolCost;
        else if (!variant.isLongPrompt && !load.isInOwnCell)
            option.interferenceCost += demand.weight * otherCellCost;
        option.cost = option.interferenceCost + latenessCost(demand, option.finishMs);
        if (variant.hasLoadPolicy) {
            const double slotWaitMs =
                expectedSlotWait(speed, requestsAt(load), load.eventIntervalMs);
            option.slotWaitMs = std::max(0.0, slotWaitMs - variant.startDelayMs);
        }
        options.push_back(option);
    }
    return options;
}

// Returns the better of two options that are drawn at random from those that cost at most `most`:
// the one with fewer requests. Two random choices keep the numbers of requests nearly even, and
// many instances with the same information do not all choose the same engine.
const EngineOption *betterOfTwo(const std::vector<std::pair<const EngineOption *, double>> &costs,
                                double most, std::uint64_t seed)
{
    std::vector<std::pair<double, const EngineOption *>> drawn;
    for (const auto &[option, cost] : costs) {
        if (cost <= most)
            drawn.emplace_back(randomShare(seed, ~option->load->candidate->key), option);
    }
    if (drawn.size() == 1)
        return drawn.front().second;
    std::partial_sort(drawn.begin(), drawn.begin() + 2, drawn.end());
    return requestsAt(*drawn[1].second->load) < requestsAt(*drawn[0].second->load)
               ? drawn[1].second
               : drawn[0].second;
}

// Returns the cheapest option for the primary engine, or null if none is suitable. With a seed,
// short requests choose at random between options of nearly the same cost.
const EngineOption *cheapestPrimary(const std::vector<EngineOption> &options,
                                    const fleet::EngineSpeed &speed, const Demand &demand,
                                    const PlanVariant &variant)
{
    const bool isRandom = demand.choiceSeed != 0 && !variant.isLongPrompt;
    std::vector<std::pair<const EngineOption *, double>> costs;
    const EngineOption *first = nullptr;
    double least = 0;
    for (const EngineOption &option : options) {
        if (!canBePrimaryFor(*option.load, speed, demand, variant))
            continue;
        const double cost =
            option.cost + primaryCost(*option.load, speed, demand, variant)
            + slotWaitCost(demand, crowdingCost(*option.load, speed, demand, variant),
                           option.finishMs, option.finishMs + option.slotWaitMs);
        if (isRandom)
            costs.emplace_back(&option, cost);
        if (first == nullptr || cost < least) {
            first = &option;
            least = cost;
        }
    }
    if (isRandom && first != nullptr)
        return betterOfTwo(costs, least + equalCostMargin * demand.weight, demand.choiceSeed);
    return first;
}

// Adds short requests that other instances are expected to have placed without this instance
// knowing yet, each at the engine that would be chosen next. All instances have similar
// information: if each added the mean number, all would choose the same next engine. Therefore the
// number is drawn at random, from zero to the expected one.
void addUnannouncedArrivals(std::vector<EngineLoad> &loads, const fleet::EngineSpeed &speed,
                            const Demand &demand, const DemandForecast &forecast,
                            PlanVariant variant)
{
    variant.shards = 1;
    variant.shardPrefillMs = shardPrefillTime(speed, demand.promptTokens, 1);
    variant.prefillPerInterval =
        prefillPerEventInterval(speed, variant.shardPrefillMs, demand.promptTokens);
    const double share = randomShare(demand.choiceSeed, 0);
    const int arrivals = static_cast<int>(share * (forecast.unannouncedArrivals + 1));
    Demand other = demand;
    for (int i = 0; i < arrivals; ++i) {
        other.choiceSeed += 0x9e3779b97f4a7c15ULL; // another request, another choice
        const std::vector<EngineOption> options = engineOptions(loads, speed, other, variant);
        const EngineOption *chosen = cheapestPrimary(options, speed, other, variant);
        if (chosen == nullptr)
            return;
        EngineLoad &load = loads[static_cast<std::size_t>(chosen->load - loads.data())];
        load.unannounced += 1;
        load.backlogMs += variant.shardPrefillMs * load.prefillSlowdown;
    }
}

// Returns the plan for a variant, or nothing if there are not enough suitable engines or memory.
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
    plan.isWithinCell = first.load->isInOwnCell;
    double finishMs = first.finishMs; // without the wait for a slot
    double interferenceCost =
        first.interferenceCost + primaryCost(*first.load, speed, demand, variant);
    std::sort(options.begin(), options.end(),
              [](const EngineOption &a, const EngineOption &b) { return a.cost < b.cost; });
    for (const EngineOption &option : options) {
        if (plan.engines.size() == shards)
            break;
        if (option.load == first.load || !option.load->candidate->canBeHelper)
            continue;
        plan.engines.push_back(option.load->candidate->key);
        plan.isWithinCell = plan.isWithinCell && option.load->isInOwnCell;
        finishMs = std::max(finishMs, option.finishMs);
        interferenceCost += option.interferenceCost;
    }
    if (plan.engines.size() < shards)
        return std::nullopt;
    if (!assignMemory(plan, loads, speed, demand))
        return std::nullopt;
    const double withoutWaitMs = finishMs + first.load->eventIntervalMs + roundTripMs;
    plan.firstEventMs = std::max(finishMs, first.finishMs + first.slotWaitMs)
                        + first.load->eventIntervalMs + roundTripMs;
    plan.cost = interferenceCost + latenessCost(demand, withoutWaitMs)
                + slotWaitCost(demand, crowdingCost(*first.load, speed, demand, variant),
                               withoutWaitMs, plan.firstEventMs)
                + demand.weight * costPerShard * variant.shards;
    return plan;
}

// Returns the time in milliseconds until as many suitable engines as the variant has shards are
// free. Returns nothing if there are fewer suitable engines.
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
        variant.prefillPerInterval =
            prefillPerEventInterval(speed, variant.shardPrefillMs, demand.promptTokens / shards);
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

// Returns how many engines hold the expected short requests with a share of their slots in use.
int poolSize(const fleet::EngineSpeed &speed, const DemandForecast &forecast, int engines,
             double fill)
{
    const int needed =
        static_cast<int>(std::ceil(forecast.shortRequests / (fill * speed.slots))) + 1;
    const int forLong = std::max(1, static_cast<int>(std::lround(engines * minLongPoolShare)));
    return std::clamp(needed, 0, std::max(0, engines - forLong));
}

} // namespace

double weightOf(const fleet::EngineSpeed &speed, TokenCount promptTokens)
{
    const double typicalTokens =
        static_cast<double>(std::max<TokenCount>(speed.typicalPromptTokens, 1));
    return 1 + static_cast<double>(promptTokens) / typicalTokens;
}

bool isShort(const fleet::EngineSpeed &speed, TokenCount promptTokens)
{
    return shardPrefillTime(speed, promptTokens, 1) <= maxShortPrefillMs;
}

int shortPoolSize(const fleet::EngineSpeed &speed, const DemandForecast &forecast, int engines)
{
    return poolSize(speed, forecast, engines,
                    forecast.policy.isOn ? shortPoolFillWithPolicy : shortPoolFill);
}

int enginesKeptFromLong(const fleet::EngineSpeed &speed, const DemandForecast &forecast,
                        int engines)
{
    return poolSize(speed, forecast, engines, shortPoolFill);
}

bool mayWaitWithoutPlan(const fleet::EngineSpeed &speed, const Demand &demand, LoadPolicy policy,
                        Milliseconds timeLeft)
{
    if (isShort(speed, demand.promptTokens))
        return false;
    if (!policy.isOn)
        return demand.waited < demand.latencyTarget;
    const Milliseconds untilTimeout =
        limits::clientTimeout(demand.latencyTarget, demand.eventGapTarget) - demand.waited;
    const TokenCount chunks = demand.promptTokens / std::max<TokenCount>(speed.chunkTokens, 1);
    const int shards = static_cast<int>(std::clamp<TokenCount>(chunks, 1, maxShards));
    return static_cast<double>(std::min(timeLeft, untilTimeout).count())
           > shardPrefillTime(speed, demand.promptTokens, shards);
}

std::optional<Plan> planPlacement(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                                  const std::vector<Candidate> &candidates, const Demand &demand,
                                  const DemandForecast &forecast, Milliseconds now)
{
    std::vector<EngineLoad> loads;
    loads.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        loads.push_back(loadOf(tracker, speed, candidate, demand, forecast.policy, now));
    PlanVariant variant;
    variant.isLongPrompt = !isShort(speed, demand.promptTokens);
    const int engines = static_cast<int>(loads.size());
    markShortPool(loads,
                  variant.isLongPrompt ? enginesKeptFromLong(speed, forecast, engines)
                                       : shortPoolSize(speed, forecast, engines),
                  forecast);
    variant.hasLoadPolicy = forecast.policy.isOn;
    Demand seeded = demand;
    // Long prompts are announced to the whole fleet, so their engines need no estimates.
    if (forecast.policy.isOn && !variant.isLongPrompt) {
        subtractUnannouncedEnds(loads, forecast);
        estimateUnreported(loads);
        estimateOtherCells(loads, forecast);
        addUnannouncedArrivals(loads, speed, seeded, forecast, variant);
    } else {
        seeded.choiceSeed = 0;
    }
    std::optional<Plan> plan = bestPlan(loads, speed, seeded, variant);
    if (plan || !variant.isLongPrompt)
        return plan;
    variant.usesReservations = true;
    return bestPlan(loads, speed, seeded, variant);
}

} // namespace egretmount::placement

#include "engine_load.h"

#include <algorithm>
#include <cmath>

#include <egretmount/limits/stall_detection.h>
#include <egretmount/placement/engine_cost.h>

namespace egretmount::placement {

namespace {

// Upper bound of the effect that an engine's measured slowdown has on the expected event interval.
constexpr double maxEventIntervalSlowdown = 4;

TokenCount memoryAt(const InFlightRequest &request, EngineKey engine)
{
    for (std::size_t i = 0; i < request.engines.size() && i < request.memory.size(); ++i) {
        if (request.engines[i] == engine)
            return request.memory[i];
    }
    return 0;
}

void addPrimaryRequest(EngineLoad &load, const InFlightRequest &request, const Demand &demand)
{
    ++load.primaryRequests;
    if (request.eventGapTarget <= demand.eventGapTarget)
        ++load.tightStreams;
    if (request.eventGapTarget > Milliseconds())
        load.streams.push_back(
            { static_cast<double>(request.eventGapTarget.count()), request.weight });
}

double millisecondsOf(Milliseconds time)
{
    return static_cast<double>(time.count());
}

PendingShard pendingShard(const InFlightRequest &request, Milliseconds now)
{
    const Milliseconds timeout =
        limits::clientTimeout(request.latencyTarget, request.eventGapTarget);
    Milliseconds silentSince = request.dueAt - request.latencyTarget; // its arrival
    // A request that is placed later than that has had events, or its caller would have left.
    if (request.placedAt >= silentSince + timeout)
        silentSince = request.placedAt;
    const Milliseconds leavesAt = std::min(request.expiresAt, silentSince + timeout);
    PendingShard shard;
    shard.weight = request.weight;
    shard.latencyTarget = millisecondsOf(request.latencyTarget);
    shard.dueInMs = millisecondsOf(request.dueAt - now);
    shard.callerTimeout = millisecondsOf(leavesAt - silentSince);
    shard.leavesInMs = millisecondsOf(leavesAt - now);
    shard.wholePrefillMs = request.shardPrefillMs * static_cast<double>(request.engines.size());
    shard.isShort = request.isShort;
    return shard;
}

// Sets when the pending shards of an engine are complete. The engine prefills the shard that
// arrived last first, and unsplit prompts after all shards.
// @param requests The requests of the pending shards, in the order of placement.
void setFinishTimes(EngineLoad &load, const std::vector<const InFlightRequest *> &requests)
{
    const double slowdown = load.prefillSlowdown * mixedBatchSlowdown;
    double doneMs = 0;
    for (std::size_t i = requests.size(); i-- > 0;) {
        if (requests[i]->engines.size() > 1) {
            doneMs += requests[i]->shardPrefillMs * slowdown;
            load.pending[i].finishMs = std::min(doneMs, load.backlogMs);
        }
    }
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (requests[i]->engines.size() == 1) {
            doneMs += requests[i]->shardPrefillMs * slowdown;
            load.pending[i].finishMs = std::min(doneMs, load.backlogMs);
        }
    }
}

} // namespace

EngineLoad loadOf(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                  const Candidate &candidate, const Demand &demand, LoadPolicy policy,
                  Milliseconds now)
{
    EngineLoad load;
    load.candidate = &candidate;
    load.backlogMs = prefillBacklog(tracker, candidate.key, now);
    TokenCount context = demand.promptTokens;
    std::vector<const InFlightRequest *> pendingRequests;
    const auto found = tracker.engines.find(candidate.key);
    if (found != tracker.engines.end()) {
        load.prefillSlowdown = found->second.prefillSlowdown;
        load.untracked = untrackedRequests(found->second, now);
        load.hasReport = hasRecentReport(found->second, now);
        for (const std::uint64_t id : found->second.requestIds) {
            const InFlightRequest &request = tracker.inFlight.at(id);
            load.memory += memoryAt(request, candidate.key);
            if (request.engines.front() == candidate.key) {
                addPrimaryRequest(load, request, demand);
                context += request.isDecoding ? request.promptTokens : 0;
                if (request.isDecoding && request.owner != tracker.self)
                    ++load.decodingOfOthers;
            } else if (!request.isDecoding) {
                ++load.helperShards;
            }
            if (!request.isDecoding) {
                load.pending.push_back(pendingShard(request, now));
                if (policy.isOn)
                    pendingRequests.push_back(&request);
            }
        }
    }
    load.eventIntervalMs = decodeEventInterval(speed, load.primaryRequests + 1, context)
                           * std::min(load.prefillSlowdown, maxEventIntervalSlowdown);
    if (policy.isOn)
        setFinishTimes(load, pendingRequests);
    return load;
}

void markShortPool(std::vector<EngineLoad> &loads, int size, const DemandForecast &forecast)
{
    std::vector<EngineLoad *> inOrder;
    for (EngineLoad &load : loads) {
        if (load.candidate->canBePrimary && load.candidate->canBeInShortPool)
            inOrder.push_back(&load);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const EngineLoad *a, const EngineLoad *b) {
        return a->candidate->key < b->candidate->key;
    });
    const int marked = std::min(size, static_cast<int>(inOrder.size()));
    for (int i = 0; i < marked; ++i) {
        EngineLoad &load = *inOrder[static_cast<std::size_t>(i)];
        load.isInShortPool = true;
        load.isInOwnCell = i % forecast.cells == forecast.ownCell;
    }
}

void subtractUnannouncedEnds(std::vector<EngineLoad> &loads, const DemandForecast &forecast)
{
    for (EngineLoad &load : loads)
        load.unannounced -= load.decodingOfOthers * forecast.unannouncedEndShare;
}

void estimateUnreported(std::vector<EngineLoad> &loads)
{
    double engines = 0;
    double untracked = 0;
    for (const EngineLoad &load : loads) {
        if (!load.isInOwnCell || !load.hasReport)
            continue;
        engines += 1;
        untracked += load.untracked;
    }
    for (EngineLoad &load : loads) {
        if (load.isInOwnCell && !load.hasReport && engines > 0)
            load.unannounced += untracked / engines;
    }
}

void estimateOtherCells(std::vector<EngineLoad> &loads, const DemandForecast &forecast)
{
    double engines = 0;
    double requests = forecast.unannouncedArrivals;
    double backlogMs = 0;
    double eventIntervalMs = 0;
    double tightStreams = 0;
    double memory = 0;
    for (const EngineLoad &load : loads) {
        if (!load.isInOwnCell)
            continue;
        engines += 1;
        requests += requestsAt(load);
        backlogMs += load.backlogMs;
        eventIntervalMs += load.eventIntervalMs;
        tightStreams += load.tightStreams;
        memory += static_cast<double>(load.memory);
    }
    if (engines == 0)
        return;
    for (EngineLoad &load : loads) {
        if (!load.isInShortPool || load.isInOwnCell)
            continue;
        load.unannounced += std::max(0.0, requests / engines - requestsAt(load));
        load.backlogMs = std::max(load.backlogMs, backlogMs / engines);
        load.eventIntervalMs = std::max(load.eventIntervalMs, eventIntervalMs / engines);
        load.tightStreams =
            std::max(load.tightStreams, static_cast<int>(std::lround(tightStreams / engines)));
        load.memory = std::max(load.memory, static_cast<TokenCount>(memory / engines));
    }
}

} // namespace egretmount::placement

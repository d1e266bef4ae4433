#include <egretmount/placement/load_tracker.h>

#include <algorithm>
#include <cmath>

namespace egretmount::placement {

namespace {

constexpr double maxPrefillSlowdown = 12; // a slower engine is not chosen anyway

Milliseconds rounded(double milliseconds)
{
    return Milliseconds(std::llround(milliseconds));
}

bool hasDecodingStreams(const LoadTracker &tracker, const EngineState &engine, EngineKey key)
{
    return std::any_of(engine.requestIds.begin(), engine.requestIds.end(), [&](std::uint64_t id) {
        const InFlightRequest &request = tracker.inFlight.at(id);
        return request.isDecoding && request.engines.front() == key;
    });
}

// Returns when an engine is expected to finish the prefill of its shard of request `last`, or of
// all its shards if it has none of that request.
Milliseconds prefillDoneAt(const LoadTracker &tracker, const EngineState &engine, EngineKey key,
                           std::uint64_t last, Milliseconds now)
{
    const double slowdown = engine.prefillSlowdown
                            * (hasDecodingStreams(tracker, engine, key) ? mixedBatchSlowdown : 1);
    Milliseconds time = engine.lastPrefilledAt;
    for (const std::uint64_t id : engine.requestIds) {
        const InFlightRequest &request = tracker.inFlight.at(id);
        if (!request.isDecoding) {
            time = std::max(time, request.placedAt + dispatchLatency)
                   + rounded(request.shardPrefillMs * slowdown);
            // Without helpers, the first event follows the prefill at once. As there was none, the
            // prefill is not complete. With helpers, any of the engines may be the late one; if
            // all counted as free, each would get more shards, which delay the late one further.
            if (request.engines.size() == 1 || tracker.policy.isOn)
                time = std::max(time, now);
        }
        if (id == last)
            break;
    }
    return time;
}

} // namespace

Milliseconds virtualArrival(Milliseconds arrivedAt, double prefillMs)
{
    return arrivedAt + rounded(prefillMs * virtualDelayPerPrefill);
}

void enqueue(LoadTracker &tracker, const QueuedRequest &queued)
{
    if (tracker.inFlight.count(queued.id) == 0)
        tracker.queued[queued.id] = queued;
}

bool isFirstInQueue(const LoadTracker &tracker, std::uint64_t id, Milliseconds virtualArrival,
                    double prefillMs)
{
    return std::none_of(tracker.queued.begin(), tracker.queued.end(), [&](const auto &entry) {
        const QueuedRequest &other = entry.second;
        return other.id != id && other.prefillMs < overtakeFactor * prefillMs
               && (other.virtualArrival < virtualArrival
                   || (other.virtualArrival == virtualArrival && other.id < id));
    });
}

double prefillQueuedAhead(const LoadTracker &tracker, Milliseconds virtualArrival, double prefillMs)
{
    double sum = 0;
    for (const auto &[id, queued] : tracker.queued) {
        const bool isAhead =
            queued.virtualArrival < virtualArrival && queued.prefillMs < overtakeFactor * prefillMs;
        sum += isAhead ? queued.prefillMs : 0;
    }
    return sum;
}

void addInFlight(LoadTracker &tracker, InFlightRequest request)
{
    tracker.queued.erase(request.id);
    if (tracker.inFlight.count(request.id) > 0)
        return;
    for (const EngineKey key : request.engines)
        tracker.engines[key].requestIds.push_back(request.id);
    tracker.inFlight.emplace(request.id, std::move(request));
}

void markDecoding(LoadTracker &tracker, std::uint64_t id, Milliseconds now)
{
    const auto found = tracker.inFlight.find(id);
    if (found == tracker.inFlight.end() || found->second.isDecoding)
        return;
    InFlightRequest &request = found->second;
    for (const EngineKey key : request.engines) {
        EngineState &engine = tracker.engines[key];
        engine.lastPrefilledAt = std::max(
            engine.lastPrefilledAt, std::min(now, prefillDoneAt(tracker, engine, key, id, now)));
    }
    request.isDecoding = true;
}

void recordEngineReport(LoadTracker &tracker, EngineKey engine, int inFlight, Milliseconds now)
{
    EngineState &state = tracker.engines[engine];
    state.untracked = std::max(0, inFlight - static_cast<int>(state.requestIds.size()));
    state.reportedAt = now;
}

int untrackedRequests(const EngineState &engine, Milliseconds now)
{
    return hasRecentReport(engine, now) ? engine.untracked : 0;
}

bool hasRecentReport(const EngineState &engine, Milliseconds now)
{
    return now - engine.reportedAt < reportLifetime;
}

void updatePrefillSlowdown(LoadTracker &tracker, std::uint64_t id, double expectedMs,
                           double takenMs)
{
    const auto found = tracker.inFlight.find(id);
    if (found == tracker.inFlight.end() || found->second.engines.size() > 1 || expectedMs < 1)
        return;
    EngineState &engine = tracker.engines[found->second.engines.front()];
    const double measured =
        std::clamp(takenMs / expectedMs * engine.prefillSlowdown, 1.0, maxPrefillSlowdown);
    engine.prefillSlowdown += (measured - engine.prefillSlowdown) * prefillSlowdownSmoothing;
}

void removeRequest(LoadTracker &tracker, std::uint64_t id, Milliseconds now)
{
    tracker.queued.erase(id);
    const auto found = tracker.inFlight.find(id);
    if (found == tracker.inFlight.end())
        return;
    for (const EngineKey key : found->second.engines) {
        EngineState &engine = tracker.engines[key];
        // An unfinished shard has occupied the engine until now.
        if (!found->second.isDecoding) {
            engine.lastPrefilledAt =
                std::max(engine.lastPrefilledAt,
                         std::min(now, prefillDoneAt(tracker, engine, key, id, now)));
        }
        engine.requestIds.erase(std::remove(engine.requestIds.begin(), engine.requestIds.end(), id),
                                engine.requestIds.end());
    }
    tracker.inFlight.erase(found);
}

void removeRequestsOf(LoadTracker &tracker, const std::string &owner, Milliseconds now)
{
    retainOnly(tracker, owner, {}, now);
}

void retainOnly(LoadTracker &tracker, const std::string &owner,
                const std::vector<std::uint64_t> &liveIds, Milliseconds now)
{
    std::vector<std::uint64_t> gone;
    for (const auto &[id, queued] : tracker.queued) {
        if (queued.owner == owner && !std::binary_search(liveIds.begin(), liveIds.end(), id))
            gone.push_back(id);
    }
    for (const auto &[id, request] : tracker.inFlight) {
        if (request.owner == owner && !std::binary_search(liveIds.begin(), liveIds.end(), id))
            gone.push_back(id);
    }
    for (const std::uint64_t id : gone)
        removeRequest(tracker, id, now);
}

void removeExpired(LoadTracker &tracker, Milliseconds now)
{
    std::vector<std::uint64_t> gone;
    for (const auto &[id, queued] : tracker.queued) {
        if (queued.expiresAt <= now)
            gone.push_back(id);
    }
    for (const auto &[id, request] : tracker.inFlight) {
        if (request.expiresAt <= now)
            gone.push_back(id);
    }
    for (const std::uint64_t id : gone)
        removeRequest(tracker, id, now);
}

double prefillBacklog(const LoadTracker &tracker, EngineKey engine, Milliseconds now)
{
    const auto found = tracker.engines.find(engine);
    if (found == tracker.engines.end())
        return 0;
    const Milliseconds free = prefillDoneAt(tracker, found->second, engine, 0, now);
    return std::max(0.0, static_cast<double>((free - now).count()));
}

} // namespace egretmount::placement

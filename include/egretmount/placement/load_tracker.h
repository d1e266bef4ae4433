#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/limits/team_share.h>
#include <egretmount/placement/load_policy.h>

namespace egretmount::placement {

/// @brief Identifies a target in messages and tables: the `stableHash` of its id.
using EngineKey = std::uint64_t;

/// @brief The rank of a request whose instance does not state it: an earlier version.
constexpr int unknownRank = -1;

/// @brief A request that was placed on one or more engines.
struct InFlightRequest
{
    std::uint64_t id = 0; ///< Unique over all instances and their restarts.
    std::string owner; ///< Host of the instance that placed the request.
    std::vector<EngineKey> engines; ///< The primary engine comes first, then the helper engines.
    std::vector<TokenCount> memory; ///< Tokens held at each engine, in the order of `engines`.
    TokenCount promptTokens = 0;
    double shardPrefillMs = 0; ///< Prefill time of one shard at the published speed.
    double weight = 1; ///< Cost of a late answer, relative to other requests.
    Milliseconds latencyTarget; ///< From the request's arrival to its first event.
    Milliseconds dueAt; ///< The first event is late after this time.
    Milliseconds eventGapTarget; ///< Longest gap between two events; zero: no target.
    Milliseconds placedAt; ///< When the request is sent to its engines.
    Milliseconds expiresAt; ///< When no client waits for it any more.
    bool isShort = false; ///< Its prefill hardly delays the streams of its engine.
    bool isDecoding = false; ///< Its first event has been received.
    bool isCellLocal = false; ///< Only the cell of its owner knows of it; see `Cell`.
    int rank = unknownRank; ///< 0 is the most urgent; see `fleet::rankOf`.
    limits::TeamKey team = 0; ///< Zero: unknown, or no team.
};

/// @brief Known load of one engine.
struct EngineState
{
    Milliseconds lastPrefilledAt; ///< When it finished its last completed prefill.
    std::vector<std::uint64_t> requestIds; ///< Ids of its requests, in the order of placement.
    double prefillSlowdown = 1; ///< Measured prefill time divided by the published one.
    int untracked = 0; ///< Requests that it reported beyond the tracked ones.
    Milliseconds reportedAt;
};

/// @brief How long a report of untracked requests is used.
///
/// Decoding an answer takes about this long, so those requests have mostly ended by then.
constexpr Milliseconds reportLifetime = Milliseconds(1'500);

/// @brief A long prompt that waits until engines are free.
struct QueuedRequest
{
    std::uint64_t id = 0; ///< It keeps this id as `InFlightRequest::id` when it is placed.
    std::string owner;
    double prefillMs = 0; ///< Prefill time of the whole prompt at one engine.
    Milliseconds virtualArrival; ///< The queue is ordered by this time.
    Milliseconds expiresAt;
    int rank = unknownRank; ///< 0 is the most urgent; it does not change the order of the queue.
    limits::TeamKey team = 0; ///< Zero: unknown, or no team.
};

/// @brief Tracks the load of all engines: the requests that this instance has placed or queued, and
///        those that its peers have reported.
struct LoadTracker
{
    std::unordered_map<std::uint64_t, InFlightRequest> inFlight;
    std::unordered_map<std::uint64_t, QueuedRequest> queued;
    std::unordered_map<EngineKey, EngineState> engines;
    std::string self; ///< Host of this instance, the owner of its own requests.
    LoadPolicy policy {}; ///< If on, overdue split prompts count as well.
};

/// @brief Time from placement until an engine can start the prefill of a shard: two network hops.
constexpr Milliseconds dispatchLatency = Milliseconds(4);

/// @brief Weight of a new sample in the moving average of an engine's slowdown factor.
constexpr double prefillSlowdownSmoothing = 0.3;

/// @brief Factor by which prefill takes longer at an engine that also decodes: each of its prefill
///        steps is a decode step too.
constexpr double mixedBatchSlowdown = 1.12;

/// @brief Share of a prompt's prefill time that is added to its arrival to give the virtual arrival
///        time.
///
/// Medium prompts thereby overtake very long ones, which occupy many engines for seconds, and the
/// very long ones still cannot starve.
constexpr double virtualDelayPerPrefill = 0.5;

/// @brief A prompt overtakes queued prompts whose prefill takes at least this many times as long.
///
/// Engines prefill the shard that arrived last first, so this hardly delays the longer prompt.
constexpr double overtakeFactor = 4;

/// @brief Computes the virtual arrival time, which orders the queue.
/// @param prefillMs Prefill time of the whole prompt at one engine.
Milliseconds virtualArrival(Milliseconds arrivedAt, double prefillMs);

/// @brief Adds a request to the queue, or replaces its entry. Requests in flight are ignored.
void enqueue(LoadTracker &tracker, const QueuedRequest &queued);

/// @brief True if a request may be placed next.
///
/// This holds if no queued request has an earlier virtual arrival time, apart from those that the
/// request overtakes.
/// @param prefillMs Prefill time of the whole prompt at one engine.
/// @complexity Linear in the queued requests.
bool isFirstInQueue(const LoadTracker &tracker, std::uint64_t id, Milliseconds virtualArrival,
                    double prefillMs);

/// @brief Sums up the prefill time, in milliseconds at one engine, of the queued requests that come
///        before a request.
/// @param prefillMs Prefill time of the request's whole prompt at one engine.
double prefillQueuedAhead(const LoadTracker &tracker, Milliseconds virtualArrival,
                          double prefillMs);

/// @brief Adds a placed request and removes it from the queue. If its id is in flight already, the
///        existing request stays unchanged.
/// @complexity Linear in the engines of the request.
void addInFlight(LoadTracker &tracker, InFlightRequest request);

/// @brief Marks a request as decoding after its first event: the prefill of all its shards is
///        complete. Unknown ids are ignored.
void markDecoding(LoadTracker &tracker, std::uint64_t id, Milliseconds now);

/// @brief Records the number of requests in flight as reported by an engine.
///
/// It may exceed the tracked ones: a request can continue after its client has disconnected, or
/// after the instance that placed it is gone.
void recordEngineReport(LoadTracker &tracker, EngineKey engine, int inFlight, Milliseconds now);

/// @brief Returns the number of untracked requests at an engine as last reported. Zero if the
///        report is older than `reportLifetime`.
int untrackedRequests(const EngineState &engine, Milliseconds now);

/// @brief True if the last report of an engine is younger than `reportLifetime`.
bool hasRecentReport(const EngineState &engine, Milliseconds now);

/// @brief Updates the slowdown factor of an engine from the first event of a request. Requests with
///        helper engines, and those expected within less than 1 ms, are ignored.
/// @param expectedMs Time to the first event as planned. @param takenMs Measured time.
void updatePrefillSlowdown(LoadTracker &tracker, std::uint64_t id, double expectedMs,
                           double takenMs);

/// @brief Removes a request from the queue and from its engines, whatever its outcome. Unknown ids
///        are ignored.
void removeRequest(LoadTracker &tracker, std::uint64_t id, Milliseconds now);

/// @brief Removes all requests of an instance that has stopped or restarted.
void removeRequestsOf(LoadTracker &tracker, const std::string &owner, Milliseconds now);

/// @brief Removes the requests of an owner, queued ones included, that are not in its latest
///        full-state snapshot.
/// @param liveIds Ids in the snapshot, sorted.
void retainOnly(LoadTracker &tracker, const std::string &owner,
                const std::vector<std::uint64_t> &liveIds, Milliseconds now);

/// @brief Removes expired requests, queued ones included.
void removeExpired(LoadTracker &tracker, Milliseconds now);

/// @brief Estimates the time, in milliseconds, until an engine has finished the prefill of all
///        requests placed there.
///
/// The prefill of an unsplit prompt whose first event has not come ends now at the earliest. With
/// the load policy on, this holds for split prompts too.
/// @complexity Linear in the requests at the engine.
double prefillBacklog(const LoadTracker &tracker, EngineKey engine, Milliseconds now);

} // namespace egretmount::placement

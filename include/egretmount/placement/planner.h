#pragma once

#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/placement/load_tracker.h>

namespace egretmount::placement {

/// @brief A request that is to be placed.
struct Demand
{
    TokenCount promptTokens = 0;
    TokenCount maxOutputTokens = 0; ///< At most.
    double weight = 1;
    Milliseconds latencyTarget; ///< From the arrival to the first event.
    Milliseconds waited; ///< Since the arrival.
    Milliseconds eventGapTarget; ///< Between two events; zero: none stated.
    Milliseconds clientTimeout; ///< Without a first event by then, the caller has left.
    bool mayWait = true; ///< It may be planned for a time when engines are free.
};

/// @brief An engine that may be used now.
struct Candidate
{
    EngineKey key = 0;
    bool canBePrimary = true; ///< May be the first engine.
    bool canBeHelper = true;
    double penalty = 0; ///< Added to its cost: distance, doubts about its health.
};

/// @brief Engines for one request and what is expected of them.
struct Plan
{
    std::vector<EngineKey> engines; ///< The first one receives the request.
    std::vector<TokenCount> memory; ///< Needed at each; beyond the first it is to be set aside.
    double shardPrefillMs = 0; ///< Reading time of each part at the published speed.
    double startDelayMs = 0; ///< Above zero: it is better to wait so long for engines to be free.
    double firstEventMs = 0; ///< Expected time from now to the first event.
    double cost = 0;
};

/// @brief What is expected to come besides the request at hand.
struct DemandForecast
{
    double shortRequests = 0; ///< Short requests that will be in hand at all engines together.
};

/// @brief Engines that one prompt is spread over at most: the first and 16 helpers.
constexpr int maxShards = 17;

/// @brief How much a request weighs against others: one for a tiny prompt, in proportion to the
///        prompt for long ones.
///
/// A long prompt is more work for its caller to repeat, and its answer is waited for by more
/// people; the service's usual prompt sets the scale.
double weightOf(const fleet::EngineSpeed &speed, TokenCount promptTokens);

/// @brief True if a prompt is read so fast that it hardly disturbs the streams of its engine.
bool isShort(const fleet::EngineSpeed &speed, TokenCount promptTokens);

/// @brief How many engines short requests are given to themselves.
///
/// Follows the expected demand within a second or two; some engines always remain for long prompts.
/// @param engines Engines that may be used.
int shortPoolSize(const fleet::EngineSpeed &speed, const DemandForecast &forecast, int engines);

/// @brief Chooses the engines for a request.
///
/// Weighs the request's expected lateness against the pauses that its reading causes to streams
/// that are being written and the delay of parts that are being read: an engine reads the part that
/// came last first, so a long prompt waits until enough engines are free, and a smaller one may go
/// ahead of one that is being read. The first engines in the order of their keys form the short
/// lane, where nothing long is read: all instances agree on it without a message. Pure: the same
/// arguments give the same plan.
/// @return Nothing if no candidate has a place and memory for it.
/// @complexity Candidates times log candidates for each of eight numbers of parts.
std::optional<Plan> planPlacement(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                                  const std::vector<Candidate> &candidates, const Demand &demand,
                                  const DemandForecast &forecast, Milliseconds now);

} // namespace egretmount::placement

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/placement/load_policy.h>
#include <egretmount/placement/load_tracker.h>

namespace egretmount::placement {

/// @brief A request to place.
struct Demand
{
    TokenCount promptTokens = 0;
    TokenCount maxOutputTokens = 0;
    double weight = 1; ///< Cost of failing it, relative to other requests; see `weightOf`.
    Milliseconds latencyTarget; ///< From the arrival to the first event.
    Milliseconds waited; ///< Time since the arrival.
    Milliseconds eventGapTarget; ///< Longest gap between two events; zero: no target.
    Milliseconds clientTimeout; ///< The client disconnects if no event has come by then.
    bool isAdmitted = false; ///< It was placed before and is not subject to admission control.
    bool mayWait = true; ///< The planner may delay the start until engines are free.
    int rank = 0; ///< 0 is the most urgent; see `fleet::rankOf`.
    limits::TeamKey team = 0; ///< Zero: no team.
    std::uint64_t randomBits = 0; ///< The same at each try of the request, and at each instance.
    std::uint64_t deferralId = 0; ///< Zero if the request is not deferred.
    std::uint64_t choiceSeed = 0; ///< Decides between equally good engines; zero: no random choice.
};

/// @brief An engine that the planner may choose.
struct Candidate
{
    EngineKey key = 0;
    bool canBePrimary = true; ///< May receive the request and decode the answer.
    bool canBeHelper = true; ///< May prefill a shard for another engine.
    bool canBeInShortPool = true; ///< Short requests may be concentrated there.
    double penalty = 0; ///< Added to its cost, for instance for distance or recent failures.
    bool isRuledOut = false; ///< Not chosen as the primary engine; counts for the short pool.
};

/// @brief The engines chosen for one request, with the expected times and cost.
struct Plan
{
    std::vector<EngineKey> engines; ///< The primary engine comes first, then the helper engines.
    std::vector<TokenCount> memory; ///< Tokens needed at each engine; helpers must reserve them.
    double shardPrefillMs = 0; ///< Prefill time of each shard at the published speed.
    double startDelayMs = 0; ///< If above zero, waiting this long for free engines costs less.
    double firstEventMs = 0; ///< Expected time from now to the first event.
    double cost = 0;
    bool isWithinCell = false; ///< All engines are in this cell's part of the short pool.
};

/// @brief Demand that is expected besides the request to place.
struct DemandForecast
{
    double shortRequests = 0; ///< Expected short requests in flight at all engines together.
    int cells = 1; ///< Number of cells that share the short pool; see `Cell`.
    int ownCell = 0; ///< Number of the cell of this instance.
    LoadPolicy policy {}; ///< Which decisions for scarce capacity and uneven load apply.
    double unannouncedArrivals = 0; ///< Short requests that other instances of the cell are
                                    ///< expected to have placed without this instance knowing yet.
    double unannouncedEndShare = 0; ///< See the function of this name.
};

/// @brief Most engines that prefill one prompt: the primary engine and 16 helpers.
constexpr int maxShards = 17;

/// @brief Computes the weight of a request: one for a tiny prompt, and one more for each typical
///        prompt length of the service.
///
/// A long prompt costs its caller more work to repeat, and more people wait for its answer.
double weightOf(const fleet::EngineSpeed &speed, TokenCount promptTokens);

/// @brief True if the prefill of a prompt hardly delays the streams of its engine.
bool isShort(const fleet::EngineSpeed &speed, TokenCount promptTokens);

/// @brief Computes how many engines are reserved for short requests.
///
/// The size follows the expected demand within a second or two. It always leaves some engines to
/// long prompts.
/// @param engines Number of usable engines.
int shortPoolSize(const fleet::EngineSpeed &speed, const DemandForecast &forecast, int engines);

/// @brief Computes how many engines long prompts keep away from: at least those of the short pool,
///        and some more, because other instances may estimate a larger pool.
/// @param engines Number of usable engines.
int enginesKeptFromLong(const fleet::EngineSpeed &speed, const DemandForecast &forecast,
                        int engines);

/// @brief True if a request without a plan waits in the queue instead of being refused.
///
/// Short requests never do. With the load policy on, a long prompt waits as long as its prefill at
/// the most shards can still be complete before its caller leaves: what keeps engines from it may
/// last beyond its latency target. Otherwise it waits until its latency target.
/// @param timeLeft Until the request's deadline.
bool mayWaitWithoutPlan(const fleet::EngineSpeed &speed, const Demand &demand, LoadPolicy policy,
                        Milliseconds timeLeft);

/// @brief Chooses the engines for a request.
///
/// The planner compares many ways to split and delay the request and chooses the cheapest. The cost
/// of a plan is the expected lateness of the request plus its interference with others: longer
/// event gaps of decoding streams, and later completion of other prefills. An engine prefills the
/// shard that arrived last first. A long prompt therefore waits until enough engines are free, and
/// a smaller one may overtake a long prefill.
///
/// The usable engines with the lowest keys form the short pool, which accepts only small shards of
/// long prompts. All instances agree on the pool without exchanging a message. Its engines belong
/// to the cells in turn, and short requests prefer those of their own cell. With the policy on, it
/// adds the load that this instance cannot know yet (`load_estimate.h`) and chooses between equally
/// good engines by `Demand::choiceSeed`. The function is pure: the same arguments give the same
/// plan.
/// @return Nothing if too few candidates have a free slot and enough memory. With the load policy
///         on, also if each way to serve the request uses an engine on which it would make the
///         caller of a comparable pending prompt leave; this ends when that prompt is prefilled.
/// @complexity O(n log n) in the candidates, for each of the nine shard counts that are tried.
std::optional<Plan> planPlacement(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                                  const std::vector<Candidate> &candidates, const Demand &demand,
                                  const DemandForecast &forecast, Milliseconds now);

} // namespace egretmount::placement

#pragma once

#include <array>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/names.h>
#include <egretmount/placement/planner.h>

namespace egretmount::placement {

/// @brief Why an engine cannot be the primary engine of a request.
enum class Obstacle {
    None,
    NotPrimary, ///< The candidate must not be a primary engine, for instance while it is cold.
    NoMemory, ///< It would do if its memory, or that of its helpers, were free.
    NoSlot, ///< It would do if its slots or those of its helpers, and possibly memory, were free.
    NoCombination, ///< Too much prefill backlog, or too few helper engines for the prompt.
    NotExamined, ///< It, or why it has no plan, is unknown: the work is bounded.
};

/// @brief What the planner knows of one candidate, and its cheapest plan.
struct CandidateExplanation
{
    EngineKey key = 0;
    int trackedRequests = 0; ///< Tracked requests that it decodes or will decode.
    int helperShards = 0; ///< Shards that it prefills for other engines.
    int untrackedRequests = 0; ///< Reported beyond the tracked ones, while the report is used.
    std::optional<Milliseconds> reportAge; ///< Age of its last report; empty: there was none.
    double backlogMs = 0; ///< Prefill time of the requests placed there.
    double slotWaitMs = 0; ///< See `expectedSlotWait`; of what is known of this engine alone.
    double prefillSlowdown = 1; ///< Measured prefill time divided by the published one.
    double penalty = 0; ///< See `Candidate::penalty`.
    Obstacle obstacle = Obstacle::None;
    std::optional<Plan> plan; ///< The cheapest plan with it as the primary engine.
};

/// @brief The planner's choice for a request, and what it was chosen from.
struct PlacementExplanation
{
    std::optional<Plan> chosen; ///< Empty: no engine can take the request.
    std::optional<Plan> runnerUp; ///< The choice if the chosen primary engine were ruled out.
    std::vector<CandidateExplanation> candidates; ///< In the order of the candidates passed.
};

/// @brief Upper bound of the planner calls of one explanation, times the candidates of each.
///
/// The calls run on the thread that also sends heartbeats: 200 candidates without a bound took
/// about 0.3 s. With 45 candidates, all are examined, also if a third of them has no plan.
constexpr int maxPlannedCandidates = 3'000;

/// @brief Least number of planner calls of an explanation: the choice, the runner-up, and the plan
///        and the obstacle of one candidate.
constexpr int minPlannerCalls = 5;

/// @brief Explains the choice of `planPlacement`, whose parameters it takes.
///
/// Every plan and every obstacle results from a call of `planPlacement`, so the explanation cannot
/// differ from the decision. The chosen primary engine's own plan costs at most as much as the
/// choice, because the planner compares primary engines before it adds the helpers.
///
/// The chosen primary engine is examined first, then the candidates with the fewest requests. What
/// exceeds `maxPlannedCandidates` is marked as `Obstacle::NotExamined`.
/// @complexity At most `maxPlannedCandidates` candidates are planned for, or `minPlannerCalls`
///             times their number if that is more.
PlacementExplanation explainPlacement(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                                      const std::vector<Candidate> &candidates,
                                      const Demand &demand, const DemandForecast &forecast,
                                      Milliseconds now);

/// @brief Returns the number of tracked requests of the busiest engine divided by the mean of the
///        given engines. A helper shard counts until its request decodes.
/// @return One if all have equally many; zero if none has any.
double busiestOverMean(const LoadTracker &tracker, const std::vector<EngineKey> &engines);

} // namespace egretmount::placement

template<>
struct egretmount::NameTable<egretmount::placement::Obstacle>
{
    using Obstacle = egretmount::placement::Obstacle;
    static constexpr std::array<NameEntry<Obstacle>, 6> entries { {
        { Obstacle::None, "none" },
        { Obstacle::NotPrimary, "not-primary" },
        { Obstacle::NoMemory, "no-memory" },
        { Obstacle::NoSlot, "no-slot" },
        { Obstacle::NoCombination, "no-combination" },
        { Obstacle::NotExamined, "not-examined" },
    } };
};

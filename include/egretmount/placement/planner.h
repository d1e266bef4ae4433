#pragma once

#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/placement/ledger.h>

namespace egretmount::placement {

/// @brief A request that is to be placed.
struct Demand
{
    TokenCount promptTokens = 0;
    TokenCount answerTokens = 0; ///< At most.
    double weight = 1;
    Milliseconds latencyTarget; ///< To the first event.
    Milliseconds pauseTarget; ///< Between two events; zero: none stated.
    Milliseconds patience; ///< Without a first event by then, the caller has left.
};

/// @brief An engine that may be used now.
struct Candidate
{
    EngineKey key = 0;
    bool mayReceive = true; ///< May be the first engine.
    bool mayHelp = true;
    double penalty = 0; ///< Added to its cost: distance, doubts about its health.
};

/// @brief Engines for one request and what is expected of them.
struct Plan
{
    std::vector<EngineKey> engines; ///< The first one receives the request.
    double partMs = 0; ///< Reading time of each part at the published speed.
    double firstEventMs = 0; ///< Expected time to the first event.
    double cost = 0;
};

/// @brief Engines that one prompt is spread over at most: the first and 16 helpers.
constexpr int maxParts = 17;

/// @brief How much a request weighs against others: one for a tiny prompt, in proportion to the
///        prompt for long ones.
///
/// A long prompt is more work for its caller to repeat, and its answer is waited for by more
/// people; the service's usual prompt sets the scale.
double weightOf(const fleet::EngineSpeed &speed, TokenCount promptTokens);

/// @brief Chooses the engines for a request.
///
/// Weighs the request's expected lateness, the pauses that its reading causes to streams that are
/// being written, and how many engines stay clear of long reading for short requests. Pure: the
/// same arguments give the same plan.
/// @return Nothing if no candidate has a place and memory for it.
/// @complexity Candidates times log candidates for each of eight numbers of parts.
std::optional<Plan> planPlacement(const Ledger &ledger, const fleet::EngineSpeed &speed,
                                  const std::vector<Candidate> &candidates, const Demand &demand,
                                  Milliseconds now);

} // namespace egretmount::placement

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief A share of the requests with prompts of similar length.
struct LengthShare
{
    std::string name;
    std::int64_t weight = 1; ///< Share among all lengths.
    TokenCount lowTokens = 0; ///< Shortest prompt.
    TokenCount highTokens = 0; ///< Longest prompt; lengths between are log-uniform.
    TokenCount outputTokens = 0; ///< Length of the answer that is asked for.
    Milliseconds deadline; ///< Time that the caller gives a request.
};

/// @brief A team and its share of the requests.
struct TeamShare
{
    std::string name;
    std::int64_t weight = 1; ///< Share among all teams.
    std::string token; ///< The team's secret token.
};

/// @brief The requests of a run, as settings.
struct Workload
{
    std::uint64_t seed = 1;
    Milliseconds duration;
    std::int64_t requestsPerSecond = 0;
    std::vector<LengthShare> lengths; ///< Not empty.
    std::vector<TeamShare> teams; ///< Not empty.
};

/// @brief One request of a run before it is sent.
struct Arrival
{
    Milliseconds at; ///< Since the start of the run.
    std::size_t length = 0; ///< Index in `Workload::lengths`.
    std::size_t team = 0; ///< Index in `Workload::teams`.
    TokenCount promptTokens = 0;
    std::uint64_t promptSeed = 0; ///< Makes the start of the prompt differ from all others.

    friend bool operator==(const Arrival &a, const Arrival &b)
    {
        return a.at == b.at && a.length == b.length && a.team == b.team
               && a.promptTokens == b.promptTokens && a.promptSeed == b.promptSeed;
    }
};

/// @brief Makes the arrivals of a run: a Poisson process, the same for the same workload.
/// @return The arrivals in order of time. @complexity Linear in their number.
std::vector<Arrival> makeArrivals(const Workload &workload);

/// @brief A number that differs between different arrivals.
std::uint64_t digestOf(const std::vector<Arrival> &arrivals);

} // namespace egretmount::load

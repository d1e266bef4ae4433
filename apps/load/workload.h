#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief A range of prompt lengths and its share of the requests.
struct LengthShare
{
    std::string name;
    std::int64_t weight = 1; ///< Relative weight among all lengths.
    TokenCount lowTokens = 0; ///< Shortest prompt.
    TokenCount highTokens = 0; ///< Longest prompt; lengths between are log-uniform.
    TokenCount outputTokens = 0; ///< Requested number of output tokens.
    Milliseconds deadline; ///< Deadline of a request, relative to its sending.
};

/// @brief A team and its share of the requests.
struct TeamShare
{
    std::string name;
    std::int64_t weight = 1; ///< Relative weight among all teams.
    std::string token; ///< The team's secret token.
};

/// @brief Parameters of the arrival process of a run.
struct Workload
{
    std::uint64_t seed = 1;
    Milliseconds duration;
    std::int64_t requestsPerSecond = 0; ///< Mean arrival rate.
    std::vector<LengthShare> lengths; ///< Not empty.
    std::vector<TeamShare> teams; ///< Not empty.
};

/// @brief One scheduled request of a run.
struct Arrival
{
    Milliseconds at; ///< Arrival time since the start of the run.
    std::size_t length = 0; ///< Index in `Workload::lengths`.
    std::size_t team = 0; ///< Index in `Workload::teams`.
    TokenCount promptTokens = 0;
    std::uint64_t promptSeed = 0; ///< Makes the prompt start with a text of its own.

    friend bool operator==(const Arrival &a, const Arrival &b)
    {
        return a.at == b.at && a.length == b.length && a.team == b.team
               && a.promptTokens == b.promptTokens && a.promptSeed == b.promptSeed;
    }
};

/// @brief Generates the arrivals of a run as a Poisson process. The result depends on the workload
/// only, including its seed.
/// @return The arrivals, sorted by time. @complexity Linear in their number.
std::vector<Arrival> makeArrivals(const Workload &workload);

/// @brief Computes a hash of the arrivals, for checking that runs have the same ones.
std::uint64_t digestOf(const std::vector<Arrival> &arrivals);

} // namespace egretmount::load

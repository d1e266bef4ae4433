#pragma once

#include <vector>

#include "experiment.h"
#include "fault_script.h"
#include "statistics.h"

namespace egretmount::load {

/// @brief A fault that was carried out.
struct InjectedFault
{
    std::string name;
    Milliseconds at; ///< Since the start of the run.
};

/// @brief What one run gave.
struct RunRecord
{
    std::string label;
    std::vector<std::string> without; ///< Lengths that were left out.
    std::uint64_t seed = 0;
    std::uint64_t arrivalsDigest = 0; ///< Of all arrivals, also those that were left out.
    std::int64_t requestsPerSecond = 0;
    std::int64_t seconds = 0;
    std::size_t unsent = 0; ///< Arrivals that found `maxInFlight` requests already under way.
    std::vector<InjectedFault> faults; ///< In order of time.
    std::vector<Sample> samples; ///< In order of arrival.
};

/// @brief Sends the arrivals of an experiment in time, whatever comes of the earlier ones, and
///        carries out its faults. Waits for all answers.
/// @throws std::exception if the fleet cannot be reached at the start.
RunRecord runExperiment(const Experiment &experiment, const ProcessIds &processes);

} // namespace egretmount::load

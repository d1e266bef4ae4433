#pragma once

#include <vector>

#include "experiment.h"
#include "fault_script.h"
#include "statistics.h"

namespace egretmount::load {

/// @brief A fault that was injected.
struct InjectedFault
{
    std::string name;
    Milliseconds at; ///< Since the start of the run.
};

/// @brief Results of one run.
struct RunRecord
{
    std::string label;
    std::vector<std::string> without; ///< Length shares whose arrivals were not sent.
    std::uint64_t seed = 0;
    std::uint64_t arrivalsDigest = 0; ///< Digest of all arrivals, including those left out.
    std::int64_t requestsPerSecond = 0;
    std::int64_t seconds = 0;
    std::size_t unsent = 0; ///< Arrivals not sent because `maxInFlight` requests were in flight.
    std::vector<InjectedFault> faults; ///< Sorted by time.
    std::vector<Sample> samples; ///< Sorted by arrival time.
};

/// @brief Runs an experiment as an open-loop load test: sends every request at its scheduled time,
/// independently of the completion of earlier ones, and injects the faults. Blocks until all
/// requests have ended.
/// @throws std::exception if the fleet cannot be reached at the start or a fault could not be
/// injected.
RunRecord runExperiment(const Experiment &experiment, const ProcessIds &processes);

} // namespace egretmount::load

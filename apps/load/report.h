#pragma once

#include <ostream>
#include <vector>

#include "runner.h"

namespace egretmount::load {

/// @brief Checks that all runs have the same arrivals, so that they can be compared.
/// @return An empty string, or a message that names a run with other arrivals.
std::string checkComparable(const std::vector<RunRecord> &runs);

/// @brief Returns the name of a run in reports: its label and the lengths that were left out.
std::string nameOfRun(const RunRecord &run);

/// @brief The requests that arrived between two consecutive faults.
struct Phase
{
    std::string name; ///< Name of the fault at its start; `start` for the first phase.
    Milliseconds length;
    std::vector<Sample> samples;
};

/// @brief Splits a run at its faults. @return The phases in order of time; none if the run has no
/// faults.
std::vector<Phase> phasesOf(const RunRecord &run);

/// @brief Slowdown that the requests of one length suffer from those of other lengths: the 99th
/// percentile of the time to first token with all lengths, divided by the one of a run without
/// some of them.
struct Slowdown
{
    std::string label; ///< Label of both runs.
    std::string length; ///< Name of the length share.
    double withAll = 0; ///< 99th percentile with all lengths, in milliseconds.
    double without = 0; ///< 99th percentile without the left-out lengths, in milliseconds.

    /// @brief Returns the slowdown, or -1 if the baseline has no value.
    double ratio() const { return without > 0 ? withAll / without : -1; }
};

/// @brief Computes slowdowns from pairs of runs with the same label, one with all lengths and one
/// with lengths left out.
std::vector<Slowdown> slowdownsOf(const std::vector<RunRecord> &runs);

/// @brief Writes the report as text tables.
void writeTable(const std::vector<RunRecord> &runs, std::ostream &out);

/// @brief Writes the report as JSON.
void writeJson(const std::vector<RunRecord> &runs, std::ostream &out);

/// @brief Writes the report as a self-contained HTML page with plots.
void writeHtml(const std::vector<RunRecord> &runs, std::ostream &out);

} // namespace egretmount::load

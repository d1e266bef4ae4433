#pragma once

#include <ostream>
#include <vector>

#include "runner.h"

namespace egretmount::load {

/// @brief Checks that runs may be compared. @return Empty, or why not.
std::string checkComparable(const std::vector<RunRecord> &runs);

/// @brief A run's name in reports: its label and what was left out.
std::string nameOfRun(const RunRecord &run);

/// @brief The requests that arrived between one fault and the next.
struct Phase
{
    std::string name; ///< Of the fault that it follows; `start` for the first.
    Milliseconds length;
    std::vector<Sample> samples;
};

/// @brief Splits a run at its faults. @return Nothing for a run without faults.
std::vector<Phase> phasesOf(const RunRecord &run);

/// @brief The short requests' slowdown by the others: first-token 99th percentile with all lengths
///        over the same without some.
struct Slowdown
{
    std::string label;
    std::string length;
    double withAll = 0; ///< Milliseconds.
    double without = 0; ///< Milliseconds.

    double ratio() const { return without > 0 ? withAll / without : -1; }
};

/// @brief Pairs runs of the same label with and without left-out lengths.
std::vector<Slowdown> slowdownsOf(const std::vector<RunRecord> &runs);

/// @brief Writes the report as a table for a terminal.
void writeTable(const std::vector<RunRecord> &runs, std::ostream &out);

/// @brief Writes the report as JSON.
void writeJson(const std::vector<RunRecord> &runs, std::ostream &out);

/// @brief Writes the report as one HTML page that needs no other file.
void writeHtml(const std::vector<RunRecord> &runs, std::ostream &out);

} // namespace egretmount::load

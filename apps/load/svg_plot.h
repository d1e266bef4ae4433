#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace egretmount::load {

/// @brief One named row of numbers of a plot.
struct PlotSeries
{
    std::string name;
    std::vector<double> values;
};

/// @brief A plot with one value of every series for each label.
struct Plot
{
    std::string title;
    std::string unit;
    std::vector<std::string> labels;
    std::vector<PlotSeries> series;
};

/// @brief Writes a plot of grouped bars as SVG; negative values are left out.
void writeBars(const Plot &plot, std::ostream &out);

/// @brief Writes a plot of lines as SVG.
void writeLines(const Plot &plot, std::ostream &out);

/// @brief The text with the characters escaped that HTML reserves.
std::string escapeHtml(const std::string &text);

} // namespace egretmount::load

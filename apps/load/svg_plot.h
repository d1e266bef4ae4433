#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace egretmount::load {

/// @brief A named series of values.
struct PlotSeries
{
    std::string name;
    std::vector<double> values;
};

/// @brief A plot. Every series has one value for each label.
struct Plot
{
    std::string title;
    std::string unit;
    std::vector<std::string> labels;
    std::vector<PlotSeries> series;
};

/// @brief Writes a grouped bar chart as SVG. Negative values stand for missing ones and are
/// skipped.
void writeBars(const Plot &plot, std::ostream &out);

/// @brief Writes a line chart as SVG.
void writeLines(const Plot &plot, std::ostream &out);

/// @brief Escapes `<`, `&` and `"` for use in HTML text and attributes.
std::string escapeHtml(const std::string &text);

} // namespace egretmount::load

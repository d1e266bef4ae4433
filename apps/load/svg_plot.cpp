#include "svg_plot.h"

#include <algorithm>
#include <array>
#include <iomanip>

namespace egretmount::load {

namespace {

constexpr double width = 860;
constexpr double height = 300;
constexpr double marginLeft = 70;
constexpr double marginTop = 30;
constexpr double marginBottom = 50;
constexpr double legendWidth = 190;
constexpr double legendStep = 18;
constexpr int gridLines = 4;
constexpr std::size_t maxAxisLabels = 12;

constexpr double plotWidth = width - marginLeft - legendWidth;
constexpr double plotHeight = height - marginTop - marginBottom;

const char *colourOf(std::size_t index)
{
    static constexpr std::array<const char *, 8> colours { "#1b6ca8", "#d1495b", "#3a7d44",
                                                           "#edae49", "#6a4c93", "#00798c",
                                                           "#8d6a4f", "#444444" };
    return colours[index % colours.size()];
}

double maxValueOf(const Plot &plot)
{
    double maxValue = 0;
    for (const PlotSeries &series : plot.series) {
        for (double value : series.values)
            maxValue = std::max(maxValue, value);
    }
    return maxValue > 0 ? maxValue : 1;
}

double yOf(double value, double maxValue)
{
    return marginTop + plotHeight * (1 - value / maxValue);
}

void writeText(std::ostream &out, double x, double y, const char *anchor, const std::string &text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">"
        << escapeHtml(text) << "</text>\n";
}

void writeFrame(const Plot &plot, double maxValue, std::ostream &out)
{
    out << std::fixed << std::setprecision(1) << "<svg viewBox=\"0 0 " << width << ' ' << height
        << "\" role=\"img\" aria-label=\"" << escapeHtml(plot.title) << "\">\n";
    writeText(out, marginLeft, marginTop - 12, "start", plot.title + " (" + plot.unit + ")");
    for (int i = 0; i <= gridLines; ++i) {
        const double value = maxValue * i / gridLines;
        const double y = yOf(value, maxValue);
        out << "<line class=\"grid\" x1=\"" << marginLeft << "\" x2=\"" << marginLeft + plotWidth
            << "\" y1=\"" << y << "\" y2=\"" << y << "\"/>\n<text x=\"" << marginLeft - 6
            << "\" y=\"" << y + 4 << "\" text-anchor=\"end\">" << value << "</text>\n";
    }
    for (std::size_t i = 0; i < plot.series.size(); ++i) {
        const double y = marginTop + legendStep * static_cast<double>(i);
        out << "<rect x=\"" << marginLeft + plotWidth + 12 << "\" y=\"" << y
            << "\" width=\"10\" height=\"10\" fill=\"" << colourOf(i) << "\"/>\n";
        writeText(out, marginLeft + plotWidth + 28, y + 9, "start", plot.series[i].name);
    }
}

void writeLabels(const Plot &plot, std::ostream &out)
{
    const std::size_t step = plot.labels.size() / maxAxisLabels + 1;
    const double labelWidth =
        plotWidth / static_cast<double>(std::max<std::size_t>(1, plot.labels.size()));
    for (std::size_t i = 0; i < plot.labels.size(); i += step) {
        const double x = marginLeft + labelWidth * (static_cast<double>(i) + 0.5);
        writeText(out, x, marginTop + plotHeight + 18, "middle", plot.labels[i]);
    }
}

} // namespace

void writeBars(const Plot &plot, std::ostream &out)
{
    constexpr double barFillRatio = 0.8; // share of the width of one label
    const double maxValue = maxValueOf(plot);
    writeFrame(plot, maxValue, out);
    writeLabels(plot, out);
    const double labelWidth =
        plotWidth / static_cast<double>(std::max<std::size_t>(1, plot.labels.size()));
    const double barWidth = labelWidth * barFillRatio
                            / static_cast<double>(std::max<std::size_t>(1, plot.series.size()));
    for (std::size_t s = 0; s < plot.series.size(); ++s) {
        const std::vector<double> &values = plot.series[s].values;
        for (std::size_t i = 0; i < values.size(); ++i) {
            if (values[i] < 0)
                continue;
            const double x = marginLeft
                             + labelWidth * (static_cast<double>(i) + (1 - barFillRatio) / 2)
                             + barWidth * static_cast<double>(s);
            const double y = yOf(values[i], maxValue);
            out << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << barWidth
                << "\" height=\"" << marginTop + plotHeight - y << "\" fill=\"" << colourOf(s)
                << "\"><title>" << escapeHtml(plot.series[s].name) << ": " << values[i]
                << "</title></rect>\n";
        }
    }
    out << "</svg>\n";
}

void writeLines(const Plot &plot, std::ostream &out)
{
    const double maxValue = maxValueOf(plot);
    writeFrame(plot, maxValue, out);
    writeLabels(plot, out);
    const double labelWidth =
        plotWidth / static_cast<double>(std::max<std::size_t>(1, plot.labels.size()));
    for (std::size_t s = 0; s < plot.series.size(); ++s) {
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colourOf(s)
            << "\" points=\"";
        for (std::size_t i = 0; i < plot.series[s].values.size(); ++i) {
            out << marginLeft + labelWidth * (static_cast<double>(i) + 0.5) << ','
                << yOf(plot.series[s].values[i], maxValue) << ' ';
        }
        out << "\"/>\n";
    }
    out << "</svg>\n";
}

std::string escapeHtml(const std::string &text)
{
    std::string escaped;
    for (char character : text) {
        if (character == '<')
            escaped += "&lt;";
        else if (character == '&')
            escaped += "&amp;";
        else if (character == '"')
            escaped += "&quot;";
        else
            escaped += character;
    }
    return escaped;
}

} // namespace egretmount::load

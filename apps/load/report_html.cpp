#include <set>
#include <sstream>

#include "report.h"
#include "svg_plot.h"

namespace egretmount::load {

namespace {

constexpr const char *pageStart =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report</title>\n"
    "<style>body{font:15px/1.5 sans-serif;max-width:900px;margin:2em auto;padding:0 1em}"
    "svg{width:100%;font:12px sans-serif}.grid{stroke:#ddd}"
    "pre{overflow-x:auto;background:#f6f6f6;padding:1em}</style></head><body>\n"
    "<h1>Load report</h1>\n";

std::vector<std::string> lengthsOf(const std::vector<RunRecord> &runs)
{
    std::set<std::string> names;
    for (const RunRecord &run : runs) {
        for (const Sample &sample : run.samples)
            names.insert(sample.length);
    }
    return { names.begin(), names.end() };
}

Plot firstTokenPlot(const std::vector<RunRecord> &runs)
{
    Plot plot { "First token, 99th percentile, by length", "ms", lengthsOf(runs), {} };
    for (const RunRecord &run : runs) {
        const std::map<std::string, Summary> groups =
            summariseBy(run.samples, [](const Sample &sample) { return sample.length; });
        PlotSeries series { nameOfRun(run), {} };
        for (const std::string &length : plot.labels) {
            const auto found = groups.find(length);
            series.values.push_back(found == groups.end() ? -1 : found->second.firstToken.p99);
        }
        plot.series.push_back(series);
    }
    return plot;
}

Plot slowdownPlot(const std::vector<RunRecord> &runs)
{
    Plot plot { "First token, 99th percentile, beside others over alone", "ratio", {}, {} };
    PlotSeries series { "slowdown", {} };
    for (const Slowdown &slowdown : slowdownsOf(runs)) {
        plot.labels.push_back(slowdown.label + ' ' + slowdown.length);
        series.values.push_back(slowdown.ratio());
    }
    plot.series.push_back(series);
    return plot;
}

Plot goodputPlot(const std::vector<RunRecord> &runs)
{
    Plot plot { "Requests good, by second of arrival", "1/s", {}, {} };
    for (const RunRecord &run : runs) {
        PlotSeries series { nameOfRun(run), {} };
        for (const GoodputSecond &second : goodputOverTime(run.samples))
            series.values.push_back(static_cast<double>(second.good));
        while (plot.labels.size() < series.values.size())
            plot.labels.push_back(std::to_string(plot.labels.size()));
        plot.series.push_back(series);
    }
    return plot;
}

Plot errorPlot(const std::vector<RunRecord> &runs)
{
    std::set<std::string> names;
    for (const RunRecord &run : runs) {
        for (const Sample &sample : run.samples) {
            if (!sample.error.empty())
                names.insert(sample.error);
        }
    }
    Plot plot { "Refusals and failures by reason", "requests", { names.begin(), names.end() }, {} };
    for (const RunRecord &run : runs) {
        const Summary all = summarise(run.samples);
        PlotSeries series { nameOfRun(run), {} };
        for (const std::string &name : plot.labels) {
            const auto found = all.errors.find(name);
            series.values.push_back(found == all.errors.end() ? 0
                                                              : static_cast<double>(found->second));
        }
        plot.series.push_back(series);
    }
    return plot;
}

} // namespace

void writeHtml(const std::vector<RunRecord> &runs, std::ostream &out)
{
    out << pageStart;
    writeBars(firstTokenPlot(runs), out);
    if (!slowdownsOf(runs).empty())
        writeBars(slowdownPlot(runs), out);
    writeLines(goodputPlot(runs), out);
    writeBars(errorPlot(runs), out);
    std::ostringstream table;
    writeTable(runs, table);
    out << "<pre>" << escapeHtml(table.str()) << "</pre>\n</body></html>\n";
}

} // namespace egretmount::load

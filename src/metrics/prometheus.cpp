#include <cmath>
#include <cstdio>

#include <egretmount/metrics/metrics_state.h>

namespace egretmount::metrics {

namespace {

constexpr const char *otherTeamsName = "other teams";
constexpr double millisPerSecond = 1000.0;

std::string formatNumber(double value)
{
    if (std::isinf(value))
        return "+Inf";
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}

// Escapes backslashes, quotes and line feeds in a label value.
std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (char character : value) {
        if (character == '\\' || character == '"')
            escaped += '\\';
        if (character == '\n')
            escaped += "\\n";
        else
            escaped += character;
    }
    return escaped;
}

void writeHeader(std::string &out, const std::string &name, const char *type, const char *help)
{
    out += "# HELP " + name + ' ' + help + "\n# TYPE " + name + ' ' + type + '\n';
}

void writeHistogram(std::string &out, const std::string &name, const std::string &label,
                    const MeasureHistograms &histograms, Measure measure)
{
    std::uint64_t count = 0;
    const std::string start = name + "_bucket{" + label + ",le=\"";
    for (const Bucket &bucket : histograms.buckets(measure)) {
        count = bucket.cumulativeCount;
        out += start;
        out += formatNumber(bucket.upperBound);
        out += "\"} ";
        out += std::to_string(count);
        out += '\n';
    }
    out += name + "_sum{" + label + "} " + formatNumber(histograms.sum(measure)) + '\n';
    out += name + "_count{" + label + "} " + std::to_string(count) + '\n';
}

std::string teamLabel(const std::string &team)
{
    return "team=\"" + escapeLabel(team) + '"';
}

void writeMeasure(std::string &out, const MetricsState &state, const NameEntry<Measure> &measure)
{
    const std::string byLength = "egretmount_length_" + std::string(measure.name);
    writeHeader(out, byLength, "histogram", "By length class of the prompt.");
    for (const NameEntry<LengthClass> &length : NameTable<LengthClass>::entries) {
        const std::string label = "length=\"" + std::string(length.name) + '"';
        writeHistogram(out, byLength, label, state.byLength[static_cast<std::size_t>(length.value)],
                       measure.value);
    }
    const std::string byTeam = "egretmount_team_" + std::string(measure.name);
    writeHeader(out, byTeam, "histogram", "By team, for the teams seen most recently.");
    for (const std::pair<const TeamId, TeamMetrics> &team : state.byTeam)
        writeHistogram(out, byTeam, teamLabel(team.first.value), team.second.histograms,
                       measure.value);
    writeHistogram(out, byTeam, teamLabel(otherTeamsName), state.otherTeams, measure.value);
}

void writeValue(std::string &out, const std::string &name, const char *type, const char *help,
                const std::string &value)
{
    writeHeader(out, name, type, help);
    out += name + ' ' + value + '\n';
}

void writeCounters(std::string &out, const MetricsState &state)
{
    writeHeader(out, "egretmount_errors_total", "counter", "Requests that ended with an error.");
    for (const std::pair<const ErrorId, std::uint64_t> &error : state.errors)
        out += "egretmount_errors_total{error=\"" + std::string(nameOf(error.first)) + "\"} "
               + std::to_string(error.second) + '\n';
    writeHeader(out, "egretmount_verdicts_total", "counter", "Requests by what is known of them.");
    for (const std::pair<const Verdict, std::uint64_t> &verdict : state.verdicts)
        out += "egretmount_verdicts_total{verdict=\"" + std::string(nameOf(verdict.first)) + "\"} "
               + std::to_string(verdict.second) + '\n';
    writeValue(out, "egretmount_retries_total", "counter", "Further targets tried for a request.",
               std::to_string(state.retries));
    writeValue(out, "egretmount_cold_transitions_total", "counter", "Targets that turned cold.",
               std::to_string(state.coldTransitions));
}

} // namespace

std::string writePrometheus(const MetricsState &state, Milliseconds now)
{
    std::string out;
    for (const NameEntry<Measure> &measure : NameTable<Measure>::entries)
        writeMeasure(out, state, measure);
    writeCounters(out, state);
    writeValue(out, "egretmount_config_version", "gauge", "Version of the document in force.",
               std::to_string(state.configVersion));
    const double age =
        static_cast<double>((now - state.configReceivedAt).count()) / millisPerSecond;
    writeValue(out, "egretmount_config_age_seconds", "gauge", "Time since that version came.",
               state.configVersion == 0 ? "NaN" : formatNumber(age));
    return out;
}

} // namespace egretmount::metrics

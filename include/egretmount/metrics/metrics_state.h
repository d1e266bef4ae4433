#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <egretmount/core/clock.h>
#include <egretmount/core/error.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/length_class.h>
#include <egretmount/core/verdict.h>
#include <egretmount/metrics/measure_histograms.h>

namespace egretmount::metrics {

constexpr std::size_t lengthClassCount = NameTable<LengthClass>::entries.size();

/// @brief The histograms of one team.
struct TeamMetrics
{
    MeasureHistograms histograms;
    Milliseconds lastSeen; ///< When the last value of the team was recorded.
};

/// @brief Metrics of one instance, for operators.
struct MetricsState
{
    /// Maximum number of teams with their own histograms; limits the cardinality of the label.
    std::size_t maxTeams = 512;
    std::array<MeasureHistograms, lengthClassCount> byLength;
    std::map<TeamId, TeamMetrics> byTeam; ///< The teams seen most recently.
    MeasureHistograms otherTeams; ///< Values of the teams that were evicted from `byTeam`.
    /// Shortest first-token time per length class; zero before the first token.
    std::array<double, lengthClassCount> minFirstTokenSeconds {};
    std::map<ErrorId, std::uint64_t> errors; ///< Requests that ended with an error.
    std::map<Verdict, std::uint64_t> verdicts;
    std::uint64_t retries = 0; ///< Attempts of a request on a further target.
    std::uint64_t coldTransitions = 0; ///< Changes of a target from warm to cold.
    std::map<TargetId, bool> warmth; ///< Last reported state per target; true if warm.
    ConfigVersion configVersion = 0;
    Milliseconds configReceivedAt; ///< When this version was first recorded.
};

/// @brief Records a value of a measure for the request's length class and team.
///
/// If there are more than `maxTeams` teams, the least recently seen one is merged into
/// `otherTeams`.
/// @complexity Logarithmic in the number of teams; linear if a team is evicted.
void observe(MetricsState &state, const TeamId &team, LengthClass length, Measure measure,
             double value, Milliseconds now);

/// @brief Records a first-token time and its slowdown. @param seconds Time since arrival.
void observeFirstToken(MetricsState &state, const TeamId &team, LengthClass length, double seconds,
                       Milliseconds now);

/// @brief Counts the outcome of a request. @param error Null if the response was complete.
void countOutcome(MetricsState &state, Verdict verdict, const ErrorId *error);

/// @brief Records whether a target reports itself as warm.
void recordWarmth(MetricsState &state, const TargetId &target, bool isWarm);

/// @brief Records the version of the document in force; a new one clears `warmth`.
void recordConfigVersion(MetricsState &state, ConfigVersion version, Milliseconds now);

/// @brief Writes all metrics in the Prometheus text exposition format.
/// @complexity Linear in the number of series.
std::string writePrometheus(const MetricsState &state, Milliseconds now);

} // namespace egretmount::metrics

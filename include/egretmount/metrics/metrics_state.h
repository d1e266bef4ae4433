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
    Milliseconds lastSeen;
};

/// @brief What an instance counts, for operators.
struct MetricsState
{
    std::size_t maxTeams = 512; ///< Teams with histograms of their own.
    std::array<MeasureHistograms, lengthClassCount> byLength;
    std::map<TeamId, TeamMetrics> byTeam; ///< The teams seen most recently.
    MeasureHistograms otherTeams; ///< What the teams had that lost their own histograms.
    std::array<double, lengthClassCount> minFirstTokenSeconds {}; ///< Seconds; zero: none yet.
    std::map<ErrorId, std::uint64_t> errors; ///< Requests that ended with an error.
    std::map<Verdict, std::uint64_t> verdicts;
    std::uint64_t retries = 0; ///< Further targets tried for a request.
    std::uint64_t coldTransitions = 0; ///< Targets that turned cold.
    std::map<TargetId, bool> warmth; ///< The last reports.
    ConfigVersion configVersion = 0;
    Milliseconds configReceivedAt; ///< When that version came.
};

/// @brief Counts a value of a measure for the request's length class and team.
///
/// Over `maxTeams`, the team that was seen least recently joins `otherTeams`.
/// @complexity Logarithmic in the teams; linear when a team gives way.
void observe(MetricsState &state, const TeamId &team, LengthClass length, Measure measure,
             double value, Milliseconds now);

/// @brief Counts a first token and its slowdown. @param seconds Since the request's arrival.
void observeFirstToken(MetricsState &state, const TeamId &team, LengthClass length, double seconds,
                       Milliseconds now);

/// @brief Counts how a request ended. @param error Null: with its whole answer.
void countOutcome(MetricsState &state, Verdict verdict, const ErrorId *error);

/// @brief Takes in whether a target reports itself warm.
void recordWarmth(MetricsState &state, const TargetId &target, bool isWarm);

/// @brief Takes in the version of the document in force; forgets the warmth of all targets.
void recordConfigVersion(MetricsState &state, ConfigVersion version, Milliseconds now);

/// @brief Writes everything in the Prometheus text format.
/// @complexity Linear in the number of series.
std::string writePrometheus(const MetricsState &state, Milliseconds now);

} // namespace egretmount::metrics

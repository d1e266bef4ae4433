#include <cmath>
#include <sstream>

#include <doctest/doctest.h>

#include <egretmount/core/random.h>
#include <egretmount/metrics/metrics_state.h>

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::metrics;

namespace {

std::uint64_t countOf(const MeasureHistograms &histograms, Measure measure)
{
    return histograms.buckets(measure).back().cumulativeCount;
}

std::string lineStartingWith(const std::string &text, const std::string &start)
{
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        if (line.compare(0, start.size(), start) == 0)
            return line;
    }
    return {};
}

} // namespace

TEST_CASE("metrics: buckets are logarithmic and cumulative, and count every value")
{
    MeasureHistograms histograms;
    for (double value : { 0.0, 0.0005, 0.0012, 0.5, 2.0, 5000.0 })
        histograms.add(Measure::Total, value);
    const std::vector<Bucket> buckets = histograms.buckets(Measure::Total);
    REQUIRE(buckets.size() == 26);
    CHECK(buckets.front().upperBound == doctest::Approx(0.001));
    CHECK(buckets.front().cumulativeCount == 2);
    CHECK(std::isinf(buckets.back().upperBound));
    CHECK(buckets.back().cumulativeCount == 6);
    CHECK(buckets[buckets.size() - 2].upperBound == doctest::Approx(1000));
    CHECK(buckets[buckets.size() - 2].cumulativeCount == 5);
    for (std::size_t i = 1; i + 1 < buckets.size(); ++i) {
        CHECK(buckets[i].cumulativeCount >= buckets[i - 1].cumulativeCount);
        CHECK(buckets[i].upperBound / buckets[i - 1].upperBound
              == doctest::Approx(std::pow(10, 0.25)));
    }
    CHECK(histograms.sum(Measure::Total) == doctest::Approx(5002.5017));
    CHECK(countOf(histograms, Measure::Queueing) == 0);
}

TEST_CASE("metrics: the number of teams with histograms is bounded, and no value is lost")
{
    MetricsState state;
    state.maxTeams = 16;
    Random random(11);
    constexpr std::uint64_t requests = 5'000;
    for (std::uint64_t i = 0; i < requests; ++i) {
        const TeamId team("team-" + std::to_string(random.below(100)));
        observe(state, team, LengthClass::Short, Measure::Total, 0.1,
                Milliseconds(static_cast<std::int64_t>(i)));
        CHECK(state.byTeam.size() <= state.maxTeams);
        CHECK(state.byTeam.count(team) == 1);
    }
    std::uint64_t counted = countOf(state.otherTeams, Measure::Total);
    for (const std::pair<const TeamId, TeamMetrics> &team : state.byTeam)
        counted += countOf(team.second.histograms, Measure::Total);
    CHECK(counted == requests);
    CHECK(countOf(state.byLength[0], Measure::Total) == requests);
}

TEST_CASE("metrics: the text follows the Prometheus exposition format")
{
    MetricsState state;
    const TeamId team("a\"b\\c");
    observeFirstToken(state, team, LengthClass::Short, 0.010, 1_ms);
    observeFirstToken(state, team, LengthClass::Short, 0.040, 2_ms);
    const ErrorId overloaded = ErrorId::Overloaded;
    countOutcome(state, Verdict::NotRun, &overloaded);
    countOutcome(state, Verdict::Ran, nullptr);
    recordWarmth(state, TargetId("engine"), true);
    recordWarmth(state, TargetId("engine"), false);
    recordWarmth(state, TargetId("engine"), false);
    recordConfigVersion(state, 7, 1'000_ms);
    recordConfigVersion(state, 7, 2'000_ms);
    const std::string text = writePrometheus(state, 3'500_ms);

    CHECK(lineStartingWith(text, "# TYPE egretmount_length_first_token_seconds")
          == "# TYPE egretmount_length_first_token_seconds histogram");
    CHECK(lineStartingWith(text, "egretmount_length_first_token_seconds_count{length=\"short\"}")
          == "egretmount_length_first_token_seconds_count{length=\"short\"} 2");
    CHECK(lineStartingWith(text, "egretmount_length_first_token_seconds_sum{length=\"short\"}")
          == "egretmount_length_first_token_seconds_sum{length=\"short\"} 0.05");
    CHECK(lineStartingWith(text, "egretmount_team_slowdown_ratio_sum{team=\"a\\\"b\\\\c\"}")
          == "egretmount_team_slowdown_ratio_sum{team=\"a\\\"b\\\\c\"} 5");
    CHECK(text.find(",le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(lineStartingWith(text, "egretmount_errors_total{")
          == "egretmount_errors_total{error=\"overloaded\"} 1");
    CHECK(text.find("egretmount_verdicts_total{verdict=\"ran\"} 1\n") != std::string::npos);
    CHECK(text.find("egretmount_cold_transitions_total 1\n") != std::string::npos);
    CHECK(text.find("egretmount_config_version 7\n") != std::string::npos);
    CHECK(text.find("egretmount_config_age_seconds 2.5\n") != std::string::npos);
    for (std::size_t at = text.find('\n'); at != std::string::npos; at = text.find('\n', at + 1))
        CHECK(text[at == 0 ? 0 : at - 1] != ' ');
}

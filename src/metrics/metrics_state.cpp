#include <egretmount/metrics/metrics_state.h>

#include <algorithm>

namespace egretmount::metrics {

namespace {

void mergeLeastRecentTeam(MetricsState &state)
{
    const auto isOlder = [](const std::pair<const TeamId, TeamMetrics> &a,
                            const std::pair<const TeamId, TeamMetrics> &b) {
        return a.second.lastSeen < b.second.lastSeen;
    };
    const auto oldest = std::min_element(state.byTeam.begin(), state.byTeam.end(), isOlder);
    state.otherTeams.add(oldest->second.histograms);
    state.byTeam.erase(oldest);
}

MeasureHistograms &histogramsOf(MetricsState &state, const TeamId &team, Milliseconds now)
{
    const auto known = state.byTeam.find(team);
    if (known != state.byTeam.end()) {
        known->second.lastSeen = now;
        return known->second.histograms;
    }
    if (state.maxTeams == 0)
        return state.otherTeams;
    while (state.byTeam.size() >= state.maxTeams)
        mergeLeastRecentTeam(state);
    TeamMetrics &added = state.byTeam[team];
    added.lastSeen = now;
    return added.histograms;
}

} // namespace

void observe(MetricsState &state, const TeamId &team, LengthClass length, Measure measure,
             double value, Milliseconds now)
{
    state.byLength[static_cast<std::size_t>(length)].add(measure, value);
    histogramsOf(state, team, now).add(measure, value);
}

void observeFirstToken(MetricsState &state, const TeamId &team, LengthClass length, double seconds,
                       Milliseconds now)
{
    observe(state, team, length, Measure::FirstToken, seconds, now);
    double &minSeconds = state.minFirstTokenSeconds[static_cast<std::size_t>(length)];
    if (seconds > 0 && (minSeconds <= 0 || seconds < minSeconds))
        minSeconds = seconds;
    if (minSeconds > 0)
        observe(state, team, length, Measure::Slowdown, seconds / minSeconds, now);
}

void countOutcome(MetricsState &state, Verdict verdict, const ErrorId *error)
{
    ++state.verdicts[verdict];
    if (error)
        ++state.errors[*error];
}

void recordWarmth(MetricsState &state, const TargetId &target, bool isWarm)
{
    const auto known = state.warmth.find(target);
    if (known != state.warmth.end() && known->second && !isWarm)
        ++state.coldTransitions;
    state.warmth[target] = isWarm;
}

void recordConfigVersion(MetricsState &state, ConfigVersion version, Milliseconds now)
{
    if (version == state.configVersion)
        return;
    state.configVersion = version;
    state.configReceivedAt = now;
    state.warmth.clear(); // later reports refill it, without removed targets
}

} // namespace egretmount::metrics

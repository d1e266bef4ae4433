#include "statistics.h"

#include <algorithm>
#include <cmath>

namespace egretmount::load {

namespace {

constexpr double microsPerMilli = 1000.0;
constexpr std::int64_t microsInMilli = 1000;
constexpr std::int64_t millisPerSecond = 1000;

// Returns a percentile in milliseconds by the nearest-rank method; `sorted` must not be empty.
double nearestRankMillis(const std::vector<std::int64_t> &sorted, double fraction)
{
    const double position = std::ceil(fraction * static_cast<double>(sorted.size()));
    const std::size_t index = static_cast<std::size_t>(std::max(1.0, position)) - 1;
    return static_cast<double>(sorted[index]) / microsPerMilli;
}

} // namespace

Percentiles percentilesOf(std::vector<std::int64_t> micros)
{
    Percentiles result;
    result.count = micros.size();
    if (micros.empty())
        return result;
    std::sort(micros.begin(), micros.end());
    result.p50 = nearestRankMillis(micros, 0.50);
    result.p95 = nearestRankMillis(micros, 0.95);
    result.p99 = nearestRankMillis(micros, 0.99);
    return result;
}

Summary summarise(const std::vector<Sample> &samples)
{
    Summary summary;
    std::vector<std::int64_t> firstTokens;
    std::vector<std::int64_t> totals;
    std::vector<std::int64_t> refusals;
    std::vector<std::int64_t> retries;
    for (const Sample &sample : samples) {
        ++summary.sent;
        ++summary.verdicts[sample.verdict.empty() ? "none" : sample.verdict];
        if (!sample.error.empty())
            ++summary.errors[sample.error];
        if (sample.retryAfterMillis > 0)
            retries.push_back(sample.retryAfterMillis * microsInMilli);
        if (sample.firstTokenMicros >= 0)
            firstTokens.push_back(sample.firstTokenMicros);
        if (sample.isRefused()) {
            ++summary.refused;
            refusals.push_back(sample.totalMicros);
        } else if (sample.isGood()) {
            ++summary.good;
            summary.goodTokens += sample.promptTokens;
            totals.push_back(sample.totalMicros);
        } else {
            ++summary.late;
        }
    }
    summary.firstToken = percentilesOf(std::move(firstTokens));
    summary.total = percentilesOf(std::move(totals));
    summary.refusal = percentilesOf(std::move(refusals));
    summary.retryAfter = percentilesOf(std::move(retries));
    return summary;
}

std::vector<GoodputSecond> goodputOverTime(const std::vector<Sample> &samples)
{
    std::vector<GoodputSecond> seconds;
    for (const Sample &sample : samples) {
        const std::size_t second = static_cast<std::size_t>(sample.at.count() / millisPerSecond);
        if (second >= seconds.size())
            seconds.resize(second + 1);
        ++seconds[second].sent;
        if (!sample.isGood())
            continue;
        ++seconds[second].good;
        seconds[second].goodTokens += sample.promptTokens;
    }
    return seconds;
}

} // namespace egretmount::load

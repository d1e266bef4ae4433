#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief What came of one request. Times are in microseconds, minus one: did not happen.
struct Sample
{
    Milliseconds at; ///< When it was to be sent, since the start of the run.
    std::string length; ///< Name of its length share.
    std::string team;
    std::string path; ///< `entry`, or `direct` for a call that went to an engine itself.
    TokenCount promptTokens = 0;
    std::int64_t deadlineMillis = 0;
    std::int64_t sentLateMicros = 0; ///< How much later than planned it was sent.
    int status = 0; ///< HTTP status; zero: no answer.
    std::string target;
    std::string verdict; ///< Empty: the caller was told none.
    std::string error; ///< Empty: none.
    std::int64_t retryAfterMillis = 0;
    std::int64_t firstTokenMicros = -1;
    std::int64_t totalMicros = -1;
    std::int64_t longestGapMicros = 0;
    std::int64_t outputTokens = 0;
    bool isComplete = false; ///< Every token up to the end came, in order, once.

    /// @brief Whole and within its deadline.
    bool isGood() const { return isComplete && totalMicros <= deadlineMillis * 1000; }

    /// @brief Refused at once, before any token.
    bool isRefused() const { return status != 200 && verdict == "not run"; }
};

/// @brief Three percentiles of some times, in milliseconds; minus one without any.
struct Percentiles
{
    std::size_t count = 0;
    double p50 = -1;
    double p95 = -1;
    double p99 = -1;
};

/// @brief Percentiles by the nearest rank. @complexity N log N.
Percentiles percentilesOf(std::vector<std::int64_t> micros);

/// @brief Summary of the samples of one length share, team or path.
struct Summary
{
    std::size_t sent = 0;
    std::size_t good = 0;
    std::size_t late = 0; ///< Not refused, and not whole within the deadline.
    std::size_t refused = 0;
    TokenCount goodTokens = 0; ///< Prompt tokens of the good requests.
    Percentiles firstToken;
    Percentiles total;
    Percentiles refusal; ///< Time until a refusal came.
    Percentiles retryAfter;
    std::map<std::string, std::size_t> verdicts;
    std::map<std::string, std::size_t> errors;
};

/// @brief Summarises samples. @complexity N log N.
Summary summarise(const std::vector<Sample> &samples);

/// @brief Sums up the samples by the name that `nameOf` gives each.
template<typename NameOf>
std::map<std::string, Summary> summariseBy(const std::vector<Sample> &samples, NameOf nameOf)
{
    std::map<std::string, std::vector<Sample>> groups;
    for (const Sample &sample : samples)
        groups[nameOf(sample)].push_back(sample);
    std::map<std::string, Summary> summaries;
    for (const std::pair<const std::string, std::vector<Sample>> &group : groups)
        summaries[group.first] = summarise(group.second);
    return summaries;
}

/// @brief Good requests and their prompt tokens for each second, by the time of arrival.
struct GoodputSecond
{
    std::size_t sent = 0;
    std::size_t good = 0;
    TokenCount goodTokens = 0;
};

/// @brief Goodput over time. @return One row a second, from the start of the run.
std::vector<GoodputSecond> goodputOverTime(const std::vector<Sample> &samples);

} // namespace egretmount::load

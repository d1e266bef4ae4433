#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief Outcome of one request. Times are in microseconds; -1 means that the event did not occur.
struct Sample
{
    Milliseconds at; ///< Scheduled send time, since the start of the run.
    std::string length; ///< Name of its length share.
    std::string team;
    std::string path; ///< `entry`, or `direct` if the request went to an engine directly.
    TokenCount promptTokens = 0;
    std::int64_t deadlineMillis = 0;
    std::int64_t sentLateMicros = 0; ///< Delay of sending behind the scheduled time.
    int status = 0; ///< HTTP status; 0 if no response was received.
    std::string target;
    std::string verdict; ///< Verdict on the execution; empty if the response has none.
    std::string error; ///< Name of the error or text of the exception; empty if none.
    std::int64_t retryAfterMillis = 0;
    std::int64_t firstTokenMicros = -1;
    std::int64_t totalMicros = -1;
    std::int64_t longestGapMicros = 0;
    std::int64_t outputTokens = 0;
    bool isComplete = false; ///< Every token arrived in order, exactly once, up to the end.

    /// @brief Returns whether the response is complete and arrived within the deadline.
    bool isGood() const { return isComplete && totalMicros <= deadlineMillis * 1000; }

    /// @brief Returns whether the request was rejected without being executed.
    bool isRefused() const { return status != 200 && verdict == "not run"; }
};

/// @brief Percentiles of durations, in milliseconds; -1 if there are no values.
struct Percentiles
{
    std::size_t count = 0;
    double p50 = -1;
    double p95 = -1;
    double p99 = -1;
};

/// @brief Computes percentiles by the nearest-rank method.
/// @param micros Durations in microseconds, in any order. @complexity N log N.
Percentiles percentilesOf(std::vector<std::int64_t> micros);

/// @brief Summary of a group of samples, such as those of one length share, team or path.
struct Summary
{
    std::size_t sent = 0;
    std::size_t good = 0;
    std::size_t late = 0; ///< Neither refused nor complete within the deadline.
    std::size_t refused = 0;
    TokenCount goodTokens = 0; ///< Prompt tokens of the good requests.
    Percentiles firstToken; ///< Time to first token of all requests that received one.
    Percentiles total; ///< Time to completion of the good requests.
    Percentiles refusal; ///< Time until the refusal was received.
    Percentiles retryAfter; ///< Suggested retry delays.
    std::map<std::string, std::size_t> verdicts; ///< Requests by verdict.
    std::map<std::string, std::size_t> errors; ///< Requests by error.
};

/// @brief Summarises samples. @complexity N log N.
Summary summarise(const std::vector<Sample> &samples);

/// @brief Groups samples by the name that `nameOf` returns for each, and summarises every group.
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

/// @brief Goodput of one second: the requests that arrived in it, and those of them that completed
/// within their deadlines.
struct GoodputSecond
{
    std::size_t sent = 0;
    std::size_t good = 0;
    TokenCount goodTokens = 0; ///< Prompt tokens of the good requests.
};

/// @brief Computes the goodput over time.
/// @return One element for each second from the start of the run to the last arrival.
std::vector<GoodputSecond> goodputOverTime(const std::vector<Sample> &samples);

} // namespace egretmount::load

#pragma once

#include <cstddef>
#include <deque>

#include <egretmount/core/clock.h>

namespace egretmount::limits {

/// @brief Limit on the retries of all instances together; it prevents retry storms.
struct RetryBound
{
    double ratio = 0.2; ///< Retries allowed per request within the window.
    double slack = 0; ///< Additional retries within the window, for all instances together.
    Milliseconds window = Milliseconds(10'000); ///< Length of the sliding window.
};

/// @brief Fraction of the limit that the instances use.
///
/// The rest is headroom, which keeps the sum of the shares well below the limit: instances may
/// disagree for a while about their number, and each one counts only the requests that it receives.
constexpr double retryBoundUtilization = 0.6;

/// @brief Requests and retries of one instance to one service within the sliding window.
struct RetryBudget
{
    std::deque<Milliseconds> requests;
    std::deque<Milliseconds> retries;
};

/// @brief Records a caller's request, which raises the number of allowed retries.
/// @complexity Amortised constant.
void recordRequest(RetryBudget &budget, const RetryBound &bound, Milliseconds now);

/// @brief Uses one retry of this instance's share.
/// @param instances Number of instances that share the slack; at least one.
/// @return False if the share is used up and the request must not be retried.
/// @complexity Amortised constant.
bool tryAcquireRetry(RetryBudget &budget, const RetryBound &bound, std::size_t instances,
                     Milliseconds now);

} // namespace egretmount::limits

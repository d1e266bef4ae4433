#pragma once

#include <cstddef>
#include <deque>

#include <egretmount/core/clock.h>

namespace egretmount::limits {

/// @brief The bound on repeats that all instances share.
struct RetryBound
{
    double ratio = 0.2; ///< Repeats for each request of the window.
    double slack = 0; ///< Repeats beyond that, over all instances.
    Milliseconds window = Milliseconds(10'000);
};

/// @brief Part of the bound that is used.
///
/// Instances disagree for a while about how many they are, and requests are counted where they
/// arrive, so the sum of the shares stays well below the bound.
constexpr double retryBoundUtilization = 0.6;

/// @brief One instance's requests and repeats to one service within the window.
struct RetryBudget
{
    std::deque<Milliseconds> requests;
    std::deque<Milliseconds> retries;
};

/// @brief Counts a request of a caller. @complexity Amortised constant.
void recordRequest(RetryBudget &budget, const RetryBound &bound, Milliseconds now);

/// @brief Takes one repeat out of this instance's share.
/// @param instances How many instances share the slack; at least one.
/// @return False if the share is used up: the request must not be sent again.
bool tryAcquireRetry(RetryBudget &budget, const RetryBound &bound, std::size_t instances,
                Milliseconds now);

} // namespace egretmount::limits

#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/random.h>

namespace egretmount::admission {

/// @brief Moving average of the rate at which a queue drains.
struct DrainRate
{
    double tokensPerMs = 0; ///< Zero if not measured yet.
    Milliseconds windowStart;
    TokenCount windowTokens = 0;
    bool isWindowOpen = false; ///< A request has left the queue since it was last empty.
};

/// @brief Adds tokens that left the queue to the measuring window.
void recordDrained(DrainRate &rate, TokenCount tokens, Milliseconds now);

/// @brief Closes the measuring window, as an empty queue no longer shows the drain rate.
void closeDrainWindow(DrainRate &rate);

/// @brief Returns the time until `tokensAhead` have left the queue, or zero if no rate is measured.
Milliseconds expectedWait(const DrainRate &rate, double tokensAhead);

constexpr Milliseconds minRetryAfter = Milliseconds(200);
constexpr Milliseconds maxRetryAfter = Milliseconds(30'000);

/// @brief Returns the time after which a refused caller should retry.
///
/// The time grows with the backlog. It is drawn evenly from a range at least as long as its
/// minimum, so that callers that were refused together do not retry together.
/// @param backlog Time that the current backlog takes to drain.
Milliseconds retryAfter(Milliseconds backlog, Random &random);

/// @brief Token bucket that limits internal retries to a fraction of the requests.
///
/// Unlimited retries multiply the load when targets fail because of overload.
struct RetryBudget
{
    double retriesPerRequest = 0.1;
    double maxAvailable = 10; ///< Capacity of the bucket.
    double available = 10;
};

/// @brief Adds `retriesPerRequest` to the budget for a new request.
void recordRequest(RetryBudget &budget);

/// @brief Takes one retry from the budget. @return False if none is left.
bool tryAcquireRetry(RetryBudget &budget);

} // namespace egretmount::admission

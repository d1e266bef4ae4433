#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/random.h>

namespace egretmount::admission {

/// @brief Running estimate of how fast a backlog is worked off.
struct DrainRate
{
    double tokensPerMs = 0; ///< Zero: not measured yet.
    Milliseconds windowStart;
    TokenCount windowTokens = 0;
    bool isWindowOpen = false;
};

/// @brief Takes in that tokens left the queue while others went on waiting.
void recordDrained(DrainRate &rate, TokenCount tokens, Milliseconds now);

/// @brief Ends the measuring window, as the queue is empty and its pace is no longer the bound.
void closeDrainWindow(DrainRate &rate);

/// @brief Time until `tokensAhead` have left the queue; zero while the rate is not measured.
Milliseconds expectedWait(const DrainRate &rate, double tokensAhead);

constexpr Milliseconds minRetryAfter = Milliseconds(200);
constexpr Milliseconds maxRetryAfter = Milliseconds(30'000);

/// @brief When a refused caller should come back.
///
/// Grows with the backlog, and is spread evenly over at least as long again, so that callers that
/// were refused together do not return together.
/// @param backlog Time that the present backlog takes.
Milliseconds retryAfter(Milliseconds backlog, Random &random);

/// @brief Token bucket that bounds internal retries to a part of the requests.
///
/// Retries without a bound multiply the load when targets fail because of load.
struct RetryBudget
{
    double retriesPerRequest = 0.1;
    double maxAvailable = 10; ///< Retries that may be saved up.
    double available = 10;
};

/// @brief Earns a part of a retry for each request.
void recordRequest(RetryBudget &budget);

/// @brief Spends one retry. @return False if none is left.
bool tryAcquireRetry(RetryBudget &budget);

} // namespace egretmount::admission

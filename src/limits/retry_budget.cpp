#include <egretmount/limits/retry_budget.h>

#include <algorithm>

namespace egretmount::limits {

namespace {

void removeExpired(std::deque<Milliseconds> &times, Milliseconds oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

} // namespace

void recordRequest(RetryBudget &budget, const RetryBound &bound, Milliseconds now)
{
    removeExpired(budget.requests, now - bound.window);
    budget.requests.push_back(now);
}

bool tryAcquireRetry(RetryBudget &budget, const RetryBound &bound, std::size_t instances,
                     Milliseconds now)
{
    removeExpired(budget.requests, now - bound.window);
    removeExpired(budget.retries, now - bound.window);
    const double share =
        retryBoundUtilization
        * (bound.ratio * static_cast<double>(budget.requests.size())
           + bound.slack / static_cast<double>(std::max<std::size_t>(instances, 1)));
    if (static_cast<double>(budget.retries.size()) + 1 > share)
        return false;
    budget.retries.push_back(now);
    return true;
}

} // namespace egretmount::limits

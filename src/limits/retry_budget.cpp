#include <egretmount/limits/retry_budget.h>

#include <algorithm>

namespace egretmount::limits {

namespace {

void forgetOld(std::deque<Milliseconds> &times, Milliseconds oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

} // namespace

void noteRequest(RetryBudget &budget, const RetryBound &bound, Milliseconds now)
{
    forgetOld(budget.requests, now - bound.window);
    budget.requests.push_back(now);
}

bool takeRepeat(RetryBudget &budget, const RetryBound &bound, std::size_t instances,
                Milliseconds now)
{
    forgetOld(budget.requests, now - bound.window);
    forgetOld(budget.repeats, now - bound.window);
    const double share =
        retryHeadroom
        * (bound.ratio * static_cast<double>(budget.requests.size())
           + bound.slack / static_cast<double>(std::max<std::size_t>(instances, 1)));
    if (static_cast<double>(budget.repeats.size()) + 1 > share)
        return false;
    budget.repeats.push_back(now);
    return true;
}

} // namespace egretmount::limits

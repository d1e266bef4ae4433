#include <egretmount/limits/target_status.h>

#include <algorithm>
#include <array>

#include <egretmount/limits/next_step.h>

namespace egretmount::limits {

namespace {

// A status that callers take for "not executed".
struct Promise
{
    int status = 0;
    Verdict verdict = Verdict::MayHaveRun; // what it proves by itself
};

constexpr std::array<Promise, 4> promises { {
    { 408, Verdict::MayHaveRun },
    { 421, Verdict::NotRun },
    { 429, Verdict::MayHaveRun },
    { 503, Verdict::MayHaveRun },
} };

constexpr int firstServerError = 500;

const Promise *findPromise(int status)
{
    const auto found =
        std::find_if(promises.begin(), promises.end(),
                     [status](const Promise &promise) { return promise.status == status; });
    return found == promises.end() ? nullptr : &*found;
}

} // namespace

bool promisesNotRun(int status)
{
    return findPromise(status) != nullptr;
}

Verdict verdictOf(int status, bool isStatedNotRun)
{
    if (isStatedNotRun)
        return Verdict::NotRun;
    const Promise *promise = findPromise(status);
    return promise != nullptr ? promise->verdict : Verdict::Ran;
}

ResponseUse useOf(const fleet::Route &route, int status)
{
    if (promisesNotRun(status))
        return isRepeatable(route) ? ResponseUse::RetryOrDeliver : ResponseUse::RetryOrReplace;
    return status >= firstServerError ? ResponseUse::RetryOrDeliver : ResponseUse::Deliver;
}

} // namespace egretmount::limits

#include <doctest/doctest.h>

#include <egretmount/limits/cold_target_limiter.h>
#include <egretmount/limits/next_step.h>
#include <egretmount/limits/response_end.h>
#include <egretmount/limits/retry_budget.h>
#include <egretmount/limits/stall_detection.h>

using namespace egretmount;
using namespace egretmount::literals;
using limits::NextStep;
using limits::SendFailure;

namespace {

fleet::Route route(fleet::RetrySemantics retrySemantics, int maxTargets, bool isResumable = false)
{
    fleet::Route made;
    made.retrySemantics = retrySemantics;
    made.maxTargets = maxTargets;
    made.isResumable = isResumable;
    return made;
}

limits::SendHistory history(int sends, int possibleExecutions, bool isResponseStarted = false,
                            bool canResume = true)
{
    return { sends, possibleExecutions, isResponseStarted, canResume };
}

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        made.emplace_back("10.0.0." + std::to_string(i));
    return made;
}

} // namespace

TEST_CASE("an at-most-once request is not retried once a target may have executed it")
{
    const fleet::Route once = route(fleet::RetrySemantics::AtMostOnce, 3);
    CHECK(limits::nextStep(once, SendFailure::Broken, history(1, 1)) == NextStep::RespondUnknown);
    CHECK(limits::nextStep(once, SendFailure::ExecutionFailed, history(1, 1))
          == NextStep::RespondUnknown);
    CHECK(limits::nextStep(once, SendFailure::NotSent, history(0, 0)) == NextStep::Retry);
    CHECK(limits::nextStep(once, SendFailure::Withheld, history(0, 0)) == NextStep::Retry);
    CHECK(limits::nextStep(once, SendFailure::Declined, history(1, 0)) == NextStep::Retry);
}

TEST_CASE("a request fails as not run only if no target may have executed it")
{
    for (const fleet::RetrySemantics retrySemantics :
         { fleet::RetrySemantics::Idempotent, fleet::RetrySemantics::AtMostOnce,
           fleet::RetrySemantics::Stream }) {
        for (const SendFailure failure : { SendFailure::NotSent, SendFailure::Declined,
                                           SendFailure::Broken, SendFailure::ExecutionFailed }) {
            for (int possibleExecutions = 0; possibleExecutions < 3; ++possibleExecutions) {
                const NextStep step = limits::nextStep(route(retrySemantics, 2, true), failure,
                                                       history(4, possibleExecutions));
                CHECK((step != NextStep::RespondNotRun || possibleExecutions == 0));
            }
        }
    }
}

TEST_CASE("an idempotent request is executed by at most the route's maximum number of targets")
{
    const fleet::Route twice = route(fleet::RetrySemantics::Idempotent, 2);
    CHECK(limits::nextStep(twice, SendFailure::Broken, history(1, 1)) == NextStep::Retry);
    CHECK(limits::nextStep(twice, SendFailure::Broken, history(2, 2)) == NextStep::RespondUnknown);
}

TEST_CASE("declining targets do not count towards the route's maximum, but sends are limited")
{
    const fleet::Route twice = route(fleet::RetrySemantics::Idempotent, 2);
    CHECK(limits::nextStep(twice, SendFailure::Declined, history(2, 0)) == NextStep::Retry);
    CHECK(limits::nextStep(twice, SendFailure::Declined, history(2 + limits::maxDeclinedSends, 0))
          == NextStep::RespondNotRun);
}

TEST_CASE("a started stream resumes on another target only if its route allows it")
{
    const fleet::Route resumable = route(fleet::RetrySemantics::Stream, 2, true);
    const fleet::Route plain = route(fleet::RetrySemantics::Stream, 2, false);
    CHECK(limits::nextStep(resumable, SendFailure::Broken, history(1, 1, true))
          == NextStep::ResumeElsewhere);
    CHECK(limits::nextStep(resumable, SendFailure::Broken, history(2, 2, true))
          == NextStep::AbortResponse);
    CHECK(limits::nextStep(plain, SendFailure::Broken, history(1, 1, true))
          == NextStep::AbortResponse);
    CHECK(limits::nextStep(resumable, SendFailure::NotContinued, history(1, 1, true))
          == NextStep::ResumeElsewhere);
    CHECK(limits::nextStep(resumable, SendFailure::NotContinued, history(2, 2, true))
          == NextStep::AbortResponse);
}

// Guards against a stream that starts anew within one response, or that follows another content.
TEST_CASE("a started response that has no point to resume at is aborted")
{
    const fleet::Route resumable = route(fleet::RetrySemantics::Stream, 3, true);
    for (const SendFailure failure : { SendFailure::NotSent, SendFailure::Declined,
                                       SendFailure::Broken, SendFailure::NotContinued })
        CHECK(limits::nextStep(resumable, failure, history(1, 1, true, false))
              == NextStep::AbortResponse);
}

TEST_CASE("the retries of all instances together stay within the limit")
{
    limits::RetryBound bound;
    bound.slack = 100;
    for (const std::size_t count : { 1U, 8U, 84U, 300U }) {
        CAPTURE(count);
        int retries = 0;
        int requests = 0;
        for (std::size_t i = 0; i < count; ++i) {
            limits::RetryBudget budget;
            for (int r = 0; r < 20; ++r, ++requests)
                limits::recordRequest(budget, bound, Milliseconds(r));
            while (limits::tryAcquireRetry(budget, bound, count, 30_ms))
                ++retries;
        }
        CHECK(retries <= bound.ratio * requests + bound.slack);
    }
}

TEST_CASE("used retries are available again after the window")
{
    limits::RetryBound bound;
    bound.slack = 0;
    limits::RetryBudget budget;
    for (int r = 0; r < 10; ++r)
        limits::recordRequest(budget, bound, 0_ms);
    CHECK(limits::tryAcquireRetry(budget, bound, 1, 0_ms));
    CHECK_FALSE(limits::tryAcquireRetry(budget, bound, 1, 1'000_ms));
    for (int r = 0; r < 10; ++r)
        limits::recordRequest(budget, bound, 11'000_ms);
    CHECK(limits::tryAcquireRetry(budget, bound, 1, 11'000_ms));
}

TEST_CASE("all instances together keep a cold target's rate limit, at any number of instances")
{
    const double perSecond = 26;
    for (const int count : { 1, 3, 8, 84, 300 }) {
        CAPTURE(count);
        const std::vector<InstanceId> living = instances(count);
        int sent = 0;
        int senders = 0;
        for (const InstanceId &self : living) {
            limits::ColdTargetLimiter limiter;
            int own = 0;
            for (int i = 0; i < 100; ++i) {
                if (limits::tryAcquireCold(limiter, TargetId("t"), perSecond, self, living,
                                           Milliseconds(i)))
                    ++own;
            }
            sent += own;
            senders += own > 0 ? 1 : 0;
        }
        CHECK(sent <= perSecond);
        CHECK(sent >= perSecond / 2);
        CHECK(senders <= static_cast<int>(limits::maxSendersPerColdTarget));
    }
}

TEST_CASE("removing an instance changes few of a cold target's senders")
{
    const std::vector<InstanceId> before = instances(84);
    std::vector<InstanceId> after = before;
    after.erase(after.begin() + 40);
    int moved = 0;
    for (const InstanceId &self : after) {
        const bool did = limits::coldRateShare(TargetId("t"), 26, self, before) > 0;
        const bool does = limits::coldRateShare(TargetId("t"), 26, self, after) > 0;
        moved += did != does ? 1 : 0;
    }
    CHECK(moved <= 1);
}

TEST_CASE("a stream has stalled only if its target sends nothing on any connection")
{
    limits::StreamActivity stream;
    stream.idleTime = 1'500_ms;
    stream.targetIdleTime = 1'500_ms;
    stream.isDecoding = true;
    stream.eventGapTarget = 250_ms;
    CHECK(limits::isStalled(stream));
    stream.targetIdleTime = 300_ms; // other streams of the target receive events
    CHECK_FALSE(limits::isStalled(stream));
    stream.targetIdleTime = 1'500_ms;
    stream.backlogMs = 800; // the target has known prefill work
    CHECK_FALSE(limits::isStalled(stream));
    stream.backlogMs = 0;
    stream.isDecoding = false;
    stream.expectedMs = 2'000; // the prefill of a long prompt takes longer
    CHECK_FALSE(limits::isStalled(stream));
    CHECK(limits::isStalled(900_ms, 1'500_ms));
    CHECK_FALSE(limits::isStalled(600_ms, 1'500_ms));
}

TEST_CASE("in a wave of long prompts, a busy target keeps its prefill; a lost request leaves")
{
    CHECK(limits::shouldLeaveStalledTarget(limits::TargetState::Unresponsive, 0));
    CHECK(limits::shouldLeaveStalledTarget(limits::TargetState::Idle, 0));
    CHECK_FALSE(limits::shouldLeaveStalledTarget(limits::TargetState::Busy, 0));
    CHECK_FALSE(
        limits::shouldLeaveStalledTarget(limits::TargetState::Busy, limits::maxBusyReports - 1));
    // A busy target may have lost this request all the same.
    CHECK(limits::shouldLeaveStalledTarget(limits::TargetState::Busy, limits::maxBusyReports));
}

// Guards against a stream that ends as complete because another target's error is complete.
TEST_CASE("a stream is continued only by a response of the same status and media type")
{
    const auto head = [](int status, const char *type) {
        http::ResponseHead made;
        made.status = status;
        if (type != nullptr)
            made.fields.push_back({ "content-type", type });
        return made;
    };
    const http::ResponseHead begun = head(200, "text/event-stream");
    CHECK(limits::continuesStream(begun, head(200, "text/event-stream")));
    CHECK(limits::continuesStream(begun, head(200, "Text/Event-Stream ; charset=utf-8")));
    for (const int status : { 204, 206, 302, 400, 404, 429, 500, 502, 503, 504 })
        CHECK_FALSE(limits::continuesStream(begun, head(status, "text/event-stream")));
    CHECK_FALSE(limits::continuesStream(begun, head(200, "application/json")));
    CHECK_FALSE(limits::continuesStream(begun, head(200, nullptr)));
}

// Guards against a truncated response that looks complete because its target was killed.
TEST_CASE("a response that ends with its connection is whole only if its target still runs")
{
    CHECK(limits::isEndConfirmed({ true, true, 0 }, 0));
    CHECK(limits::isEndConfirmed({ true, true, 7 }, 7));
    CHECK(limits::isEndConfirmed({ true, true, 7 }, 0));
    CHECK(limits::isEndConfirmed({ true, true, 0 }, 7));
    CHECK_FALSE(limits::isEndConfirmed({ false, false, 0 }, 0));
    CHECK_FALSE(limits::isEndConfirmed({ false, false, 7 }, 7));
    CHECK_FALSE(limits::isEndConfirmed({ true, true, 8 }, 7));
    CHECK_FALSE(limits::isEndConfirmed({ true, true, 0, true }, 7));
    CHECK(limits::isEndConfirmed({ true, true, 0, true }, 0));
}

// Guards against whole responses that fail because their target is at its connection limit, and
// against truncated ones that pass because a proxy accepts connections for a killed target.
TEST_CASE("a target that accepts a connection without a response is asked again, and not believed")
{
    CHECK(limits::isEndUncertain({ true, false, 0 }, 1));
    CHECK_FALSE(limits::isEndUncertain({ true, false, 0 }, limits::maxEndChecks));
    CHECK_FALSE(limits::isEndUncertain({ true, true, 0 }, 1));
    CHECK_FALSE(limits::isEndUncertain({ false, false, 0 }, 1));
    CHECK_FALSE(limits::isEndConfirmed({ true, false, 0 }, 7));
}

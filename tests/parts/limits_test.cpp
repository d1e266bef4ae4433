#include <doctest/doctest.h>

#include <egretmount/limits/cold_gate.h>
#include <egretmount/limits/next_step.h>
#include <egretmount/limits/retry_budget.h>
#include <egretmount/limits/silence.h>

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

limits::SendHistory history(int sends, int mayHaveRun, bool hasAnswerBegun = false)
{
    return { sends, mayHaveRun, hasAnswerBegun };
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

TEST_CASE("an at-most-once request is never sent again once it may have run")
{
    const fleet::Route once = route(fleet::RetrySemantics::AtMostOnce, 3);
    CHECK(limits::nextStep(once, SendFailure::Broken, history(1, 1)) == NextStep::AnswerUnknown);
    CHECK(limits::nextStep(once, SendFailure::FailedRun, history(1, 1)) == NextStep::AnswerUnknown);
    CHECK(limits::nextStep(once, SendFailure::NotSent, history(0, 0)) == NextStep::SendAgain);
    CHECK(limits::nextStep(once, SendFailure::Declined, history(1, 0)) == NextStep::SendAgain);
}

TEST_CASE("a refusal that says not run is only given if nothing may have run")
{
    for (const fleet::RetrySemantics retrySemantics :
         { fleet::RetrySemantics::Idempotent, fleet::RetrySemantics::AtMostOnce,
           fleet::RetrySemantics::Stream }) {
        for (const SendFailure failure : { SendFailure::NotSent, SendFailure::Declined,
                                           SendFailure::Broken, SendFailure::FailedRun }) {
            for (int mayHaveRun = 0; mayHaveRun < 3; ++mayHaveRun) {
                const NextStep step =
                    limits::nextStep(route(retrySemantics, 2, true), failure, history(4, mayHaveRun));
                CHECK((step != NextStep::AnswerNotRun || mayHaveRun == 0));
            }
        }
    }
}

TEST_CASE("idempotent requests run on as many targets as their route allows, not more")
{
    const fleet::Route twice = route(fleet::RetrySemantics::Idempotent, 2);
    CHECK(limits::nextStep(twice, SendFailure::Broken, history(1, 1)) == NextStep::SendAgain);
    CHECK(limits::nextStep(twice, SendFailure::Broken, history(2, 2)) == NextStep::AnswerUnknown);
}

TEST_CASE("targets that decline do not use up a route's targets, but sends are bounded")
{
    const fleet::Route twice = route(fleet::RetrySemantics::Idempotent, 2);
    CHECK(limits::nextStep(twice, SendFailure::Declined, history(2, 0)) == NextStep::SendAgain);
    CHECK(limits::nextStep(twice, SendFailure::Declined, history(2 + limits::maxDeclinedSends, 0))
          == NextStep::AnswerNotRun);
}

TEST_CASE("a stream that has begun goes on elsewhere only where its route allows")
{
    const fleet::Route resumable = route(fleet::RetrySemantics::Stream, 2, true);
    const fleet::Route plain = route(fleet::RetrySemantics::Stream, 2, false);
    CHECK(limits::nextStep(resumable, SendFailure::Broken, history(1, 1, true))
          == NextStep::ResumeElsewhere);
    CHECK(limits::nextStep(resumable, SendFailure::Broken, history(2, 2, true))
          == NextStep::BreakOff);
    CHECK(limits::nextStep(plain, SendFailure::Broken, history(1, 1, true)) == NextStep::BreakOff);
}

TEST_CASE("the shares of the retry budget sum below the bound")
{
    limits::RetryBound bound;
    bound.slack = 100;
    for (const std::size_t count : { 1U, 8U, 84U, 300U }) {
        CAPTURE(count);
        int repeats = 0;
        int requests = 0;
        for (std::size_t i = 0; i < count; ++i) {
            limits::RetryBudget budget;
            for (int r = 0; r < 20; ++r, ++requests)
                limits::noteRequest(budget, bound, Milliseconds(r));
            while (limits::takeRepeat(budget, bound, count, 30_ms))
                ++repeats;
        }
        CHECK(repeats <= bound.ratio * requests + bound.slack);
    }
}

TEST_CASE("a share of the retry budget comes back after the window")
{
    limits::RetryBound bound;
    bound.slack = 0;
    limits::RetryBudget budget;
    for (int r = 0; r < 10; ++r)
        limits::noteRequest(budget, bound, 0_ms);
    CHECK(limits::takeRepeat(budget, bound, 1, 0_ms));
    CHECK_FALSE(limits::takeRepeat(budget, bound, 1, 1'000_ms));
    for (int r = 0; r < 10; ++r)
        limits::noteRequest(budget, bound, 11'000_ms);
    CHECK(limits::takeRepeat(budget, bound, 1, 11'000_ms));
}

TEST_CASE("all instances together keep a cold target's rate, at any number of instances")
{
    const double perSecond = 26;
    for (const int count : { 1, 3, 8, 84, 300 }) {
        CAPTURE(count);
        const std::vector<InstanceId> living = instances(count);
        int sent = 0;
        int senders = 0;
        for (const InstanceId &self : living) {
            limits::ColdGate gate;
            int own = 0;
            for (int i = 0; i < 100; ++i) {
                if (limits::takeColdRequest(gate, TargetId("t"), perSecond, self, living,
                                            Milliseconds(i)))
                    ++own;
            }
            sent += own;
            senders += own > 0 ? 1 : 0;
        }
        CHECK(sent <= perSecond);
        CHECK(sent >= perSecond / 2);
        CHECK(senders <= static_cast<int>(limits::coldTargetSenders));
    }
}

TEST_CASE("a change of the list moves few of a cold target's senders")
{
    const std::vector<InstanceId> before = instances(84);
    std::vector<InstanceId> after = before;
    after.erase(after.begin() + 40);
    int moved = 0;
    for (const InstanceId &self : after) {
        const bool did = limits::coldShare(TargetId("t"), 26, self, before) > 0;
        const bool does = limits::coldShare(TargetId("t"), 26, self, after) > 0;
        moved += did != does ? 1 : 0;
    }
    CHECK(moved <= 1);
}

TEST_CASE("a stream leaves a target only if nothing at all is heard of it")
{
    limits::StreamSilence stream;
    stream.quiet = 1'500_ms;
    stream.unheard = 1'500_ms;
    stream.isWriting = true;
    stream.eventGapTarget = 250_ms;
    CHECK(limits::isSilent(stream));
    stream.unheard = 300_ms; // other streams of the target go on
    CHECK_FALSE(limits::isSilent(stream));
    stream.unheard = 1'500_ms;
    stream.backlogMs = 800; // it is known to read
    CHECK_FALSE(limits::isSilent(stream));
    stream.backlogMs = 0;
    stream.isWriting = false;
    stream.expectedMs = 2'000; // a long prompt takes its time
    CHECK_FALSE(limits::isSilent(stream));
    CHECK(limits::isSilent(900_ms, 1'500_ms));
    CHECK_FALSE(limits::isSilent(600_ms, 1'500_ms));
}

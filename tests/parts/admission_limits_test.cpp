#include <doctest/doctest.h>

#include <egretmount/admission/lane_queue.h>
#include <egretmount/admission/team_limits.h>
#include <egretmount/admission/token_estimate.h>
#include <egretmount/core/random.h>

using namespace egretmount;
using namespace egretmount::admission;
using namespace egretmount::literals;

namespace {

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        ids.emplace_back("entry-" + std::to_string(i));
    return ids;
}

// Returns the tokens that a busy team with weight 1 is served after another such team was idle.
TokenCount servedBesideReturning(bool raisesReturning)
{
    Lane lane;
    TokenCount served = 0;
    for (int i = 0; i < 400; ++i) {
        const bool hasBoth = i >= 200;
        for (int team = hasBoth ? 0 : 1; team < 2; ++team) {
            Request request;
            request.id = RequestId(std::to_string(i) + '/' + std::to_string(team));
            request.team = TeamId(std::to_string(team));
            request.promptTokens = 100;
            request.deadline = 1'000'000_ms;
            if (!raisesReturning)
                lane.virtualTime = 0; // disables the raise of returning teams
            push(lane, request, 1);
        }
        const Request next = popFront(lane);
        served += hasBoth && next.team.value == "1" ? next.promptTokens : 0;
    }
    return served;
}

} // namespace

TEST_CASE("admission: the shares of a team limit add up to the limit")
{
    for (TokenCount limit : { 1, 7, 100'003 }) {
        TokenCount sum = 0;
        for (int i = 0; i < 8; ++i) {
            TeamLimits limits;
            setInstances(limits, instances(8), instances(8)[static_cast<std::size_t>(i)], 0_ms);
            sum += shareOfLimit(limits, limit, 20'000_ms);
        }
        CHECK(sum == limit);
    }
}

TEST_CASE("admission: a share of a limit shrinks at once and grows after the hold-off")
{
    TeamLimits limits;
    const InstanceId self("entry-0");
    const TeamId team("dealers");
    setInstances(limits, instances(4), self, 0_ms);
    CHECK(tryAcquireTokens(limits, team, 100, 25, 0_ms));
    CHECK_FALSE(tryAcquireTokens(limits, team, 100, 1, 0_ms));
    setInstances(limits, instances(2), self, 20'000_ms);
    CHECK_FALSE(tryAcquireTokens(limits, team, 100, 1, 20'001_ms));
    CHECK(tryAcquireTokens(limits, team, 100, 25, 20'000_ms + shareHoldOff));
    setInstances(limits, instances(4), self, 40'000_ms);
    releaseTokens(limits, team, 25);
    CHECK_FALSE(tryAcquireTokens(limits, team, 100, 1, 40'000_ms));
    CHECK(tryAcquireTokens(limits, team, 0, 1'000, 40'000_ms)); // zero: no limit
}

TEST_CASE("admission: a team gains no credit while it is idle")
{
    CHECK(servedBesideReturning(true) >= 9'000);
    CHECK(servedBesideReturning(false) < 9'000); // the check detects a queue without the raise
}

TEST_CASE("admission: a lane serves teams in proportion to their weights")
{
    Lane lane;
    TokenCount heavy = 0;
    for (int i = 0; i < 300; ++i) {
        for (int team = 0; team < 2; ++team) {
            Request request;
            request.id = RequestId(std::to_string(i) + '/' + std::to_string(team));
            request.team = TeamId(std::to_string(team));
            request.promptTokens = team == 0 ? 300 : 100; // longer requests get no larger share
            push(lane, request, team == 0 ? 1 : 3);
        }
        const Request next = popFront(lane);
        heavy += next.team.value == "1" ? 1 : 0;
    }
    // Three times the tokens, in requests of a third of the size.
    CHECK(heavy == doctest::Approx(270).epsilon(0.02));
}

TEST_CASE("admission: the token estimate follows reported usage and is rarely too low")
{
    TokenEstimator estimator;
    const ServiceId service("llm");
    const TeamId archive("archive");
    CHECK(estimateTokens(estimator, service, archive, 1'000) == 250);
    Random random(5);
    int tooLow = 0;
    for (int i = 0; i < 1'000; ++i) {
        const TokenCount tokens = 320 + static_cast<TokenCount>(random.below(40));
        if (i >= 32)
            tooLow += estimateTokens(estimator, service, archive, 1'000) < tokens ? 1 : 0;
        recordUsage(estimator, service, archive, 1'000, tokens);
    }
    CHECK(tooLow < 100);
    CHECK(estimateTokens(estimator, service, archive, 1'200'000) > 400'000);
    // A team without samples uses those of the service.
    CHECK(estimateTokens(estimator, service, TeamId("new"), 1'000) > 340);
    recordUsage(estimator, service, archive, 3, 3); // too short to be recorded
    CHECK(estimateTokens(estimator, service, archive, 1'000) <= 360);
}

#include <algorithm>

#include <doctest/doctest.h>

#include <egretmount/routing/borrowing.h>
#include <egretmount/routing/dispatcher.h>

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::routing;

namespace {

const ServiceId service("llm");

TargetView makeTarget(const std::string &id, TokenCount tokens = 200'000, std::int64_t slots = 8)
{
    TargetView view;
    view.id = TargetId(id);
    view.service = service;
    view.zone = ZoneId(id.substr(0, 1));
    view.capacity = { tokens, slots };
    view.spendable = view.capacity;
    return view;
}

Request makeRequest(const std::string &id, TokenCount prompt, Milliseconds now,
                    Milliseconds deadline = 60'000_ms)
{
    Request request;
    request.id = RequestId(id);
    request.team = TeamId("dealers");
    request.service = service;
    request.promptTokens = prompt;
    request.maxTokens = 16;
    request.arrival = now;
    request.deadline = now + deadline;
    return request;
}

DispatchState makeState(LanePolicy policy, int targets)
{
    DispatchState state;
    state.policy = policy;
    state.ownZone = ZoneId("a");
    std::vector<TargetView> views(static_cast<std::size_t>(targets));
    for (std::size_t i = 0; i < views.size(); ++i)
        views[i] = makeTarget((i % 2 == 0 ? "a" : "b") + std::to_string(i));
    setTargets(state, views, 0_ms);
    return state;
}

} // namespace

TEST_CASE("routing chooses the own availability zone for equal waits, then the shorter wait")
{
    DispatchState state = makeState(LanePolicy::Elastic, 2);
    CHECK(submit(state, makeRequest("1", 1'000, 0_ms), 1, 0_ms).assigned[0].target.value == "a0");
    CHECK(submit(state, makeRequest("2", 1'000, 0_ms), 1, 0_ms).assigned[0].target.value == "b1");
    finish(state, RequestId("1"), Outcome::Failed, 0, 1_ms);
    CHECK(submit(state, makeRequest("3", 1'000, 2_ms), 1, 2_ms).assigned[0].target.value == "b1");
}

TEST_CASE("routing does not count own prompts in a load report twice")
{
    TargetView view = makeTarget("a");
    recordSent(view, makeRequest("1", 3'500, 0_ms), 0_ms);
    LoadReport report;
    report.waitingPromptTokens = 5'500;
    applyReport(view, report, 1'000_ms);
    CHECK(view.othersQueuedTokens == 2'000);
    CHECK(expectedWaitMs(view, LengthClass::Short, LanePolicy::Elastic, 275, 1'000_ms)
          == doctest::Approx(20));
    recordSent(view, makeRequest("2", 3'000, 1'100_ms), 1'100_ms); // not in the next report yet
    report.waitingPromptTokens = 3'500;
    applyReport(view, report, 1'150_ms);
    CHECK(view.othersQueuedTokens == 0);
    CHECK(view.waitingPromptTokens == 6'500);
}

TEST_CASE("routing queues requests without room, and a free slot goes to the earliest deadline")
{
    DispatchState state = makeState(LanePolicy::Elastic, 1);
    for (int i = 0; i < 8; ++i)
        CHECK(submit(state, makeRequest(std::to_string(i), 10, 0_ms), 1, 0_ms).assigned.size()
              == 1);
    CHECK(submit(state, makeRequest("late", 10, 0_ms, 90_ms), 1, 1_ms).assigned.empty());
    CHECK(submit(state, makeRequest("soon", 10, 0_ms, 50_ms), 1, 1_ms).assigned.empty());
    const Decisions freed = finish(state, RequestId("3"), Outcome::Completed, 1, 2_ms);
    REQUIRE(freed.assigned.size() == 1);
    CHECK(freed.assigned[0].request.value == "soon"); // its deadline is earlier
    CHECK(tick(state, 89_ms).refused.empty());
    const Decisions late = tick(state, 90_ms);
    REQUIRE(late.refused.size() == 1);
    CHECK(late.refused[0].error.verdict == Verdict::NotRun);
    CHECK(late.refused[0].error.retryAfter >= admission::minRetryAfter);
    CHECK(state.services.at(service).lanes[0].isEmpty());
}

TEST_CASE("routing restricts long prompts to a pool that excludes the short reserve")
{
    DispatchState state = makeState(LanePolicy::Elastic, 10);
    std::vector<TargetId> longTargets;
    for (int i = 0; i < 40; ++i) {
        const std::string id = std::to_string(i);
        submit(state, makeRequest("short" + id, 2'000, 0_ms), 1, 0_ms);
        const Decisions decisions = submit(state, makeRequest("long" + id, 60'000, 0_ms), 1, 0_ms);
        for (const Assigned &assigned : decisions.assigned)
            longTargets.push_back(assigned.target);
    }
    const ServiceState &known = state.services.at(service);
    const PoolSizes sizes = poolSizes(state.policy, known.demand, 10, defaultPrefillTokensPerMs);
    CHECK(sizes.longPool + sizes.shortReserve == 10);
    CHECK(sizes.shortReserve >= 2);
    std::sort(longTargets.begin(), longTargets.end());
    const bool isOneEach =
        std::adjacent_find(longTargets.begin(), longTargets.end()) == longTargets.end();
    CHECK(isOneEach);
    CHECK(longTargets.size() == sizes.longPool);
    // The pool is empty once its backlog is gone.
    for (int i = 0; i < 40; ++i)
        cancelQueued(state, RequestId("long" + std::to_string(i)));
    for (int i = 0; i < 40; ++i)
        finish(state, RequestId("long" + std::to_string(i)), Outcome::Completed, 1, 9_ms);
    CHECK(known.demand.longBacklog == 0);
    CHECK(poolSizes(state.policy, known.demand, 10, 100).longPool == 0);
}

TEST_CASE("routing dispatches queued requests to a returned target, limited by its slow start")
{
    DispatchState state = makeState(LanePolicy::Elastic, 2);
    std::vector<TargetView> views = state.targets;
    views[0].acceptsNewWork = false;
    setTargets(state, views, 1_ms);
    for (int i = 0; i < 10; ++i)
        submit(state, makeRequest(std::to_string(i), 10, 1_ms), 1, 1_ms);
    CHECK(findView(state, TargetId("a0"))->inFlight.slots == 0);
    CHECK(findView(state, TargetId("b1"))->inFlight.slots == 8);
    views[0].acceptsNewWork = true;
    views[1].acceptsNewWork = false;
    const Decisions moved = setTargets(state, views, 1'000_ms);
    REQUIRE(moved.assigned.size() == 1); // one slot of eight at the start of the slow start
    CHECK(moved.assigned[0].target.value == "a0");
    CHECK(tick(state, 1'001_ms).assigned.empty());
    CHECK(tick(state, 1'000_ms + slowStartDuration / 4).assigned.size() == 1);
    CHECK(slowStartShare(*findView(state, TargetId("a0")), 1'000_ms + slowStartDuration) == 1);
    views[0].id = TargetId("c");
    setTargets(state, views, 9'000_ms); // requests of a removed target still end
    CHECK(finish(state, RequestId("8"), Outcome::Completed, 1, 9'001_ms).refused.empty());
}

TEST_CASE("routing refuses a request larger than every target, and a second request with one id")
{
    DispatchState state = makeState(LanePolicy::Elastic, 2);
    const Decisions huge = submit(state, makeRequest("huge", 400'000, 0_ms), 1, 0_ms);
    REQUIRE(huge.refused.size() == 1);
    CHECK(huge.refused[0].error.id == ErrorId::PromptTooLong);
    submit(state, makeRequest("twin", 10, 0_ms), 1, 0_ms);
    CHECK(submit(state, makeRequest("twin", 10, 0_ms), 1, 0_ms).refused.size() == 1);
}

TEST_CASE("routing reports a request as capacity-blocked only if no share has room")
{
    DispatchState state = makeState(LanePolicy::Elastic, 2);
    submit(state, makeRequest("1", 90'000, 0_ms), 1, 0_ms);
    submit(state, makeRequest("2", 90'000, 0_ms), 1, 0_ms); // queued for the long pool
    CHECK(findCapacityBlockedRequests(state, 0_ms).empty());
    for (const TargetView &view : std::vector<TargetView>(state.targets))
        setSpendable(state, view.id, { 50'000, 8 }, 0_ms);
    REQUIRE(findCapacityBlockedRequests(state, 0_ms).size() == 1);
    CHECK(findCapacityBlockedRequests(state, 0_ms)[0].request.id.value == "2");
}

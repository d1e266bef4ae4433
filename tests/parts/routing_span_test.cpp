#include <doctest/doctest.h>

#include <egretmount/routing/span.h>

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::routing;

namespace {

constexpr TokenCount engineTokens = 100;

TargetView engine(const std::string &id, const std::string &zone)
{
    TargetView view;
    view.id = TargetId(id);
    view.service = ServiceId("llm");
    view.zone = ZoneId(zone);
    view.capacity = { engineTokens, 8 };
    view.spendable = view.capacity;
    return view;
}

DispatchState sixEngines()
{
    DispatchState state;
    state.ownZone = ZoneId("b");
    std::vector<TargetView> views;
    for (const char *zone : { "a", "b" }) {
        for (int i = 0; i < 3; ++i)
            views.push_back(engine(std::string(zone) + std::to_string(i), zone));
    }
    setTargets(state, views, 0_ms);
    return state;
}

Request prompt(TokenCount tokens, const std::string &id = "long")
{
    Request request;
    request.id = RequestId(id);
    request.service = ServiceId("llm");
    request.promptTokens = tokens;
    request.maxTokens = 5;
    request.deadline = 60'000_ms;
    return request;
}

TokenCount total(const SpanPlan &plan)
{
    TokenCount sum = 0;
    for (const SpanShard &shard : plan.shards)
        sum += shard.tokens;
    return sum;
}

bool reservesAll(DispatchState &state, const SpanPlan &plan, const Request &request)
{
    for (std::size_t i = 0; i < plan.shards.size(); ++i) {
        const TokenCount outputTokens = i + 1 == plan.shards.size() ? request.maxTokens : 0;
        const Request shard = shardRequest(request, i, plan.shards[i].tokens, outputTokens);
        if (reserveAt(state, shard, plan.shards[i].target, 1_ms).assigned.empty())
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("a prompt larger than the memory of one engine is planned over several")
{
    DispatchState state = sixEngines();
    CHECK_FALSE(needsSpan(state, prompt(95)));
    CHECK(needsSpan(state, prompt(96)));

    const std::optional<SpanPlan> plan = planSpan(state, prompt(200), 1, 1_ms);
    REQUIRE(plan);
    CHECK(plan->zone == ZoneId("b"));
    CHECK(plan->shards.size() == 3);
    CHECK(total(*plan) == 200);
    for (const SpanShard &shard : plan->shards)
        CHECK(shard.tokens <= engineTokens * spanMemoryPercent / 100);
    CHECK(reservesAll(state, *plan, prompt(200)));

    SUBCASE("a second span uses the other zone, and a third has no plan")
    {
        const std::optional<SpanPlan> second = planSpan(state, prompt(200, "second"), 1, 1_ms);
        REQUIRE(second);
        CHECK(second->zone == ZoneId("a"));
        CHECK(reservesAll(state, *second, prompt(200, "second")));
        CHECK_FALSE(planSpan(state, prompt(200, "third"), 1, 1_ms));
    }
    SUBCASE("the capacity of every shard is released")
    {
        for (std::size_t i = 0; i < plan->shards.size(); ++i)
            finish(state, shardRequest(prompt(200), i, 0, 0).id, Outcome::Cancelled, 0, 2_ms);
        for (const TargetView &view : state.targets) {
            CHECK(view.inFlight.tokens == 0);
            CHECK(view.inFlight.slots == 0);
        }
    }
}

TEST_CASE("a span uses only eligible engines")
{
    DispatchState state = sixEngines();
    SUBCASE("a prompt larger than a zone's memory has no plan")
    {
        CHECK_FALSE(planSpan(state, prompt(230), 1, 1_ms));
    }
    SUBCASE("the zone that needs fewer engines is chosen")
    {
        for (TargetView &view : state.targets) {
            if (view.zone == ZoneId("b"))
                view.report.usedTokens = 50;
        }
        const std::optional<SpanPlan> plan = planSpan(state, prompt(140), 1, 1_ms);
        REQUIRE(plan);
        CHECK(plan->zone == ZoneId("a"));
        CHECK(plan->shards.size() == 2);
    }
    SUBCASE("a retry may request smaller shards")
    {
        CHECK(planSpan(state, prompt(100), 1, 1_ms)->shards.size() == 2);
        CHECK(planSpan(state, prompt(100), 3, 1_ms)->shards.size() == 3);
    }
    SUBCASE("a shard of a failed engine moves to an engine that the span does not use")
    {
        const std::optional<SpanPlan> plan = planSpan(state, prompt(100), 1, 1_ms);
        REQUIRE(plan->shards.size() == 2);
        const Request shard = shardRequest(prompt(100), 0, plan->shards[0].tokens, 0);
        const std::optional<TargetId> other = replaceShard(state, *plan, 0, shard, 1_ms);
        REQUIRE(other);
        CHECK(*other != plan->shards[0].target);
        CHECK(*other != plan->shards[1].target);
    }
}

#include <doctest/doctest.h>

#include <algorithm>

#include <egretmount/placement/admission.h>
#include <egretmount/placement/engine_cost.h>
#include <egretmount/placement/planner.h>
#include <egretmount/placement/slot_wait.h>

#include "placement_simulation.h"

using namespace egretmount;
using namespace egretmount::literals;
using placement::Candidate;
using placement::Demand;
using placement::LoadTracker;
using placement::Plan;

namespace {

std::vector<Candidate> candidates(std::size_t count)
{
    std::vector<Candidate> made(count);
    for (std::size_t i = 0; i < count; ++i)
        made[i].key = i + 1;
    return made;
}

Demand demand(TokenCount tokens, Milliseconds latency, Milliseconds eventGap)
{
    Demand made;
    made.promptTokens = tokens;
    made.maxOutputTokens = 1'300;
    made.weight = placement::weightOf(simulation::typicalSpeed(), tokens);
    made.latencyTarget = latency;
    made.eventGapTarget = eventGap;
    made.clientTimeout = std::max(2'000_ms, latency * 4);
    return made;
}

Demand shortDemand()
{
    return demand(5'000, 300_ms, 250_ms);
}

Demand longDemand(TokenCount tokens = 180'000)
{
    return demand(tokens, 3'000_ms, 1'000_ms);
}

std::optional<Plan> plan(const LoadTracker &tracker, const Demand &of, std::size_t engines,
                         double shortRequests = 0, Milliseconds now = 0_ms,
                         placement::LoadPolicy policy = {})
{
    return placement::planPlacement(tracker, simulation::typicalSpeed(), candidates(engines), of,
                                    { shortRequests, 1, 0, policy }, now);
}

void place(LoadTracker &tracker, std::uint64_t id, std::vector<placement::EngineKey> engines,
           const Demand &of, Milliseconds now = 0_ms, bool isDecoding = false)
{
    placement::InFlightRequest request;
    request.id = id;
    request.owner = "a";
    request.shardPrefillMs = placement::shardPrefillTime(
        simulation::typicalSpeed(), of.promptTokens, static_cast<int>(engines.size()));
    request.engines = std::move(engines);
    request.memory = { of.promptTokens };
    request.promptTokens = of.promptTokens;
    request.weight = of.weight;
    request.isShort = placement::isShort(simulation::typicalSpeed(), of.promptTokens);
    request.latencyTarget = of.latencyTarget;
    request.dueAt = now - of.waited + of.latencyTarget;
    request.eventGapTarget = of.eventGapTarget;
    request.placedAt = now;
    request.expiresAt = now + 60'000_ms;
    placement::addInFlight(tracker, request);
    if (isDecoding)
        placement::markDecoding(tracker, id, now);
}

// Returns the primary engine of a medium prompt, chosen with the load policy on from the engines 1
// to 4. Engine 1 is the short pool, and engine 4 has a penalty.
placement::EngineKey engineBeside(const LoadTracker &tracker, double penalty, Milliseconds now)
{
    std::vector<Candidate> four = candidates(4);
    four[3].penalty = penalty;
    const std::optional<Plan> made =
        placement::planPlacement(tracker, simulation::typicalSpeed(), four,
                                 demand(45'000, 1'500_ms, 0_ms), { 0, 1, 0, { true, false } }, now);
    REQUIRE(made.has_value());
    return made->engines.front();
}

} // namespace

TEST_CASE("an even split divides both the token and the attention cost of the prefill")
{
    const fleet::EngineSpeed speed = simulation::typicalSpeed();
    const double whole = placement::shardPrefillTime(speed, 182'000, 1);
    CHECK(whole == doctest::Approx(182'000 / 154.0 + 0.162 * 182'000.0 * 182'000 / 2 / 1e6));
    CHECK(placement::shardPrefillTime(speed, 182'000, 4) == doctest::Approx(whole / 4));
}

TEST_CASE("a long prompt is split over enough engines to meet its latency target")
{
    LoadTracker tracker;
    const std::optional<Plan> made = plan(tracker, longDemand(), 20);
    REQUIRE(made.has_value());
    CHECK(made->engines.size() > 1);
    CHECK(made->startDelayMs == 0);
    CHECK(made->firstEventMs < 3'000 * 0.8);
    // No engine prefills two shards of a prompt.
    std::vector<placement::EngineKey> engines = made->engines;
    std::sort(engines.begin(), engines.end());
    CHECK(std::adjacent_find(engines.begin(), engines.end()) == engines.end());
}

TEST_CASE("a short request joins the engine that decodes similar streams")
{
    LoadTracker tracker;
    for (std::uint64_t id = 1; id <= 5; ++id)
        place(tracker, id, { 2 }, shortDemand(), 0_ms, true);
    // The short pool has two engines then.
    const std::optional<Plan> made = plan(tracker, shortDemand(), 10, 5, 5'000_ms);
    REQUIRE(made.has_value());
    CHECK(made->engines.front() == 2);
}

TEST_CASE("a long prompt is not placed in the short pool")
{
    LoadTracker tracker;
    // 50 short requests in flight need 6 of the 20 engines: those with the lowest keys.
    const int pool = placement::shortPoolSize(simulation::typicalSpeed(), { 50 }, 20);
    REQUIRE(pool == 6);
    const std::optional<Plan> made = plan(tracker, longDemand(), 20, 50);
    REQUIRE(made.has_value());
    for (const placement::EngineKey key : made->engines)
        CHECK(key > static_cast<placement::EngineKey>(pool));
}

TEST_CASE("the short pool leaves engines to long prompts even for 10,000 short requests")
{
    const fleet::EngineSpeed speed = simulation::typicalSpeed();
    CHECK(placement::shortPoolSize(speed, { 10'000 }, 20) == 18);
    CHECK(placement::shortPoolSize(speed, { 0 }, 20) == 1);
    CHECK(placement::shortPoolSize(speed, { 10'000 }, 1) == 0);
}

TEST_CASE("a long prompt waits for engines that prefill another one, unless it must not wait")
{
    LoadTracker tracker;
    place(tracker, 1, { 2, 3, 4, 5 }, longDemand(300'000));
    const std::optional<Plan> made = plan(tracker, longDemand(200'000), 5);
    REQUIRE(made.has_value());
    CHECK(made->startDelayMs > 0);
    Demand again = longDemand(200'000);
    again.mayWait = false;
    CHECK(plan(tracker, again, 5)->startDelayMs == 0);
}

TEST_CASE("a medium prompt overtakes a very long one with a loose latency target")
{
    LoadTracker tracker;
    Demand giant = longDemand(300'000);
    giant.latencyTarget = 30'000_ms;
    place(tracker, 1, { 2, 3, 4, 5 }, giant);
    const std::optional<Plan> made = plan(tracker, demand(45'000, 1'500_ms, 600_ms), 5);
    REQUIRE(made.has_value());
    CHECK(made->startDelayMs == 0);
}

TEST_CASE("a prompt larger than the memory of one engine reserves the rest at helpers")
{
    LoadTracker tracker;
    const std::optional<Plan> made = plan(tracker, longDemand(700'000), 20);
    REQUIRE(made.has_value());
    REQUIRE(made->memory.size() == made->engines.size());
    TokenCount sum = 0;
    for (const TokenCount tokens : made->memory) {
        CHECK(tokens <= simulation::typicalSpeed().memoryTokens);
        sum += tokens;
    }
    CHECK(sum >= 700'000);
}

TEST_CASE("a prompt has no plan if the engines lack memory or there are none")
{
    LoadTracker tracker;
    for (std::uint64_t engine = 1; engine <= 4; ++engine)
        place(tracker, engine, { engine }, longDemand(390'000), 0_ms, true);
    CHECK_FALSE(plan(tracker, longDemand(200'000), 4).has_value());
    CHECK_FALSE(plan(tracker, shortDemand(), 0).has_value());
}

TEST_CASE("an engine with a penalty is not chosen while an equal one is available")
{
    LoadTracker tracker;
    std::vector<Candidate> three = candidates(3);
    three[0].penalty = 1;
    three[2].canBePrimary = false;
    const std::optional<Plan> made = placement::planPlacement(tracker, simulation::typicalSpeed(),
                                                              three, shortDemand(), { 20 }, 0_ms);
    REQUIRE(made.has_value());
    CHECK(made->engines.front() == 2);
}

TEST_CASE("idle engines admit every prompt")
{
    const placement::LongPool idle { 15, 0, 0, 0 };
    for (const TokenCount tokens : { 30'000, 180'000, 400'000, 900'000 })
        CHECK(placement::shouldAdmit(simulation::typicalSpeed(), idle, longDemand(tokens)));
}

TEST_CASE("admission refuses the longest prompts first as the queue grows")
{
    const fleet::EngineSpeed speed = simulation::typicalSpeed();
    TokenCount before = 1'000'000;
    for (const double queued : { 5'000.0, 15'000.0, 30'000.0, 60'000.0 }) {
        const placement::LongPool pool { 15, 0, queued, 0 };
        TokenCount longest = 0;
        for (TokenCount tokens = 30'000; tokens <= 900'000; tokens += 10'000) {
            if (placement::shouldAdmit(speed, pool, longDemand(tokens)))
                longest = tokens;
            else
                break;
        }
        CHECK(longest <= before);
        before = longest;
    }
    CHECK(before < 400'000);
}

TEST_CASE("a prompt that cannot start before its client timeout is refused")
{
    const placement::LongPool pool { 10, 0, 200'000, 0 };
    CHECK_FALSE(placement::shouldAdmit(simulation::typicalSpeed(), pool, longDemand(30'000)));
}

TEST_CASE("the wait for a slot grows with each request above the slots")
{
    const fleet::EngineSpeed speed = simulation::typicalSpeed();
    const double perRequestMs = 1'270 / 34.0 * 48 / 16;
    CHECK(placement::expectedSlotWait(speed, 15, 48) == 0);
    CHECK(placement::expectedSlotWait(speed, 16, 48) == doctest::Approx(perRequestMs));
    CHECK(placement::expectedSlotWait(speed, 20, 48) == doctest::Approx(5 * perRequestMs));
    fleet::EngineSpeed unknown = speed;
    unknown.typicalOutputTokens = 0;
    CHECK(placement::expectedSlotWait(unknown, 20, 48) == 0);
}

TEST_CASE("a short request joins the less crowded of two overfull engines and expects its wait")
{
    // Guards against equal costs of all engines without a free slot.
    LoadTracker tracker;
    for (std::uint64_t id = 1; id <= 41; ++id)
        place(tracker, id, { id <= 24 ? 1U : 2U }, shortDemand(), 0_ms, true);
    place(tracker, 42, { 2 }, shortDemand(), 100_ms);
    const std::optional<Plan> off = plan(tracker, shortDemand(), 2, 0, 100_ms);
    REQUIRE(off.has_value());
    CHECK(off->engines.front() == 1);
    const std::optional<Plan> made = plan(tracker, shortDemand(), 2, 0, 100_ms, { true, false });
    REQUIRE(made.has_value());
    CHECK(made->engines.front() == 2);
    CHECK(made->firstEventMs > 300);
}

TEST_CASE("short requests use engines outside the short pool before a wait makes them late")
{
    LoadTracker tracker;
    CHECK(placement::shortPoolSize(simulation::typicalSpeed(), { 48 }, 10) == 6);
    REQUIRE(placement::shortPoolSize(simulation::typicalSpeed(), { 48, 1, 0, { true, false } }, 10)
            == 5);
    for (std::uint64_t id = 1; id <= 80; ++id)
        place(tracker, id, { id % 5 + 1 }, shortDemand(), 0_ms, true);
    const std::optional<Plan> made = plan(tracker, shortDemand(), 10, 48, 100_ms, { true, false });
    REQUIRE(made.has_value());
    CHECK(made->engines.front() > 5);
    CHECK(made->firstEventMs < 300);
}

TEST_CASE("a long prompt doesn't overtake a late shard whose caller would leave because of it")
{
    LoadTracker tracker;
    Demand earlier = longDemand(300'000);
    earlier.latencyTarget = 2'000_ms; // its caller leaves after 8 s
    place(tracker, 1, { 2, 3 }, earlier); // engine 1 is the short pool
    Demand later = demand(250'000, 8'000_ms, 0_ms);
    const std::optional<Plan> off = plan(tracker, later, 3, 0, 3'000_ms);
    REQUIRE(off.has_value());
    CHECK(off->startDelayMs == 0);
    CHECK(off->engines.size() == 2);
    const std::optional<Plan> made = plan(tracker, later, 3, 0, 3'000_ms, { true, false });
    REQUIRE(made.has_value());
    CHECK(made->startDelayMs > 0);
    // Guards against a protection that refuses requests that were sent before.
    later.mayWait = false;
    const std::optional<Plan> resent = plan(tracker, later, 3, 0, 3'000_ms, { true, false });
    REQUIRE(resent.has_value());
    CHECK(resent->engines.size() == 2);
}

TEST_CASE("a late shard is protected until it is complete or its caller has left")
{
    LoadTracker tracker;
    place(tracker, 1, { 2, 3 }, demand(300'000, 2'000_ms, 0_ms)); // its caller leaves after 8 s
    const Demand later = demand(250'000, 8'000_ms, 0_ms);
    // Guards against a protection of shards that are complete before the delayed start.
    const std::optional<Plan> delayed = plan(tracker, later, 3, 0, 3'000_ms, { true, false });
    REQUIRE(delayed.has_value());
    CHECK(delayed->startDelayMs > 0);
    CHECK(delayed->engines.size() == 2);
    // Guards against a protection of shards whose callers have left.
    const std::optional<Plan> made = plan(tracker, later, 3, 0, 8'001_ms, { true, false });
    REQUIRE(made.has_value());
    CHECK(made->startDelayMs == 0);
    CHECK(made->engines.size() == 2);
}

TEST_CASE("overdue short and medium requests don't keep a prompt of the largest size from engines")
{
    // Guards against a protection that bars all engines to the largest prompts.
    for (const TokenCount tokens : { 5'000, 45'000 }) {
        CAPTURE(tokens);
        LoadTracker tracker;
        for (std::uint64_t engine = 1; engine <= 12; ++engine)
            place(tracker, engine, { engine }, demand(tokens, 1'500_ms, 500_ms));
        const Demand largest = demand(1'000'000, 8'000_ms, 800_ms);
        const std::optional<Plan> made = plan(tracker, largest, 12, 0, 1'700_ms, { true, false });
        REQUIRE(made.has_value());
        CHECK(made->engines.size() > 1);
        CHECK(made->startDelayMs == 0);
    }
}

TEST_CASE("overdue short requests don't keep a small long prompt from being split")
{
    // Guards against the protection of short requests.
    LoadTracker tracker;
    for (std::uint64_t engine = 1; engine <= 5; ++engine)
        place(tracker, engine, { engine }, demand(20'000, 300_ms, 0_ms)); // 2 s until callers leave
    const std::optional<Plan> made =
        plan(tracker, demand(45'000, 400_ms, 0_ms), 5, 0, 1'900_ms, { true, false });
    REQUIRE(made.has_value());
    CHECK(made->engines.size() > 1);
}

TEST_CASE("an unsplit prompt is placed beside a late shard, which is prefilled first")
{
    // Guards against a protection from prompts that don't overtake.
    LoadTracker tracker;
    place(tracker, 1, { 2, 3 }, demand(300'000, 2'000_ms, 0_ms)); // its caller leaves after 8 s
    const std::optional<Plan> made =
        plan(tracker, demand(250'000, 8'000_ms, 0_ms), 3, 0, 5'000_ms, { true, false });
    REQUIRE(made.has_value());
    CHECK(made->engines.size() == 1);
}

TEST_CASE("a prompt of the largest size doesn't overtake a late shard of comparable size")
{
    // Guards against a protection that ends where prompts get large.
    LoadTracker tracker;
    Demand earlier = longDemand(600'000);
    earlier.latencyTarget = 5'000_ms; // its caller leaves after 20 s
    place(tracker, 1, { 2, 3, 4, 5 }, earlier);
    const Demand largest = demand(1'000'000, 8'000_ms, 800_ms);
    CHECK(plan(tracker, largest, 5, 0, 8'300_ms).has_value());
    CHECK_FALSE(plan(tracker, largest, 5, 0, 8'300_ms, { true, false }).has_value());
}

TEST_CASE("a long prompt without a plan waits as long as its caller can still be served")
{
    // Guards against a refusal at the latency target while engines are kept from a prompt only for
    // a while.
    const fleet::EngineSpeed speed = simulation::typicalSpeed();
    const placement::LoadPolicy on { true, false };
    Demand waiting = longDemand(300'000); // a prefill of 543 ms at 17 shards, a timeout of 12 s
    const auto waits = [&](Milliseconds waited, Milliseconds timeLeft,
                           placement::LoadPolicy policy) {
        waiting.waited = waited;
        return placement::mayWaitWithoutPlan(speed, waiting, policy, timeLeft);
    };
    CHECK(waits(2'999_ms, 400_ms, {}));
    CHECK_FALSE(waits(3'000_ms, 60'000_ms, {}));
    CHECK(waits(3'000_ms, 60'000_ms, on));
    CHECK(waits(11'400_ms, 60'000_ms, on));
    CHECK_FALSE(waits(11'500_ms, 60'000_ms, on));
    CHECK(waits(0_ms, 550_ms, on));
    CHECK_FALSE(waits(0_ms, 540_ms, on));
    CHECK_FALSE(placement::mayWaitWithoutPlan(speed, shortDemand(), on, 60'000_ms));
}

TEST_CASE("a short request prefers the shortest wait for a slot to an ejected engine")
{
    // Guards against a wait that counts twice: as crowded slots and as lateness.
    fleet::EngineSpeed speed = simulation::typicalSpeed();
    speed.slots = 12;
    LoadTracker tracker;
    const Demand request = demand(5'000, 250_ms, 200_ms);
    constexpr std::uint64_t requests = 13 * std::uint64_t(30);
    for (std::uint64_t id = 0; id < requests; ++id)
        place(tracker, id + 1, { id % 30 + 1 }, request, 0_ms, true);
    std::vector<Candidate> all = candidates(45);
    for (std::size_t i = 30; i < all.size(); ++i) {
        all[i].penalty = request.weight;
        all[i].canBeHelper = all[i].canBeInShortPool = false;
    }
    const std::optional<Plan> made = placement::planPlacement(
        tracker, speed, all, request, { requests, 1, 0, { true, false } }, 100_ms);
    REQUIRE(made.has_value());
    CHECK(made->engines.front() <= 30);
}

TEST_CASE("an overdue shard costs something to overtake until its caller leaves")
{
    // Guards against overdue shards that cost nothing as their engines look idle, and against a
    // cost of shards whose callers have left.
    LoadTracker tracker;
    place(tracker, 1, { 2, 3 }, demand(300'000, 2'000_ms, 0_ms)); // its caller leaves after 8 s
    REQUIRE(placement::prefillBacklog(tracker, 2, 5'000_ms) == 0);
    CHECK(engineBeside(tracker, 0.3, 5'000_ms) == 4);
    CHECK(engineBeside(tracker, 0.3, 8'001_ms) < 4);
}

TEST_CASE("a late shard costs more to overtake because its caller may leave")
{
    // Guards against a late shard that costs no more than the mean latency.
    LoadTracker tracker;
    place(tracker, 1, { 2, 3 }, demand(300'000, 2'000_ms, 0_ms));
    CHECK(engineBeside(tracker, 0.8, 3'000_ms) == 4);
}

TEST_CASE("a shard that is prefilled first is not late because of the engine's whole backlog")
{
    // Guards against the engine's backlog as the end of each pending shard: the later prompt would
    // look late already, and nothing would be lost by delaying it.
    LoadTracker tracker;
    place(tracker, 1, { 2, 3 }, demand(300'000, 30'000_ms, 0_ms));
    place(tracker, 2, { 2, 3 }, demand(100'000, 1'000_ms, 0_ms));
    CHECK(engineBeside(tracker, 1.5, 0_ms) == 4);
}

TEST_CASE("a shard that was placed again after its caller's first timeout is protected")
{
    // Guards against a stream that has had events and counts as abandoned.
    LoadTracker tracker;
    Demand again = demand(300'000, 2'000_ms, 0_ms);
    again.waited = 10'000_ms; // longer than the timeout of 8 s
    place(tracker, 1, { 2, 3 }, again, 10'000_ms);
    const std::optional<Plan> made =
        plan(tracker, demand(250'000, 8'000_ms, 0_ms), 3, 0, 13'000_ms, { true, false });
    REQUIRE(made.has_value());
    CHECK(made->startDelayMs > 0);
}

TEST_CASE("slots are crowded from 0.95 of them on, and more so above them")
{
    // Guards against the crowding of the planner without the load policy: it starts at 0.8 of the
    // slots and is constant above them.
    fleet::EngineSpeed speed = simulation::typicalSpeed();
    speed.typicalOutputTokens = 0; // no expected wait for a slot
    const auto chosen = [&](std::uint64_t atFirst, std::uint64_t atSecond, double penalty) {
        LoadTracker tracker;
        for (std::uint64_t id = 1; id <= atFirst + atSecond; ++id)
            place(tracker, id, { id <= atFirst ? 1U : 2U }, shortDemand(), 0_ms, true);
        std::vector<Candidate> two = candidates(2);
        two[1].penalty = penalty * shortDemand().weight;
        const std::optional<Plan> made = placement::planPlacement(
            tracker, speed, two, shortDemand(), { 14, 1, 0, { true, false } }, 100_ms);
        REQUIRE(made.has_value());
        return made->engines.front();
    };
    // Only engine 1 is in the short pool, which is worth 0.1 of the weight.
    CHECK(chosen(14, 0, 0.1) == 1);
    CHECK(chosen(31, 18, 0) == 2);
}

// Guards against a rate limit that is never found to have ended, because no request is placed at
// its engine while the others suffice.
TEST_CASE("an engine that may help no other engine keeps its place in the short pool")
{
    LoadTracker tracker;
    for (std::uint64_t id = 1; id <= 5; ++id)
        place(tracker, id, { 2 }, shortDemand(), 0_ms, true);
    std::vector<Candidate> all = candidates(2);
    all.front().canBeHelper = false;
    const auto chosen = [&] {
        const std::optional<Plan> made = placement::planPlacement(
            tracker, simulation::typicalSpeed(), all, shortDemand(), { 5, 1, 0, {} }, 100_ms);
        return made ? made->engines.front() : 0;
    };
    CHECK(chosen() == 1);
    all.front().canBeInShortPool = false;
    CHECK(chosen() == 2);
}

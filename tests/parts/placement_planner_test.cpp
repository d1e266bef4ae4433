#include <doctest/doctest.h>

#include <algorithm>

#include <egretmount/placement/admission.h>
#include <egretmount/placement/engine_cost.h>
#include <egretmount/placement/planner.h>

#include "placement_simulation.h"

using namespace egretmount;
using namespace egretmount::literals;
using placement::Candidate;
using placement::Demand;
using placement::Ledger;
using placement::Plan;

namespace {

std::vector<Candidate> candidates(std::size_t count)
{
    std::vector<Candidate> made(count);
    for (std::size_t i = 0; i < count; ++i)
        made[i].key = i + 1;
    return made;
}

Demand demand(TokenCount tokens, Milliseconds latency, Milliseconds pause)
{
    Demand made;
    made.promptTokens = tokens;
    made.answerTokens = 1'300;
    made.weight = placement::weightOf(model::usualSpeed(), tokens);
    made.latencyTarget = latency;
    made.pauseTarget = pause;
    made.patience = std::max(2'000_ms, latency * 4);
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

std::optional<Plan> plan(const Ledger &ledger, const Demand &of, std::size_t engines,
                         double shortRequests = 0, Milliseconds now = 0_ms)
{
    return placement::planPlacement(ledger, model::usualSpeed(), candidates(engines), of,
                                    { shortRequests }, now);
}

void place(Ledger &ledger, std::uint64_t id, std::vector<placement::EngineKey> engines,
           const Demand &of, Milliseconds now = 0_ms, bool isWriting = false)
{
    placement::Work work;
    work.id = id;
    work.owner = "a";
    work.partMs = placement::partReadingTime(model::usualSpeed(), of.promptTokens,
                                             static_cast<int>(engines.size()));
    work.engines = std::move(engines);
    work.memory = { of.promptTokens };
    work.promptTokens = of.promptTokens;
    work.weight = of.weight;
    work.isShort = placement::isShort(model::usualSpeed(), of.promptTokens);
    work.latencyTarget = of.latencyTarget;
    work.dueAt = now + of.latencyTarget;
    work.pauseTarget = of.pauseTarget;
    work.placedAt = now;
    work.expiresAt = now + 60'000_ms;
    placement::addWork(ledger, work);
    if (isWriting)
        placement::noteWriting(ledger, id, now);
}

} // namespace

TEST_CASE("an even split shares tokens and pairs")
{
    const fleet::EngineSpeed speed = model::usualSpeed();
    const double whole = placement::partReadingTime(speed, 182'000, 1);
    CHECK(whole == doctest::Approx(182'000 / 154.0 + 0.162 * 182'000.0 * 182'000 / 2 / 1e6));
    CHECK(placement::partReadingTime(speed, 182'000, 4) == doctest::Approx(whole / 4));
}

TEST_CASE("a long prompt is split as far as its target asks")
{
    Ledger ledger;
    const std::optional<Plan> made = plan(ledger, longDemand(), 20);
    REQUIRE(made.has_value());
    CHECK(made->engines.size() > 1);
    CHECK(made->startMs == 0);
    CHECK(made->firstEventMs < 3'000 * 0.8);
    // The same engine never reads two parts.
    std::vector<placement::EngineKey> engines = made->engines;
    std::sort(engines.begin(), engines.end());
    CHECK(std::adjacent_find(engines.begin(), engines.end()) == engines.end());
}

TEST_CASE("short requests join the writers of their kind")
{
    Ledger ledger;
    for (std::uint64_t id = 1; id <= 5; ++id)
        place(ledger, id, { 2 }, shortDemand(), 0_ms, true);
    // The lane is of two engines then.
    const std::optional<Plan> made = plan(ledger, shortDemand(), 10, 5, 5'000_ms);
    REQUIRE(made.has_value());
    CHECK(made->engines.front() == 2);
}

TEST_CASE("nothing long is read in the short lane")
{
    Ledger ledger;
    // 50 short requests in hand need 6 of the 20 engines: those with the lowest keys.
    const int lane = placement::shortLaneSize(model::usualSpeed(), { 50 }, 20);
    REQUIRE(lane == 6);
    const std::optional<Plan> made = plan(ledger, longDemand(), 20, 50);
    REQUIRE(made.has_value());
    for (const placement::EngineKey key : made->engines)
        CHECK(key > static_cast<placement::EngineKey>(lane));
}

TEST_CASE("the short lane leaves engines to long prompts, however many short requests come")
{
    const fleet::EngineSpeed speed = model::usualSpeed();
    CHECK(placement::shortLaneSize(speed, { 10'000 }, 20) == 18);
    CHECK(placement::shortLaneSize(speed, { 0 }, 20) == 1);
    CHECK(placement::shortLaneSize(speed, { 10'000 }, 1) == 0);
}

TEST_CASE("a long prompt waits for engines that read another one")
{
    Ledger ledger;
    place(ledger, 1, { 2, 3, 4, 5 }, longDemand(300'000));
    const std::optional<Plan> made = plan(ledger, longDemand(200'000), 5);
    REQUIRE(made.has_value());
    CHECK(made->startMs > 0);
    Demand again = longDemand(200'000);
    again.mayWait = false;
    CHECK(plan(ledger, again, 5)->startMs == 0);
}

TEST_CASE("a middle prompt goes ahead of a very long one that has time")
{
    Ledger ledger;
    Demand giant = longDemand(300'000);
    giant.latencyTarget = 30'000_ms;
    place(ledger, 1, { 2, 3, 4, 5 }, giant);
    const std::optional<Plan> made = plan(ledger, demand(45'000, 1'500_ms, 600_ms), 5);
    REQUIRE(made.has_value());
    CHECK(made->startMs == 0);
}

TEST_CASE("a prompt beyond one engine's memory has the rest set aside at helpers")
{
    Ledger ledger;
    const std::optional<Plan> made = plan(ledger, longDemand(700'000), 20);
    REQUIRE(made.has_value());
    REQUIRE(made->memory.size() == made->engines.size());
    TokenCount sum = 0;
    for (const TokenCount tokens : made->memory) {
        CHECK(tokens <= model::usualSpeed().memoryTokens);
        sum += tokens;
    }
    CHECK(sum >= 700'000);
}

TEST_CASE("without memory for it a prompt has no plan")
{
    Ledger ledger;
    for (std::uint64_t engine = 1; engine <= 4; ++engine)
        place(ledger, engine, { engine }, longDemand(390'000), 0_ms, true);
    CHECK_FALSE(plan(ledger, longDemand(200'000), 4).has_value());
    CHECK_FALSE(plan(ledger, shortDemand(), 0).has_value());
}

TEST_CASE("a penalty keeps requests off an engine while others are as good")
{
    Ledger ledger;
    std::vector<Candidate> three = candidates(3);
    three[0].penalty = 1;
    three[2].mayReceive = false;
    const std::optional<Plan> made =
        placement::planPlacement(ledger, model::usualSpeed(), three, shortDemand(), { 20 }, 0_ms);
    REQUIRE(made.has_value());
    CHECK(made->engines.front() == 2);
}

TEST_CASE("at idle engines every prompt is taken")
{
    const placement::LongLane idle { 15, 0, 0, 0 };
    for (const TokenCount tokens : { 30'000, 180'000, 400'000, 900'000 })
        CHECK(placement::isWorthTaking(model::usualSpeed(), idle, longDemand(tokens)));
}

TEST_CASE("as the line grows, the longest prompts are refused first")
{
    const fleet::EngineSpeed speed = model::usualSpeed();
    TokenCount before = 1'000'000;
    for (const double waiting : { 5'000.0, 15'000.0, 30'000.0, 60'000.0 }) {
        const placement::LongLane lane { 15, 0, waiting, 0 };
        TokenCount longest = 0;
        for (TokenCount tokens = 30'000; tokens <= 900'000; tokens += 10'000) {
            if (placement::isWorthTaking(speed, lane, longDemand(tokens)))
                longest = tokens;
            else
                break;
        }
        CHECK(longest <= before);
        before = longest;
    }
    CHECK(before < 400'000);
}

TEST_CASE("what cannot begin before its caller leaves is refused")
{
    const placement::LongLane lane { 10, 0, 200'000, 0 };
    CHECK_FALSE(placement::isWorthTaking(model::usualSpeed(), lane, longDemand(30'000)));
}

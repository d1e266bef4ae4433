#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "statistics.h"
#include "workload.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::load;

namespace {

Workload makeWorkload(std::uint64_t seed)
{
    Workload workload;
    workload.seed = seed;
    workload.duration = 60'000_ms;
    workload.requestsPerSecond = 50;
    workload.lengths = { { "short", 49, 100, 4'000, 16, 5'000_ms },
                         { "long", 1, 100'001, 1'000'000, 16, 60'000_ms } };
    workload.teams = { { "large", 9, "a" }, { "small", 1, "b" } };
    return workload;
}

} // namespace

TEST_CASE("load arrivals are equal for equal seeds and differ between seeds")
{
    const auto isReproducible = [](std::uint64_t seed) {
        const std::vector<Arrival> once = makeArrivals(makeWorkload(seed));
        const std::vector<Arrival> again = makeArrivals(makeWorkload(seed));
        RC_ASSERT(once == again);
        RC_ASSERT(digestOf(once) == digestOf(again));
        RC_ASSERT(digestOf(once) != digestOf(makeArrivals(makeWorkload(seed + 1))));
    };
    CHECK(rc::check("reproducible", isReproducible));
}

TEST_CASE("load arrivals match the configured rate, length shares and team shares")
{
    const Workload workload = makeWorkload(7);
    const std::vector<Arrival> arrivals = makeArrivals(workload);
    std::size_t longCount = 0;
    std::size_t largeTeamCount = 0;
    Milliseconds last;
    for (const Arrival &arrival : arrivals) {
        const LengthShare &length = workload.lengths[arrival.length];
        CHECK(arrival.promptTokens >= length.lowTokens - 1);
        CHECK(arrival.promptTokens <= length.highTokens);
        CHECK(arrival.at >= last);
        CHECK(arrival.at < workload.duration);
        last = arrival.at;
        longCount += arrival.length;
        largeTeamCount += arrival.team == 0 ? 1 : 0;
    }
    // Bounds: five standard deviations around the expected 3000 arrivals, 60 long prompts and 2700
    // requests of the large team.
    CHECK(arrivals.size() > 2'726);
    CHECK(arrivals.size() < 3'274);
    CHECK(longCount > 21);
    CHECK(longCount < 99);
    CHECK(largeTeamCount > arrivals.size() * 87 / 100);
    CHECK(largeTeamCount < arrivals.size() * 93 / 100);
}

TEST_CASE("load percentiles use the nearest-rank method and are negative without values")
{
    std::vector<std::int64_t> micros;
    for (std::int64_t i = 100; i > 0; --i)
        micros.push_back(i * 1'000);
    const Percentiles percentiles = percentilesOf(micros);
    CHECK(percentiles.p50 == 50);
    CHECK(percentiles.p95 == 95);
    CHECK(percentiles.p99 == 99);
    CHECK(percentilesOf({}).p99 < 0);
    CHECK(percentilesOf({ 5'000 }).p50 == 5);
}

TEST_CASE("load summary counts good, late and refused requests separately")
{
    Sample good;
    good.status = 200;
    good.isComplete = true;
    good.totalMicros = 900'000;
    good.deadlineMillis = 1'000;
    good.promptTokens = 10;
    Sample late = good;
    late.totalMicros = 1'000'001;
    late.at = 1'500_ms;
    Sample refused;
    refused.status = 503;
    refused.verdict = "not run";
    refused.error = "overloaded";
    refused.retryAfterMillis = 400;
    const std::vector<Sample> samples { good, late, refused };
    const Summary summary = summarise(samples);
    CHECK(summary.good == 1);
    CHECK(summary.late == 1);
    CHECK(summary.refused == 1);
    CHECK(summary.goodTokens == 10);
    CHECK(summary.errors.at("overloaded") == 1);
    CHECK(summary.retryAfter.p50 == 400);
    const std::vector<GoodputSecond> seconds = goodputOverTime(samples);
    REQUIRE(seconds.size() == 2);
    CHECK(seconds[0].good == 1);
    CHECK(seconds[1].good == 0);
}

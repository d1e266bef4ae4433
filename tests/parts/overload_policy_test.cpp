// Routing and admission under load, on a model of a small fleet. Most checks also run without the
// tested mechanism, to show that they detect its absence.

#include <array>

#include <doctest/doctest.h>

#include "small_fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;
using routing::LanePolicy;

namespace {

constexpr std::size_t targets = 20;

bool isShort(const Arrival &arrival)
{
    return !arrival.isLong();
}

double shortSlowdown(LanePolicy policy)
{
    Workload workload;
    workload.requestsPerSecond = 1'100;
    workload.duration = 5'000_ms;
    std::vector<Arrival> mixed = makeArrivals(workload);
    SmallFleet(policy, targets).run(mixed, 10'000_ms);
    workload.hasLongPrompts = false;
    std::vector<Arrival> alone = makeArrivals(workload);
    SmallFleet(policy, targets).run(alone, 10'000_ms);
    return static_cast<double>(timeToFirstTokenQuantile(mixed, 0.99, isShort))
           / static_cast<double>(timeToFirstTokenQuantile(alone, 0.99, isShort));
}

struct Totals
{
    double admitted = 0;
    double late = 0; ///< Admitted but not completed by the deadline.
    double refused = 0;
    double refusedLate = 0; ///< Refused after queueing.
    double goodTokensPerMs = 0;
};

Totals overload(LanePolicy policy, double requestsPerSecond)
{
    Workload workload;
    workload.requestsPerSecond = requestsPerSecond;
    workload.longDeadline = 5'000_ms;
    std::vector<Arrival> arrivals = makeArrivals(workload);
    SmallFleet(policy, targets).run(arrivals, workload.duration + workload.longDeadline);
    Totals totals;
    for (const Arrival &arrival : arrivals) {
        (arrival.isRefused ? totals.refused : totals.admitted) += 1;
        totals.late += !arrival.isRefused && !arrival.isOnTime() ? 1 : 0;
        totals.refusedLate += arrival.isRefused && arrival.refusedAt > arrival.request.arrival;
        if (arrival.isOnTime() && arrival.doneAt <= workload.duration)
            totals.goodTokensPerMs += static_cast<double>(arrival.request.promptTokens)
                                      / static_cast<double>(workload.duration.count());
    }
    return totals;
}

std::int64_t lightTeamP99(LanePolicy policy, bool hasHeavy)
{
    Random random(3);
    std::vector<Arrival> arrivals;
    for (std::int64_t ms = 0; ms < 4'000; ++ms) {
        for (int i = 0; i < 6; ++i) {
            const bool isHeavy = random.below(100) >= 7;
            const TokenCount tokens = 200 + static_cast<TokenCount>(random.below(2'400));
            if (isHeavy && !hasHeavy)
                continue;
            Arrival arrival;
            arrival.request.id = RequestId(std::to_string(arrivals.size()));
            arrival.request.team = TeamId((isHeavy ? "heavy" : "light") + std::to_string(i % 2));
            arrival.request.service = ServiceId("llm");
            arrival.request.promptTokens = tokens;
            arrival.request.maxTokens = 24;
            arrival.request.arrival = Milliseconds(ms);
            arrival.request.deadline = Milliseconds(ms + 2'000);
            arrival.outputTokens = 24;
            arrivals.push_back(arrival);
        }
    }
    SmallFleet(policy, targets).run(arrivals, 6'000_ms);
    return timeToFirstTokenQuantile(arrivals, 0.99, [](const Arrival &arrival) {
        return arrival.request.team.value[0] == 'l' && arrival.request.arrival > 500_ms;
    });
}

} // namespace

TEST_CASE("overload: long prompts slow short prompts down by at most 10 percent")
{
    CHECK(shortSlowdown(LanePolicy::Elastic) <= 1.10);
    CHECK(shortSlowdown(LanePolicy::Fifo) > 1.10); // the check detects a policy without lanes
}

TEST_CASE("overload: goodput stays at 95 percent or more at 1.5 times the saturating load")
{
    const Totals full = overload(LanePolicy::Elastic, 1'700);
    const Totals over = overload(LanePolicy::Elastic, 2'600);
    CHECK(over.goodTokensPerMs >= 0.95 * full.goodTokensPerMs);
    CHECK(over.late / over.admitted < 0.001);
    CHECK(over.refused > 0);
    CHECK(over.refusedLate / over.refused < 0.1);
    const Totals fifo = overload(LanePolicy::Fifo, 2'600);
    CHECK(fifo.late / fifo.admitted > 0.001);
}

TEST_CASE("overload: the retry times of callers refused together are spread")
{
    Random random(7);
    for (Milliseconds backlog : { 0_ms, 5'000_ms }) {
        std::array<int, 400> buckets {}; // of 100 ms
        std::int64_t least = admission::maxRetryAfter.count();
        for (int i = 0; i < 1'000; ++i) {
            const std::int64_t retryDelay = admission::retryAfter(backlog, random).count();
            least = std::min(least, retryDelay);
            ++buckets[static_cast<std::size_t>(retryDelay / 100)];
        }
        CHECK(*std::max_element(buckets.begin(), buckets.end()) < 150);
        CHECK(least >= backlog.count());
        CHECK(least >= admission::minRetryAfter.count());
    }
}

TEST_CASE("overload: internal retries are at most 10 percent of the requests")
{
    admission::RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        admission::recordRequest(budget);
        while (admission::tryAcquireRetry(budget)) // every attempt fails
            ++retries;
    }
    CHECK(retries <= 1'000 + static_cast<int>(budget.maxAvailable));
    CHECK(retries >= 900);
}

TEST_CASE("overload: a team within its share waits at most twice as long beside two flooding teams")
{
    const std::int64_t alone = lightTeamP99(LanePolicy::Elastic, false);
    const std::int64_t beside = lightTeamP99(LanePolicy::Elastic, true);
    MESSAGE("first-token 99th in ms: alone " << alone << ", beside two floods " << beside);
    CHECK(beside <= 2 * alone);
    CHECK(lightTeamP99(LanePolicy::Fifo, true) > 2 * alone);
}

TEST_CASE("overload: a drained zone gets no new requests, and no more than before on its return")
{
    Workload workload;
    workload.requestsPerSecond = 800;
    workload.duration = 9'000_ms;
    std::vector<Arrival> arrivals = makeArrivals(workload);
    SmallFleet fleet(LanePolicy::Elastic, targets);
    std::array<std::size_t, 2> most {}; // streams of one target: after the return, before the drain
    const auto setZone = [](SmallFleet &changed, bool isIn, Milliseconds now) {
        for (routing::TargetView &view : changed.views) {
            if (view.zone == ZoneId("b"))
                view.acceptsNewWork = isIn;
        }
        changed.publish(now);
    };
    std::size_t held = 0;
    fleet.onStep = [&](SmallFleet &running, Milliseconds now) {
        if (now == 3'000_ms || now == 6'000_ms)
            setZone(running, now == 6'000_ms, now);
        for (std::size_t i = 1; i < targets; i += 3) { // the targets of the zone
            if (now == 5'999_ms)
                held += running.streamsAt(i);
            if (now > 6'000_ms)
                most[0] = std::max(most[0], running.streamsAt(i));
            if (now < 3'000_ms)
                most[1] = std::max(most[1], running.streamsAt(i));
        }
    };
    fleet.run(arrivals, 29'000_ms);
    CHECK(held == 0); // drained: no new requests, and the running ones have ended
    CHECK(most[0] <= most[1]); // no overshoot on return
    for (const Arrival &arrival : arrivals)
        CHECK((arrival.isOnTime() || arrival.isRefused));
}

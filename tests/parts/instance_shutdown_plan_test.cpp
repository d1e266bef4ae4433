#include <doctest/doctest.h>

#include <algorithm>

#include <egretmount/instance/shutdown_plan.h>

using namespace egretmount;
using namespace egretmount::instance;
using namespace egretmount::literals;

TEST_CASE("the stages of a shutdown are in order and end before the kill")
{
    for (std::int64_t grace = 0; grace <= 60'000; grace += 7) {
        CAPTURE(grace);
        const ShutdownPlan plan = shutdownPlan(Milliseconds(grace));
        CHECK(plan.draining >= 0_ms);
        CHECK(plan.refusing >= plan.draining);
        CHECK(plan.aborting >= plan.refusing);
        CHECK(plan.exiting >= plan.aborting);
        CHECK(plan.exiting <= Milliseconds(std::max<std::int64_t>(grace - 160, 0)));
    }
}

// An engine that is still at work in the last sixth of the grace period may be given up, one that
// ends sooner may not. In grace periods below 1.5 s, that sixth is too short for the last
// responses.
TEST_CASE("requests are not aborted before the last sixth of the grace period")
{
    for (std::int64_t grace = 1'500; grace <= 60'000; grace += 60)
        CHECK(shutdownPlan(Milliseconds(grace)).aborting.count() >= grace * 5 / 6);
}

// Guards against a request that is accepted later than three seconds after the stop signal and is
// still running at the end of the grace period, where it is aborted.
TEST_CASE("requests are refused before the end of their execution would be lost")
{
    constexpr Milliseconds noticeDelay = 100_ms; // until the stop signal is seen
    for (std::int64_t grace = 0; grace <= 60'000; grace += 100)
        CHECK(shutdownPlan(Milliseconds(grace)).refusing + noticeDelay < 3'000_ms);
}

TEST_CASE("the stage of a shutdown follows from the time since the stop signal")
{
    const ShutdownPlan plan = shutdownPlan(8'000_ms);
    CHECK(shutdownStage(plan, 0_ms) == ShutdownStage::Announcing);
    CHECK(shutdownStage(plan, plan.draining - 1_ms) == ShutdownStage::Announcing);
    CHECK(shutdownStage(plan, plan.draining) == ShutdownStage::Draining);
    CHECK(shutdownStage(plan, plan.refusing) == ShutdownStage::Refusing);
    CHECK(shutdownStage(plan, plan.aborting) == ShutdownStage::Aborting);
    CHECK(shutdownStage(plan, plan.exiting) == ShutdownStage::Exiting);
    CHECK(shutdownStage(plan, 60'000_ms) == ShutdownStage::Exiting);
}

TEST_CASE("an instance exits when it owes nothing, or at the end of the grace period")
{
    Obligations nothing;
    CHECK_FALSE(mayExit(ShutdownStage::Announcing, nothing));
    CHECK(mayExit(ShutdownStage::Draining, nothing));
    CHECK(mayExit(ShutdownStage::Refusing, nothing));
    Obligations request;
    request.requests = 1;
    Obligations connection;
    connection.connections = 1;
    Obligations bytes;
    bytes.bytes = 1;
    for (const Obligations &owed : { request, connection, bytes }) {
        CHECK_FALSE(mayExit(ShutdownStage::Draining, owed));
        CHECK_FALSE(mayExit(ShutdownStage::Refusing, owed));
        CHECK_FALSE(mayExit(ShutdownStage::Aborting, owed));
        CHECK(mayExit(ShutdownStage::Exiting, owed));
    }
}

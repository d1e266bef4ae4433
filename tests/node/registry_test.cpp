#include <doctest/doctest.h>

#include <thread>

#include "support/site.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 14;

Script plain(const Arrival &)
{
    Script script;
    script.events = 0;
    return script;
}

// Asks until the status is as wished or the time is over. Returns the time it took.
Milliseconds timeUntil(const Site &site, const std::string &route, int status, Milliseconds limit)
{
    const Milliseconds start = monotonicNow();
    for (int i = 0; monotonicNow() - start < limit; ++i) {
        if (site.nodes.ask(0, plainRequest(route, "t" + std::to_string(i))).status == status)
            return monotonicNow() - start;
        usleep(20'000);
    }
    return limit;
}

std::size_t arrivalsAt(const StandIn &standIn, const std::string &target)
{
    std::size_t count = 0;
    for (const Arrival &arrival : standIn.arrivals())
        count += arrival.target == target ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("a new configuration is in force within the bound, an older one never again")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(plain);
    CHECK(site.nodes.ask(0, plainRequest("added", "a")).status == 404);
    site.standIn.put("op/config", usualConfiguration(5, "added"));
    CHECK(timeUntil(site, "added", 200, 2'000_ms) < 2'000_ms);
    site.standIn.put("op/config", usualConfiguration(3));
    usleep(400'000);
    CHECK(site.nodes.ask(0, plainRequest("added", "b")).status == 200);
    site.standIn.put("op/config", "{\"version\":");
    usleep(400'000);
    CHECK(site.nodes.ask(0, plainRequest("added", "c")).status == 200);
}

TEST_CASE("draining targets, unreadable entries and evacuated zones get nothing new")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(plain);
    site.standIn.writeEntry(51, "draining");
    usleep(400'000);
    const std::size_t before = arrivalsAt(site.standIn, "i-51");
    for (int i = 0; i < 20; ++i)
        CHECK(site.nodes.ask(0, plainRequest("read", "d" + std::to_string(i))).status == 200);
    CHECK(arrivalsAt(site.standIn, "i-51") == before);
    site.standIn.put("servers/i-99", "not an entry");
    site.standIn.put("servers/i-98", "{\"service\":7,\"address\":\"x:1\",\"state\":\"ready\"}");
    CHECK(site.nodes.ask(0, plainRequest("read", "u")).status == 200);
    site.standIn.put("op/evacuate/z1", "{}");
    usleep(400'000);
    CHECK(site.nodes.ask(0, plainRequest("read", "e")).status == 503);
    site.standIn.remove("op/evacuate/z1");
    CHECK(timeUntil(site, "read", 200, 2'000_ms) < 2'000_ms);
}

TEST_CASE("a store that fails changes nothing; its return is noticed soon")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(plain);
    for (const StoreMode mode : { StoreMode::Refuses, StoreMode::Unresponsive }) {
        CAPTURE(static_cast<int>(mode));
        site.standIn.setStoreMode(mode);
        usleep(3'800'000);
        CHECK(site.nodes.ask(0, plainRequest("read", "o")).status == 200);
        const std::string route = mode == StoreMode::Refuses ? "after-1" : "after-2";
        site.standIn.put("op/config",
                         usualConfiguration(mode == StoreMode::Refuses ? 10 : 20, route));
        site.standIn.setStoreMode(StoreMode::Serves);
        CHECK(timeUntil(site, route, 200, 4'000_ms) < 3'000_ms);
    }
}

TEST_CASE("an instance that starts while the store fails serves from what another one knows")
{
    for (const StoreMode mode : { StoreMode::Refuses, StoreMode::Unresponsive }) {
        CAPTURE(static_cast<int>(mode));
        Site site(subnet, 2);
        REQUIRE(site.isReady);
        site.standIn.setScript(plain);
        site.standIn.put("op/config", usualConfiguration(5, "added"));
        REQUIRE(timeUntil(site, "added", 200, 2'000_ms) < 2'000_ms);
        site.standIn.setStoreMode(mode);
        site.nodes.process(1).kill();
        usleep(200'000);
        site.nodes.start(1);
        const Milliseconds start = monotonicNow();
        int status = 0;
        while (status != 200 && monotonicNow() - start < 2'000_ms) {
            try {
                status = site.nodes.ask(1, plainRequest("added", "s")).status;
            } catch (const Poco::Exception &) {
                usleep(20'000); // not listening yet
            }
        }
        CHECK(status == 200);
        site.standIn.put("op/config", usualConfiguration(7, "later"));
        site.standIn.setStoreMode(StoreMode::Serves);
        CHECK(timeUntil(site, "later", 200, 4'000_ms) < 3'000_ms);
        CHECK(site.nodes.ask(1, plainRequest("later", "l")).status == 200);
    }
}

TEST_CASE("all killed while the store is away: who comes before its return is served after it")
{
    Site site(subnet, 1);
    REQUIRE(site.isReady);
    site.standIn.setScript(plain);
    site.standIn.setStoreMode(StoreMode::Refuses);
    site.nodes.process(0).kill();
    usleep(100'000);
    site.nodes.start(0);
    std::thread store([&site] {
        usleep(600'000);
        site.standIn.setStoreMode(StoreMode::Serves);
    });
    CallerRequest request = plainRequest("read", "early");
    request.deadlineMs = 8'000;
    Answer answer;
    for (int i = 0; i < 50 && answer.status == 0; ++i) {
        try {
            answer = site.nodes.ask(0, request);
        } catch (const Poco::Exception &) {
            usleep(10'000); // not listening yet
        }
    }
    store.join();
    CHECK(answer.status == 200);
    CHECK(answer.took < 1'500_ms);
}

TEST_CASE("changes that the store's history has lost are read anew")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(plain);
    site.standIn.setStoreMode(StoreMode::HistoryCompacted);
    site.standIn.writeEntry(52, "draining");
    site.standIn.put("op/config", usualConfiguration(7, "gap"));
    CHECK(timeUntil(site, "gap", 200, 4'000_ms) < 3'500_ms);
}

TEST_CASE("entries that lapse while the store is away do not leave callers without a target")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(plain);
    site.standIn.setStoreMode(StoreMode::Refuses);
    usleep(700'000);
    site.standIn.removeEntry(51);
    site.standIn.removeEntry(52);
    site.standIn.setStoreMode(StoreMode::Serves);
    const Milliseconds back = monotonicNow();
    int failed = 0;
    for (int i = 0; monotonicNow() - back < 1'800_ms; ++i) {
        failed +=
            site.nodes.ask(0, plainRequest("read", "l" + std::to_string(i))).status == 200 ? 0 : 1;
        usleep(50'000);
    }
    CHECK(failed == 0);
    // One that is still missing is gone.
    usleep(1'500'000);
    CHECK(site.nodes.ask(0, plainRequest("read", "gone")).status == 503);
}

TEST_CASE("the store is asked seldom while nothing changes")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    const int before = site.standIn.storeCalls();
    usleep(5'200'000);
    CHECK(site.standIn.storeCalls() - before <= 3);
}

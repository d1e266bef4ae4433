#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 15;

Script slowStream(const Arrival &arrival)
{
    Script script;
    script.events = arrival.head.target.find("/stream/") == 0 ? 30 : 0;
    script.eventGap = 50_ms;
    return script;
}

bool reachesDirectorySize(const Nodes &nodes, int index, std::size_t instances, Milliseconds limit)
{
    const Milliseconds start = monotonicNow();
    while (monotonicNow() - start < limit) {
        if (nodes.directory(index).size() == instances)
            return true;
        usleep(50'000);
    }
    return false;
}

} // namespace

TEST_CASE("a killed instance leaves the directory of the others and returns after a restart")
{
    TestCluster cluster(subnet, 4);
    REQUIRE(cluster.isReady);
    cluster.nodes.process(2).kill();
    CHECK(reachesDirectorySize(cluster.nodes, 0, 3, 6'000_ms));
    cluster.nodes.start(2);
    CHECK(reachesDirectorySize(cluster.nodes, 0, 4, 3'000_ms));
    CHECK(reachesDirectorySize(cluster.nodes, 2, 4, 3'000_ms));
}

TEST_CASE("an instance that restarts while all its contacts are down finds the remaining instance")
{
    TestCluster cluster(subnet, 5);
    REQUIRE(cluster.isReady);
    for (const int contact : { 0, 1, 2 })
        cluster.nodes.process(contact).kill();
    cluster.nodes.process(4).kill();
    usleep(3'000'000);
    cluster.nodes.start(4);
    CHECK(reachesDirectorySize(cluster.nodes, 4, 2, 6'000_ms));
}

TEST_CASE(
    "an instance that receives SIGTERM leaves the directory at once and completes its requests")
{
    TestCluster cluster(subnet, 3);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(slowStream);
    CallerRequest request;
    request.id = "under-way";
    Response response;
    std::thread caller([&] { response = cluster.nodes.sendRequest(1, request); });
    usleep(200'000);
    cluster.nodes.process(1).signal(SIGTERM);
    CHECK(reachesDirectorySize(cluster.nodes, 0, 2, 500_ms));
    Caller ready(cluster.nodes.readinessAddress(1));
    ready.send("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n");
    CHECK(ready.receive().status == 503);
    // Callers with an older directory response are still served for a short time.
    CallerRequest late;
    late.id = "late";
    late.target = "/read/x";
    late.tokens.clear();
    CHECK(cluster.nodes.sendRequest(1, late).status == 200);
    caller.join();
    CHECK(response.isComplete);
    const Milliseconds stopped = monotonicNow();
    CHECK(cluster.nodes.process(1).wait() == 0);
    CHECK(monotonicNow() - stopped < 3'000_ms); // within the grace period
}

TEST_CASE("a suspended instance is declared lost and rejoins within 2 s of resuming")
{
    TestCluster cluster(subnet, 3);
    REQUIRE(cluster.isReady);
    cluster.nodes.process(0).signal(SIGSTOP);
    CHECK(reachesDirectorySize(cluster.nodes, 1, 2, 6'000_ms));
    cluster.nodes.process(0).signal(SIGCONT);
    CHECK(reachesDirectorySize(cluster.nodes, 1, 3, 2'000_ms));
    CHECK(reachesDirectorySize(cluster.nodes, 0, 3, 2'000_ms));
}

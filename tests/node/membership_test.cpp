#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "support/site.h"

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

bool becomes(const Nodes &nodes, int index, std::size_t instances, Milliseconds limit)
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

TEST_CASE("the directory names the living instances")
{
    Site site(subnet, 4);
    REQUIRE(site.isReady);
    site.nodes.process(2).kill();
    CHECK(becomes(site.nodes, 0, 3, 6'000_ms));
    site.nodes.start(2);
    CHECK(becomes(site.nodes, 0, 4, 3'000_ms));
    CHECK(becomes(site.nodes, 2, 4, 3'000_ms));
}

TEST_CASE("an instance that restarts while the first contacts are down finds the others")
{
    Site site(subnet, 5);
    REQUIRE(site.isReady);
    for (const int contact : { 0, 1, 2 })
        site.nodes.process(contact).kill();
    site.nodes.process(4).kill();
    usleep(3'000'000);
    site.nodes.start(4);
    CHECK(becomes(site.nodes, 4, 2, 6'000_ms));
}

TEST_CASE("an instance told to stop leaves the directory at once and finishes what it has")
{
    Site site(subnet, 3);
    REQUIRE(site.isReady);
    site.standIn.setScript(slowStream);
    CallerRequest request;
    request.id = "under-way";
    Answer answer;
    std::thread caller([&] { answer = site.nodes.ask(1, request); });
    usleep(200'000);
    site.nodes.process(1).signal(SIGTERM);
    CHECK(becomes(site.nodes, 0, 2, 500_ms));
    Caller ready(site.nodes.readinessAddress(1));
    ready.send("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n");
    CHECK(ready.receive().status == 503);
    // Callers that have an older answer of the directory are served for a moment.
    CallerRequest late;
    late.id = "late";
    late.target = "/read/x";
    late.tokens.clear();
    CHECK(site.nodes.ask(1, late).status == 200);
    caller.join();
    CHECK(answer.isComplete);
    const Milliseconds stopped = monotonicNow();
    CHECK(site.nodes.process(1).wait() == 0);
    CHECK(monotonicNow() - stopped < 3'000_ms); // within the grace
}

TEST_CASE("an instance that was frozen names the others again soon after")
{
    Site site(subnet, 3);
    REQUIRE(site.isReady);
    site.nodes.process(0).signal(SIGSTOP);
    CHECK(becomes(site.nodes, 1, 2, 6'000_ms));
    site.nodes.process(0).signal(SIGCONT);
    CHECK(becomes(site.nodes, 1, 3, 2'000_ms));
    CHECK(becomes(site.nodes, 0, 3, 2'000_ms));
}

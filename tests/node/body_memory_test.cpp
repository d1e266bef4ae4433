// Requests with large bodies and the memory of an instance.

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 33;
constexpr int memoryMb = 160;
constexpr std::size_t bodyBytes = 4'000'000;
constexpr int callersAtOnce = 24;

// The configuration of the tests with bodies of up to 4 MiB.
std::string largeBodyConfiguration()
{
    std::string text = testConfiguration(2);
    const std::string limit = "\"bodyBytes\":200000";
    text.replace(text.find(limit), limit.size(), "\"bodyBytes\":4194304");
    return text;
}

struct MemoryCluster : TestCluster
{
    MemoryCluster()
        : TestCluster(subnet)
    {
        standIn.put("op/config", largeBodyConfiguration());
        standIn.setScript([](const Arrival &arrival) {
            Script script;
            script.events = 0;
            script.firstEventDelay = arrival.body.empty() ? 1_ms : 300_ms;
            return script;
        });
        nodes.setMemory(memoryMb);
        nodes.start(0);
        isReady = nodes.waitReady(1);
    }
};

std::string chunked(const CallerRequest &request)
{
    CallerRequest head = request;
    head.body.clear();
    head.extraFields += "Transfer-Encoding: chunked\r\n";
    std::string text = head.text();
    http::appendChunk(text, request.body);
    return text + std::string(http::lastChunk);
}

} // namespace

// Guards against a burst of large requests that ends an instance, with all requests that it has in
// hand.
TEST_CASE("a burst of large requests stays within the memory of an instance")
{
    MemoryCluster cluster;
    REQUIRE(cluster.isReady);
    std::atomic<bool> isOver = false;
    std::atomic<long> mostMb = 0;
    std::atomic<int> calmFailures = 0;
    std::thread watcher([&] {
        while (!isOver) {
            mostMb = std::max<long>(mostMb, cluster.nodes.process(0).residentMb());
            usleep(2'000);
        }
    });
    std::thread calm([&] {
        for (int i = 0; !isOver; ++i) {
            const CallerRequest request = plainRequest("read", "calm-" + std::to_string(i));
            calmFailures += cluster.nodes.sendRequest(0, request).status == 200 ? 0 : 1;
        }
    });
    std::vector<Response> responses(callersAtOnce);
    std::vector<std::thread> callers;
    callers.reserve(callersAtOnce);
    for (int i = 0; i < callersAtOnce; ++i) {
        callers.emplace_back([&, i] {
            CallerRequest request = plainRequest("pay", "large-" + std::to_string(i));
            request.body = std::string(bodyBytes, 'b');
            Caller caller(cluster.nodes.callerAddress(0));
            try {
                caller.send(i % 2 == 0 ? request.text() : chunked(request));
                responses[static_cast<std::size_t>(i)] = caller.receive("POST");
            } catch (const Poco::Exception &) {
                // The connection was reset: there is no response.
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    isOver = true;
    watcher.join();
    calm.join();
    int served = 0;
    for (int i = 0; i < callersAtOnce; ++i) {
        const Response &response = responses[static_cast<std::size_t>(i)];
        const std::string id = "large-" + std::to_string(i);
        CAPTURE(id);
        CHECK(response.isComplete);
        served += response.status == 200 ? 1 : 0;
        if (response.status == 200)
            continue;
        CHECK(response.status == 503);
        CHECK(response.field("Request-Id") == id);
        CHECK(std::stod("0" + response.field("Retry-After")) > 0);
        CHECK(cluster.standIn.arrivalsOf(id).empty());
    }
    CHECK(served > 0);
    CHECK(calmFailures == 0);
    CHECK(mostMb.load() < memoryMb);
    CHECK(cluster.nodes.process(0).isRunning());
    // The memory is free again.
    CallerRequest request = plainRequest("pay", "afterwards");
    request.body = std::string(bodyBytes, 'b');
    CHECK(cluster.nodes.sendRequest(0, request).status == 200);
    CHECK(cluster.standIn.arrivalsOf("afterwards").at(0).body == request.body);
}

// Guards against large bodies that pass by the limit: the directory reads none.
TEST_CASE("a large body for the directory is refused")
{
    MemoryCluster cluster;
    REQUIRE(cluster.isReady);
    Caller caller(cluster.nodes.directoryAddress(0));
    caller.send("GET /v1/resolve?name=x.example&region=r&zone=z1 HTTP/1.1\r\nHost: d\r\n"
                "Content-Length: 4000000\r\n\r\n");
    CHECK(caller.receive("GET").status == 413);
}

// Guards against a reset that takes the refusal from a caller which is still sending its request.
TEST_CASE("a caller that is refused while it sends its body receives the refusal")
{
    MemoryCluster cluster;
    REQUIRE(cluster.isReady);
    Caller caller(cluster.nodes.callerAddress(0));
    CallerRequest request = plainRequest("pay", "slow-sender");
    request.extraFields = "Content-Length: 5000000\r\n";
    caller.send(request.text());
    try {
        for (int i = 0; i < 10; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            caller.send(std::string(500'000, 'b'));
        }
        CHECK(caller.receive("POST").status == 413);
    } catch (const Poco::Exception &error) {
        FAIL("the connection was reset: ", error.displayText());
    }
    CHECK(caller.waitForEnd(1'500_ms) == ConnectionEnd::Closed);
}

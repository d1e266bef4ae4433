// Many callers that read slowly, and the memory of an instance.

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

constexpr int subnet = 34;
constexpr int memoryMb = 112; // of the smallest instances
constexpr int callersAtOnce = 450;
constexpr std::size_t responseBytes = 2'000'000;

} // namespace

// Guards against an instance that is ended because many callers read nothing for a while.
TEST_CASE("responses to many slow callers stay within the memory of an instance")
{
    TestCluster cluster(subnet);
    cluster.nodes.setMemory(memoryMb);
    cluster.nodes.start(0);
    REQUIRE(cluster.nodes.waitReady(1));
    cluster.standIn.setScript([](const Arrival &arrival) {
        Script script;
        script.events = 0;
        script.body = std::string(arrival.requestId == "calm" ? 10 : responseBytes, 'r');
        return script;
    });
    std::atomic<bool> isOver = false;
    std::atomic<long> mostMb = 0;
    std::thread watcher([&] {
        while (!isOver) {
            mostMb = std::max<long>(mostMb, cluster.nodes.process(0).residentMb());
            usleep(2'000);
        }
    });
    std::atomic<int> whole = 0;
    std::vector<std::thread> callers;
    callers.reserve(callersAtOnce);
    for (int i = 0; i < callersAtOnce; ++i) {
        callers.emplace_back([&, i] {
            CallerRequest request = plainRequest("read", "slow-" + std::to_string(i));
            Caller caller(cluster.nodes.callerAddress(0), 8'192);
            caller.send(request.text());
            usleep(1'200'000);
            const Response response = caller.receive("POST", 10'000_ms);
            whole += response.isComplete && response.body.size() == responseBytes ? 1 : 0;
        });
    }
    usleep(600'000);
    CHECK(cluster.nodes.sendRequest(0, plainRequest("read", "calm")).status == 200);
    for (std::thread &caller : callers)
        caller.join();
    isOver = true;
    watcher.join();
    CHECK(mostMb.load() < memoryMb);
    CHECK(whole.load() > 0);
    MESSAGE("most memory ", mostMb.load(), " MB, whole responses ", whole.load());
}

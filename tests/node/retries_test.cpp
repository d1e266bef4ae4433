#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 12;

// Uses the script `first` for the first attempt of each request; later attempts succeed.
std::function<Script(const Arrival &)> failFirstAttempt(const Script &first)
{
    const std::shared_ptr<std::set<std::string>> seen = std::make_shared<std::set<std::string>>();
    return [first, seen](const Arrival &arrival) {
        if (seen->insert(arrival.requestId).second)
            return first;
        Script good;
        good.events = 0;
        return good;
    };
}

Script brokenScript()
{
    Script script;
    script.events = 0;
    script.resetAfterEvents = 0;
    return script;
}

Script plainScript(int status = 200)
{
    Script script;
    script.events = 0;
    script.status = status;
    return script;
}

} // namespace

TEST_CASE("an at-most-once request whose response is lost is not retried")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(failFirstAttempt(brokenScript()));
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "once"));
    CHECK(response.status == 502); // not 503: the request may have been executed
    CHECK(cluster.standIn.arrivalsOf("once").size() == 1);
}

TEST_CASE("an idempotent request whose response is lost is retried at another target")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(failFirstAttempt(brokenScript()));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("read", "again")).status == 200);
    const std::vector<Arrival> arrivals = cluster.standIn.arrivalsOf("again");
    REQUIRE(arrivals.size() == 2);
    CHECK(arrivals[0].target != arrivals[1].target);
}

TEST_CASE("a declined request is sent to another target and refused with 503 if all decline")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Script declined;
    declined.declines = true;
    cluster.standIn.setScript(failFirstAttempt(declined));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("pay", "declined")).status == 200);
    cluster.standIn.setScript([declined](const Arrival &) { return declined; });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "full"));
    CHECK(response.status == 503);
    CHECK(response.field("Retry-After") != "");
    for (const Arrival &arrival : cluster.standIn.arrivalsOf("full"))
        CHECK_FALSE(arrival.ran);
}

TEST_CASE("an idempotent request is retried after a 500; the last 500 is returned to the caller")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(failFirstAttempt(plainScript(500)));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("read", "fails-once")).status == 200);
    cluster.standIn.setScript([](const Arrival &) { return plainScript(500); });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("read", "fails"));
    CHECK(response.status == 500);
    CHECK(response.field("Response-Signature") != ""); // the response comes from a target
    CHECK(cluster.standIn.arrivalsOf("fails").size() == 2); // the route allows two targets
    CHECK(cluster.nodes.sendRequest(0, plainRequest("pay", "pay-fails")).status == 500);
    CHECK(cluster.standIn.arrivalsOf("pay-fails").size() == 1);
}

TEST_CASE("responses to other requests and malformed bytes do not reach the caller")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Script unrelated = plainScript();
    unrelated.sendsWrongRequestId = true;
    unrelated.body = "somebody else's";
    cluster.standIn.setScript(failFirstAttempt(unrelated));
    CallerRequest request = plainRequest("read", "foreign");
    request.deadlineMs = 1'500;
    const Response first = cluster.nodes.sendRequest(0, request);
    CHECK(first.body != "somebody else's");
    Script garbage;
    garbage.sendsMalformedResponse = true;
    cluster.standIn.setScript(failFirstAttempt(garbage));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("read", "garbage")).status == 200);
    Script extra = plainScript();
    extra.sendsExtraResponse = true;
    extra.body = "mine";
    cluster.standIn.setScript([extra](const Arrival &) { return extra; });
    for (int i = 0; i < 10; ++i) {
        const Response response =
            cluster.nodes.sendRequest(0, plainRequest("read", "extra-" + std::to_string(i)));
        CHECK(response.status == 200);
        CHECK(response.body == "mine");
    }
}

TEST_CASE("a request does not run at an address that now belongs to another target")
{
    TestCluster cluster(subnet, 1, 1, 1);
    REQUIRE(cluster.isReady);
    // The registry entry of the only target now holds the address of an engine.
    cluster.standIn.put("servers/i-51",
                        "{\"service\":\"app\",\"address\":\"" + cluster.standIn.address(101, 8080)
                            + "\",\"zone\":\"z1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,"
                              "\"born\":9,\"sequence\":1}");
    usleep(300'000);
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "moved"));
    CHECK(response.status == 503);
    for (const Arrival &arrival : cluster.standIn.arrivalsOf("moved"))
        CHECK_FALSE(arrival.ran);
}

TEST_CASE("after a target was killed, requests still succeed within 700 ms")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) { return plainScript(); });
    cluster.standIn.killTarget(51);
    for (int i = 0; i < 10; ++i) {
        const Response response =
            cluster.nodes.sendRequest(0, plainRequest("pay", "p" + std::to_string(i)));
        CHECK(response.status == 200);
        CHECK(response.elapsed < 700_ms);
    }
}

TEST_CASE("a request without a response gets a 504 at its route's timeout")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Script unresponsive;
    unresponsive.neverResponds = true;
    cluster.standIn.setScript([unresponsive](const Arrival &) { return unresponsive; });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "silent"));
    CHECK(response.status == 504);
    CHECK(response.elapsed >= 1'900_ms);
    CHECK(response.elapsed < 2'500_ms);
    CHECK(cluster.standIn.arrivalsOf("silent").size() == 1);
}

TEST_CASE("the number of retries stays within the instance's share of the retry budget")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) { return brokenScript(); });
    constexpr int requests = 150;
    for (int i = 0; i < requests; ++i)
        cluster.nodes.sendRequest(0, plainRequest("read", "b" + std::to_string(i)));
    const std::size_t retries = cluster.standIn.arrivals().size() - requests;
    CHECK(retries > 10);
    CHECK(retries <= 0.2 * requests + 104);
}

// Guards against a crash if a connection turns out to have ended as a request is written.
TEST_CASE("requests with bodies are answered while connections to targets are reset")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) { return plainScript(); });
    std::atomic<int> unanswered = 0;
    std::vector<std::thread> callers;
    const Milliseconds end = monotonicNow() + 3'000_ms;
    for (const char *route : { "read", "pay", "read", "pay" }) {
        callers.emplace_back([&, route, caller = callers.size()] {
            for (int i = 0; monotonicNow() < end; ++i) {
                const std::string id = std::to_string(caller) + '-' + std::to_string(i);
                CallerRequest request = plainRequest(route, id);
                request.body = std::string(20'000, 'b');
                try {
                    const Response response = cluster.nodes.sendRequest(0, request);
                    unanswered += response.isComplete ? 0 : 1;
                } catch (const Poco::Exception &) {
                    ++unanswered;
                }
            }
        });
    }
    // Resets hit connections at any moment, also between the end of connecting and the first write.
    for (bool isCut = true; monotonicNow() < end; isCut = !isCut) {
        cluster.nodes.setCut(0, isCut ? CutMode::Reset : CutMode::None);
        usleep(3'000);
    }
    for (std::thread &caller : callers)
        caller.join();
    CHECK(unanswered == 0);
    CHECK(cluster.nodes.process(0).isRunning());
}

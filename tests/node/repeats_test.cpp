#include <doctest/doctest.h>

#include <mutex>
#include <set>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 12;

// The first arrival of each request meets `first`, later ones are answered.
std::function<Script(const Arrival &)> failFirst(const Script &first)
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

Script broken()
{
    Script script;
    script.events = 0;
    script.resetAfterEvents = 0;
    return script;
}

Script plain(int status = 200)
{
    Script script;
    script.events = 0;
    script.status = status;
    return script;
}

} // namespace

TEST_CASE("an at-most-once request whose answer is lost is not sent again")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(failFirst(broken()));
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "once"));
    CHECK(response.status == 502); // promises nothing: it has run
    CHECK(cluster.standIn.arrivalsOf("once").size() == 1);
}

TEST_CASE("an idempotent request whose answer is lost is sent to another target")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(failFirst(broken()));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("read", "again")).status == 200);
    const std::vector<Arrival> arrivals = cluster.standIn.arrivalsOf("again");
    REQUIRE(arrivals.size() == 2);
    CHECK(arrivals[0].target != arrivals[1].target);
}

TEST_CASE("a target that declines has not run the request; another one may")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Script declined;
    declined.declines = true;
    cluster.standIn.setScript(failFirst(declined));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("pay", "declined")).status == 200);
    cluster.standIn.setScript([declined](const Arrival &) { return declined; });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "full"));
    CHECK(response.status == 503);
    CHECK(response.field("Retry-After") != "");
    for (const Arrival &arrival : cluster.standIn.arrivalsOf("full"))
        CHECK_FALSE(arrival.ran);
}

TEST_CASE("a failed run of an idempotent request is repeated, the last failure is passed on")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(failFirst(plain(500)));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("read", "fails-once")).status == 200);
    cluster.standIn.setScript([](const Arrival &) { return plain(500); });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("read", "fails"));
    CHECK(response.status == 500);
    CHECK(response.field("Response-Signature") != ""); // the target's own answer
    CHECK(cluster.standIn.arrivalsOf("fails").size() == 2); // the route allows two targets
    CHECK(cluster.nodes.sendRequest(0, plainRequest("pay", "pay-fails")).status == 500);
    CHECK(cluster.standIn.arrivalsOf("pay-fails").size() == 1);
}

TEST_CASE("answers to other requests and bytes that are no answer reach no caller")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Script foreign = plain();
    foreign.sendsWrongRequestId = true;
    foreign.body = "somebody else's";
    cluster.standIn.setScript(failFirst(foreign));
    CallerRequest request = plainRequest("read", "foreign");
    request.deadlineMs = 1'500;
    const Response first = cluster.nodes.sendRequest(0, request);
    CHECK(first.body != "somebody else's");
    Script garbage;
    garbage.sendsMalformedResponse = true;
    cluster.standIn.setScript(failFirst(garbage));
    CHECK(cluster.nodes.sendRequest(0, plainRequest("read", "garbage")).status == 200);
    Script extra = plain();
    extra.sendsExtraResponse = true;
    extra.body = "mine";
    cluster.standIn.setScript([extra](const Arrival &) { return extra; });
    for (int i = 0; i < 10; ++i) {
        const Response response = cluster.nodes.sendRequest(0, plainRequest("read", "extra-" + std::to_string(i)));
        CHECK(response.status == 200);
        CHECK(response.body == "mine");
    }
}

TEST_CASE("an address that another target has taken over does not run the request")
{
    TestCluster cluster(subnet, 1, 1, 1);
    REQUIRE(cluster.isReady);
    // The only target's entry now names the address of an engine.
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

TEST_CASE("a target that is gone costs a request nothing but a moment")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) { return plain(); });
    cluster.standIn.killTarget(51);
    for (int i = 0; i < 10; ++i) {
        const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "p" + std::to_string(i)));
        CHECK(response.status == 200);
        CHECK(response.elapsed < 700_ms);
    }
}

TEST_CASE("a request that is not answered ends at its route's time-out")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Script silent;
    silent.neverResponds = true;
    cluster.standIn.setScript([silent](const Arrival &) { return silent; });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "silent"));
    CHECK(response.status == 504);
    CHECK(response.elapsed >= 1'900_ms);
    CHECK(response.elapsed < 2'500_ms);
    CHECK(cluster.standIn.arrivalsOf("silent").size() == 1);
}

TEST_CASE("repeats stop at this instance's share of the budget")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) { return broken(); });
    constexpr int requests = 150;
    for (int i = 0; i < requests; ++i)
        cluster.nodes.sendRequest(0, plainRequest("read", "b" + std::to_string(i)));
    const std::size_t repeats = cluster.standIn.arrivals().size() - requests;
    CHECK(repeats > 10);
    CHECK(repeats <= 0.2 * requests + 104);
}

#include <doctest/doctest.h>

#include <mutex>
#include <set>

#include "support/site.h"

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
    script.breakAfter = 0;
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
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(failFirstAttempt(brokenScript()));
    const Answer answer = site.nodes.ask(0, plainRequest("pay", "once"));
    CHECK(answer.status == 502); // not 503: the request may have been executed
    CHECK(site.standIn.arrivalsOf("once").size() == 1);
}

TEST_CASE("an idempotent request whose response is lost is retried at another target")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(failFirstAttempt(brokenScript()));
    CHECK(site.nodes.ask(0, plainRequest("read", "again")).status == 200);
    const std::vector<Arrival> arrivals = site.standIn.arrivalsOf("again");
    REQUIRE(arrivals.size() == 2);
    CHECK(arrivals[0].target != arrivals[1].target);
}

TEST_CASE("a declined request is sent to another target and refused with 503 if all decline")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    Script declined;
    declined.declines = true;
    site.standIn.setScript(failFirstAttempt(declined));
    CHECK(site.nodes.ask(0, plainRequest("pay", "declined")).status == 200);
    site.standIn.setScript([declined](const Arrival &) { return declined; });
    const Answer answer = site.nodes.ask(0, plainRequest("pay", "full"));
    CHECK(answer.status == 503);
    CHECK(answer.field("Retry-After") != "");
    for (const Arrival &arrival : site.standIn.arrivalsOf("full"))
        CHECK_FALSE(arrival.ran);
}

TEST_CASE("an idempotent request is retried after a 500; the last 500 is returned to the caller")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(failFirstAttempt(plainScript(500)));
    CHECK(site.nodes.ask(0, plainRequest("read", "fails-once")).status == 200);
    site.standIn.setScript([](const Arrival &) { return plainScript(500); });
    const Answer answer = site.nodes.ask(0, plainRequest("read", "fails"));
    CHECK(answer.status == 500);
    CHECK(answer.field("Response-Signature") != ""); // the response comes from a target
    CHECK(site.standIn.arrivalsOf("fails").size() == 2); // the route allows two targets
    CHECK(site.nodes.ask(0, plainRequest("pay", "pay-fails")).status == 500);
    CHECK(site.standIn.arrivalsOf("pay-fails").size() == 1);
}

TEST_CASE("responses to other requests and malformed bytes do not reach the caller")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    Script unrelated = plainScript();
    unrelated.namesAnother = true;
    unrelated.body = "somebody else's";
    site.standIn.setScript(failFirstAttempt(unrelated));
    CallerRequest request = plainRequest("read", "foreign");
    request.deadlineMs = 1'500;
    const Answer first = site.nodes.ask(0, request);
    CHECK(first.body != "somebody else's");
    Script garbage;
    garbage.sendsGarbage = true;
    site.standIn.setScript(failFirstAttempt(garbage));
    CHECK(site.nodes.ask(0, plainRequest("read", "garbage")).status == 200);
    Script extra = plainScript();
    extra.sendsExtra = true;
    extra.body = "mine";
    site.standIn.setScript([extra](const Arrival &) { return extra; });
    for (int i = 0; i < 10; ++i) {
        const Answer answer = site.nodes.ask(0, plainRequest("read", "extra-" + std::to_string(i)));
        CHECK(answer.status == 200);
        CHECK(answer.body == "mine");
    }
}

TEST_CASE("a request does not run at an address that now belongs to another target")
{
    Site site(subnet, 1, 1, 1);
    REQUIRE(site.isReady);
    // The registry entry of the only target now holds the address of an engine.
    site.standIn.put("servers/i-51",
                     "{\"service\":\"app\",\"address\":\"" + site.standIn.address(101, 8080)
                         + "\",\"zone\":\"z1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,"
                           "\"born\":9,\"sequence\":1}");
    usleep(300'000);
    const Answer answer = site.nodes.ask(0, plainRequest("pay", "moved"));
    CHECK(answer.status == 503);
    for (const Arrival &arrival : site.standIn.arrivalsOf("moved"))
        CHECK_FALSE(arrival.ran);
}

TEST_CASE("after a target was killed, requests still succeed within 700 ms")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript([](const Arrival &) { return plainScript(); });
    site.standIn.killTarget(51);
    for (int i = 0; i < 10; ++i) {
        const Answer answer = site.nodes.ask(0, plainRequest("pay", "p" + std::to_string(i)));
        CHECK(answer.status == 200);
        CHECK(answer.took < 700_ms);
    }
}

TEST_CASE("a request without a response gets a 504 at its route's timeout")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    Script unresponsive;
    unresponsive.isSilent = true;
    site.standIn.setScript([unresponsive](const Arrival &) { return unresponsive; });
    const Answer answer = site.nodes.ask(0, plainRequest("pay", "silent"));
    CHECK(answer.status == 504);
    CHECK(answer.took >= 1'900_ms);
    CHECK(answer.took < 2'500_ms);
    CHECK(site.standIn.arrivalsOf("silent").size() == 1);
}

TEST_CASE("the number of retries stays within the instance's share of the retry budget")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript([](const Arrival &) { return brokenScript(); });
    constexpr int requests = 150;
    for (int i = 0; i < requests; ++i)
        site.nodes.ask(0, plainRequest("read", "b" + std::to_string(i)));
    const std::size_t retries = site.standIn.arrivals().size() - requests;
    CHECK(retries > 10);
    CHECK(retries <= 0.2 * requests + 104);
}

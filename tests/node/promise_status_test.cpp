// Statuses that callers take for the promise that a request has not run: 408, 421, 429 and 503.

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <vector>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 36;
// More than an instance buffers of a response before it passes it on.
constexpr std::size_t largeBody = 3'000'000;

CallerRequest requestTo(const std::string &route, const std::string &id)
{
    CallerRequest request = plainRequest(route, id);
    if (route == "stream" || route == "fixed")
        request.tokens = "1000,100";
    return request;
}

/// @brief The response of a target that has run the request, byte by byte.
Script rawScript(int status, const std::string &fields, const std::string &body)
{
    Script script;
    script.precedingBytes = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
                            + "Response-Signature: s\r\nConnection: close\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body;
    script.neverResponds = true; // nothing more
    return script;
}

std::string idField(const std::string &id)
{
    return "Request-Id: " + id + "\r\n";
}

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

int runsOf(const StandIn &standIn, const std::string &id)
{
    int runs = 0;
    for (const Arrival &arrival : standIn.arrivalsOf(id))
        runs += arrival.ran ? 1 : 0;
    return runs;
}

/// @brief Checks the answer to a request that has run once and may not run again.
void checkPromisesNothing(const TestCluster &cluster, const std::string &id,
                          const Response &response)
{
    CAPTURE(response.status);
    CHECK(runsOf(cluster.standIn, id) == 1);
    CHECK_FALSE(isPromise(response.status));
    CHECK(response.status == 502);
    CHECK(response.field("Response-Signature") == "");
    CHECK(response.field("Retry-After") == "");
    CHECK(response.elapsed < 1'000_ms); // final, so it is not held back
}

} // namespace

// Guards against callers who repeat a request that has run, because the status promises otherwise.
TEST_CASE("a status that promises \"not run\" is not passed on for a request that may have run")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    for (const char *route : { "pay", "fixed" }) {
        for (const int status : { 408, 429, 503 }) {
            for (const std::size_t size : { std::size_t(4), largeBody }) {
                for (const bool hasId : { true, false }) {
                    CAPTURE(route);
                    CAPTURE(status);
                    CAPTURE(size);
                    CAPTURE(hasId);
                    cluster.standIn.setScript([&](const Arrival &arrival) {
                        return rawScript(status,
                                         (hasId ? idField(arrival.requestId) : "")
                                             + "Retry-After: 0\r\n",
                                         std::string(size, 'x'));
                    });
                    const std::string id = std::string(route) + std::to_string(status) + '-'
                                           + std::to_string(size) + (hasId ? "" : "-none");
                    checkPromisesNothing(cluster, id,
                                         cluster.nodes.sendRequest(0, requestTo(route, id)));
                }
            }
        }
    }
}

// Guards against a final answer that is held back while the body of a useless response arrives.
TEST_CASE("a status that is not passed on ends the request at once, though its body never ends")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &arrival) {
        Script script = rawScript(429, idField(arrival.requestId), std::string(1'000, 'x'));
        script.precedingBytes.resize(script.precedingBytes.size() - 1);
        return script;
    });
    checkPromisesNothing(cluster, "slow", cluster.nodes.sendRequest(0, requestTo("pay", "slow")));
}

// The same status of another request says nothing of this one.
TEST_CASE("a refusal with the id of another request does not answer this one")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    for (const int status : { 408, 421, 429, 503 }) {
        CAPTURE(status);
        cluster.standIn.setScript([&](const Arrival &) {
            return rawScript(status, idField("another") + "Not-Executed: 1\r\n", "");
        });
        const std::string id = "other" + std::to_string(status);
        CallerRequest request = requestTo("pay", id);
        request.deadlineMs = 600;
        CHECK_FALSE(isPromise(cluster.nodes.sendRequest(0, request).status));
        CHECK(runsOf(cluster.standIn, id) == 1);
    }
}

// Guards against a promise that another instance passes back, or makes up.
TEST_CASE("a relayed request that may have run gets no status that promises \"not run\"")
{
    TestCluster cluster(subnet, 2);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &arrival) {
        const std::string &id = arrival.requestId;
        const int status = id.find("early") == 0 ? 200 : std::stoi(id.substr(id.find('-') + 1));
        return rawScript(status, idField(id), "x");
    });
    REQUIRE(cutFirstInstance(cluster, requestTo("read", "early")));
    for (const char *route : { "pay", "fixed" }) {
        for (const int status : { 408, 429, 503 }) {
            CAPTURE(route);
            CAPTURE(status);
            const std::string id = std::string(route) + '-' + std::to_string(status);
            checkPromisesNothing(cluster, id, cluster.nodes.sendRequest(0, requestTo(route, id)));
        }
    }
}

// Repeatable requests are tried elsewhere, and their callers get the last status unchanged.
TEST_CASE("a repeatable request is retried after a 408, 429 or 503 and keeps the last of them")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    for (const int status : { 408, 429, 503 }) {
        CAPTURE(status);
        std::atomic<int> left = 1;
        cluster.standIn.setScript([&](const Arrival &arrival) {
            return left-- > 0 ? rawScript(status, idField(arrival.requestId), "x")
                              : rawScript(200, idField(arrival.requestId), "served");
        });
        const std::string once = "once" + std::to_string(status);
        CHECK(cluster.nodes.sendRequest(0, requestTo("read", once)).body == "served");
        left = 10;
        const std::string always = "always" + std::to_string(status);
        const Response response = cluster.nodes.sendRequest(0, requestTo("read", always));
        CHECK(response.status == status);
        CHECK(response.field("Response-Signature") == "s");
        CHECK(cluster.standIn.arrivalsOf(always).size() == 2);
    }
}

// Guards against a promise after a refused send: the second target has run the request.
TEST_CASE("a request that a target refused and the next one ran gets no status of a promise")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    for (const int status : { 408, 429, 503 }) {
        CAPTURE(status);
        std::atomic<int> sends = 0;
        cluster.standIn.setScript([&](const Arrival &arrival) {
            if (sends++ > 0)
                return rawScript(status, idField(arrival.requestId), "x");
            Script refusal;
            refusal.declines = true;
            return refusal;
        });
        const std::string id = "refused" + std::to_string(status);
        checkPromisesNothing(cluster, id, cluster.nodes.sendRequest(0, requestTo("pay", id)));
        CHECK(sends == 2);
    }
}

// A resumable stream may run again, so its caller may read the last status as a promise.
TEST_CASE("a resumable stream is retried after a 408, 429 or 503 and keeps the last of them")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    for (const int status : { 408, 429, 503 }) {
        CAPTURE(status);
        std::atomic<int> left = 1;
        cluster.standIn.setScript([&](const Arrival &arrival) {
            return left-- > 0 ? rawScript(status, idField(arrival.requestId), "x") : Script();
        });
        const std::string once = "stream-once" + std::to_string(status);
        const Response served = cluster.nodes.sendRequest(0, requestTo("stream", once));
        CHECK(served.status == 200);
        CHECK(served.isComplete);
        left = 10;
        const std::string always = "stream-always" + std::to_string(status);
        const Response failed = cluster.nodes.sendRequest(0, requestTo("stream", always));
        CHECK(failed.status == status);
        CHECK(failed.field("Response-Signature") == "s");
        CHECK(cluster.standIn.arrivalsOf(always).size() == 2);
    }
}

// The other side of the rule: a true refusal stays one, and says when to return.
TEST_CASE("a request that its targets state not to have run is refused with Retry-After")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    for (const int status : { 408, 421, 429, 503 }) {
        CAPTURE(status);
        cluster.standIn.setScript([&](const Arrival &arrival) {
            return rawScript(
                status, idField(arrival.requestId) + (status == 421 ? "" : "Not-Executed: 1\r\n"),
                "");
        });
        const std::string id = "declined" + std::to_string(status);
        const Response response = cluster.nodes.sendRequest(0, requestTo("pay", id));
        CHECK(response.status == 503);
        CHECK(response.field("Retry-After") != "");
    }
}

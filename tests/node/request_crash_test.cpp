#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/crashing_targets.h"
#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 25;
constexpr int instances = 3;

// Time within which all instances know what one of them has learnt.
constexpr Milliseconds contactTime = 3'000_ms;
// Time after which a crashed target is back.
constexpr Milliseconds restartTime = 700_ms;

const std::string badBody = "{\"order\":\"bad\"}";

bool isBad(const Arrival &arrival)
{
    return arrival.body == badBody;
}

// A target that ends as soon as it runs the bad request.
Script crashingScript(const Arrival &arrival)
{
    Script script;
    script.events = arrival.head.target.compare(0, 8, "/stream/") == 0 ? 4 : 0;
    if (isBad(arrival)) {
        script.firstEventDelay = 60_ms;
        script.crashes = true;
    }
    return script;
}

// All requests are alike, except for what is new in each attempt of a caller.
CallerRequest badRequest(const std::string &route, int number)
{
    CallerRequest request = plainRequest(route, "bad" + std::to_string(number));
    request.deadlineMs = 1'500 + number;
    request.extraFields = "Trace: " + std::to_string(number) + "\r\n";
    request.body = badBody;
    return request;
}

CallerRequest soundRequest(const std::string &route, int number)
{
    CallerRequest request = plainRequest(route, "sound" + std::to_string(number));
    request.body = "{\"order\":" + std::to_string(number) + '}';
    return request;
}

// A caller that sends the body in chunks.
Response sendChunked(const Nodes &nodes, int instance, CallerRequest request)
{
    std::string chunks;
    http::appendChunk(chunks, std::string_view(request.body).substr(0, 4));
    http::appendChunk(chunks, std::string_view(request.body).substr(4));
    request.extraFields += "Transfer-Encoding: chunked\r\n";
    request.body.clear();
    Caller caller(nodes.callerAddress(instance));
    caller.send(request.text() + chunks + std::string(http::lastChunk));
    return caller.receive(request.method);
}

std::vector<Milliseconds> badArrivals(const StandIn &standIn)
{
    return arrivalTimes(standIn, isBad);
}

struct Outcome
{
    int refused = 0; ///< Bad requests that were answered as not executed.
    int refusedButSent = 0;
    int sound = 0;
    int soundServed = 0;
    Milliseconds slowestRefusal;
};

// Sends the bad request again and again, and sound ones of the same caller to the same route,
// through all instances in turn.
Outcome sendRequests(TestCluster &cluster, const std::string &route, Milliseconds duration,
                     Milliseconds soundFrom)
{
    Outcome outcome;
    Restarts restarts(cluster.standIn, isBad, restartTime);
    const Milliseconds start = monotonicNow();
    for (int i = 0; monotonicNow() - start < duration; ++i) {
        restarts.update();
        const CallerRequest bad = badRequest(route, i);
        const Response response = i % 2 == 0 ? cluster.nodes.sendRequest(i % instances, bad)
                                             : sendChunked(cluster.nodes, i % instances, bad);
        const bool isLearnt = monotonicNow() - start >= soundFrom;
        if (response.status == 503) {
            ++outcome.refused;
            outcome.refusedButSent += cluster.standIn.arrivalsOf(bad.id).empty() ? 0 : 1;
            if (isLearnt)
                outcome.slowestRefusal = std::max(outcome.slowestRefusal, response.elapsed);
        }
        const Response sound =
            cluster.nodes.sendRequest((i + 1) % instances, soundRequest(route, i));
        if (isLearnt) {
            ++outcome.sound;
            outcome.soundServed += sound.status == 200 && sound.isComplete ? 1 : 0;
        }
        sleepFor(40_ms);
    }
    return outcome;
}

void checkRepeats(const std::string &route)
{
    TestCluster cluster(subnet, instances, 3, 3);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(crashingScript);
    const Outcome outcome = sendRequests(cluster, route, 7'000_ms, 3'000_ms);
    const std::vector<Milliseconds> arrivals = badArrivals(cluster.standIn);
    CAPTURE(arrivals.size());
    CHECK(arrivals.size() >= 3); // there was something to learn from
    CHECK(countLater(arrivals, 2, contactTime) <= 3);
    CHECK(outcome.refused > 10);
    CHECK(outcome.refusedButSent == 0);
    CHECK(outcome.slowestRefusal < 200_ms);
    REQUIRE(outcome.sound >= 20);
    CHECK(outcome.soundServed == outcome.sound);
}

} // namespace

// Guards against a request without a prompt that comes again and crashes one target after the
// other.
TEST_CASE("a plain request that has crashed targets reaches no more of them")
{
    checkRepeats("read");
}

TEST_CASE("an at-most-once request that has crashed targets reaches no more of them")
{
    checkRepeats("pay");
}

// Guards against a prompt that has no shared part to be recognised by.
TEST_CASE("a stream that has crashed engines reaches no more of them")
{
    checkRepeats("stream");
}

// Guards against an instance that has just started and sends a request that the others refuse.
TEST_CASE("a restarted instance learns from the others which requests crash targets")
{
    TestCluster cluster(subnet, instances, 1, 3);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(crashingScript);
    sendRequests(cluster, "read", 2'500_ms, 2'500_ms);
    cluster.nodes.process(0).kill();
    cluster.nodes.start(0);
    REQUIRE(cluster.nodes.waitReady(instances));
    sleepFor(1'500_ms);
    const std::size_t before = badArrivals(cluster.standIn).size();
    for (int i = 0; i < 6; ++i) {
        CHECK(cluster.nodes.sendRequest(0, badRequest("read", 1'000 + i)).status == 503);
        CHECK(cluster.nodes.sendRequest(0, soundRequest("read", 1'000 + i)).status == 200);
    }
    CHECK(badArrivals(cluster.standIn).size() == before);
}

// Guards against a repeat that crashes one more target with a request under which others crashed.
TEST_CASE("a plain request is not repeated that has crashed another target before")
{
    TestCluster cluster(subnet, 1, 1, 5);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(crashingScript);
    cluster.nodes.sendRequest(0, badRequest("read", 1));
    CHECK(cluster.standIn.arrivalsOf("bad1").size() <= 2);
    CHECK(cluster.nodes.sendRequest(0, badRequest("read", 2)).status == 502); // it may have run
    CHECK(cluster.standIn.arrivalsOf("bad2").size() == 1);
}

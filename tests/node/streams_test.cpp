#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <set>
#include <thread>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 13;

CallerRequest streamRequest(const std::string &route, const std::string &id)
{
    CallerRequest request;
    request.target = '/' + route + "/x";
    request.id = id;
    request.body = "prompt";
    return request;
}

std::string eventsFrom(int first, int last)
{
    std::string text;
    for (int i = first; i <= last; ++i)
        text += "id: " + std::to_string(i) + "\ndata: event " + std::to_string(i) + "\n\n";
    return text;
}

std::function<Script(const Arrival &)> breakFirstAttempt(int after, bool inEvent, int events = 8)
{
    const std::shared_ptr<std::set<std::string>> seen = std::make_shared<std::set<std::string>>();
    return [=](const Arrival &arrival) {
        Script script;
        script.events = events;
        if (seen->insert(arrival.requestId).second) {
            script.resetAfterEvents = after;
            script.resetsInsideEvent = inEvent;
        }
        return script;
    };
}

} // namespace

TEST_CASE("a stream is forwarded completely and without buffering")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 10;
        script.eventGap = 50_ms;
        return script;
    });
    Caller caller(cluster.nodes.callerAddress(0));
    const Milliseconds start = monotonicNow();
    caller.send(streamRequest("stream", "s").text());
    const Response early = caller.receive("POST", 200_ms);
    CHECK(early.status == 200);
    CHECK(early.body.size() > 10); // events arrive before the stream ends
    const Response whole = cluster.nodes.sendRequest(0, streamRequest("stream", "t"));
    CHECK(whole.isComplete);
    CHECK(whole.body == eventsFrom(1, 10));
    CHECK(whole.field("Content-Type") == "text/event-stream");
    CHECK(monotonicNow() - start < 3'000_ms);
}

TEST_CASE("a broken resumable stream resumes at another target after the last event received")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    for (const bool inEvent : { false, true }) {
        CAPTURE(inEvent);
        const std::string id = inEvent ? "in" : "between";
        cluster.standIn.setScript(breakFirstAttempt(3, inEvent));
        const Response response = cluster.nodes.sendRequest(0, streamRequest("stream", id));
        CHECK(response.isComplete);
        CHECK(response.body == eventsFrom(1, 8));
        const std::vector<Arrival> arrivals = cluster.standIn.arrivalsOf(id);
        REQUIRE(arrivals.size() == 2);
        CHECK(arrivals[0].target != arrivals[1].target);
        CHECK(http::fieldValue(arrivals[1].head.fields, "Last-Event-Id") == std::string_view("3"));
        // The response head, with its signature, comes from the first target.
        CHECK(response.field("Response-Signature") == arrivals[0].target);
    }
}

TEST_CASE("a stream that breaks before its first event restarts from the beginning")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(breakFirstAttempt(0, true));
    const Response response = cluster.nodes.sendRequest(0, streamRequest("stream", "early"));
    CHECK(response.isComplete);
    CHECK(response.body == eventsFrom(1, 8));
    const std::vector<Arrival> arrivals = cluster.standIn.arrivalsOf("early");
    REQUIRE(arrivals.size() == 2);
    CHECK_FALSE(http::fieldValue(arrivals[1].head.fields, "Last-Event-Id").has_value());
}

TEST_CASE("a broken stream that is not resumable runs once and ends incomplete")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(breakFirstAttempt(3, true));
    const Response response = cluster.nodes.sendRequest(0, streamRequest("fixed", "fixed"));
    CHECK(response.status == 200);
    CHECK_FALSE(response.isComplete);
    CHECK(response.body == eventsFrom(1, 3));
    CHECK(cluster.standIn.arrivalsOf("fixed").size() == 1);
    cluster.standIn.setScript(breakFirstAttempt(0, true));
    CHECK(cluster.nodes.sendRequest(0, streamRequest("fixed", "fixed-early")).status == 502);
    CHECK(cluster.standIn.arrivalsOf("fixed-early").size() == 1);
}

TEST_CASE("a stream that keeps breaking is sent to at most as many targets as its route allows")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 20;
        script.resetAfterEvents = 2;
        return script;
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("stream", "bad"));
    CHECK_FALSE(response.isComplete);
    CHECK(response.body == eventsFrom(1, 4));
    CHECK(cluster.standIn.arrivalsOf("bad").size() == 2);
}

TEST_CASE("a Last-Event-Id from the caller is forwarded to the target")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 8;
        return script;
    });
    CallerRequest request = streamRequest("stream", "resumes");
    request.extraFields = "Last-Event-Id: 5\r\n";
    CHECK(cluster.nodes.sendRequest(0, request).body == eventsFrom(6, 8));
}

TEST_CASE("when a caller disconnects, the send to its target is cancelled within 500 ms")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 1'000;
        script.eventGap = 20_ms;
        return script;
    });
    {
        Caller caller(cluster.nodes.callerAddress(0));
        caller.send(streamRequest("stream", "leaves").text());
        CHECK(caller.receive("POST", 200_ms).status == 200);
        caller.close();
    }
    const Milliseconds left = monotonicNow();
    while (cluster.standIn.abandoned() == 0 && monotonicNow() - left < 2'000_ms)
        usleep(10'000);
    CHECK(cluster.standIn.abandoned() == 1);
    CHECK(monotonicNow() - left < 500_ms);
}

TEST_CASE("a stream whose target stalls is sent to another target")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    const std::shared_ptr<std::set<std::string>> seen = std::make_shared<std::set<std::string>>();
    cluster.standIn.setScript([seen](const Arrival &arrival) {
        Script script;
        script.events = 6;
        script.neverResponds = seen->insert(arrival.requestId).second;
        return script;
    });
    CallerRequest request = streamRequest("stream", "quiet");
    request.deadlineMs = 5'000;
    const Response response = cluster.nodes.sendRequest(0, request);
    CHECK(response.isComplete);
    CHECK(response.body == eventsFrom(1, 6));
    CHECK(response.elapsed < 1'900_ms);
}

TEST_CASE("a stream stays at a silent target that reports work, and its prefill is not repeated")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 6;
        script.firstEventDelay = 1'800_ms; // beyond the time-out for silent targets
        return script;
    });
    CallerRequest request = streamRequest("stream", "slow");
    request.deadlineMs = 6'000;
    const Response response = cluster.nodes.sendRequest(0, request, 6'000_ms);
    CHECK(response.isComplete);
    CHECK(response.body == eventsFrom(1, 6));
    CHECK(response.elapsed < 2'300_ms);
    CHECK(cluster.standIn.arrivalsOf("slow").size() == 1);
}

namespace {

// Time after which a stream has left a silent target that reports work.
constexpr Milliseconds silence = 5'600_ms;

// A cluster with long time-outs, one of whose targets is silent in the middle of its responses.
struct SilentTargetCluster : TestCluster
{
    explicit SilentTargetCluster(const Script &next)
        : TestCluster(subnet)
    {
        std::string configuration = testConfiguration(2);
        const std::string timeout = "\"timeoutMs\":2000";
        for (std::size_t at = configuration.find(timeout); at != std::string::npos;
             at = configuration.find(timeout))
            configuration.replace(at, timeout.size(), "\"timeoutMs\":9000");
        standIn.put("op/config", configuration);
        standIn.setScript(
            [next, seen = std::make_shared<std::set<std::string>>()](const Arrival &arrival) {
                if (!seen->insert(arrival.requestId).second)
                    return next;
                Script script;
                script.events = arrival.head.target.find("/stream/") == 0 ? 2 : 0;
                script.firstEventDelay = script.events > 0 ? 10_ms : silence;
                script.eventGap = silence;
                return script;
            });
        std::this_thread::sleep_for(std::chrono::milliseconds(300)); // the configuration applies
    }

    Response send(const std::string &route, const std::string &id)
    {
        CallerRequest request = streamRequest(route, id);
        request.deadlineMs = 9'000;
        return nodes.sendRequest(0, request, 9'000_ms);
    }
};

Script declining()
{
    Script script;
    script.declines = true;
    return script;
}

} // namespace

// Guards against streams that are cut because their target is silent for a while and no other one
// takes them.
TEST_CASE("a stream stays at its silent target if the next targets decline it")
{
    SilentTargetCluster cluster(declining());
    REQUIRE(cluster.isReady);
    const Response response = cluster.send("stream", "declined");
    CHECK(response.isComplete);
    CHECK(response.body == eventsFrom(1, 2));
    CHECK(cluster.standIn.arrivalsOf("declined").size() > 1);
}

TEST_CASE("a silent target that goes on before the next one responds keeps the stream")
{
    Script silent;
    silent.neverResponds = true;
    SilentTargetCluster cluster(silent);
    REQUIRE(cluster.isReady);
    const Response response = cluster.send("stream", "both-silent");
    CHECK(response.isComplete);
    CHECK(response.body == eventsFrom(1, 2));
    CHECK(response.elapsed < 6'500_ms);
    CHECK(cluster.standIn.arrivalsOf("both-silent").size() == 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(cluster.standIn.abandoned() == 1); // the other target works for nobody
}

TEST_CASE("a stream ends at its silent target once the next one responds")
{
    Script next;
    next.events = 4;
    next.eventGap = 600_ms;
    SilentTargetCluster cluster(next);
    REQUIRE(cluster.isReady);
    const Response response = cluster.send("stream", "moved");
    CHECK(response.isComplete);
    CHECK(response.body == eventsFrom(1, 4));
    CHECK(cluster.standIn.abandoned() == 1);
}

TEST_CASE("an idempotent request stays at its slow target if the next targets decline it")
{
    SilentTargetCluster cluster(declining());
    REQUIRE(cluster.isReady);
    const Response response = cluster.send("read", "slow-read");
    CHECK(response.status == 200);
    CHECK(cluster.standIn.arrivalsOf("slow-read").size() > 1);
}

TEST_CASE("a caller that leaves ends the work at the silent target and at the next one")
{
    Script silent;
    silent.neverResponds = true;
    SilentTargetCluster cluster(silent);
    REQUIRE(cluster.isReady);
    CallerRequest request = streamRequest("stream", "left");
    request.deadlineMs = 9'000;
    {
        Caller caller(cluster.nodes.callerAddress(0));
        caller.send(request.text());
        caller.receive("POST", 5'300_ms);
    }
    CHECK(cluster.standIn.arrivalsOf("left").size() == 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(cluster.standIn.abandoned() == 2);
}

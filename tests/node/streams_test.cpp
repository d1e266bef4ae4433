#include <doctest/doctest.h>

#include <set>

#include "support/site.h"

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
            script.breakAfter = after;
            script.breaksInEvent = inEvent;
        }
        return script;
    };
}

} // namespace

TEST_CASE("a stream is forwarded completely and without buffering")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 10;
        script.gap = 50_ms;
        return script;
    });
    Caller caller(site.nodes.callerAddress(0));
    const Milliseconds start = monotonicNow();
    caller.send(streamRequest("stream", "s").text());
    const Answer early = caller.receive("POST", 200_ms);
    CHECK(early.status == 200);
    CHECK(early.body.size() > 10); // events arrive before the stream ends
    const Answer whole = site.nodes.ask(0, streamRequest("stream", "t"));
    CHECK(whole.isComplete);
    CHECK(whole.body == eventsFrom(1, 10));
    CHECK(whole.field("Content-Type") == "text/event-stream");
    CHECK(monotonicNow() - start < 3'000_ms);
}

TEST_CASE("a broken resumable stream resumes at another target after the last event received")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    for (const bool inEvent : { false, true }) {
        CAPTURE(inEvent);
        const std::string id = inEvent ? "in" : "between";
        site.standIn.setScript(breakFirstAttempt(3, inEvent));
        const Answer answer = site.nodes.ask(0, streamRequest("stream", id));
        CHECK(answer.isComplete);
        CHECK(answer.body == eventsFrom(1, 8));
        const std::vector<Arrival> arrivals = site.standIn.arrivalsOf(id);
        REQUIRE(arrivals.size() == 2);
        CHECK(arrivals[0].target != arrivals[1].target);
        CHECK(http::fieldValue(arrivals[1].head.fields, "Last-Event-Id") == std::string_view("3"));
        // The response head, with its signature, comes from the first target.
        CHECK(answer.field("Response-Signature") == arrivals[0].target);
    }
}

TEST_CASE("a stream that breaks before its first event restarts from the beginning")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(breakFirstAttempt(0, true));
    const Answer answer = site.nodes.ask(0, streamRequest("stream", "early"));
    CHECK(answer.isComplete);
    CHECK(answer.body == eventsFrom(1, 8));
    const std::vector<Arrival> arrivals = site.standIn.arrivalsOf("early");
    REQUIRE(arrivals.size() == 2);
    CHECK_FALSE(http::fieldValue(arrivals[1].head.fields, "Last-Event-Id").has_value());
}

TEST_CASE("a broken stream that is not resumable runs once and ends incomplete")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript(breakFirstAttempt(3, true));
    const Answer answer = site.nodes.ask(0, streamRequest("fixed", "fixed"));
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.isComplete);
    CHECK(answer.body == eventsFrom(1, 3));
    CHECK(site.standIn.arrivalsOf("fixed").size() == 1);
    site.standIn.setScript(breakFirstAttempt(0, true));
    CHECK(site.nodes.ask(0, streamRequest("fixed", "fixed-early")).status == 502);
    CHECK(site.standIn.arrivalsOf("fixed-early").size() == 1);
}

TEST_CASE("a stream that keeps breaking is sent to at most as many targets as its route allows")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 20;
        script.breakAfter = 2;
        return script;
    });
    const Answer answer = site.nodes.ask(0, streamRequest("stream", "bad"));
    CHECK_FALSE(answer.isComplete);
    CHECK(answer.body == eventsFrom(1, 4));
    CHECK(site.standIn.arrivalsOf("bad").size() == 2);
}

TEST_CASE("a Last-Event-Id from the caller is forwarded to the target")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 8;
        return script;
    });
    CallerRequest request = streamRequest("stream", "resumes");
    request.extraFields = "Last-Event-Id: 5\r\n";
    CHECK(site.nodes.ask(0, request).body == eventsFrom(6, 8));
}

TEST_CASE("when a caller disconnects, the send to its target is cancelled within 500 ms")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    site.standIn.setScript([](const Arrival &) {
        Script script;
        script.events = 1'000;
        script.gap = 20_ms;
        return script;
    });
    {
        Caller caller(site.nodes.callerAddress(0));
        caller.send(streamRequest("stream", "leaves").text());
        CHECK(caller.receive("POST", 200_ms).status == 200);
        caller.close();
    }
    const Milliseconds left = monotonicNow();
    while (site.standIn.abandoned() == 0 && monotonicNow() - left < 2'000_ms)
        usleep(10'000);
    CHECK(site.standIn.abandoned() == 1);
    CHECK(monotonicNow() - left < 500_ms);
}

TEST_CASE("a stream whose target stalls is sent to another target")
{
    Site site(subnet);
    REQUIRE(site.isReady);
    const std::shared_ptr<std::set<std::string>> seen = std::make_shared<std::set<std::string>>();
    site.standIn.setScript([seen](const Arrival &arrival) {
        Script script;
        script.events = 6;
        script.isSilent = seen->insert(arrival.requestId).second;
        return script;
    });
    CallerRequest request = streamRequest("stream", "quiet");
    request.deadlineMs = 5'000;
    const Answer answer = site.nodes.ask(0, request);
    CHECK(answer.isComplete);
    CHECK(answer.body == eventsFrom(1, 6));
    CHECK(answer.took < 1'900_ms);
}

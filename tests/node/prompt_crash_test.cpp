#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "support/crashing_targets.h"
#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 22;
constexpr int engines = 10;

// Time within which all instances know what one of them has learnt.
constexpr Milliseconds contactTime = 3'000_ms;
// Time after which a crashed engine is back.
constexpr Milliseconds restartTime = 600_ms;

const std::string badPart = "bad0001";

CallerRequest promptRequest(const std::string &id, const std::string &middlePart,
                            int promptTokens = 1'000)
{
    CallerRequest request;
    request.id = id;
    request.tokens = std::to_string(promptTokens) + ",100";
    request.extraFields = "Prompt-Prefix: f1257:40," + middlePart + ":700,"
                          + std::to_string(std::hash<std::string>()(id)) + ":260\r\n";
    return request;
}

bool holdsBadPart(const Arrival &arrival)
{
    const std::optional<std::string_view> parts =
        http::fieldValue(arrival.head.fields, "Prompt-Prefix");
    return parts && parts->find(badPart) != std::string_view::npos;
}

// An engine that ends with all its connections as soon as it writes on the bad part.
Script crashingScript(const Arrival &arrival)
{
    Script script;
    script.events = 4;
    if (holdsBadPart(arrival)) {
        script.firstEventDelay = 60_ms;
        script.resetAfterEvents = 0;
        script.isKilled = true;
    }
    return script;
}

std::vector<Milliseconds> badArrivals(const StandIn &standIn)
{
    return arrivalTimes(standIn, holdsBadPart);
}

// Number of requests with the bad part that reach engines later than `contactTime` after the fifth
// crash.
std::size_t lateBadArrivals(const StandIn &standIn)
{
    return countLater(badArrivals(standIn), 4, contactTime);
}

struct Outcome
{
    int sound = 0;
    int soundServed = 0;
    int refused = 0; ///< Requests with the bad part that were answered as not executed.
    int refusedButSent = 0;
    Milliseconds slowestRefusal;
};

// Sends requests with the bad part, no two alike, and sound ones that share their caller and their
// first part, through all instances in turn.
Outcome sendRequests(TestCluster &cluster, int instances, Milliseconds duration,
                     const std::string &prefix, Milliseconds soundFrom = Milliseconds())
{
    Outcome outcome;
    Restarts restarts(cluster.standIn, holdsBadPart, restartTime);
    const Milliseconds start = monotonicNow();
    for (int i = 0; monotonicNow() - start < duration; ++i) {
        restarts.update();
        const std::string number = std::to_string(i);
        const std::string badId = std::string(prefix).append("b").append(number);
        const std::string soundId = std::string(prefix).append("s").append(number);
        const Response bad =
            cluster.nodes.sendRequest(i % instances, promptRequest(badId, badPart));
        if (bad.status == 503) {
            ++outcome.refused;
            outcome.slowestRefusal = std::max(outcome.slowestRefusal, bad.elapsed);
            outcome.refusedButSent += cluster.standIn.arrivalsOf(badId).empty() ? 0 : 1;
        }
        const Response sound = cluster.nodes.sendRequest((i + 1) % instances,
                                                         promptRequest(soundId, "50000" + number));
        if (monotonicNow() - start >= soundFrom) {
            ++outcome.sound;
            outcome.soundServed += sound.status == 200 && sound.isComplete ? 1 : 0;
        }
        sleepFor(40_ms);
    }
    return outcome;
}

} // namespace

// Guards against requests with one part in their prompts that crash one engine after the other.
TEST_CASE("prompts with a part that has crashed engines reach no more engines")
{
    const int instances = 3;
    TestCluster cluster(subnet, instances, engines, 1);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(crashingScript);
    const Outcome outcome = sendRequests(cluster, instances, 7'000_ms, "a", 4'000_ms);
    CAPTURE(badArrivals(cluster.standIn).size());
    CHECK(badArrivals(cluster.standIn).size() >= 2); // there was something to learn from
    CHECK(lateBadArrivals(cluster.standIn) <= 3);
    CHECK(outcome.refused > 10);
    CHECK(outcome.refusedButSent == 0);
    CHECK(outcome.slowestRefusal < 200_ms);
    REQUIRE(outcome.sound >= 20);
    CHECK(outcome.soundServed == outcome.sound);
}

// Guards against an instance that has just started and crashes engines with prompts that the others
// refuse.
TEST_CASE("a restarted instance learns from the others which prompts crash engines")
{
    const int instances = 3;
    TestCluster cluster(subnet, instances, engines, 1);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(crashingScript);
    sendRequests(cluster, instances, 2'500_ms, "a");
    cluster.nodes.process(0).kill();
    cluster.nodes.start(0);
    REQUIRE(cluster.nodes.waitReady(instances));
    sleepFor(contactTime);
    const std::size_t before = badArrivals(cluster.standIn).size();
    for (int i = 0; i < 6; ++i) {
        const Response bad =
            cluster.nodes.sendRequest(0, promptRequest("n" + std::to_string(i), badPart));
        CHECK(bad.status == 503);
        CHECK(cluster.nodes.sendRequest(0, promptRequest("o" + std::to_string(i), "600")).status
              == 200);
    }
    CHECK(badArrivals(cluster.standIn).size() == before);
}

// Guards against a repeat that crashes a second engine with a prompt that has just crashed others.
TEST_CASE("a prompt is not repeated whose part has crashed another engine before")
{
    TestCluster cluster(subnet, 1, engines, 1);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(crashingScript);
    cluster.nodes.sendRequest(0, promptRequest("first", badPart));
    CHECK(cluster.standIn.arrivalsOf("first").size() <= 2);
    const Response second = cluster.nodes.sendRequest(0, promptRequest("second", badPart));
    CHECK(second.status == 502); // it may have run
    CHECK(cluster.standIn.arrivalsOf("second").size() == 1);
}

// Guards against prompts that were queued before their part was found to crash engines.
TEST_CASE("a queued prompt is refused at once when its part is found to crash engines")
{
    TestCluster cluster(subnet, 1, 4, 1);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &arrival) {
        Script script = crashingScript(arrival);
        if (arrival.requestId.compare(0, 4, "long") == 0) {
            script.firstEventDelay = 5'000_ms; // still reads the prompt
            script.isKilled = false;
        }
        return script;
    });
    // Sound requests, so that the bad part is not in most prompts.
    for (int i = 0; i < 20; ++i) {
        const std::string number = std::to_string(i);
        CHECK(cluster.nodes.sendRequest(0, promptRequest("s" + number, "5" + number)).status
              == 200);
    }
    std::vector<std::thread> callers;
    std::vector<Response> responses(12);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        callers.emplace_back([&, i] {
            responses[i] = cluster.nodes.sendRequest(
                0, promptRequest("long" + std::to_string(i), badPart, 60'000));
        });
        sleepFor(5_ms);
    }
    const Milliseconds start = monotonicNow();
    Restarts restarts(cluster.standIn, holdsBadPart, restartTime);
    for (int i = 0; i < 5; ++i) {
        cluster.nodes.sendRequest(0, promptRequest("short" + std::to_string(i), badPart));
        sleepFor(150_ms);
        restarts.update();
    }
    const std::size_t before = badArrivals(cluster.standIn).size();
    for (std::thread &caller : callers)
        caller.join();
    CHECK(badArrivals(cluster.standIn).size() == before);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        const bool wasSent = !cluster.standIn.arrivalsOf("long" + std::to_string(i)).empty();
        CAPTURE(i);
        CHECK(responses[i].status == (wasSent ? 502 : 503));
        CHECK(monotonicNow() - start < 2'000_ms); // not at their deadline
    }
}

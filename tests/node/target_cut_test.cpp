#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "support/crashing_targets.h"
#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 26;
constexpr int instances = 4;
constexpr int cutInstances = 2; // the first ones
constexpr int engines = 6;
constexpr int plainTargets = 3;

// Time within which a cut instance has to know it, and the others too.
constexpr Milliseconds contactTime = 3'000_ms;

CallerRequest requestOf(int kind, const std::string &id)
{
    switch (kind % 4) {
    case 0: {
        CallerRequest request;
        request.id = id;
        return request;
    }
    case 1:
        return plainRequest("read", id);
    case 2:
        return plainRequest("pay", id);
    default: {
        CallerRequest request;
        request.target = "/fixed/x";
        request.id = id;
        return request;
    }
    }
}

Script script(const Arrival &arrival)
{
    Script script;
    const std::string &target = arrival.head.target;
    script.events = target.find("/read/") == 0 || target.find("/pay/") == 0 ? 0 : 5;
    script.firstEventDelay = 30_ms;
    return script;
}

struct Tries
{
    int sent = 0;
    int served = 0;
    Milliseconds slowest;
};

// Sends first tries to each instance, also to those that the directory no longer names, as callers
// with kept connections and old responses of the directory do.
std::vector<Tries> sendFirstTries(const Nodes &nodes, int count, Milliseconds duration,
                                  const std::string &prefix)
{
    std::vector<Tries> tries(static_cast<std::size_t>(count));
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(count));
    for (int instance = 0; instance < count; ++instance) {
        callers.emplace_back([&, instance] {
            Tries &own = tries[static_cast<std::size_t>(instance)];
            const Milliseconds start = monotonicNow();
            for (int i = 0; monotonicNow() - start < duration; ++i) {
                const std::string id = prefix + std::to_string(instance) + '-' + std::to_string(i);
                const Response response = nodes.sendRequest(instance, requestOf(i, id));
                ++own.sent;
                own.served += response.status == 200 && response.isComplete ? 1 : 0;
                own.slowest = std::max(own.slowest, response.elapsed);
                sleepFor(20_ms);
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    return tries;
}

Tries sumOf(const std::vector<Tries> &tries, int from, int to)
{
    Tries sum;
    for (int i = from; i < to; ++i) {
        const Tries &one = tries[static_cast<std::size_t>(i)];
        sum.sent += one.sent;
        sum.served += one.served;
        sum.slowest = std::max(sum.slowest, one.slowest);
    }
    return sum;
}

// The rule: first tries at cut instances are served two thirds as often as at the others, and no
// more than 10 + 1 in 50 of all fail there.
void checkServed(const Tries &cut, const Tries &others)
{
    CAPTURE(cut.sent);
    CAPTURE(cut.served);
    CAPTURE(others.sent);
    CAPTURE(others.served);
    REQUIRE(cut.sent >= 5);
    REQUIRE(others.sent >= 20);
    CHECK(others.served == others.sent);
    CHECK(3.0 * cut.served / cut.sent >= 2.0 * others.served / others.sent);
    CHECK(cut.sent - cut.served <= 10 + (cut.sent + others.sent) / 50);
}

int runsOf(const StandIn &standIn, const std::string &id)
{
    const std::vector<Arrival> arrivals = standIn.arrivalsOf(id);
    return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                          [](const Arrival &arrival) { return arrival.ran; }));
}

// At-most-once requests, whatever instances they went through.
void checkNoneRanTwice(const StandIn &standIn)
{
    std::map<std::string, int> runs;
    for (const Arrival &arrival : standIn.arrivals()) {
        if (arrival.ran && arrival.head.target.find("/pay/") == 0)
            ++runs[arrival.requestId];
    }
    CHECK(std::all_of(runs.begin(), runs.end(), [](const auto &run) { return run.second == 1; }));
}

std::size_t countLines(const std::string &file, const std::string &text)
{
    std::ifstream log(file);
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);)
        count += line.find(text) != std::string::npos ? 1 : 0;
    return count;
}

void cut(Nodes &nodes, CutMode mode, int count = cutInstances)
{
    for (int i = 0; i < count; ++i)
        nodes.setCut(i, mode);
}

void checkCut(CutMode mode)
{
    TestCluster cluster(subnet, instances, engines, plainTargets);
    REQUIRE(cluster.isReady);
    const std::size_t crashes = countLines(cluster.nodes.logFile(), "crashes: crash recorded");
    cluster.standIn.setScript(script);
    sendFirstTries(cluster.nodes, instances, 500_ms, "before");
    cut(cluster.nodes, mode);
    sendFirstTries(cluster.nodes, instances, contactTime, "early");
    const std::vector<Tries> tries = sendFirstTries(cluster.nodes, instances, 4'000_ms, "late");
    checkServed(sumOf(tries, 0, cutInstances), sumOf(tries, cutInstances, instances));
    // Callers are told other addresses.
    for (int i = 0; i < instances; ++i)
        CHECK(cluster.nodes.directory(i).size() == instances - cutInstances);

    cut(cluster.nodes, CutMode::None);
    sleepFor(2'000_ms);
    const std::vector<Tries> after = sendFirstTries(cluster.nodes, instances, 1'000_ms, "after");
    checkServed(sumOf(after, 0, cutInstances), sumOf(after, cutInstances, instances));
    for (int i = 0; i < instances; ++i)
        CHECK(cluster.nodes.directory(i).size() == instances);

    checkNoneRanTwice(cluster.standIn);
    // A cut instance takes no target for crashed.
    CHECK(countLines(cluster.nodes.logFile(), "crashes: crash recorded") == crashes);
}

} // namespace

// Guards against instances that reach no target, still get callers, and fail their requests.
TEST_CASE("callers of instances whose connections to targets hang are served")
{
    checkCut(CutMode::Hang);
}

TEST_CASE("callers of instances whose connections to targets are reset are served")
{
    checkCut(CutMode::Reset);
}

TEST_CASE("callers of instances that open no new connection to targets are served")
{
    checkCut(CutMode::RefuseNew);
}

// Guards against streams that are lost with the connections of a cut instance.
TEST_CASE("a resumable stream goes on when its instance is cut off from its target")
{
    TestCluster cluster(subnet, 3, engines, plainTargets);
    REQUIRE(cluster.isReady);
    std::string configuration = testConfiguration(2);
    const std::string timeout = "\"timeoutMs\":2000";
    configuration.replace(configuration.find(timeout), timeout.size(), "\"timeoutMs\":9000");
    cluster.standIn.put("op/config", configuration);
    sleepFor(500_ms);
    cluster.standIn.setScript([](const Arrival &arrival) {
        Script slow = script(arrival);
        slow.events = 30;
        slow.eventGap = 100_ms;
        return slow;
    });
    for (const CutMode mode : { CutMode::Hang, CutMode::Reset }) {
        CallerRequest request;
        request.id = "long" + std::to_string(static_cast<int>(mode));
        request.deadlineMs = 10'000;
        Response response;
        std::thread caller([&] { response = cluster.nodes.sendRequest(0, request, 12'000_ms); });
        sleepFor(600_ms);
        cluster.nodes.setCut(0, mode);
        caller.join();
        CAPTURE(response.body);
        CHECK(response.isComplete);
        for (int event = 1; event <= 30; ++event) {
            const std::string id = "id: " + std::to_string(event) + '\n';
            const std::size_t first = response.body.find(id);
            CAPTURE(event);
            CHECK(first != std::string::npos);
            CHECK(response.body.find(id, first + 1) == std::string::npos);
        }
        cluster.nodes.setCut(0, CutMode::None);
        sleepFor(1'500_ms);
    }
}

// Guards against requests that are blocked because a cut has ended their connections.
TEST_CASE("a cut that resets connections accuses no request and no target")
{
    TestCluster cluster(subnet, 2, engines, plainTargets);
    REQUIRE(cluster.isReady);
    const std::string &log = cluster.nodes.logFile();
    const std::size_t crashes = countLines(log, "crashes: crash recorded");
    const std::size_t blocked = countLines(log, "crashes: cause blocked");
    cluster.standIn.setScript([](const Arrival &arrival) {
        Script slow = script(arrival);
        slow.firstEventDelay = 400_ms;
        return slow;
    });
    std::vector<std::thread> callers;
    callers.reserve(12);
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            CallerRequest request = plainRequest("read", "same" + std::to_string(i));
            request.deadlineMs = 1'900;
            cluster.nodes.sendRequest(0, request);
        });
    }
    sleepFor(200_ms);
    cluster.nodes.setCut(0, CutMode::Reset);
    for (std::thread &caller : callers)
        caller.join();
    sleepFor(1'000_ms);
    CHECK(countLines(log, "crashes: crash recorded") == crashes);
    CHECK(countLines(log, "crashes: cause blocked") == blocked);
    cluster.standIn.setScript(script);
    for (int i = 0; i < 2; ++i)
        CHECK(cluster.nodes.sendRequest(i, plainRequest("read", "again" + std::to_string(i))).status
              == 200);
}

// Guards against healthy instances that avoid the targets that a cut one cannot reach.
TEST_CASE("a cut instance ejects no target at the others")
{
    TestCluster cluster(subnet, 2, engines, plainTargets);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(script);
    sendFirstTries(cluster.nodes, 2, 500_ms, "before");
    const std::string &log = cluster.nodes.logFile();
    const std::size_t ejected = countLines(log, "targets: target ejected by another instance");
    cluster.nodes.setCut(0, CutMode::RefuseNew);
    sendFirstTries(cluster.nodes, 2, 1'500_ms, "early");
    CHECK(countLines(log, "targets: target ejected by another instance") == ejected);
    // A target that is at fault is avoided by all.
    cluster.nodes.setCut(0, CutMode::None);
    sleepFor(1'000_ms);
    cluster.standIn.killTarget(51);
    // Requests that are sent over new connections only, one of which goes to that target.
    for (int i = 0; i < 40; ++i)
        cluster.nodes.sendRequest(1, plainRequest("pay", "late" + std::to_string(i)));
    sleepFor(300_ms);
    CHECK(countLines(log, "targets: target ejected by another instance") > ejected);
}

// Guards against work for callers that have left, behind the instance that passes it on.
TEST_CASE("a caller that leaves a cut instance ends the work at the target")
{
    TestCluster cluster(subnet, 2, engines, plainTargets);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript([](const Arrival &arrival) {
        Script slow = script(arrival);
        slow.events = 50;
        slow.eventGap = 100_ms;
        return slow;
    });
    cluster.nodes.setCut(0, CutMode::Hang);
    cluster.nodes.sendRequest(0, plainRequest("read", "first"));
    sleepFor(1'500_ms);
    const int before = cluster.standIn.abandoned();
    Caller caller(cluster.nodes.callerAddress(0));
    CallerRequest request;
    request.id = "leaving";
    caller.send(request.text());
    sleepFor(400_ms);
    REQUIRE(runsOf(cluster.standIn, "leaving") == 1);
    caller.close();
    sleepFor(400_ms);
    CHECK(cluster.standIn.abandoned() > before);
}

// Guards against an instance that has never reached a target and does not know that others do.
TEST_CASE("an instance that starts while it is cut off serves its callers")
{
    TestCluster cluster(subnet, 3, engines, plainTargets);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(script);
    cluster.nodes.setCut(0, CutMode::Hang);
    cluster.nodes.process(0).kill();
    cluster.nodes.start(0);
    REQUIRE(cluster.nodes.waitReady(3));
    sendFirstTries(cluster.nodes, 1, 1'500_ms, "early");
    const std::vector<Tries> tries = sendFirstTries(cluster.nodes, 3, 1'500_ms, "late");
    checkServed(sumOf(tries, 0, 1), sumOf(tries, 1, 3));
}

// Guards against requests that are relayed to an instance that has just been cut off as well.
TEST_CASE("a cut that comes and goes, and moves to other instances, loses few requests")
{
    TestCluster cluster(subnet, instances, engines, plainTargets);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(script);
    std::thread operation([&] {
        for (int i = 0; i < 6; ++i) {
            cluster.nodes.setCut(i % instances, i % 2 == 0 ? CutMode::Hang : CutMode::Reset);
            sleepFor(1'000_ms);
            if (i > 0)
                cluster.nodes.setCut((i - 1) % instances, CutMode::None);
        }
        cut(cluster.nodes, CutMode::None, instances);
    });
    const std::vector<Tries> tries = sendFirstTries(cluster.nodes, instances, 7'000_ms, "r");
    operation.join();
    const Tries all = sumOf(tries, 0, instances);
    CAPTURE(all.sent);
    CAPTURE(all.served);
    CHECK(3 * all.served >= 2 * all.sent);
    checkNoneRanTwice(cluster.standIn);
    sleepFor(1'500_ms);
    const std::vector<Tries> after = sendFirstTries(cluster.nodes, instances, 1'000_ms, "after");
    CHECK(sumOf(after, 0, instances).served == sumOf(after, 0, instances).sent);
}

// Guards against requests that go round between instances of which none reaches a target.
TEST_CASE("requests are refused soon if no instance reaches a target")
{
    TestCluster cluster(subnet, 3, engines, plainTargets);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(script);
    for (int i = 0; i < 3; ++i)
        cluster.nodes.setCut(i, CutMode::Hang);
    sendFirstTries(cluster.nodes, 3, 2'000_ms, "early");
    for (int i = 0; i < 3; ++i) {
        const Response response =
            cluster.nodes.sendRequest(i, plainRequest("pay", "p" + std::to_string(i)));
        CHECK(response.status == 503);
        CHECK(response.elapsed < 1'500_ms);
        CHECK(cluster.nodes.directory(i).size() == 3);
    }
}

// Guards against an instance that is taken for cut off because its targets are dead or silent.
TEST_CASE("dead and silent targets are not taken for a cut")
{
    TestCluster cluster(subnet, 2, engines, plainTargets);
    REQUIRE(cluster.isReady);
    const std::size_t cuts = countLines(cluster.nodes.logFile(), "reach: no target reached");
    cluster.standIn.setScript([](const Arrival &arrival) {
        Script silent = script(arrival);
        silent.firstEventDelay = 1'200_ms;
        return silent;
    });
    const Response response = cluster.nodes.sendRequest(0, requestOf(0, "silent"));
    CHECK(response.status == 200);
    CHECK(cluster.standIn.arrivalsOf("silent").size() == 1);
    cluster.standIn.setScript(script);
    for (int number = 1; number <= engines / 2; ++number)
        cluster.standIn.killTarget(number);
    const std::vector<Tries> tries = sendFirstTries(cluster.nodes, 2, 1'500_ms, "dead");
    CHECK(countLines(cluster.nodes.logFile(), "reach: no target reached") == cuts);
    CHECK(sumOf(tries, 0, 2).served * 10 >= sumOf(tries, 0, 2).sent * 9);
}

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 23;
constexpr int limited = 1; // number of the target that names a limit
constexpr int limitedPlain = 51;

// Time within which all instances know what one of them has learnt.
constexpr Milliseconds contactTime = 3'000_ms;
constexpr Milliseconds window = 4'000_ms;

void sleepFor(Milliseconds time)
{
    usleep(static_cast<useconds_t>(time.count()) * 1'000);
}

Script shortScript(const Arrival &arrival)
{
    Script script;
    script.events = arrival.head.target.find("/stream/") == 0 ? 6 : 0;
    script.firstEventDelay = 40_ms;
    return script;
}

CallerRequest streamRequest(const std::string &id)
{
    CallerRequest request;
    request.id = id;
    return request;
}

std::vector<Milliseconds> arrivalsAt(const StandIn &standIn, int target)
{
    std::vector<Milliseconds> times;
    for (const Arrival &arrival : standIn.arrivals()) {
        if (arrival.target == StandIn::targetId(target))
            times.push_back(arrival.at);
    }
    return times;
}

// Most requests in any `window` from the given time on.
int mostInWindow(const std::vector<Milliseconds> &times, Milliseconds from)
{
    int most = 0;
    for (const Milliseconds start : times) {
        if (start < from)
            continue;
        const auto count = std::count_if(times.begin(), times.end(), [&](Milliseconds at) {
            return at >= start && at < start + window;
        });
        most = std::max(most, static_cast<int>(count));
    }
    return most;
}

// Requests that a target may get in a window, from all instances together.
int allowed(double limitPerSecond)
{
    return static_cast<int>(1.5 * limitPerSecond * static_cast<double>(window.count()) / 1'000 + 5);
}

struct Load
{
    int sent = 0;
    int served = 0;
};

// Sends requests through all instances, several at a time, so that one target does not suffice.
Load sendRequests(TestCluster &cluster, int instances, Milliseconds duration, bool isPlain,
                  const std::string &prefix)
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    constexpr int callersAtOnce = 12;
    callers.reserve(callersAtOnce);
    for (int caller = 0; caller < callersAtOnce; ++caller) {
        callers.emplace_back([&, caller] {
            const Milliseconds start = monotonicNow();
            for (int i = 0; monotonicNow() - start < duration; ++i) {
                const std::string id = prefix + std::to_string(caller) + '-' + std::to_string(i);
                const Response response = cluster.nodes.sendRequest(
                    (caller + i) % instances,
                    isPlain ? plainRequest("read", id) : streamRequest(id));
                ++sent;
                served += response.status == 200 ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    return { sent, served };
}

} // namespace

// Guards against instances that together send a target far more than the limit that it names.
TEST_CASE("a target that names a limit gets no more than that from all instances together")
{
    const int instances = 3;
    TestCluster cluster(subnet, instances, 4, 3);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(shortScript);
    for (const bool isPlain : { false, true }) {
        CAPTURE(isPlain);
        const int target = isPlain ? limitedPlain : limited;
        cluster.standIn.setLimit(target, "1.5");
        const Milliseconds start = monotonicNow();
        const Load load = sendRequests(cluster, instances, 9'000_ms, isPlain, isPlain ? "p" : "s");
        REQUIRE(load.sent > 100);
        CHECK(load.served == load.sent); // the others take it over
        const std::vector<Milliseconds> times = arrivalsAt(cluster.standIn, target);
        CHECK(mostInWindow(times, start + contactTime) <= allowed(1.5));
        // It is not left idle either. A stream is placed at an engine of the short pool, which may
        // do without it.
        if (isPlain)
            CHECK(mostInWindow(times, start + contactTime) >= 2);
    }
}

// Guards against a limit that outlives the need of the target.
TEST_CASE("a target that names no limit any more, or has restarted, gets its full share again")
{
    const int instances = 2;
    TestCluster cluster(subnet, instances, 2, 1);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(shortScript);
    for (const bool restarts : { false, true }) {
        CAPTURE(restarts);
        cluster.standIn.setLimit(limited, "2");
        sendRequests(cluster, instances, 2'000_ms, false, restarts ? "a" : "b");
        if (restarts)
            cluster.standIn.restartTarget(limited);
        else
            cluster.standIn.setLimit(limited, "");
        sendRequests(cluster, instances, 3'000_ms, false, restarts ? "c" : "d");
        const Milliseconds start = monotonicNow();
        const Load load = sendRequests(cluster, instances, 2'000_ms, false, restarts ? "e" : "f");
        const std::vector<Milliseconds> times = arrivalsAt(cluster.standIn, limited);
        const auto count =
            std::count_if(times.begin(), times.end(), [&](Milliseconds at) { return at >= start; });
        CHECK(count * 5 >= load.sent); // about half
    }
}

// Guards against callers that wait for a target which may not be used for seconds.
TEST_CASE("a request is refused at once if all targets are at their limit")
{
    TestCluster cluster(subnet, 1, 1, 1);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(shortScript);
    cluster.standIn.setLimit(limited, "0.5");
    CHECK(cluster.nodes.sendRequest(0, streamRequest("first")).status == 200);
    int refused = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string id = "r" + std::to_string(i);
        const Response response = cluster.nodes.sendRequest(0, streamRequest(id));
        if (response.status != 503)
            continue;
        ++refused;
        CHECK(response.elapsed < 200_ms);
        CHECK(std::stod(response.field("Retry-After")) > 0);
        CHECK(cluster.standIn.arrivalsOf(id).empty());
    }
    CHECK(refused >= 9);
}

// Guards against values that are no limit: they must neither stop a target nor be obeyed.
TEST_CASE("a malformed limit is ignored, and a limit of zero is tried again")
{
    TestCluster cluster(subnet, 1, 1, 1);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(shortScript);
    for (const char *value : { "-1", "soon", "nan", "1e400", "1.5.2", " " }) {
        CAPTURE(value);
        cluster.standIn.setLimit(limited, value);
        for (int i = 0; i < 5; ++i)
            CHECK(cluster.nodes.sendRequest(0, streamRequest("m" + std::to_string(i))).status
                  == 200);
    }
    cluster.standIn.setLimit(limited, "0");
    CHECK(cluster.nodes.sendRequest(0, streamRequest("zero")).status == 200); // names the limit
    CHECK(cluster.nodes.sendRequest(0, streamRequest("after")).status == 503);
    cluster.standIn.setLimit(limited, "");
    int served = 0;
    for (int i = 0; i < 200 && served == 0; ++i) {
        sleepFor(100_ms);
        served +=
            cluster.nodes.sendRequest(0, streamRequest("t" + std::to_string(i))).status == 200;
    }
    CHECK(served == 1);
    CHECK(cluster.nodes.sendRequest(0, streamRequest("free")).status == 200);
}

// A target writes an earlier response once more on a connection.

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "support/crashing_targets.h"
#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 30;

// Reports that a request was not executed. Without an id, it may belong to any request.
std::string refusal(const std::string &id = {}, int status = 503)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n"
           + (id.empty() ? "" : "Request-Id: " + id + "\r\n")
           + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string failure(const std::string &id = {})
{
    return "HTTP/1.1 500 X\r\n" + (id.empty() ? "" : "Request-Id: " + id + "\r\n")
           + "Response-Signature: old\r\nContent-Length: 3\r\n\r\nold";
}

Script plain()
{
    Script script;
    script.events = 0;
    script.firstEventDelay = 50_ms;
    script.body = "new";
    return script;
}

Script declining()
{
    Script script = plain();
    script.declines = true;
    return script;
}

bool hasRun(const StandIn &standIn, const std::string &id)
{
    for (const Arrival &arrival : standIn.arrivalsOf(id)) {
        if (arrival.ran)
            return true;
    }
    return false;
}

// One instance and one target of each service, so that no other target serves the request instead.
struct SingleCluster : TestCluster
{
    SingleCluster()
        : TestCluster(subnet, 1, 1, 1)
    {
        REQUIRE(isReady);
    }

    /// @brief Sends a request and checks that its answer is true and of this request.
    Response send(const std::string &route, const std::string &id)
    {
        CallerRequest request = plainRequest(route, id);
        if (route == "fixed" || route == "stream")
            request.tokens = "1000,100";
        Response response = nodes.sendRequest(0, request);
        const bool saysNotRun = response.status == 503 || response.status == 429
                                || response.status == 408 || response.status == 421;
        CHECK_MESSAGE(!(saysNotRun && hasRun(standIn, id)), id);
        CHECK(response.body != "old");
        if (response.status == 200)
            CHECK(response.field("Response-Signature") != "old");
        return response;
    }
};

} // namespace

// Guards against "not run, try again" for a request that a target runs.
TEST_CASE("a refusal without an id is not taken for the answer to a later request")
{
    for (const std::string &repeated :
         { refusal(), refusal({}, 429), refusal({}, 421), failure() }) {
        CAPTURE(repeated);
        SingleCluster cluster;
        cluster.standIn.setScript([&](const Arrival &arrival) {
            Script script = arrival.requestId == "first" ? declining() : plain();
            if (arrival.requestId != "first")
                script.precedingBytes = repeated;
            return script;
        });
        CHECK(cluster.send("read", "first").status == 503);
        CHECK(cluster.send("read", "second").status != 500);
        CHECK(hasRun(cluster.standIn, "second"));
        const std::vector<Arrival> arrivals = cluster.standIn.arrivals();
        CHECK(arrivals[1].connection == arrivals[0].connection);
    }
}

TEST_CASE("a refusal without an id at the start of a connection states nothing")
{
    SingleCluster cluster;
    cluster.standIn.setScript([&](const Arrival &arrival) {
        Script script = arrival.head.target.find("/pay/") == 0 ? plain() : Script();
        script.precedingBytes = refusal();
        return script;
    });
    for (const char *route : { "pay", "fixed" }) {
        CAPTURE(route);
        CHECK(cluster.send(route, route).status == 502);
        CHECK(cluster.standIn.arrivalsOf(route).size() == 1);
    }
}

TEST_CASE("a response to an earlier request is discarded")
{
    for (const std::string &repeated :
         { refusal("first"), failure("first"), refusal("first", 429) }) {
        CAPTURE(repeated);
        SingleCluster cluster;
        cluster.standIn.setScript([&](const Arrival &arrival) {
            Script script = arrival.requestId == "first" ? declining() : plain();
            if (arrival.requestId != "first")
                script.precedingBytes = repeated + repeated;
            return script;
        });
        CHECK(cluster.send("read", "first").status == 503);
        const Response second = cluster.send("read", "second");
        CHECK(second.status == 200);
        CHECK(second.body == "new");
    }
}

// Guards against the repeated refusal of a request that is sent again on the same connection.
TEST_CASE("a request is not sent again on a connection that has carried it")
{
    for (const std::string &repeated : { refusal("again"), failure("again") }) {
        CAPTURE(repeated);
        SingleCluster cluster;
        std::map<int, int> requests; // by connection
        cluster.standIn.setScript([&](const Arrival &arrival) {
            Script script =
                ++requests[arrival.connection] == 1 && requests.size() == 1 ? declining() : plain();
            if (requests[arrival.connection] > 1)
                script.precedingBytes = repeated;
            return script;
        });
        CHECK(cluster.send("read", "again").status == 503);
        const Response response = cluster.nodes.sendRequest(0, plainRequest("read", "again"));
        CHECK(response.status == 200);
        CHECK(response.body == "new");
    }
}

TEST_CASE("bytes on an idle connection reach no later request")
{
    for (const std::string &repeated :
         { refusal(), refusal("second"), failure("second"), std::string("garbage\r\n\r\n") }) {
        for (const Milliseconds delay : { 0_ms, 1_ms, 20_ms }) {
            CAPTURE(repeated);
            CAPTURE(delay.count());
            SingleCluster cluster;
            cluster.standIn.setScript([&](const Arrival &) {
                Script script = plain();
                script.followingBytes = repeated;
                script.followingDelay = delay;
                return script;
            });
            CHECK(cluster.send("read", "first").status == 200);
            sleepFor(30_ms);
            CHECK(cluster.send("read", "second").status == 200);
        }
    }
}

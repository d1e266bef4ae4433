// Entries of targets that no proper writer makes: instances go on serving and following the
// registry.

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "support/crashing_targets.h"
#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 29;
constexpr std::size_t entryBytes = 700'000; // near the store's limit for a value, in base64

std::string entryOf(const std::string &service, const std::string &address,
                    const std::string &slots = "16", const std::string &coldLeft = "0",
                    const std::string &more = "")
{
    return "{\"service\":\"" + service + "\",\"zone\":\"z1\",\"address\":\"" + address
           + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldLeftMs\":"
           + coldLeft + ",\"born\":1,\"sequence\":1" + more + '}';
}

std::string nested(const std::string &opening, const std::string &closing)
{
    const std::size_t depth = entryBytes / (opening.size() + closing.size());
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += opening;
    for (std::size_t i = 0; i < depth; ++i)
        text += closing;
    return text;
}

Script plain(const Arrival &arrival)
{
    Script script;
    script.events = arrival.head.target.find("/read/") == 0 ? 0 : 3;
    return script;
}

CallerRequest promptRequest(const std::string &id)
{
    CallerRequest request;
    request.id = id;
    return request;
}

// Writes entries, and checks that the instances serve, run and follow later changes.
void checkServesBeside(TestCluster &cluster, const std::vector<std::string> &entries)
{
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(plain);
    // Before and after the ids of the other targets.
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const std::string prefix = i % 2 == 0 ? "servers/a-odd-" : "servers/odd-";
        cluster.standIn.put(prefix + std::to_string(i), entries[i]);
    }
    sleepFor(500_ms);
    int served = 0;
    for (int i = 0; i < 40; ++i) {
        const std::string id = std::to_string(i);
        for (const CallerRequest &request :
             { plainRequest("read", "read-" + id), promptRequest("prompt-" + id) })
            served += cluster.nodes.sendRequest(i % 2, request).status == 200 ? 1 : 0;
    }
    CHECK(served == 80);
    CHECK(cluster.nodes.process(0).isRunning());
    CHECK(cluster.nodes.process(1).isRunning());
    // The registry is still followed.
    cluster.standIn.put("op/config", testConfiguration(2, "late"));
    sleepFor(1'000_ms);
    for (int node = 0; node < 2; ++node) {
        const std::string id = "late-" + std::to_string(node);
        CHECK(cluster.nodes.sendRequest(node, plainRequest("late", id)).status == 200);
    }
}

// Nothing listens there.
const std::string unusedAddress = "127.0.29.190:8080";

} // namespace

TEST_CASE("instances serve beside entries that are nested deeply")
{
    TestCluster cluster(subnet, 2, 2, 2);
    std::vector<std::string> entries;
    for (const std::string &value :
         { nested("[", "]"), nested("{\"a\":", "}"), nested("[", ""), nested("[{\"a\":", "}]") }) {
        entries.push_back(value);
        entries.push_back(entryOf("app", unusedAddress, "16", "0", ",\"more\":" + value));
        entries.push_back(entryOf("llm", unusedAddress, "16", value));
    }
    checkServesBeside(cluster, entries);
}

TEST_CASE("instances serve beside entries whose numbers fit no int or no time")
{
    TestCluster cluster(subnet, 2, 2, 2);
    std::vector<std::string> entries;
    for (const std::string number :
         { "4294967296", "2147483648", "9007199254740993", "-4294967295", "1e300", "-1e300", "9e18",
           "1e19", "1e999", "0.5", "\"16\"" }) {
        for (const char *service : { "app", "llm" }) {
            entries.push_back(entryOf(service, unusedAddress, number));
            entries.push_back(entryOf(service, unusedAddress, "16", number));
        }
    }
    entries.push_back(entryOf("app", unusedAddress, std::string(400, '9')));
    checkServesBeside(cluster, entries);
}

TEST_CASE("instances serve beside entries whose addresses are none")
{
    TestCluster cluster(subnet, 2, 2, 2);
    std::vector<std::string> entries;
    for (const std::string address :
         { "127.0.29.190:99999", "127.0.29.190:-1", "127.0.29.190:", ":8080", "127.0.29.190:0",
           "127.0.29.190:18446744073709551617", "127.0.29.999:8080", "no-host.invalid:8080",
           "[::1:8080", "127.0.29.190:80:80", "127.0.29.190:http", "127.0.29.190:80\\r\\nX: y" }) {
        entries.push_back(entryOf("app", address));
        entries.push_back(entryOf("llm", address));
    }
    checkServesBeside(cluster, entries);
    // No request was sent to any of them.
    std::ifstream log(cluster.nodes.logFile());
    for (std::string line; std::getline(log, line);) {
        CAPTURE(line);
        CHECK(line.find("net: cannot connect") == std::string::npos);
    }
}

// Guards against a target that draws all requests because its number of slots became zero.
TEST_CASE("a target whose entry states too many slots does not draw all requests")
{
    TestCluster cluster(subnet, 1, 1, 3);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(plain);
    cluster.standIn.put("servers/i-51",
                        entryOf("app", cluster.standIn.address(151, 8080), "4294967296"));
    sleepFor(500_ms);
    for (int i = 0; i < 60; ++i)
        CHECK(cluster.nodes.sendRequest(0, plainRequest("read", std::to_string(i))).status == 200);
    std::map<std::string, int> received;
    for (const Arrival &arrival : cluster.standIn.arrivals())
        ++received[arrival.target];
    CHECK(received["i-51"] < 40);
    CHECK(received["i-52"] > 5);
    CHECK(received["i-53"] > 5);
}

#include <doctest/doctest.h>

#include <fstream>

#include "support/process.h"
#include "support/test_cluster.h"

using namespace egretmount::tests;

namespace {

constexpr int subnet = 27;

int check(const std::string &name, const std::string &text)
{
    const std::string path = "/tmp/egretmount-check-" + name + ".json";
    std::ofstream(path) << text;
    Process process("egretmount-node", { "--check", "--settings=" + path }, path + ".log");
    return process.wait();
}

} // namespace

TEST_CASE("--check exits with 0 for valid settings and with 2 for invalid or missing ones")
{
    const std::string good =
        "{\"nodeName\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"listenAddrs\":{\"front\":"
        "\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\",\"directory\":\"127.0.0.1:3\"},"
        "\"portRange\":[1,2],\"platform\":{\"address\":\"127.0.0.1:4\"}}";
    CHECK(check("good", good) == 0);
    CHECK(check("broken", "{\"nodeName\":") == 2);
    CHECK(check("incomplete", "{\"nodeName\":\"n\"}") == 2);
    Process missing("egretmount-node", { "--check", "--settings=/nonexistent" },
                    "/tmp/egretmount-check-missing.log");
    CHECK(missing.wait() == 2);
}

TEST_CASE("an instance that cannot listen on its address exits with 3")
{
    const std::string path = "/tmp/egretmount-check-taken.json";
    std::ofstream(path) << "{\"nodeName\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\","
                           "\"listenAddrs\":{\"front\":\"203.0.113.1:1\",\"ready\":"
                           "\"127.0.0.1:2\",\"directory\":\"127.0.0.1:3\"},\"portRange\":[17340,"
                           "17341],\"platform\":{\"address\":\"127.0.0.1:4\"}}";
    Process process("egretmount-node", { "--settings=" + path }, path + ".log");
    CHECK(process.wait() == 3);
}

TEST_CASE(
    "explain-log finds a request in the logs of instances and exits with 1 for an unknown one")
{
    TestCluster cluster(subnet, 2);
    REQUIRE(cluster.isReady);
    CallerRequest request;
    request.id = "followed";
    CHECK(cluster.nodes.sendRequest(1, request).status == 200);
    usleep(150'000);
    const std::string out = "/tmp/egretmount-explain.txt";
    std::remove(out.c_str());
    Process explain("egretmount",
                    { "explain-log", "followed", cluster.nodes.logFile(), cluster.nodes.logFile() },
                    out);
    CHECK(explain.wait() == 0);
    std::ifstream file(out);
    const std::string text { std::istreambuf_iterator<char>(file), {} };
    CHECK(text.find("placement: sent id=followed") != std::string::npos);
    CHECK(text.find("outcome=answered") != std::string::npos);
    Process unknown("egretmount", { "explain-log", "nobody", cluster.nodes.logFile() }, out);
    CHECK(unknown.wait() == 1);
}

TEST_CASE("metrics count requests by team, kind and outcome")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    CHECK(cluster.nodes.sendRequest(0, CallerRequest()).status == 200);
    CHECK(cluster.nodes.sendRequest(0, plainRequest("nowhere", "n")).status == 404);
    Caller caller(cluster.nodes.metricsAddress(0));
    caller.send("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
    const Response response = caller.receive();
    CHECK(response.status == 200);
    for (const char *line :
         { "egretmount_requests_total{team=\"team-1\",kind=\"stream\",status=\"200\","
           "outcome=\"answered\"} 1\n",
           "egretmount_first_event_seconds_count{team=\"team-1\",kind=\"stream\"} 1\n",
           "egretmount_configuration_version 1\n", "egretmount_living_instances 1\n" }) {
        CAPTURE(line);
        CHECK(response.body.find(line) != std::string::npos);
    }
}

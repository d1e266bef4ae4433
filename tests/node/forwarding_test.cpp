#include <doctest/doctest.h>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 11;

Script plainScript(const Arrival &)
{
    Script script;
    script.events = 0;
    script.body = "the target's bytes";
    return script;
}

} // namespace

TEST_CASE("a request is forwarded to a target of its route's service with an unchanged body")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(plainScript);
    CallerRequest request = plainRequest("pay", "id-1");
    request.body = std::string("a\0b\r\n\r\nGET / HTTP/1.1", 21);
    request.extraFields = "Tenant-Id: forged\r\nExpected-Instance: forged\r\nHelpers: forged\r\n"
                          "Connection: X-Mine\r\nX-Mine: 1\r\nX-Kept: 2\r\n";
    const Response response = cluster.nodes.sendRequest(0, request);
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(response.body == "the target's bytes");
    CHECK(response.field("Response-Signature") != "");
    CHECK(response.field("Request-Id") == "id-1");

    const std::vector<Arrival> arrivals = cluster.standIn.arrivals();
    REQUIRE(arrivals.size() == 1);
    const http::Fields &fields = arrivals[0].head.fields;
    CHECK(arrivals[0].body == request.body);
    CHECK(arrivals[0].head.method == "POST");
    CHECK(arrivals[0].head.target == "/pay/x?y=1");
    CHECK(http::fieldValue(fields, "Tenant-Id") == std::string_view("team-1"));
    CHECK(http::fieldValue(fields, "Expected-Instance") == std::string_view(arrivals[0].target));
    CHECK(http::fieldValue(fields, "X-Kept") == std::string_view("2"));
    CHECK_FALSE(http::fieldValue(fields, "Authorization").has_value());
    CHECK_FALSE(http::fieldValue(fields, "Helpers").has_value());
    CHECK_FALSE(http::fieldValue(fields, "X-Mine").has_value());
    const int left =
        std::stoi(std::string(http::fieldValue(fields, "Request-Deadline").value_or("0")));
    CHECK(left <= 2'000); // the route's timeout is shorter than the caller's deadline
    CHECK(left > 1'500);
}

TEST_CASE("requests that the configuration does not allow are refused and reach no target")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    CallerRequest request = plainRequest("nowhere", "id-1");
    CHECK(cluster.nodes.sendRequest(0, request).status == 404);
    request = plainRequest("read", "id-2");
    request.key = "key-2";
    CHECK(cluster.nodes.sendRequest(0, request).status == 401);
    request.key.clear();
    CHECK(cluster.nodes.sendRequest(0, request).status == 401);
    request = plainRequest("pay", "id-3");
    request.body = std::string(200'001, 'x');
    CHECK(cluster.nodes.sendRequest(0, request).status == 413);
    request = plainRequest("read", "id-4");
    request.extraFields = "X-Long: " + std::string(5'000, 'x') + "\r\n";
    CHECK(cluster.nodes.sendRequest(0, request).status == 431);
    request = plainRequest("pay", "id-5");
    request.body = "abc";
    request.extraFields = "Transfer-Encoding: chunked\r\n";
    CHECK(cluster.nodes.sendRequest(0, request).status == 400);
    CHECK(cluster.standIn.arrivals().empty());
}

TEST_CASE("a request whose head arrives too slowly gets a 408 response")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Caller caller(cluster.nodes.callerAddress(0));
    caller.send("GET /read/x HTTP/1.1\r\nHost:");
    const Response response = caller.receive();
    CHECK(response.status == 408);
    CHECK(response.elapsed < 1'500_ms);
}

TEST_CASE("one connection serves several requests, including pipelined and chunked ones")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(plainScript);
    Caller caller(cluster.nodes.callerAddress(0));
    caller.send(plainRequest("read", "one").text() + plainRequest("read", "two").text());
    CHECK(caller.receive().field("Request-Id") == "one");
    CHECK(caller.receive().field("Request-Id") == "two");
    CallerRequest request = plainRequest("pay", "three");
    request.extraFields = "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n";
    caller.send(request.text());
    caller.send("4\r\nwiki\r\n5\r\npedia\r\n0\r\n\r\n");
    CHECK(caller.receive().field("Request-Id") == "three");
    const std::vector<Arrival> arrivals = cluster.standIn.arrivalsOf("three");
    REQUIRE(arrivals.size() == 1);
    CHECK(arrivals[0].body == "wikipedia");
}

TEST_CASE("a body larger than the kernel's socket buffers arrives complete")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(plainScript);
    CallerRequest request = plainRequest("pay", "large");
    for (int i = 0; request.body.size() < 199'000; ++i)
        request.body += std::to_string(i) + ',';
    CHECK(cluster.nodes.sendRequest(0, request).status == 200);
    REQUIRE(cluster.standIn.arrivalsOf("large").size() == 1);
    CHECK(cluster.standIn.arrivalsOf("large")[0].body == request.body);
}

TEST_CASE("without a configuration, requests get a 503 response and the instance is not ready")
{
    StandIn standIn(subnet);
    Nodes nodes(standIn, 1, "/tmp/egretmount-node-" + std::to_string(getpid()) + "-none.log");
    Response response;
    for (int i = 0; i < 50 && response.status == 0; ++i) {
        try {
            response = nodes.sendRequest(0, plainRequest("read", "id"));
        } catch (const Poco::Exception &) {
            usleep(50'000); // not listening yet
        }
    }
    CHECK(response.status == 503);
    CHECK(response.field("Retry-After") != "");
    Caller ready(nodes.readinessAddress(0));
    ready.send("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n");
    CHECK(ready.receive().status == 503);
}

TEST_CASE("the log holds the decisions on a request but no API key")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    cluster.standIn.setScript(plainScript);
    cluster.nodes.sendRequest(0, plainRequest("read", "logged-1"));
    usleep(150'000);
    std::string log;
    {
        FILE *file = fopen(cluster.nodes.logFile().c_str(), "r");
        REQUIRE(file != nullptr);
        char buffer[4096];
        while (const std::size_t count = fread(buffer, 1, sizeof buffer, file))
            log.append(buffer, count);
        fclose(file);
    }
    CHECK(log.find("node: starting") != std::string::npos);
    CHECK(log.find("fleet: configuration in force version=1") != std::string::npos);
    CHECK(log.find("placement: sent id=logged-1") != std::string::npos);
    CHECK(log.find("exchange: ended id=logged-1") != std::string::npos);
    CHECK(log.find("key-1") == std::string::npos); // API keys must not be logged
}

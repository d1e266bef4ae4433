// Responses of targets whose status line is not one of HTTP.

#include <doctest/doctest.h>

#include <string>

#include "support/raw_target.h"

using namespace egretmount;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 37;

constexpr const char *invalidStatuses[] = { "000", "099", "0",   "20",  "2000", "1e2",
                                            "-20", "+20", "2 0", "600", "999",  "" };

/// @brief Returns the status that a test request asks its target for.
std::string statusIn(const std::string &request)
{
    const std::size_t start = request.find("X-Status: ") + 10;
    return request.substr(start, request.find('\r', start) - start);
}

CallerRequest requestFor(const std::string &route, const std::string &status)
{
    CallerRequest request = plainRequest(route, route + "-of-" + std::to_string(status.size()));
    if (route == "stream" || route == "fixed")
        request = streamRequest(request.id, route);
    request.extraFields = "X-Status: " + status + "\r\n";
    return request;
}

RawResponse respond(const std::string &request)
{
    if (isReport(request))
        return RawResponse { "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n" };
    const bool hasInterim = request.find("X-Interim: 1\r\n") != std::string::npos;
    return RawResponse { (hasInterim ? "HTTP/1.1 103 Early Hints\r\n\r\n" : "")
                         + ("HTTP/1.1 " + statusIn(request) + " Odd\r\n")
                         + "Request-Id: %ID\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\n"
                           "odd!" };
}

void checkFailed(const Response &response)
{
    CHECK(response.status == 502);
    CHECK(response.field("Response-Signature") == "");
    CHECK(response.body.empty());
}

} // namespace

// Guards against a status that is none, such as 000 or 999, and is passed on as an answer (MIXED).
TEST_CASE("a response whose status is not one of HTTP is a failure of its target")
{
    RawCluster cluster(subnet, { 1, 2, 51 }, respond);
    for (const char *route : { "pay", "read", "fixed", "stream" }) {
        for (const char *status : invalidStatuses) {
            for (const bool hasInterim : { false, true }) {
                CAPTURE(route);
                CAPTURE(status);
                CAPTURE(hasInterim);
                CallerRequest request = requestFor(route, status);
                if (hasInterim)
                    request.extraFields += "X-Interim: 1\r\n";
                checkFailed(cluster.nodes.sendRequest(0, request));
            }
        }
    }
}

// The same by way of another instance, which must not pass it back as an answer either.
TEST_CASE("a relayed response whose status is not one of HTTP is a failure")
{
    RawCluster cluster(subnet, { 1, 2, 51 }, respond, 2);
    REQUIRE(cutFirstInstance(cluster, requestFor("read", "200")));
    CHECK(cluster.nodes.sendRequest(0, requestFor("pay", "200")).body == "odd!");
    for (const char *route : { "pay", "fixed" }) {
        for (const char *status : invalidStatuses) {
            CAPTURE(route);
            CAPTURE(status);
            checkFailed(cluster.nodes.sendRequest(0, requestFor(route, status)));
        }
    }
}

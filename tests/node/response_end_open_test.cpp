// Ends of responses that nothing proves yet; listed in KNOWN-RED.txt.

#include <doctest/doctest.h>

#include "support/raw_target.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 21;

} // namespace

// A target resets connections beyond its limit; it still runs, and its response was whole.
TEST_CASE("response end: a whole response without a length of a target at its connection limit")
{
    RawCluster cluster(subnet, { 51 }, [](const std::string &request) {
        if (isReport(request))
            return RawResponse { "", End::Reset };
        return RawResponse { plainHead + "\r\nwhole", End::Fin };
    });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "limit"));
    CHECK(response.status == 200);
    CHECK(response.body == "whole");
}

TEST_CASE("response end: a resumed stream that leaves events out is not complete")
{
    RawCluster cluster(subnet, { 1, 2 }, [](const std::string &request) {
        if (isResumed(request))
            return RawResponse { streamHead + chunked + chunk(events({ "7", "8" })) + "0\r\n\r\n" };
        return RawResponse { streamHead + chunked + chunk(events({ "1", "2", "3" })), End::Fin };
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("gap"));
    CAPTURE(response.body);
    CHECK_FALSE(response.isComplete);
}

// The caller resumes by itself through this instance, and the target has forgotten the request.
TEST_CASE("response end: a stream that the caller resumes itself does not end empty")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    CallerRequest request = streamRequest("empty");
    request.extraFields = "Last-Event-Id: 3\r\n";
    Script script;
    script.events = 3;
    cluster.standIn.setScript([script](const Arrival &) { return script; });
    CHECK_FALSE(cluster.nodes.sendRequest(0, request).isComplete);
}

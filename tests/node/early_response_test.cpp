// Responses that begin before their targets have read the whole request, and have no length.

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "support/raw_target.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 38;
// Of a request, before the target responds.
constexpr std::size_t readBytes = 5'000;

struct EndCase
{
    End end;
    Milliseconds resetDelay; ///< After the end of the output.
};

constexpr EndCase cutEnds[] = {
    { End::Reset, 0_ms },        { End::CloseUnread, 0_ms },   { End::FinThenReset, 0_ms },
    { End::FinThenReset, 3_ms }, { End::FinThenReset, 20_ms },
};

RawResponse respond(const std::string &request, const EndCase &endCase)
{
    if (isReport(request))
        return RawResponse { "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n" };
    const bool isStream = request.find(" /fixed/") != std::string::npos;
    return RawResponse { isStream ? streamHead + "\r\n" + events({ "1", "2" })
                                  : plainHead + "\r\npart",
                         endCase.end, endCase.resetDelay };
}

CallerRequest upload(const std::string &route, std::size_t bytes)
{
    CallerRequest request =
        route == "fixed" ? streamRequest("upload", route) : plainRequest(route, "upload");
    request.body.assign(bytes, 'x');
    return request;
}

/// @brief Sends an upload in chunks instead of with a length.
Response sendInChunks(const TestCluster &cluster, CallerRequest request)
{
    const std::string body = std::exchange(request.body, {});
    request.extraFields = "Transfer-Encoding: chunked\r\n";
    Caller caller(cluster.nodes.callerAddress(0));
    caller.send(request.text() + chunk(body) + std::string(http::lastChunk));
    return caller.receive(request.method, 5'000_ms);
}

} // namespace

// Guards against a part of a body that passes for the whole because an end of output came before
// the reset (MIXED).
TEST_CASE("early response: one that is reset while the upload is unread is not complete")
{
    EndCase endCase {};
    RawCluster cluster(
        subnet, { 1, 2, 51 },
        [&endCase](const std::string &request) { return respond(request, endCase); }, 1, readBytes);
    for (const EndCase &cut : cutEnds) {
        endCase = cut;
        for (const std::size_t bytes : { 8'000, 20'000, 60'000, 100'000, 199'000 }) {
            CAPTURE(static_cast<int>(cut.end));
            CAPTURE(cut.resetDelay.count());
            CAPTURE(bytes);
            CHECK(cluster.nodes.sendRequest(0, upload("pay", bytes)).status == 502);
            CHECK(sendInChunks(cluster, upload("pay", bytes)).status == 502);
            const Response stream = cluster.nodes.sendRequest(0, upload("fixed", bytes));
            CHECK((stream.status != 200 || !stream.isComplete));
        }
    }
}

// The same by way of another instance.
TEST_CASE("early response: a relayed one that is reset while the upload is unread is not complete")
{
    const EndCase endCase { End::FinThenReset, 3_ms };
    RawCluster cluster(
        subnet, { 1, 2, 51 },
        [&endCase](const std::string &request) { return respond(request, endCase); }, 2, readBytes);
    REQUIRE(cutFirstInstance(cluster, plainRequest("read", "early")));
    for (const std::size_t bytes : { 60'000, 100'000 }) {
        CAPTURE(bytes);
        CHECK(cluster.nodes.sendRequest(0, upload("pay", bytes)).status == 502);
    }
}

// The other side of the rule: a target may respond early and read the rest of the upload later.
TEST_CASE("early response: one whose upload is read to its end is complete")
{
    const EndCase endCase { End::FinThenRead, 0_ms };
    RawCluster cluster(
        subnet, { 1, 2, 51 },
        [&endCase](const std::string &request) { return respond(request, endCase); }, 1, readBytes);
    for (const std::size_t bytes : { 100, 20'000, 60'000, 100'000, 199'000 }) {
        CAPTURE(bytes);
        const Response plain = cluster.nodes.sendRequest(0, upload("pay", bytes));
        CHECK(plain.status == 200);
        CHECK(plain.body == "part");
        CHECK(plain.elapsed < 500_ms);
        const Response stream = cluster.nodes.sendRequest(0, upload("fixed", bytes));
        CHECK(stream.isComplete);
        CHECK(stream.body == events({ "1", "2" }));
    }
}

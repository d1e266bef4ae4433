// A stream breaks off, and the next target answers with an error.

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <vector>

#include "support/raw_target.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 32;

const std::string begun = events({ "1", "2", "3" });

RawResponse brokenStream(const std::string &more = {})
{
    return { streamHead + chunked + chunk(begun + more), End::Reset };
}

std::string errorHead(int status, const std::string &type = "text/plain")
{
    return "HTTP/1.1 " + std::to_string(status)
           + " X\r\nRequest-Id: %ID\r\nResponse-Signature: s\r\nContent-Type: " + type + "\r\n";
}

// Responses of the next target that do not continue the stream.
std::vector<std::string> errors()
{
    std::vector<std::string> all;
    for (const int status : { 400, 404, 429, 500, 502, 503, 504 }) {
        all.push_back(errorHead(status) + "Content-Length: 5\r\n\r\nerror");
        all.push_back(errorHead(status, "text/event-stream") + chunked + chunk("id: 4\ndata: e\n\n")
                      + "0\r\n\r\n");
        all.push_back(errorHead(status) + "\r\nerror\n\n");
    }
    all.push_back(errorHead(503) + "Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror");
    // Errors in the body of a stream.
    for (const std::string &body :
         { std::string("error: overloaded\n\n"), std::string("event: error\ndata: overloaded\n\n"),
           std::string("HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror"),
           std::string("HTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nerror\n\n"),
           std::string("{\"error\":\"overloaded\"}\n\n"), std::string("overloaded") })
        all.push_back(streamHead + chunked + chunk(body) + "0\r\n\r\n");
    return all;
}

// Returns whether a body is the beginning of the stream and nothing else.
bool isBeginning(const std::string &body)
{
    return body == begun;
}

} // namespace

// Guards against the text of an error within a stream, and against a stream that an error ends as
// complete.
TEST_CASE("an error of the next target is no part of a stream that has begun")
{
    std::string error;
    std::string partial;
    RawCluster cluster(subnet, { 1, 2 }, [&](const std::string &request) {
        return isResumed(request) ? RawResponse { error } : brokenStream(partial);
    });
    int number = 0;
    for (const std::string &cut : { std::string(), std::string("id: 4\nda") }) {
        partial = cut;
        for (const std::string &next : errors()) {
            CAPTURE(next);
            CAPTURE(cut);
            error = next;
            const std::string id = "stream-" + std::to_string(++number);
            const Response response = cluster.nodes.sendRequest(0, streamRequest(id));
            CHECK(response.status == 200);
            CHECK(isBeginning(response.body));
            CHECK_FALSE(response.isComplete);
            // Without chunks, only a reset tells that the end is missing.
            Caller caller(cluster.nodes.callerAddress(0));
            std::string text = streamRequest(id + "-old").text();
            text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
            caller.send(text);
            CHECK(caller.waitForEnd(3'000_ms) == ConnectionEnd::Reset);
        }
    }
}

// Guards against an error within a continuation that was proper at first.
TEST_CASE("an error after proper events of the next target is no part of a stream")
{
    std::string error;
    RawCluster cluster(subnet, { 1, 2 }, [&](const std::string &request) {
        return isResumed(request) ? RawResponse { streamHead + chunked
                                                  + chunk(events({ "4" }) + error) + "0\r\n\r\n" }
                                  : brokenStream();
    });
    int number = 0;
    for (const std::string &next :
         { std::string("error: overloaded\n\n"), std::string("event: error\ndata: overloaded\n\n"),
           std::string("HTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nerror\n\n") }) {
        CAPTURE(next);
        error = next;
        const std::string id = "late-" + std::to_string(++number);
        const Response response = cluster.nodes.sendRequest(0, streamRequest(id));
        CHECK(response.status == 200);
        CHECK(response.body == begun + events({ "4" }));
        CHECK_FALSE(response.isComplete);
    }
}

// Guards against an error that is kept for the case that no target serves the request, and passed
// on although a stream has begun since.
TEST_CASE("an error of an earlier target is no part of a stream that has begun since")
{
    std::atomic<int> sends = 0;
    RawCluster cluster(subnet, { 1, 2 }, [&](const std::string &request) {
        // Reports are asked for, and connections are probed, at any time.
        if (request.find("POST /stream/") != 0)
            return RawResponse { "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n" };
        if (++sends == 1)
            return RawResponse { errorHead(500) + "Content-Length: 5\r\n\r\nerror" };
        return brokenStream("id: 4\n");
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("after-error"));
    CHECK(sends == 2);
    CHECK(response.status == 200);
    CHECK(isBeginning(response.body));
    CHECK_FALSE(response.isComplete);
}

TEST_CASE("a comment of the next target is part of the stream")
{
    RawCluster cluster(subnet, { 1, 2 }, [&](const std::string &request) {
        return isResumed(request)
                   ? RawResponse { streamHead + chunked
                                   + chunk(": working\n\n" + events({ "4" }) + ":\r\n\r\n")
                                   + "0\r\n\r\n" }
                   : brokenStream();
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("comment"));
    CHECK(response.isComplete);
    CHECK(response.body == begun + ": working\n\n" + events({ "4" }) + ":\r\n\r\n");
}

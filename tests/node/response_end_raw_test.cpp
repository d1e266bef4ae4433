// Responses of targets that send given bytes: ends that the stand-in of the platform does not
// produce.

#include <doctest/doctest.h>

#include "net/http_client.h"
#include "net/reactor.h"
#include "support/raw_target.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 19;

} // namespace

// Guards against a whole response that fails because its target resets a connection beyond its
// limit.
TEST_CASE("response end: a target that resets a connection is asked again about a response's end")
{
    std::atomic<int> reports = 0;
    RawCluster cluster(subnet, { 51 }, [&reports](const std::string &request) {
        if (isReport(request) && ++reports == 1)
            return RawResponse { "", End::Reset };
        if (isReport(request))
            return RawResponse { "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", End::Fin };
        return RawResponse { plainHead + "\r\nwhole", End::Fin };
    });
    const Response response = cluster.nodes.sendRequest(0, plainRequest("pay", "limit"));
    CHECK(response.status == 200);
    CHECK(response.body == "whole");
    CHECK(reports == 2);
}

TEST_CASE("response end: a stream whose ids are no numbers does not start anew")
{
    RawCluster cluster(subnet, { 1, 2 }, [](const std::string &request) {
        if (isResumed(request))
            return RawResponse { streamHead + chunked + chunk(events({ "a1", "a2", "a3", "a4" }))
                                 + "0\r\n\r\n" };
        return RawResponse { streamHead + chunked + chunk(events({ "a1", "a2", "a3" })), End::Fin };
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("letters"));
    CAPTURE(response.body);
    CHECK(response.body == events({ "a1", "a2", "a3" }));
    CHECK_FALSE(response.isComplete);
}

TEST_CASE("response end: an encoded response does not continue a stream")
{
    RawCluster cluster(subnet, { 1, 2 }, [](const std::string &request) {
        if (isResumed(request))
            return RawResponse { streamHead + "Content-Encoding: x-other\r\n" + chunked
                                 + chunk(events({ "4" })) + "0\r\n\r\n" };
        return RawResponse { streamHead + chunked + chunk(events({ "1", "2", "3" })), End::Fin };
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("encoded"));
    CHECK(response.body == events({ "1", "2", "3" }));
    CHECK_FALSE(response.isComplete);
}

TEST_CASE("response end: a response without a signature does not continue a stream")
{
    RawCluster cluster(subnet, { 1, 2 }, [](const std::string &request) {
        if (isResumed(request))
            return RawResponse { "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 + chunked + chunk(events({ "4" })) + "0\r\n\r\n" };
        return RawResponse { streamHead + chunked + chunk(events({ "1", "2", "3" })), End::Fin };
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("unsigned"));
    CHECK(response.body == events({ "1", "2", "3" }));
    CHECK_FALSE(response.isComplete);
}

// A caller that reads steadily, but for longer than the lingering close lasts.
TEST_CASE("response end: a caller that reads steadily receives the whole response")
{
    for (const bool hasChunks : { true, false }) {
        CAPTURE(hasChunks);
        TestCluster cluster(subnet);
        REQUIRE(cluster.isReady);
        Script script;
        script.events = 0;
        script.body.resize(40'000'000, 'x');
        cluster.standIn.setScript([script](const Arrival &) { return script; });
        CallerRequest request = plainRequest("read", "steady");
        request.extraFields = "Connection: close\r\n";
        std::string text = request.text();
        if (!hasChunks)
            text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
        const std::string address = cluster.nodes.callerAddress(0);
        const int connection = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(8227);
        inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &name.sin_addr);
        REQUIRE(connect(connection, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0);
        send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        std::size_t received = 0;
        std::vector<char> buffer(200'000);
        ssize_t count = 0;
        while ((count = recv(connection, buffer.data(), buffer.size(), 0)) > 0) {
            received += static_cast<std::size_t>(count);
            usleep(10'000);
        }
        ::close(connection);
        CHECK(received >= script.body.size());
    }
}

// A target may send bytes after a complete response. They must not be taken for the response to the
// next call on the connection, such as an order that releases memory.
TEST_CASE("response end: bytes after a response are not the response to the next call")
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    socklen_t size = sizeof name;
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr *>(&name), size) == 0);
    REQUIRE(listen(listener, 4) == 0);
    getsockname(listener, reinterpret_cast<sockaddr *>(&name), &size);
    std::thread server([listener] {
        const int connection = accept(listener, nullptr, nullptr);
        char buffer[4096];
        const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                                  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
        const std::string second = "HTTP/1.1 409 No\r\nContent-Length: 3\r\n\r\ntwo";
        recv(connection, buffer, sizeof buffer, 0);
        send(connection, first.data(), first.size(), MSG_NOSIGNAL);
        if (recv(connection, buffer, sizeof buffer, 0) > 0)
            send(connection, second.data(), second.size(), MSG_NOSIGNAL);
        usleep(200'000);
        ::close(connection);
    });
    net::Reactor reactor;
    net::HttpClient client(reactor, "127.0.0.1:" + std::to_string(ntohs(name.sin_port)));
    int secondStatus = -1;
    std::string secondBody;
    client.get("/1", Milliseconds(500), [](int, const std::string &) {});
    reactor.after(Milliseconds(100), [&] {
        client.get("/2", Milliseconds(500), [&](int status, const std::string &body) {
            secondStatus = status;
            secondBody = body;
        });
    });
    reactor.after(Milliseconds(700), [&] { reactor.stop(); });
    reactor.run();
    server.join();
    ::close(listener);
    CAPTURE(secondStatus);
    CHECK(secondBody != "stray");
}

// Like the tests of the fix, but the error has the stream's media type: only its status shows that
// it is no continuation.
TEST_CASE("response end: an error of the stream's media type does not continue a stream")
{
    RawCluster cluster(subnet, { 1, 2 }, [](const std::string &request) {
        if (isResumed(request))
            return RawResponse { "HTTP/1.1 500 X\r\nRequest-Id: %ID\r\nResponse-Signature: s\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 + chunked + chunk(events({ "4" })) + "0\r\n\r\n" };
        return RawResponse { streamHead + chunked + chunk(events({ "1", "2", "3" })), End::Fin };
    });
    const Response response = cluster.nodes.sendRequest(0, streamRequest("typed"));
    CHECK(response.body == events({ "1", "2", "3" }));
    CHECK_FALSE(response.isComplete);
}

// The end check may be in progress when the deadline passes, the caller leaves or the instance
// stops.
TEST_CASE("response end: an end check that is cut short neither crashes nor completes a response")
{
    RawCluster cluster(subnet, { 1, 2, 51 }, [](const std::string &request) {
        if (isReport(request)) {
            usleep(400'000);
            return RawResponse { "", End::Reset };
        }
        if (request.find(" /pay/") != std::string::npos)
            return RawResponse { plainHead + "\r\npart", End::Fin };
        return RawResponse { streamHead + "\r\n" + events({ "1", "2" }), End::Fin };
    });
    CallerRequest request = streamRequest("deadline", "fixed");
    request.deadlineMs = 200;
    const Response stream = cluster.nodes.sendRequest(0, request);
    CHECK_FALSE(stream.isComplete);
    CHECK(stream.elapsed < 400_ms);
    usleep(500'000);
    request = plainRequest("pay", "deadline-plain");
    request.deadlineMs = 200;
    const Response plain = cluster.nodes.sendRequest(0, request);
    CHECK(plain.status != 200);
    usleep(500'000);
    {
        Caller caller(cluster.nodes.callerAddress(0));
        caller.send(streamRequest("leaves", "fixed").text());
        usleep(150'000);
    }
    usleep(700'000);
    CHECK(cluster.nodes.process(0).isRunning());
    Caller caller(cluster.nodes.callerAddress(0));
    caller.send(streamRequest("stopped", "fixed").text());
    usleep(150'000);
    cluster.nodes.process(0).signal(SIGTERM);
    CHECK_FALSE(caller.receive("POST").isComplete);
}

// The bytes of a whole response may wait in the kernel for longer than the lingering close lasts.
TEST_CASE(
    "response end: a slow caller without chunks receives a whole response that the kernel holds")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    Script script;
    script.events = 0;
    script.body = std::string(1'500'000, 'x');
    cluster.standIn.setScript([script](const Arrival &) { return script; });
    Caller caller(cluster.nodes.callerAddress(0));
    std::string text = plainRequest("read", "slow").text();
    text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    caller.send(text);
    usleep(2'500'000);
    const Response response = caller.receive("POST");
    CHECK(response.isComplete);
    CHECK(response.body.size() == script.body.size());
}

// A response that ends properly, but inside an event.
TEST_CASE("response end: a response that ends inside an event is resumed")
{
    for (const bool hasChunks : { true, false }) {
        CAPTURE(hasChunks);
        RawCluster cluster(subnet, { 1, 2 }, [hasChunks](const std::string &request) {
            if (isReport(request))
                return RawResponse { "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", End::Fin };
            if (isResumed(request))
                return RawResponse { streamHead + chunked + chunk(events({ "3" })) + "0\r\n\r\n" };
            const std::string part = events({ "1", "2" }) + "id: 3\nda";
            std::string bytes = streamHead;
            bytes += hasChunks ? chunked + chunk(part) : "\r\n" + part;
            if (hasChunks)
                bytes += "0\r\n\r\n";
            return RawResponse { bytes };
        });
        const Response response = cluster.nodes.sendRequest(0, streamRequest("inside"));
        CHECK(response.isComplete);
        CHECK(response.body == events({ "1", "2", "3" }));
    }
}

// The process that listens at the port after a restart does not prove that the former one ended
// its response, if its report has no start stamp although the registry entry has one.
TEST_CASE("response end: a report without a start stamp does not confirm the end of a response")
{
    for (const std::string &report :
         { std::string("HTTP/1.1 503 Starting\r\nContent-Length: 0\r\n\r\n"),
           std::string("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"queued\":0,\"active\":0}"),
           std::string("HTTP/1.1 200 OK\r\n\r\n{\"queued\":0,\"act") }) {
        CAPTURE(report);
        RawCluster cluster(subnet, { 1, 2 }, [report](const std::string &request) {
            if (isReport(request))
                return RawResponse { report, End::Fin };
            return RawResponse { streamHead + "\r\n" + events({ "1", "2" }), End::Fin };
        });
        const Response response = cluster.nodes.sendRequest(0, streamRequest("stamp", "fixed"));
        CHECK(response.body == events({ "1", "2" }));
        CHECK_FALSE(response.isComplete);
    }
}

// The caller resumes by itself through this instance, and the target starts anew.
TEST_CASE("response end: a stream that the caller resumes itself does not go back")
{
    TestCluster cluster(subnet);
    REQUIRE(cluster.isReady);
    CallerRequest request = streamRequest("again");
    request.extraFields = "Last-Event-Id: 3\r\n";
    Script script;
    script.events = 8;
    std::atomic<int> startsAnew = 0;
    cluster.standIn.setScript([script, &startsAnew](const Arrival &) {
        Script next = script;
        next.ignoresLastEventId = startsAnew-- > 0;
        return next;
    });
    // Another target continues it, or none does.
    startsAnew = 1;
    Response response = cluster.nodes.sendRequest(0, request);
    CHECK(response.isComplete);
    CHECK(response.body.find("id: 1\n") == std::string::npos);
    CHECK(response.body.find("id: 4\n") == 0);
    startsAnew = 10;
    request.id = "all";
    response = cluster.nodes.sendRequest(0, request);
    CHECK(response.status == 502);
    CHECK(response.body.find("id: 1\n") == std::string::npos);
}

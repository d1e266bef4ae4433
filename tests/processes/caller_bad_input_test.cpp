#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include "http/headers.h"
#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

// Sends raw bytes. @return What came back until the connection closed or was silent for a second.
std::string exchangeRaw(const Fleet &fleet, const std::string &text)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(fleet.entryAddress(0)));
    socket.setReceiveTimeout(Poco::Timespan(1, 0));
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    std::string answer;
    std::array<char, 4'096> buffer {};
    try {
        for (int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
             count > 0; count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())))
            answer.append(buffer.data(), static_cast<std::size_t>(count));
    } catch (const Poco::Exception &) {
        return answer;
    }
    return answer;
}

struct Refusal
{
    int status = 0;
    std::string verdict;
    std::string error;
};

Refusal post(const Fleet &fleet, const std::string &header, const std::string &value,
             const std::string &body = R"({"model":"llm","prompt":"a question"})")
{
    Poco::Net::HTTPRequest request("POST", "/v1/completions", "HTTP/1.1");
    request.set("Authorization", std::string("Bearer ") + Fleet::token);
    request.set(header, value);
    const std::unique_ptr<http::Reply> reply =
        http::fetch(fleet.entryAddress(0), request, body, 3'000_ms);
    return { reply->status(), reply->response.get(http::verdictHeader, ""),
             reply->response.get(http::errorHeader, "") };
}

void checkRefused(const Refusal &refusal, int status, const std::string &error)
{
    CHECK(refusal.status == status);
    CHECK(refusal.verdict == "not run");
    CHECK(refusal.error == error);
}

} // namespace

TEST_CASE("callers that send bad input get a clear error, and the instance lives")
{
    FleetOptions options;
    options.instances = 1;
    options.engines = 1;
    options.entrySettings = "[limits]\nmaxBodyBytes=1000\n";
    Fleet fleet(options);
    fleet.waitReady();

    checkRefused(post(fleet, http::deadlineHeader, "-5"), 504, "deadline-passed");
    checkRefused(post(fleet, http::deadlineHeader, "0"), 504, "deadline-passed");
    checkRefused(post(fleet, http::deadlineHeader, "soon"), 400, "malformed-request");
    checkRefused(post(fleet, http::lastEventIdHeader, "-2"), 400, "malformed-request");
    checkRefused(post(fleet, http::requestIdHeader, "a b/c"), 400, "malformed-request");
    checkRefused(post(fleet, "Authorization", "Bearer nobody"), 401, "unauthenticated");
    checkRefused(post(fleet, "Authorization", "Basic eDp5"), 401, "unauthenticated");
    const std::string longBody = R"({"model":"llm","prompt":")" + std::string(2'000, 'x') + "\"}";
    checkRefused(post(fleet, "X-None", "1", longBody), 413, "body-too-large");

    const std::string chunkedHead = "POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "400\r\n" + std::string(0x400, 'x') + "\r\n";
    const std::string answer = exchangeRaw(fleet, chunkedHead + chunk + chunk + "0\r\n\r\n");
    CHECK(answer.find(" 413 ") != std::string::npos);

    for (const std::string &text :
         { std::string("\r\n\r\n"), std::string("NONSENSE\r\n\r\n"),
           std::string("POST /v1/completions HTTP/9.9\r\nbroken header\r\n\r\n"),
           std::string("GET ") + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n",
           std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: minus\r\n\r\n") })
        CHECK(exchangeRaw(fleet, text).find(" 200 ") == std::string::npos);
    CHECK(fleet.entry(0).isRunning());
    load::CallerRequest request = fleet.request(0, "alive", 10);
    CHECK(load::complete(request).isComplete);
}

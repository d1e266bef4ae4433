#include <csignal>
#include <thread>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include "http/headers.h"
#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr Milliseconds answerSlack = 500_ms;

FleetOptions streamOptions()
{
    FleetOptions options;
    options.engines = 1;
    options.serviceKeys = "silenceTimeoutMs=500\n";
    return options;
}

void setFault(const Fleet &fleet, int engine, const std::string &kind)
{
    Poco::Net::HTTPRequest request("POST", "/v1/fault?kind=" + kind, "HTTP/1.1");
    http::fetch(fleet.engineAddress(engine), request, {}, 3'000_ms);
}

bool isEngineEmpty(const Fleet &fleet)
{
    const std::string stats = fleet.fetchText(fleet.engineAddress(0), "/v1/stats");
    return stats.find("\"tokens\":0,") != std::string::npos
           && stats.find("\"slots\":0,") != std::string::npos;
}

bool isEngineBusy(const Fleet &fleet)
{
    return fleet.fetchText(fleet.engineAddress(0), "/v1/stats").find("\"slots\":1")
           != std::string::npos;
}

// Sends a completion request and leaves its answer unread.
Poco::Net::StreamSocket sendUnread(const Fleet &fleet, TokenCount maxTokens, Milliseconds deadline)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(fleet.entryAddress(0)));
    const std::string body =
        R"({"model":"llm","prompt":"unread","max_tokens":)" + std::to_string(maxTokens) + "}";
    const std::string text =
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
        + std::string(Fleet::token)
        + "\r\nEgretmount-Deadline-Ms: " + std::to_string(deadline.count())
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    return socket;
}

} // namespace

TEST_CASE("streams survive silent connections and disorder")
{
    FleetOptions options = streamOptions();
    SUBCASE("an open connection that goes silent is replaced")
    {
        Fleet fleet(options);
        fleet.waitReady();
        load::CallerResult result;
        const load::CallerRequest request = fleet.request(0, "silent", 500, 300);
        std::thread caller([&] { result = load::complete(request); });
        CHECK(waitUntil([&] { return isEngineBusy(fleet); }, 3'000_ms));
        setFault(fleet, 0, "silence");
        caller.join();
        CHECK(result.isComplete);
        CHECK(result.tokens.size() == 300);
        CHECK(result.totalMicros < 5'000'000);
    }
    SUBCASE("chunks that come in reverse and twice are put in order")
    {
        options.engineFlags = { "--engine_scrambleTokens=8" };
        Fleet fleet(options);
        fleet.waitReady();
        const load::CallerResult result = load::complete(fleet.request(0, "scrambled", 500, 83));
        CHECK(result.isComplete);
        CHECK(result.tokens.size() == 83);
    }
    SUBCASE("a prompt that takes longer than the silence bound is not started again")
    {
        options.engineFlags = { "--engine_prefillTokensPerSecond=10000" };
        Fleet fleet(options);
        fleet.waitReady();
        const load::CallerResult result = load::complete(fleet.request(0, "long", 15'000, 20));
        CHECK(result.isComplete);
        CHECK(result.totalMicros < 3'000'000);
    }
}

TEST_CASE("callers resume anywhere, and callers with one id get their own answers")
{
    Fleet fleet(streamOptions());
    fleet.waitReady();
    SUBCASE("a caller resumes at another instance")
    {
        Poco::Net::HTTPRequest request("POST", "/v1/completions", "HTTP/1.1");
        request.set("Authorization", std::string("Bearer ") + Fleet::token);
        request.set(http::lastEventIdHeader, "6");
        const std::string body = R"({"model":"llm","prompt":"resume me","max_tokens":12})";
        const std::string text = http::fetch(fleet.entryAddress(1), request, body, 3'000_ms)->body;
        CHECK(text.compare(0, 6, "id: 7\n") == 0);
        CHECK(text.find("\"verdict\":\"ran\"") != std::string::npos);
        request.set(http::lastEventIdHeader, "12");
        CHECK(http::fetch(fleet.entryAddress(1), request, body, 3'000_ms)->status() == 400);
    }
    SUBCASE("two prompts under one id at one time")
    {
        load::CallerRequest one = fleet.request(0, "same", 300, 100);
        load::CallerRequest two = fleet.request(0, "same", 400, 100);
        load::CallerResult first;
        std::thread caller([&] { first = load::complete(one); });
        const load::CallerResult second = load::complete(two);
        caller.join();
        CHECK(first.isComplete);
        CHECK(second.isComplete);
        one.id = RequestId("alone");
        CHECK(load::complete(one).tokens == first.tokens);
        CHECK(first.tokens != second.tokens);
    }
}

TEST_CASE("the deadline's answer waits for no target and no caller")
{
    SUBCASE("a frozen target")
    {
        Fleet fleet(streamOptions());
        fleet.waitReady();
        fleet.engine(0).signal(SIGSTOP);
        load::CallerRequest request = fleet.request(0, "frozen");
        request.deadline = 1'500_ms;
        const load::CallerResult result = load::complete(request);
        CHECK(result.verdict == "may have run");
        CHECK(result.totalMicros < (request.deadline + answerSlack).count() * 1'000);
        fleet.engine(0).signal(SIGCONT);
    }
    SUBCASE("a caller that stops reading gives the memory back")
    {
        FleetOptions options = streamOptions();
        options.targetKeys = "tokens=2000000\nslots=64\ncoldTokens=2000000\ncoldSlots=64\n";
        options.engineFlags = { "--engine_memoryTokens=2000000",
                                "--engine_decodeTokensPerSecond=200000",
                                "--engine_streamTokensPerSecond=200000" };
        Fleet fleet(options);
        fleet.waitReady();
        const Poco::Net::StreamSocket socket = sendUnread(fleet, 900'000, 2'000_ms);
        CHECK(waitUntil([&] { return isEngineBusy(fleet); }, 2'000_ms));
        CHECK(waitUntil([&] { return isEngineEmpty(fleet); }, 4'000_ms));
        CHECK(load::complete(fleet.request(0, "after")).isComplete);
    }
    SUBCASE("a caller that goes away gives the memory back at once")
    {
        Fleet fleet(streamOptions());
        fleet.waitReady();
        {
            const Poco::Net::StreamSocket socket = sendUnread(fleet, 5'000, 20'000_ms);
            CHECK(waitUntil([&] { return isEngineBusy(fleet); }, 2'000_ms));
        }
        CHECK(waitUntil([&] { return isEngineEmpty(fleet); }, 1'500_ms));
    }
}

// Streams that wait behind long prefills, and what the look for another engine does.

#include <doctest/doctest.h>

#include <atomic>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 35;
constexpr int deadlineMs = 15'000;
// Clients of the stream route wait for eight seconds, four times its latency target.
constexpr const char *latencyTarget = "2000";
// Prefill times on one engine: 1.2 s and 2 s.
constexpr const char *hangingPrompt = "90000,100";
constexpr const char *blockingPrompt = "122000,100";

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

std::string slowConfiguration()
{
    std::string text = testConfiguration(1);
    replaceAll(text, "\"timeoutMs\":2000", "\"timeoutMs\":" + std::to_string(deadlineMs));
    replaceAll(text, "\"sloMs\":300", std::string("\"sloMs\":") + latencyTarget);
    replaceAll(text, "\"chunk\":2048", "\"chunk\":150000"); // prompts are not split
    return text;
}

/// @brief Long prompts that hang at two engines, and an instance that may move them.
struct HangingPrompts
{
    StandIn standIn { subnet };
    std::unique_ptr<Nodes> nodes;
    std::vector<std::thread> callers;

    HangingPrompts()
    {
        standIn.put("op/config", slowConfiguration());
        for (const int engine : { 1, 2, 3 }) // one of them is kept for short prompts
            standIn.addTarget(engine, "llm");
        standIn.addTarget(51, "app");
        standIn.setScript([](const Arrival &arrival) {
            Script script;
            script.events = arrival.head.target.find("/read/") == 0 ? 0 : 5;
            if (script.events > 0)
                script.firstEventDelay = Milliseconds(deadlineMs);
            return script;
        });
        nodes = std::make_unique<Nodes>(standIn, 1,
                                        "/tmp/egretmount-node-" + std::to_string(getpid()) + '-'
                                            + std::to_string(subnet) + ".log");
        REQUIRE(nodes->waitReady(1));
        usleep(600'000); // until it places long prompts at once
    }

    ~HangingPrompts()
    {
        nodes->process(0).kill();
        for (std::thread &caller : callers)
            caller.join();
    }

    /// @brief Sends a prompt whose response nobody waits for.
    void send(const std::string &id, const std::string &tokens)
    {
        callers.emplace_back([this, id, tokens] {
            CallerRequest request;
            request.id = id;
            request.tokens = tokens;
            request.body = "prompt";
            request.deadlineMs = deadlineMs;
            nodes->sendRequest(0, request, Milliseconds(deadlineMs));
        });
        usleep(100'000);
    }

    /// @brief Returns how many lines of the instance's log contain a text.
    int logLines(const std::string &text) const
    {
        std::ifstream log(nodes->logFile());
        int count = 0;
        for (std::string line; std::getline(log, line);)
            count += line.find(text) != std::string::npos ? 1 : 0;
        return count;
    }
};

} // namespace

// Guards against an instance that stops serving: the look of one stream for another engine set off
// that of a second stream, and the other way round, without end.
TEST_CASE("an instance serves on while two stalled streams look at each other's engine")
{
    HangingPrompts hanging;
    hanging.send("a", hangingPrompt);
    hanging.send("b", hangingPrompt);
    usleep(4'300'000);
    hanging.send("c", blockingPrompt);
    hanging.send("d", blockingPrompt);
    for (int i = 0; i < 5; ++i) {
        const Response response =
            hanging.nodes->sendRequest(0, plainRequest("read", "r" + std::to_string(i)), 1'000_ms);
        CHECK(response.status == 200);
    }
    CHECK(hanging.logLines("stream stalled by a long prefill") > 0);
    CHECK(hanging.logLines("stream stalled by a long prefill") < 20);
}

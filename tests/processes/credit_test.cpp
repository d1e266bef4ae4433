#include <atomic>
#include <chrono>
#include <thread>

#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

std::int64_t statOf(const Fleet &fleet, const std::string &name)
{
    Poco::JSON::Parser parser;
    const std::string text = fleet.fetchText(fleet.engineAddress(0), "/v1/stats");
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>()->getValue<std::int64_t>(name);
}

void setEngineFault(const Fleet &fleet, const std::string &kind)
{
    Poco::Net::HTTPRequest request("POST", "/v1/fault?kind=" + kind, "HTTP/1.1");
    http::fetch(fleet.engineAddress(0), request, {}, 3'000_ms);
}

struct Counts
{
    std::atomic<int> whole { 0 };
    std::atomic<int> notRun { 0 };
    std::atomic<int> other { 0 };
};

// Callers that each send one request after the other to one instance.
class Callers
{
public:
    Callers(const Fleet &fleet, int instances, int each, Milliseconds runTime,
            TokenCount maxTokens = 20)
    {
        for (int i = 0; i < instances * each; ++i) {
            m_threads.emplace_back([this, &fleet, instances, i, runTime, maxTokens] {
                const Milliseconds end = monotonicNow() + runTime;
                for (int n = 0; monotonicNow() < end; ++n) {
                    const std::string id = std::to_string(i) + "-" + std::to_string(n) + "-"
                                           + std::to_string(monotonicNow().count());
                    load::CallerRequest request = fleet.request(i % instances, id, 500, maxTokens);
                    request.deadline = 4'000_ms;
                    count(load::complete(request));
                }
            });
        }
    }
    ~Callers() { join(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void join()
    {
        for (std::thread &thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    const Counts &counts() const { return m_counts; }

private:
    void count(const load::CallerResult &result)
    {
        if (result.isComplete) {
            ++m_counts.whole;
            return;
        }
        ++(result.verdict == "not run" ? m_counts.notRun : m_counts.other);
        sleepFor(50_ms);
    }

    Counts m_counts;
    std::vector<std::thread> m_threads;
};

FleetOptions coldOptions(const std::string &warmAfterTokens)
{
    FleetOptions options;
    options.instances = 4;
    options.engines = 1;
    options.engineFlags = { "--engine_warmAfterTokens=" + warmAfterTokens, "--engine_coldSlots=2" };
    options.targetKeys = "tokens=200000\nslots=16\ncoldTokens=40000\ncoldSlots=2\n";
    return options;
}

} // namespace

TEST_CASE("credits: a cold engine never has more than its cold cap")
{
    Fleet fleet(coldOptions("1000000000"));
    fleet.waitReady();
    Callers callers(fleet, 4, 3, 4'000_ms);
    callers.join();
    CHECK(statOf(fleet, "peak_cold_slots") <= 2);
    CHECK(statOf(fleet, "peak_slots") <= 2);
    CHECK(callers.counts().whole > 10);
    MESSAGE("whole " << callers.counts().whole.load() << ", not run "
                     << callers.counts().notRun.load() << ", other "
                     << callers.counts().other.load() << ", peak " << statOf(fleet, "peak_slots"));
}

TEST_CASE("credits: a warm engine that turns cold gets its cold cap once that is seen")
{
    Fleet fleet(coldOptions("20000"));
    fleet.waitReady();
    load::CallerRequest warming = fleet.request(0, "warming", 21'000, 2);
    CHECK(load::complete(warming).isComplete);
    REQUIRE(waitUntil([&] { return statOf(fleet, "warm") == 1; }, 5'000_ms));
    sleepFor(2'500_ms);
    Callers warm(fleet, 4, 3, 1'000_ms);
    warm.join();
    CHECK(statOf(fleet, "peak_slots") > 2);
    setEngineFault(fleet, "cold");
    // A poll and a report's lag.
    sleepFor(1'000_ms);
    REQUIRE(statOf(fleet, "warm") == 0);
    Callers cold(fleet, 4, 3, 2'000_ms);
    cold.join();
    CHECK(statOf(fleet, "peak_cold_slots") <= 2);
    MESSAGE("whole after the fault " << cold.counts().whole.load() << ", not run "
                                     << cold.counts().notRun.load());
}

TEST_CASE("credits: the cap holds while all instances of a zone restart")
{
    FleetOptions options;
    options.instances = 6;
    options.engines = 1;
    options.targetKeys = "tokens=200000\nslots=12\ncoldTokens=200000\ncoldSlots=12\n";
    Fleet fleet(options);
    fleet.waitReady();
    Callers callers(fleet, 6, 4, 7'000_ms, 100);
    sleepFor(1'000_ms);
    for (int index : { 0, 3 })
        fleet.entry(index).kill();
    sleepFor(300_ms);
    for (int index : { 0, 3 })
        fleet.startEntry(index);
    callers.join();
    CHECK(statOf(fleet, "peak_slots") <= 12);
    CHECK(statOf(fleet, "peak_slots") >= 8);
    CHECK(callers.counts().whole > 50);
    MESSAGE("whole " << callers.counts().whole.load() << ", not run "
                     << callers.counts().notRun.load() << ", other "
                     << callers.counts().other.load() << ", peak " << statOf(fleet, "peak_slots"));
}

TEST_CASE("credits: the cap holds when an instance dies with borrowed credit")
{
    FleetOptions options;
    options.instances = 2;
    options.engines = 1;
    options.targetKeys = "tokens=200000\nslots=4\ncoldTokens=200000\ncoldSlots=4\n";
    Fleet fleet(options);
    fleet.waitReady();
    {
        // Only instance 0 has callers, so that it uses what instance 1 lends.
        Callers borrower(fleet, 1, 6, 1'500_ms, 200);
        CHECK(waitUntil([&] { return statOf(fleet, "slots") == 4; }, 2'000_ms));
        fleet.entry(0).kill();
    }
    fleet.startEntry(0);
    Callers callers(fleet, 2, 3, 3'000_ms);
    callers.join();
    CHECK(statOf(fleet, "peak_slots") <= 4);
    CHECK(callers.counts().whole > 5);
    MESSAGE("whole " << callers.counts().whole.load() << ", not run "
                     << callers.counts().notRun.load() << ", peak " << statOf(fleet, "peak_slots"));
}

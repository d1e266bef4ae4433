// Concurrent callers while processes are killed, frozen and cut off, and a check of what was seen.
// EGRETMOUNT_SEED chooses another schedule; scripts/check-history runs many.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

#include <egretmount/core/random.h>

#include "support/history.h"
#include "support/once_client.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;
using Kind = HistoryEvent::Kind;

namespace {

constexpr int instances = 4;
constexpr int engines = 2;
constexpr int plainTargets = 2;
constexpr Milliseconds runTime = 5'000_ms;

void pause(Milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

FleetOptions historyOptions()
{
    FleetOptions options;
    options.instances = instances;
    options.engines = engines;
    options.plainTargets = plainTargets;
    options.serviceKeys = "silenceTimeoutMs=500\n";
    options.plainServiceKeys = "calls=once\n";
    options.plainFlags = { "--plain_callMs=30" };
    return options;
}

class Run
{
public:
    explicit Run(std::uint64_t seed)
        : m_seed(seed)
        , m_fleet(historyOptions())
    {
        m_fleet.waitReady();
    }

    void run()
    {
        std::vector<std::thread> callers;
        callers.reserve(6);
        for (std::uint64_t i = 0; i < 4; ++i)
            callers.emplace_back([this, i] { call(i); });
        for (std::uint64_t i = 4; i < 6; ++i)
            callers.emplace_back([this, i] { stream(i); });
        disturb();
        m_isOver = true;
        for (std::thread &caller : callers)
            caller.join();
        collect();
    }

    History &history() { return m_history; }

private:
    bool isOver() const { return m_isOver; }

    // One fault after the other, without waiting for the end of the last one.
    void disturb()
    {
        Random random(m_seed);
        const Milliseconds end = monotonicNow() + runTime;
        std::vector<std::thread> faults;
        while (monotonicNow() < end) {
            pause(random.between(100_ms, 900_ms));
            const int index = static_cast<int>(random.below(instances));
            const std::uint64_t kind = random.below(5);
            const Milliseconds length = random.between(200_ms, 3'000_ms);
            if (kind <= 1 && !m_isDown[index].exchange(true))
                faults.emplace_back([=] { stopInstance(index, kind == 0, length); });
            else if (kind == 2)
                cutConnections(index % engines);
            else if (kind == 3)
                faults.emplace_back(
                    [=] { freeze(m_fleet.plain(index % plainTargets), length / 3); });
            else if (kind == 4)
                faults.emplace_back([=] { freeze(m_fleet.engine(index % engines), length / 2); });
        }
        for (std::thread &fault : faults)
            fault.join();
    }

    void stopInstance(int index, bool isKill, Milliseconds length)
    {
        ++m_disturbances[index];
        if (isKill) {
            m_fleet.entry(index).kill();
            pause(length);
            m_fleet.startEntry(index);
        } else {
            freeze(m_fleet.entry(index), length);
        }
        ++m_disturbances[index];
        m_isDown[index] = false;
    }

    static void freeze(Process &process, Milliseconds length)
    {
        process.signal(SIGSTOP);
        pause(length);
        process.signal(SIGCONT);
    }

    void cutConnections(int engine)
    {
        try {
            Poco::Net::HTTPRequest request("POST", "/v1/fault?kind=silence", "HTTP/1.1");
            http::fetch(m_fleet.engineAddress(engine), request, {}, 1'000_ms);
        } catch (const Poco::Exception &) {
            return; // it is frozen
        }
    }

    // Asks with one ticket again, anywhere, until something is known.
    void call(std::uint64_t caller)
    {
        Random random(m_seed * 100 + caller);
        for (int number = 0; !isOver(); ++number) {
            const std::string id = std::to_string(caller) + "-" + std::to_string(number);
            std::string ticket;
            try {
                ticket = takeTicket(m_fleet, static_cast<int>(random.below(instances)));
            } catch (const Poco::Exception &) {
                ticket.clear();
            }
            bool isKnown = ticket.empty();
            for (int attempt = 0; attempt < 4 && !isKnown; ++attempt)
                isKnown = callAt(static_cast<int>(random.below(instances)), ticket, id);
        }
    }

    bool callAt(int index, const std::string &ticket, const std::string &id)
    {
        HistoryEvent event;
        event.key = id;
        event.deadline = 2'000_ms;
        const int before = m_disturbances[index];
        const CallReport report = callOnce(m_fleet, index, ticket, id, event.deadline);
        event.isDisturbed = isDisturbed(index, before) || report.status == 0;
        event.verdict = report.verdict;
        event.elapsed = report.elapsed;
        event.isComplete = report.status == 200;
        event.answer =
            report.body.find("\"request\":\"" + id + "\"") != std::string::npos ? id : "";
        event.expected = id;
        m_history.add(event);
        return report.verdict == "ran" || report.verdict == "not run";
    }

    bool isDisturbed(int index, int before) const
    {
        return before % 2 != 0 || m_disturbances[index] != before;
    }

    void stream(std::uint64_t caller)
    {
        Random random(m_seed * 100 + caller);
        for (int number = 0; !isOver(); ++number) {
            const int index = static_cast<int>(random.below(instances));
            const std::string id = std::to_string(caller) + "-" + std::to_string(number);
            load::CallerRequest request = m_fleet.request(index, id, 300, 60);
            request.deadline = 4'000_ms;
            const int before = m_disturbances[index];
            const load::CallerResult result = load::complete(request);
            HistoryEvent event;
            event.kind = Kind::Stream;
            event.key = id;
            event.verdict = result.verdict;
            event.deadline = request.deadline;
            event.elapsed = Milliseconds(result.totalMicros / 1'000);
            event.isComplete = result.isComplete;
            event.isDisturbed = isDisturbed(index, before) || result.status == 0;
            event.answer = join(result.tokens);
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_streams.emplace_back(request, event);
        }
    }

    static std::string join(const std::vector<std::string> &tokens)
    {
        std::string text;
        for (const std::string &token : tokens)
            text += token + ' ';
        return text;
    }

    // The answer of an engine that is asked directly is what the caller should have had.
    void collect()
    {
        for (std::pair<load::CallerRequest, HistoryEvent> &seen : m_streams) {
            seen.first.address = m_fleet.engineAddress(0);
            if (seen.second.isComplete)
                seen.second.expected = join(load::complete(seen.first).tokens);
            m_history.add(seen.second);
        }
        for (int i = 0; i < plainTargets; ++i)
            collectExecutions(m_fleet.fetchText(m_fleet.plainAddress(i), "/v1/executions"));
        for (int i = 0; i < engines; ++i) {
            std::string stats;
            const auto isEmpty = [&] {
                stats = m_fleet.fetchText(m_fleet.engineAddress(i), "/v1/stats");
                return stats.find("\"tokens\":0,") != std::string::npos;
            };
            HistoryEvent event;
            event.kind = Kind::Memory;
            event.key = "engine-" + std::to_string(i);
            event.answer = waitUntil(isEmpty, 5'000_ms) ? "" : stats;
            m_history.add(event);
        }
    }

    void collectExecutions(const std::string &lines)
    {
        std::istringstream stream(lines);
        for (std::string line; std::getline(stream, line);) {
            HistoryEvent event;
            event.kind = Kind::Execution;
            event.key = Poco::JSON::Parser()
                            .parse(line)
                            .extract<Poco::JSON::Object::Ptr>()
                            ->getValue<std::string>("key");
            m_history.add(event);
        }
    }

    std::uint64_t m_seed;
    Fleet m_fleet;
    History m_history;
    std::mutex m_mutex;
    std::vector<std::pair<load::CallerRequest, HistoryEvent>> m_streams; // guarded by m_mutex
    std::array<std::atomic<int>, instances> m_disturbances {}; // odd: stopped now
    std::array<std::atomic<bool>, instances> m_isDown {};
    std::atomic<bool> m_isOver { false };
};

HistoryEvent event(Kind kind, const std::string &key, const std::string &verdict = {})
{
    HistoryEvent event;
    event.kind = kind;
    event.key = key;
    event.verdict = verdict;
    return event;
}

bool isCaught(const std::vector<HistoryEvent> &events)
{
    History history;
    for (const HistoryEvent &seen : events)
        history.add(seen);
    return !history.violations().empty();
}

} // namespace

TEST_CASE("the history check catches every kind of breach")
{
    const HistoryEvent ran = event(Kind::Execution, "a");
    CHECK(!isCaught({ ran, event(Kind::Call, "a", "ran"), event(Kind::Call, "b", "not run") }));
    CHECK(isCaught({ ran, ran }));
    CHECK(isCaught({ ran, event(Kind::Call, "a", "not run") }));
    CHECK(isCaught({ event(Kind::Call, "a", "ran") }));
    HistoryEvent late = event(Kind::Stream, "a");
    late.elapsed = late.deadline + deadlineSlack + 1_ms;
    CHECK(isCaught({ late }));
    HistoryEvent foreign = event(Kind::Stream, "a");
    foreign.isComplete = true;
    foreign.answer = "another's";
    CHECK(isCaught({ foreign }));
    HistoryEvent held = event(Kind::Memory, "engine");
    held.answer = "7 tokens";
    CHECK(isCaught({ held }));
}

TEST_CASE("a history of concurrent callers under faults has no breach")
{
    const char *given = std::getenv("EGRETMOUNT_SEED");
    const std::uint64_t seed = given ? std::strtoull(given, nullptr, 10) : 1;
    Run run(seed);
    run.run();
    const std::vector<std::string> violations = run.history().violations();
    MESSAGE("seed ", seed, ", events ", run.history().size());
    for (const std::string &violation : violations)
        MESSAGE(violation);
    if (!violations.empty())
        run.history().write("history-" + std::to_string(seed) + ".jsonl");
    CHECK(violations.empty());
}

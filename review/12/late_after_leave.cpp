// Engines of a plain service leave without reporting `draining`: their entries are removed, and
// they serve on for a little more than `drainMs`. Checks that no request reaches them later than
// `drainMs` after the store has acknowledged the removal.
//
// First one of five engines leaves just after the store has cut the watches that wait; then two of
// five leave at the same moment. Without trouble no watch is cut, and the two leave in turn.
//
// Usage: late_after_leave FOLDER RECORD TROUBLE

#include <iostream>

#include "../common-3/platform.h"

namespace {

using namespace review;

constexpr int caseNumber = 111; // second number of the loopback addresses
constexpr int slots = 6;
constexpr std::int64_t workMs = 100;
constexpr int callers = 17;
constexpr std::int64_t cutBeforeMs = 100;
constexpr std::int64_t drainMs = 2'000;
// What an engine serves longer than `drainMs`, "and a little longer".
constexpr std::int64_t extraServiceMs = 300;
// The time between an engine's own clock reading and the store's, which are one process here.
constexpr std::int64_t toleranceMs = 20;

struct Answer
{
    std::string requestId;
    std::int64_t sentAt = 0;
    int status = 0; // zero: the connection ended
};

struct Callers
{
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::vector<Answer> answers; // guarded by `mutex`
    std::vector<std::thread> threads;
};

// Sends one request after the other on a kept connection.
void call(Callers &all, const std::string &address, int caller)
{
    std::unique_ptr<Connection> connection;
    for (int number = 0; !all.isStopping; ++number) {
        if (!connection)
            connection = Connection::open(address, 1'000);
        if (!connection) {
            sleepMs(50);
            continue;
        }
        Answer answer { "c" + std::to_string(caller) + '-' + std::to_string(number), nowMs(), 0 };
        connection->write("POST /pay/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: "
                          + answer.requestId
                          + "\r\nRequest-Deadline: 1500\r\nAuthorization: Bearer key-1\r\n"
                            "Content-Length: 4\r\n\r\nbody");
        const Message response = connection->read(3'000);
        answer.status = response.isComplete ? response.status() : 0;
        if (!response.isComplete || response.field("connection") == "close")
            connection.reset();
        const std::lock_guard<std::mutex> lock(all.mutex);
        all.answers.push_back(answer);
    }
}

int statusOf(const Callers &all, const std::string &requestId)
{
    for (const Answer &answer : all.answers) {
        if (answer.requestId == requestId)
            return answer.status;
    }
    return 0;
}

int run(const std::string &folder, Record &record, bool hasTrouble)
{
    const Addresses addresses(caseNumber);
    if (!addresses.areFree())
        return 2;
    Store store;
    if (!store.start(addresses.at(250, Port::Store)))
        return 2;
    store.put("op/config", plainConfiguration(1, "non_idempotent", 1));
    std::vector<std::unique_ptr<Engine>> engines;
    const auto addEngine = [&](int number) {
        engines.push_back(std::make_unique<Engine>("i-" + std::to_string(number), "app",
                                                   addresses.at(100 + number, Port::Engine), "a",
                                                   workMs));
        const bool hasStarted = engines.back()->start();
        store.put(engines.back()->key(), engines.back()->entry("ready", slots));
        return hasStarted;
    };
    for (int number = 1; number <= 5; ++number) {
        if (!addEngine(number))
            return 2;
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 1; i <= 2; ++i) {
        nodes.push_back(
            std::make_unique<Node>(addresses, i, 2, folder, addresses.at(250, Port::Store)));
        nodes.back()->start();
    }
    const std::int64_t readyBy = nowMs() + 10'000;
    while (!nodes[0]->isReady() || !nodes[1]->isReady()) {
        if (nowMs() > readyBy)
            return 2;
        sleepMs(50);
    }
    record.line("two machines are ready; five engines of one service with 6 slots each");
    Callers all;
    for (int i = 0; i < callers; ++i)
        all.threads.emplace_back([&all, &nodes, i] { call(all, nodes[0]->frontAddress(), i); });
    sleepMs(5'000);

    // The leaving engines, and when the store acknowledged their removals.
    std::map<Engine *, std::int64_t> left;
    const auto leave = [&](const std::vector<Engine *> &leaving) {
        std::vector<std::string> keys;
        std::string names;
        for (const Engine *engine : leaving) {
            keys.push_back(engine->key());
            names += ' ' + engine->id();
        }
        const std::int64_t acknowledgedAt = store.remove(keys);
        for (Engine *engine : leaving)
            left[engine] = acknowledgedAt;
        record.line("removed:" + names);
        sleepMs(drainMs + extraServiceMs);
        for (Engine *engine : leaving)
            engine->exit();
        record.line("exited:" + names);
    };
    if (hasTrouble) {
        store.cutWatches();
        record.line("the store has cut the watches");
    }
    sleepMs(cutBeforeMs);
    leave({ engines[0].get() });
    if (!addEngine(6))
        return 2;
    sleepMs(5'000);
    if (hasTrouble) {
        leave({ engines[1].get(), engines[2].get() });
    } else {
        leave({ engines[1].get() });
        leave({ engines[2].get() });
    }
    sleepMs(1'500);
    all.isStopping = true;
    for (std::thread &thread : all.threads)
        thread.join();

    std::map<int, int> statuses;
    for (const Answer &answer : all.answers)
        ++statuses[answer.status];
    for (const auto &[status, count] : statuses)
        record.line("answers with status " + std::to_string(status) + ": " + std::to_string(count));
    std::size_t late = 0;
    std::size_t lost = 0;
    std::size_t arrived = 0;
    for (const std::unique_ptr<Engine> &engine : engines) {
        const std::vector<Arrival> arrivals = engine->arrivals();
        arrived += arrivals.size();
        record.line(engine->id() + ": " + std::to_string(arrivals.size()) + " requests arrived");
        const auto removal = left.find(engine.get());
        if (removal == left.end())
            continue;
        for (const Arrival &arrival : arrivals) {
            const std::int64_t after = arrival.at - removal->second;
            if (after <= drainMs + toleranceMs)
                continue;
            const int status = statusOf(all, arrival.requestId);
            ++late;
            lost += status == 200 ? 0 : 1;
            record.line("LATE: " + arrival.requestId + " reached " + arrival.engine + ' '
                        + std::to_string(after)
                        + " ms after the removal was acknowledged; the caller got "
                        + (status == 0 ? std::string("no answer") : std::to_string(status)));
        }
    }
    record.line("requests that reached a leaving engine later than drainMs: " + std::to_string(late)
                + ", of these not answered with success: " + std::to_string(lost));
    if (!nodes[0]->isRunning() || !nodes[1]->isRunning() || arrived < 300)
        return 2;
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    Record record(argv[2]);
    const int result = run(argv[1], record, std::string(argv[3]) != "0");
    record.line("result: " + std::to_string(result));
    std::cout << "result " << result << '\n';
    return result;
}

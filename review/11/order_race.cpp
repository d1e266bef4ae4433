// Two machines whose share of a core is a quota serve prompts that need memory at several engines,
// while some callers leave before their deadline. Checks that no machine ends the connections of
// requests that engines have accepted.
//
// Usage: order_race FOLDER RECORD TROUBLE

#include <iostream>
#include <random>

#include "../common-3/llm.h"

namespace {

using namespace review;

constexpr int caseNumber = 110; // second number of the loopback addresses
constexpr int machines = 2;
constexpr int engineCount = 48;
constexpr int callersPerMachine = 40;
constexpr int readersPerMachine = 6;
constexpr int readEngines = 6;
constexpr int promptTokens = 45'000;
constexpr std::int64_t runMs = 75'000;
constexpr int quotaMsPerTenth = 8; // 0.084 of a core
constexpr std::int64_t leaveWithinMs = 750; // half the objective of 1,500 ms
constexpr std::int64_t giveUpMs = 5'000;
constexpr std::int64_t giveUpPeriodMs = 6'000;
constexpr std::size_t allowedLosses = 3;

/// @brief Plays one machine: its process runs until it has used its share of a tenth of a second,
///        and then not at all for the rest of that tenth. A process that has ended is started
///        again.
class Quota
{
public:
    Quota(Node &node, std::string name, Record &record)
        : m_node(node)
        , m_name(std::move(name))
        , m_record(record)
        , m_thread([this] { run(); })
    { }

    ~Quota()
    {
        m_isStopping = true;
        m_thread.join();
    }

    int pauses() const { return m_pauses; }
    int ends() const { return m_ends; }

private:
    // Returns the processor time that the process has used, in milliseconds.
    double used() const
    {
        clockid_t clock = 0;
        timespec time {};
        if (m_node.process() <= 0 || clock_getcpuclockid(m_node.process(), &clock) != 0
            || clock_gettime(clock, &time) != 0)
            return 0;
        return static_cast<double>(time.tv_sec) * 1'000 + static_cast<double>(time.tv_nsec) / 1e6;
    }

    void restartIfEnded()
    {
        if (m_node.isRunning())
            return;
        ++m_ends;
        const int status = m_node.exitStatus();
        m_record.line("the process of " + m_name + " ended by itself: "
                      + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                             : "status " + std::to_string(WEXITSTATUS(status))));
        sleepMs(200);
        m_node.start();
    }

    void run()
    {
        while (!m_isStopping) {
            restartIfEnded();
            const std::int64_t end = nowMs() + 100;
            const double before = used();
            bool isPaused = false;
            while (nowMs() < end) {
                if (!isPaused && used() - before >= quotaMsPerTenth) {
                    isPaused = true;
                    ++m_pauses;
                    m_node.signal(SIGSTOP);
                }
                usleep(500);
            }
            if (isPaused)
                m_node.signal(SIGCONT);
        }
    }

    Node &m_node;
    std::string m_name;
    Record &m_record;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_pauses = 0;
    std::atomic<int> m_ends = 0;
    std::thread m_thread;
};

struct Callers
{
    bool hasGivingUp = false;
    std::int64_t startedAt = 0;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::map<int, int> statuses; // guarded by `mutex`
    std::set<std::string> unanswered; // guarded by `mutex`
    std::atomic<int> left = 0;
    std::atomic<int> reads = 0;
    std::vector<std::thread> threads;
};

// Sends one prompt after the other on a kept connection.
void call(Callers &all, const std::string &address, const std::string &name, bool mayLeave)
{
    std::mt19937 random(std::hash<std::string> {}(name));
    std::unique_ptr<Connection> connection;
    for (int number = 0; !all.isStopping; ++number) {
        if (!connection)
            connection = Connection::open(address, 1'000);
        if (!connection) {
            sleepMs(50);
            continue;
        }
        const std::string id = name + '-' + std::to_string(number);
        char part[16];
        std::snprintf(part, sizeof part, "%08x", static_cast<unsigned>(random()));
        connection->write("POST /review/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: " + id
                          + "\r\nRequest-Deadline: 10000\r\nAuthorization: Bearer key-1\r\n"
                            "Model: m\r\nToken-Usage: "
                          + std::to_string(promptTokens) + ",100\r\nPrompt-Prefix: " + part + ':'
                          + std::to_string(promptTokens) + "\r\nContent-Length: 4\r\n\r\nbody");
        const bool leaves =
            mayLeave && all.hasGivingUp && (nowMs() - all.startedAt) % giveUpPeriodMs < giveUpMs;
        const std::int64_t patience =
            leaves ? static_cast<std::int64_t>(random()) % leaveWithinMs : 11'000;
        const Message response = connection->read(patience);
        if (response.status() == 503)
            sleepMs(static_cast<std::int64_t>(1'000
                                              * std::atof(response.field("retry-after").c_str())));
        const bool hasEnded = !response.isComplete && connection->hasEnded();
        if (!response.isComplete || response.field("connection") == "close")
            connection.reset();
        if (leaves && !response.isComplete && !hasEnded) {
            ++all.left;
            continue;
        }
        const std::lock_guard<std::mutex> lock(all.mutex);
        ++all.statuses[response.status()];
        if (response.status() == 0 && !all.isStopping)
            all.unanswered.insert(id);
    }
}

// Sends one request without a prompt after the other, as the load of the machine.
void read(Callers &all, const std::string &address, const std::string &name)
{
    std::unique_ptr<Connection> connection;
    for (int number = 0; !all.isStopping; ++number) {
        if (!connection)
            connection = Connection::open(address, 1'000);
        if (!connection) {
            sleepMs(50);
            continue;
        }
        connection->write("GET /read/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: " + name + '-'
                          + std::to_string(number)
                          + "\r\nRequest-Deadline: 1500\r\nAuthorization: Bearer key-1\r\n\r\n");
        const Message response = connection->read(3'000);
        if (!response.isComplete || response.field("connection") == "close")
            connection.reset();
        ++all.reads;
    }
}

int run(const std::string &folder, Record &record, bool hasTrouble)
{
    const Addresses addresses(caseNumber);
    if (!addresses.areFree())
        return 2;
    const EngineSpec spec;
    Store store;
    if (!store.start(addresses.at(250, Port::Store)))
        return 2;
    store.put("op/config", llmConfiguration(spec));
    std::vector<std::unique_ptr<LlmEngine>> engines;
    for (int i = 1; i <= engineCount; ++i) {
        engines.push_back(std::make_unique<LlmEngine>("i-" + std::to_string(i),
                                                      addresses.at(100 + i, Port::Engine), spec));
        if (!engines.back()->start())
            return 2;
        store.put(engines.back()->key(), engines.back()->entry());
    }
    std::vector<std::unique_ptr<Engine>> plainEngines;
    for (int i = 1; i <= readEngines; ++i) {
        plainEngines.push_back(std::make_unique<Engine>(
            "p-" + std::to_string(i), "app", addresses.at(200 + i, Port::Engine), "a", 2));
        if (!plainEngines.back()->start())
            return 2;
        store.put(plainEngines.back()->key(), plainEngines.back()->entry("ready", 6));
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 1; i <= machines; ++i) {
        nodes.push_back(std::make_unique<Node>(addresses, i, machines, folder,
                                               addresses.at(250, Port::Store), "0.084"));
        nodes.back()->start();
    }
    const std::int64_t readyBy = nowMs() + 10'000;
    while (!nodes[0]->isReady() || !nodes[1]->isReady()) {
        if (nowMs() > readyBy)
            return 2;
        sleepMs(50);
    }
    record.line("two machines are ready");
    Callers all;
    all.hasGivingUp = hasTrouble;
    all.startedAt = nowMs();
    std::vector<std::unique_ptr<Quota>> quotas;
    for (int i = 0; i < machines; ++i) {
        const std::string machine = "machine " + std::to_string(i + 1);
        quotas.push_back(std::make_unique<Quota>(*nodes[i], machine, record));
        for (int caller = 0; caller < callersPerMachine; ++caller) {
            const std::string name = "m" + std::to_string(i + 1) + 'c' + std::to_string(caller);
            all.threads.emplace_back([&all, &nodes, i, name, caller] {
                call(all, nodes[i]->frontAddress(), name, caller % 2 == 0);
            });
        }
    }
    for (int i = 0; i < machines; ++i) {
        for (int reader = 0; reader < readersPerMachine; ++reader) {
            const std::string name = "m" + std::to_string(i + 1) + 'r' + std::to_string(reader);
            all.threads.emplace_back(
                [&all, &nodes, i, name] { read(all, nodes[i]->frontAddress(), name); });
        }
    }
    sleepMs(runMs);
    all.isStopping = true;
    for (std::thread &thread : all.threads)
        thread.join();
    int ends = 0;
    bool hasFault = true; // as RULES.md has it: three ends each on two machines
    for (int i = 0; i < machines; ++i) {
        ends += quotas[i]->ends();
        hasFault = hasFault && quotas[i]->ends() >= 3;
        record.line("machine " + std::to_string(i + 1) + " has used up its quota in "
                    + std::to_string(quotas[i]->pauses()) + " tenths of a second");
    }
    quotas.clear();

    int orders = 0;
    std::set<std::string> accepted;
    for (const std::unique_ptr<LlmEngine> &engine : engines) {
        orders += engine->orders();
        const std::set<std::string> ids = engine->accepted();
        accepted.insert(ids.begin(), ids.end());
    }
    std::size_t lost = 0;
    for (const std::string &id : all.unanswered) {
        if (accepted.count(id) == 0)
            continue;
        ++lost;
        record.line("LOST: " + id + " was at work at an engine when its connection ended");
    }
    record.line("requests without a prompt: " + std::to_string(all.reads));
    for (const auto &[status, count] : all.statuses)
        record.line("answers with status " + std::to_string(status) + ": " + std::to_string(count));
    record.line("callers that left: " + std::to_string(all.left)
                + "; requests accepted by engines: " + std::to_string(accepted.size())
                + "; orders: " + std::to_string(orders));
    record.line("processes that ended by themselves: " + std::to_string(ends)
                + "; requests accepted by an engine that got no answer: " + std::to_string(lost));
    if (accepted.size() < 200 || orders < 200)
        return 2;
    record.line("LOST (more than " + std::to_string(allowedLosses)
                + "): " + (lost > allowedLosses ? "broken" : "held")
                + "; Fault (three ends on each of two machines): "
                + (hasFault ? "broken" : "held"));
    return lost > allowedLosses || hasFault ? 1 : 0;
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

#pragma once

#include <condition_variable>
#include <csignal>
#include <ctime>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include <sys/stat.h>
#include <sys/wait.h>

#include "net.h"

/// Stand-ins of the platform: its store, and the start of the project's program on its machines.
namespace review {

/// @brief Returns the Unix time in milliseconds.
inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
    return text;
}

/// @brief The platform's store: items, watches and an era.
class Store
{
public:
    explicit Store(const std::string &address)
        : m_server(address, [this](Connection &connection) { serve(connection); })
    { }

    void put(const std::string &key, const std::string &value) { write(key, value, false); }
    void remove(const std::string &key) { write(key, {}, true); }

    std::atomic<int> calls = 0; ///< Calls received so far.

private:
    struct Item
    {
        std::string value;
        long revision = 0;
        bool isRemoved = false;
    };

    void write(const std::string &key, const std::string &value, bool isRemoved)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = { value, ++m_revision, isRemoved };
        m_changed.notify_all();
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        for (const char separator : { '?', '&' }) {
            const std::string key = separator + name + '=';
            const std::size_t start = target.find(key);
            if (start != std::string::npos)
                return target.substr(start + key.size(),
                                     target.find('&', start + 1) - start - key.size());
        }
        return {};
    }

    static std::string itemText(const std::string &key, const Item &item)
    {
        if (item.isRemoved)
            return "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision)
                   + ",\"removed\":true}";
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value)
               + "\",\"revision\":" + std::to_string(item.revision)
               + ",\"created\":" + std::to_string(item.revision) + ",\"lease\":0}";
    }

    std::string range()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string items;
        for (const auto &[key, item] : m_items) {
            if (!item.isRemoved)
                items += (items.empty() ? "" : ",") + itemText(key, item);
        }
        return "{\"items\":[" + items + "],\"hasMore\":false,\"at\":" + std::to_string(m_revision)
               + "}";
    }

    std::string watch(long after, long waitMs)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                           [&] { return m_revision > after; });
        std::vector<std::pair<long, std::string>> events;
        for (const auto &[key, item] : m_items) {
            if (item.revision > after)
                events.emplace_back(item.revision, itemText(key, item));
        }
        std::sort(events.begin(), events.end());
        std::string text;
        for (const auto &[revision, event] : events)
            text += (text.empty() ? "" : ",") + event;
        return "{\"events\":[" + text + "],\"at\":" + std::to_string(m_revision) + "}";
    }

    void serve(Connection &connection)
    {
        while (const std::optional<Message> request = receiveRequest(connection, 60'000)) {
            ++calls;
            const std::string target = request->target();
            sleepMs(4);
            const std::string body = target.compare(0, 12, "/v1/kv-watch") == 0
                                         ? watch(std::atol(parameter(target, "after").c_str()),
                                                 std::atol(parameter(target, "waitMs").c_str()))
                                         : range();
            if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 "Store-Era: 1\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    long m_revision = 1;
    Server m_server;
};

/// @brief A temporary folder that is removed at the end.
class Folder
{
public:
    Folder()
    {
        char name[] = "/tmp/egretmount-review-XXXXXX";
        if (mkdtemp(name) == nullptr)
            giveUp("no temporary folder");
        path = name;
    }

    void remove(const std::vector<std::string> &files) const
    {
        for (const std::string &file : files)
            ::unlink((path + '/' + file).c_str());
        ::rmdir(path.c_str());
    }

    std::string path;
};

/// @brief Free ports and loopback addresses for the machines of one run: 127.x.y.n.
class Subnet
{
public:
    Subnet()
    {
        std::random_device random;
        m_prefix = "127." + std::to_string(20 + random() % 200) + '.'
                   + std::to_string(1 + random() % 250) + '.';
        for (int i = 0; i < 50; ++i) {
            m_firstPort = 12'000 + static_cast<int>(random() % 18'000);
            // Binding to all addresses fails if any of them uses the port.
            if (areFree(INADDR_ANY, m_firstPort, portCount))
                break;
            m_firstPort = 0;
        }
        // The metrics port stands in the command of the deploy file; runs have their own addresses.
        in_addr first {};
        inet_pton(AF_INET, host(1).c_str(), &first);
        if (m_firstPort == 0 || !areFree(ntohl(first.s_addr), metricsPort, 1))
            giveUp("no free ports");
    }

    std::string host(int number) const { return m_prefix + std::to_string(number); }
    std::string address(int number, int port) const
    {
        return host(number) + ':' + std::to_string(port);
    }

    int callerPort() const { return m_firstPort; }
    int readinessPort() const { return m_firstPort + 1; }
    int controlPort() const { return m_firstPort + 2; }
    int directoryPort() const { return m_firstPort + 3; }
    int enginePort() const { return m_firstPort + 4; }
    std::string store() const { return address(250, m_firstPort + 5); }
    int firstPeerPort() const { return m_firstPort + 6; }
    int lastPeerPort() const { return m_firstPort + portCount - 1; }
    static constexpr int metricsPort = 9'464;

private:
    static constexpr int portCount = 22;

    static bool areFree(in_addr_t address, int first, int count)
    {
        for (int port = first; port < first + count; ++port) {
            for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
                const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                sockaddr_in name {};
                name.sin_family = AF_INET;
                name.sin_port = htons(static_cast<std::uint16_t>(port));
                name.sin_addr.s_addr = htonl(address);
                const bool isFree =
                    bind(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0;
                ::close(descriptor);
                if (!isFree)
                    return false;
            }
        }
        return true;
    }

    std::string m_prefix;
    int m_firstPort = 0;
};

/// @brief The instances of the project's program, with the command of the deploy file.
class Instances
{
public:
    Instances(const Subnet &subnet, const Folder &folder, int count, Record &record)
        : m_subnet(subnet)
        , m_folder(folder)
        , m_record(record)
        , m_processes(static_cast<std::size_t>(count), 0)
    {
        for (int i = 1; i <= count; ++i)
            writeSettings(i);
        for (int i = 1; i <= count; ++i)
            start(i);
    }
    ~Instances() { endAll(); }
    Instances(const Instances &) = delete;
    Instances &operator=(const Instances &) = delete;

    std::string callers(int number) const
    {
        return m_subnet.address(number, m_subnet.callerPort());
    }
    std::string readiness(int number) const
    {
        return m_subnet.address(number, m_subnet.readinessPort());
    }
    std::string directory(int number) const
    {
        return m_subnet.address(number, m_subnet.directoryPort());
    }
    std::string metrics(int number) const { return m_subnet.address(number, Subnet::metricsPort); }
    pid_t process(int number) const { return m_processes[static_cast<std::size_t>(number - 1)]; }

    void start(int number)
    {
        const std::string variable = "EGRETMOUNT_SETTINGS=" + settingsFile(number);
        const std::string log = m_folder.path + "/log" + std::to_string(number);
        const pid_t child = fork();
        if (child == 0) {
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            std::string program = "target/bin/egretmount-node";
            std::string flag = "--metrics_port=9464";
            std::string environment = variable;
            char *arguments[] = { program.data(), flag.data(), nullptr };
            char *variables[] = { environment.data(), nullptr };
            execve(program.c_str(), arguments, variables);
            _exit(127);
        }
        m_processes[static_cast<std::size_t>(number - 1)] = child;
        m_record.line("instance " + std::to_string(number) + " started");
    }

    void signal(int number, int signal) const { ::kill(process(number), signal); }

    /// @brief Waits for the end of an instance's process.
    bool hasEnded(int number)
    {
        pid_t &child = m_processes[static_cast<std::size_t>(number - 1)];
        if (child > 0 && waitpid(child, nullptr, WNOHANG) == child)
            child = 0;
        return child == 0;
    }

    /// @brief Asks an instance whether it is ready.
    bool isReady(int number, long timeoutMs = 2'000) const
    {
        Connection connection(Connection::connectTo(readiness(number), timeoutMs));
        connection.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        return receiveResponse(connection, timeoutMs).status() == 200;
    }

    void waitReady() const
    {
        const long until = nowMs() + 10'000;
        for (std::size_t i = 1; i <= m_processes.size(); ++i) {
            while (!isReady(static_cast<int>(i), 300)) {
                if (nowMs() > until)
                    giveUp("instance " + std::to_string(i)
                           + " is not ready; is target/bin/egretmount-node built?");
                sleepMs(50);
            }
        }
    }

    /// @brief Returns the processor time that an instance has used, in milliseconds.
    long processorMs(int number) const
    {
        std::ifstream file("/proc/" + std::to_string(process(number)) + "/stat");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        std::istringstream rest(text.substr(std::min(text.rfind(')') + 1, text.size())));
        std::string skipped;
        for (int i = 0; i < 11; ++i)
            rest >> skipped;
        long user = 0;
        long system = 0;
        rest >> user >> system;
        return (user + system) * 1'000 / sysconf(_SC_CLK_TCK);
    }

    /// @brief Returns the lines of an instance's log that contain a text.
    std::vector<std::string> logLines(int number, const std::string &text) const
    {
        std::ifstream file(m_folder.path + "/log" + std::to_string(number));
        std::vector<std::string> lines;
        std::string line;
        while (std::getline(file, line)) {
            if (line.find(text) != std::string::npos)
                lines.push_back(line);
        }
        return lines;
    }

    /// @brief Ends all processes and removes their files.
    void endAll()
    {
        std::vector<std::string> files;
        for (std::size_t i = 1; i <= m_processes.size(); ++i) {
            pid_t &child = m_processes[i - 1];
            if (child > 0) {
                ::kill(child, SIGCONT);
                ::kill(child, SIGKILL);
                waitpid(child, nullptr, 0);
            }
            child = 0;
            files.push_back("settings" + std::to_string(i));
            files.push_back("log" + std::to_string(i));
        }
        if (std::getenv("KEEP") == nullptr)
            m_folder.remove(files);
    }

private:
    std::string settingsFile(int number) const
    {
        return m_folder.path + "/settings" + std::to_string(number);
    }

    void writeSettings(int number) const
    {
        const std::string host = m_subnet.host(number);
        std::string seeds;
        for (std::size_t i = 1; i <= std::min<std::size_t>(3, m_processes.size()); ++i)
            seeds += (i > 1 ? "," : "")
                     + ('"' + m_subnet.address(static_cast<int>(i), m_subnet.controlPort()) + '"');
        std::ofstream(settingsFile(number))
            << "{\"nodeName\":\"front-z" << number << "\",\"role\":\"node\",\"machineClass\":"
            << "\"front\",\"serves\":[\"front\",\"control\",\"directory\"],\"ip\":\"" << host
            << "\",\"zone\":\"z1\",\"region\":\"r1\",\"zones\":{\"z1\":\"r1\"},\"listenAddrs\":{"
            << "\"front\":\"" << callers(number) << "\",\"ready\":\"" << readiness(number)
            << "\",\"control\":\"" << m_subnet.address(number, m_subnet.controlPort())
            << "\",\"directory\":\"" << directory(number) << "\"},\"portRange\":["
            << m_subnet.firstPeerPort() << ',' << m_subnet.lastPeerPort() << "],"
            << "\"seeds\":[" << seeds << "],\"bootstrap\":true,\"lossCounts\":false,\"limits\":{"
            << "\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,"
            << "\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"directory\","
            << "\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
            << "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\","
            << "\"spans\"],\"faultTolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
            << "\"contractParams\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,"
            << "\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,"
            << "\"configMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,"
            << "\"strictRevoke\":false,\"revokeMs\":5000,\"budgetRatio\":0.2,\"budgetWindowS\":10,"
            << "\"budgetSlack\":100,\"coldMultiplier\":1.5,\"coldSlack\":5,\"evacuationMs\":5000,"
            << "\"recoveryS\":12,\"passMs\":120,\"retryAfterS\":0,\"stall_ms\":1500,"
            << "\"maxHoldMs\":20000,\"freeMs\":4000,\"maxIdleMs\":9000,\"ttl_max_s\":5},"
            << "\"platform\":{\"address\":\"" << m_subnet.store()
            << "\",\"form\":\"read\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
            << "\"valueBytes\":1048576,\"minTtlMs\":1000}}\n";
    }

    const Subnet &m_subnet;
    const Folder &m_folder;
    Record &m_record;
    std::vector<pid_t> m_processes;
};

/// @brief Returns whether the case is played with its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review

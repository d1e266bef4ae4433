// Stand-ins of the platform for the review cases: the store, engines that run scripts, and the
// project's own program as separate processes with settings like those of a small deployment.

#pragma once

#include <condition_variable>
#include <csignal>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "http.h"

namespace review {

/// @brief The record of a case: what was sent, answered and run, with times since its start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path, std::ios::trunc)
        , m_startedAt(steadyMs())
    { }

    std::int64_t now() const { return steadyMs() - m_startedAt; }

    void write(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << now() << " ms  " << line << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_startedAt;
};

inline std::string base64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > text.size() ? '=' : digits[bits >> (18 - 6 * k) & 63];
    }
    return out;
}

/// @brief The addresses of one run: a part of the loopback range, and ports that are free there.
///
/// The port of the metrics is that of the deploy file's command; it is free on these addresses.
class Network
{
public:
    Network()
    {
        const int seed = static_cast<int>(getpid());
        for (int attempt = 0; attempt < 200; ++attempt) {
            m_prefix = "127." + std::to_string(60 + (seed / 200 + attempt) % 120) + '.'
                       + std::to_string(1 + (seed + attempt) % 200) + '.';
            m_firstPort = freePort();
            if (m_firstPort > 0 && areFree())
                return;
        }
    }

    std::string host(int number) const { return m_prefix + std::to_string(number); }
    std::string address(int number, int offset) const
    {
        return host(number) + ':' + std::to_string(m_firstPort + offset);
    }
    std::string store() const { return address(storeHost, 0); }
    std::string engine(int number) const { return address(number, 0); }
    int peerPort() const { return m_firstPort + peerOffset; }

    static constexpr int frontOffset = 0;
    static constexpr int readyOffset = 1;
    static constexpr int controlOffset = 2;
    static constexpr int directoryOffset = 3;
    static constexpr int peerOffset = 4; // and the next one

private:
    static constexpr int storeHost = 250;
    static constexpr int portCount = 6;
    static constexpr int metricsPort = 9464;
    static constexpr int mostMachines = 6;

    // Asks the system for a free port, below which and above which the others are tried.
    int freePort() const
    {
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in name = socketName(host(1) + ":0");
        socklen_t size = sizeof name;
        const bool isBound =
            bind(handle, reinterpret_cast<const sockaddr *>(&name), size) == 0
            && getsockname(handle, reinterpret_cast<sockaddr *>(&name), &size) == 0;
        ::close(handle);
        const int port = ntohs(name.sin_port);
        return isBound && port + portCount < 65'536 ? port : 0;
    }

    bool areFree() const
    {
        for (int machine = 1; machine <= mostMachines; ++machine) {
            for (int offset = 0; offset < portCount; ++offset) {
                if (!isFree(address(machine, offset), SOCK_STREAM)
                    || !isFree(address(machine, offset), SOCK_DGRAM))
                    return false;
            }
            if (!isFree(host(machine) + ':' + std::to_string(metricsPort), SOCK_STREAM))
                return false;
        }
        for (const int number : { 101, 102, 103, 104, 105, 106, 151, 152, 153, storeHost }) {
            if (!isFree(address(number, 0), SOCK_STREAM))
                return false;
        }
        return true;
    }

    static bool isFree(const std::string &address, int type)
    {
        const int handle = socket(AF_INET, type, 0);
        const sockaddr_in name = socketName(address);
        const bool isBound =
            bind(handle, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0;
        ::close(handle);
        return isBound;
    }

    std::string m_prefix;
    int m_firstPort = 0;
};

/// @brief The platform's store: it can be read and watched, and the case writes to it.
class Store
{
public:
    explicit Store(const std::string &address)
        : m_address(address)
        , m_server(address, [this](int handle) { serve(handle); })
    { }

    const std::string &address() const { return m_address; }
    bool isOpen() const { return m_server.isOpen(); }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = { value, ++m_revision, false };
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = { {}, ++m_revision, true };
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        long revision = 0;
        bool isRemoved = false;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t start = target.find(name + '=');
        if (start == std::string::npos)
            return {};
        const std::size_t from = start + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    static std::string textOf(const std::string &key, const Item &item)
    {
        const std::string head =
            "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        if (item.isRemoved)
            return head + ",\"removed\":true}";
        return head + ",\"created\":" + std::to_string(item.revision) + ",\"lease\":0,\"value\":\""
               + base64(item.value) + "\"}";
    }

    std::string itemsSince(long after, bool hasRemovals, const std::string &name)
    {
        std::map<long, std::string> found;
        for (const auto &[key, item] : m_items) {
            if (item.revision > after && (hasRemovals || !item.isRemoved))
                found[item.revision] = textOf(key, item);
        }
        std::string list;
        for (const auto &[revision, text] : found)
            list += (list.empty() ? "" : ",") + text;
        return "{\"at\":" + std::to_string(m_revision) + ",\"" + name + "\":[" + list
               + "],\"hasMore\":false}";
    }

    bool hasNews(long after) const
    {
        for (const auto &[key, item] : m_items) {
            if (item.revision > after)
                return true;
        }
        return false;
    }

    void serve(int handle)
    {
        Reader reader(handle);
        while (true) {
            const Message request = reader.read(60'000, false);
            if (!request.isComplete)
                return;
            const std::string target = request.target();
            std::string body;
            if (target.compare(0, 12, "/v1/kv-watch") == 0) {
                const long after = std::atol(parameter(target, "after").c_str());
                const long wait = std::atol(parameter(target, "waitMs").c_str());
                std::unique_lock<std::mutex> lock(m_mutex);
                m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                                   [&] { return hasNews(after); });
                body = itemsSince(after, true, "events");
            } else {
                const std::lock_guard<std::mutex> lock(m_mutex);
                body = itemsSince(0, false, "items");
            }
            if (!sendAll(handle, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 "Content-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    long m_revision = 100;
    Server m_server;
};

/// @brief An engine, whose requests are served by a function of the case.
class Engine
{
public:
    /// @brief Serves one request. Returns false to end the connection.
    using Handler = std::function<bool(int handle, const Message &request)>;

    Engine(const std::string &address, const std::string &id, Handler handler,
           const LinkOptions &link = {})
        : m_address(address)
        , m_id(id)
        , m_handler(std::move(handler))
        , m_server(
              address, [this](int handle) { serve(handle); }, link)
    { }

    const std::string &id() const { return m_id; }
    bool isOpen() const { return m_server.isOpen(); }

    std::string entry(const std::string &service, const std::string &state = "ready") const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + m_address
               + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":16,\"state\":\"" + state
               + "\",\"coldLeftMs\":0,\"sequence\":4,\"born\":" + std::to_string(m_born) + "}";
    }

private:
    void serve(int handle)
    {
        Reader reader(handle);
        while (true) {
            const Message request = reader.read(5'000, false);
            if (!request.isComplete)
                return;
            if (request.target() == "/v1/report") {
                const std::string body =
                    "{\"stage\":\"prefill_decode\",\"models\":[],\"busy\":false,\"sequence\":0,"
                    "\"queued\":0,\"active\":1,\"kvUsed\":0,\"kvTotal\":405000,\"handles\":0,"
                    "\"born\":"
                    + std::to_string(m_born) + "}";
                sendAll(handle, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                "Content-Length: "
                                    + std::to_string(body.size()) + "\r\n\r\n" + body);
                continue;
            }
            if (!request.field("expected-instance").empty()
                && request.field("expected-instance") != m_id) {
                sendAll(handle, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id
                                    + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!m_handler(handle, request))
                return;
        }
    }

    std::string m_address;
    std::string m_id;
    Handler m_handler;
    std::int64_t m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
    Server m_server;
};

/// @brief Head of an engine's response, without the fields that delimit its body.
inline std::string engineHead(const Message &request, const std::string &engine, int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + request.field("request-id")
           + "\r\nResponse-Signature: " + engine + ".1\r\nServer-Load: 1,0,16\r\n";
}

/// @brief Returns a configuration like that of a small deployment.
/// @param timeoutMs Time limit of the routes of `app`.
inline std::string configuration(int version, int timeoutMs)
{
    const auto route = [](const std::string &name, const std::string &kind,
                          const std::string &service, int timeout, const std::string &more) {
        return "{\"name\":\"" + name + "\",\"host\":\"x.example\",\"prefix\":\"/" + name
               + "/\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + std::to_string(timeout)
               + ",\"sloMs\":300,\"priority\":1,\"service\":\"" + service + "\",\"public\":false,"
               + more + "}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
           + route("stream", "streaming", "llm", 10'000,
                   "\"attempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":250")
           + ',' + route("pay", "non_idempotent", "app", timeoutMs, "\"attempts\":1") + ','
           + route("read", "idempotent", "app", timeoutMs, "\"attempts\":2")
           + "],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":304,"
             "\"coldS\":3.0,\"coldPerS\":26.0,\"engine\":{\"slots\":16,\"kvCapacityTokens\":405000,"
             "\"stride\":34,\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,"
             "\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,"
             "\"usual\":{\"prompt\":11301,\"answer\":1266},\"hopMs\":0.1}},{\"name\":\"app\","
             "\"healthPath\":\"/health\",\"maxConns\":110,\"coldS\":0.0,\"coldPerS\":0.0}],"
             "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,"
             "\"idleMs\":15000},"
             "\"tenants\":[{\"name\":\"team-1\",\"keys\":[\"key-1\"],\"priority\":1}]}";
}

/// @brief The project's program on one machine.
class Node
{
public:
    Node(const Network &network, int number, const std::string &folder)
        : m_host(network.host(number))
        , m_front(network.address(number, Network::frontOffset))
        , m_ready(network.address(number, Network::readyOffset))
        , m_directory(network.address(number, Network::directoryOffset))
        , m_settings(folder + "/settings-" + m_host + ".json")
        , m_log(folder + "/log-" + m_host + ".txt")
    {
        std::ofstream file(m_settings, std::ios::trunc);
        file << "{\"nodeName\":\"front-" << m_host
             << "\",\"role\":\"node\",\"machineClass\":\"front\","
             << "\"serves\":[\"front\",\"directory\",\"control\"],\"ip\":\"" << m_host
             << "\",\"zone\":\"z1\",\"region\":\"r\",\"zones\":{\"z1\":\"r\"},\"listenAddrs\":{"
             << "\"front\":\"" << m_front << "\",\"ready\":\"" << m_ready << "\",\"control\":\""
             << network.address(number, Network::controlOffset) << "\",\"directory\":\""
             << m_directory << "\"},\"portRange\":[" << network.peerPort() << ','
             << network.peerPort() + 1 << "],\"seeds\":[\""
             << network.address(1, Network::controlOffset)
             << "\"],\"bootstrap\":true,\"limits\":{\"cpuShare\":0.25,\"cores\":1,"
             << "\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
             << "\"heartbeatMs\":1200,\"contractParams\":{\"contactMs\":3000,\"drainMs\":2000,"
             << "\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\"budgetRatio\":0.2,"
             << "\"budgetWindowS\":10,\"budgetSlack\":104,\"ttl_max_s\":5},\"platform\":{"
             << "\"address\":\"" << network.store() << "\",\"form\":\"read\"}}";
    }

    ~Node() { kill(SIGKILL); }

    const std::string &host() const { return m_host; }
    const std::string &front() const { return m_front; }
    const std::string &directory() const { return m_directory; }

    void start()
    {
        // All memory is allocated before the fork, as other threads may hold the allocator's lock.
        std::string program = "target/bin/egretmount-node";
        std::string flag = "--metrics_port=9464";
        std::string settings = "EGRETMOUNT_SETTINGS=" + m_settings;
        char *const arguments[] = { program.data(), flag.data(), nullptr };
        char *const environment[] = { settings.data(), nullptr };
        const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        const pid_t process = fork();
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execve(arguments[0], arguments, environment);
            _exit(127);
        }
        m_process = process;
        ::close(log);
    }

    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }

    /// @brief Returns whether the process has ended.
    bool hasEnded()
    {
        if (m_process > 0 && waitpid(m_process, &m_status, WNOHANG) == m_process)
            m_process = -1;
        return m_process <= 0;
    }

    int status() const { return m_status; }
    pid_t process() const { return m_process; }

    void kill(int number)
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, number);
        waitpid(m_process, &m_status, 0);
        m_process = -1;
    }

    bool isReady() const { return statusOf(m_ready, "/v1/ready") == 200; }

    /// @brief Returns the addresses that the directory of this machine names.
    std::vector<std::string> resolve() const
    {
        std::vector<std::string> addresses;
        const std::string body =
            get(directory(), "/v1/resolve?name=x.example&region=r&zone=z1").body;
        for (std::size_t at = body.find("127."); at != std::string::npos;
             at = body.find("127.", at + 1))
            addresses.push_back(body.substr(at, body.find('"', at) - at));
        return addresses;
    }

private:
    static Message get(const std::string &address, const std::string &target)
    {
        const int handle = connectTo(address);
        if (handle < 0)
            return {};
        sendAll(handle, "GET " + target + " HTTP/1.1\r\nHost: d\r\n\r\n");
        Reader reader(handle);
        Message response = reader.read(1'000, true);
        ::close(handle);
        return response;
    }

    static int statusOf(const std::string &address, const std::string &target)
    {
        return get(address, target).status();
    }

    std::string m_host;
    std::string m_front;
    std::string m_ready;
    std::string m_directory;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = -1;
    int m_status = 0;
};

/// @brief Describes the status of an ended process.
inline std::string describeStatus(int status)
{
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit code " + std::to_string(WEXITSTATUS(status));
}

/// @brief Waits until all machines are ready and know each other.
inline bool waitReady(const std::vector<std::unique_ptr<Node>> &nodes)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        bool areReady = true;
        for (const std::unique_ptr<Node> &node : nodes)
            areReady = areReady && node->isReady() && node->resolve().size() == nodes.size();
        if (areReady)
            return true;
        sleepMs(50);
    }
    return false;
}

inline std::string clientRequest(const std::string &method, const std::string &target,
                                 const std::string &id, int deadlineMs, const std::string &more,
                                 const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: x.example\r\nRequest-Id: " + id
                       + "\r\nRequest-Deadline: " + std::to_string(deadlineMs)
                       + "\r\nAuthorization: Bearer key-1\r\n" + more;
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// @brief Exit codes of a case.
enum ExitCode {
    RuleHeld = 0,
    RuleBroken = 1,
    CannotRun = 2,
};

/// @brief Ends the case with all processes that it started. Threads that still serve connections
/// end
///        with this process.
[[noreturn]] inline void finish(std::vector<std::unique_ptr<Node>> &nodes, ExitCode code)
{
    for (const std::unique_ptr<Node> &node : nodes)
        node->kill(SIGKILL);
    std::_Exit(code);
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review

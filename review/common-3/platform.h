#pragma once

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <set>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "net.h"

// Stand-ins of the platform: its store, engines of a plain service, and the machines.

namespace review {

/// @brief Writes lines with their time to the record of the run.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path, std::ios::trunc)
        , m_startedAt(nowMs())
    { }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << nowMs() - m_startedAt << " ms  " << text << '\n';
        m_file.flush();
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
            bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

/// @brief The platform's store: `GET /v1/kv-range` and `GET /v1/kv-watch`.
class Store
{
public:
    Store()
        : m_listener([this](Connection &connection) { serve(connection); })
    { }

    ~Store() { stop(); }

    bool start(const std::string &address) { return m_listener.start(address); }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isStopping = true;
        }
        m_hasChanged.notify_all();
        m_listener.stop(false);
    }

    /// @brief Writes an item. @return When the change was acknowledged.
    std::int64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = { value, ++m_revision, false };
        m_hasChanged.notify_all();
        return nowMs();
    }

    /// @brief Removes items, each with a revision of its own, at the same moment.
    /// @return When the changes were acknowledged.
    std::int64_t remove(const std::vector<std::string> &keys)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const std::string &key : keys)
            m_items[key] = { {}, ++m_revision, true };
        m_hasChanged.notify_all();
        return nowMs();
    }

    /// @brief Cuts the watches that are waiting. The next call is answered as always.
    void cutWatches() { m_listener.endConnections(); }

    int calls() const { return m_calls; }

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
        const std::size_t value = start + name.size() + 1;
        return target.substr(value, target.find('&', value) - value);
    }

    static std::string itemText(const std::string &key, const Item &item)
    {
        const std::string start =
            "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        return item.isRemoved
                   ? start + ",\"removed\":true}"
                   : start + ",\"value\":\"" + base64(item.value) + "\",\"created\":1,\"lease\":0}";
    }

    void serve(Connection &connection)
    {
        while (true) {
            const Message call = connection.read(60'000);
            if (!call.isComplete)
                return;
            ++m_calls;
            const std::string target = call.secondWord();
            const std::string body =
                target.find("/v1/kv-range") == 0 ? listing() : changes(connection, target);
            if (body.empty()
                || !connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                     "Store-Era: 1\r\nContent-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::string listing()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string items;
        for (const auto &[key, item] : m_items) {
            if (!item.isRemoved)
                items.append(items.empty() ? "" : ",").append(itemText(key, item));
        }
        return "{\"items\":[" + items + "],\"hasMore\":false,\"at\":" + std::to_string(m_revision)
               + "}";
    }

    // Empty if the store stops.
    std::string changes(const Connection &connection, const std::string &target)
    {
        const long after = std::stol(parameter(target, "after"));
        const std::int64_t until = nowMs() + std::stol(parameter(target, "waitMs"));
        std::unique_lock<std::mutex> lock(m_mutex);
        while (m_revision <= after && nowMs() < until && !m_isStopping) {
            m_hasChanged.wait_for(lock, std::chrono::milliseconds(20));
            if (connection.hasEnded())
                return {};
        }
        if (m_isStopping)
            return {};
        std::map<long, std::string> events;
        for (const auto &[key, item] : m_items) {
            if (item.revision > after)
                events[item.revision] = itemText(key, item);
        }
        std::string list;
        for (const auto &[revision, text] : events)
            list.append(list.empty() ? "" : ",").append(text);
        return "{\"events\":[" + list + "],\"at\":" + std::to_string(m_revision) + "}";
    }

    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_hasChanged;
    std::map<std::string, Item> m_items; // guarded by m_mutex
    long m_revision = 1; // guarded by m_mutex
    bool m_isStopping = false; // guarded by m_mutex
    std::atomic<int> m_calls = 0;
};

/// @brief A request that has reached an engine.
struct Arrival
{
    std::string engine;
    std::string requestId;
    std::int64_t at = 0;
};

/// @brief An engine of a plain service: it works for a while and answers with 200.
class Engine
{
public:
    Engine(std::string id, std::string service, std::string address, std::string zone,
           std::int64_t workMs)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_address(std::move(address))
        , m_zone(std::move(zone))
        , m_workMs(workMs)
        , m_bornAt(unixMs())
        , m_listener([this](Connection &connection) { serve(connection); })
    { }

    bool start() { return m_listener.start(m_address); }

    /// @brief Ends it as the end of its process does.
    void exit() { m_listener.stop(true); }

    const std::string &id() const { return m_id; }
    std::string key() const { return "servers/" + m_id; }

    std::string entry(const std::string &state, int slots) const
    {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address + "\",\"zone\":\""
               + m_zone + "\",\"version\":1,\"slots\":" + std::to_string(slots) + ",\"state\":\""
               + state + "\",\"coldLeftMs\":0,\"sequence\":1,\"born\":" + std::to_string(m_bornAt)
               + "}";
    }

    std::vector<Arrival> arrivals() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_arrivals;
    }

private:
    void serve(Connection &connection)
    {
        while (m_listener.isRunning()) {
            const Message request = connection.read(60'000);
            if (!request.isComplete)
                return;
            const std::string id = request.field("request-id");
            std::string fields = "Request-Id: " + id + "\r\nServer-Load: 1,0,6\r\n";
            std::string status = "200 OK";
            if (id.empty()) {
                status = "404 Not Found";
                fields += "Not-Executed: 1\r\n";
            } else if (request.field("expected-instance") != m_id) {
                status = "421 Misdirected Request";
                fields += "Not-Executed: 1\r\n";
            } else {
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_arrivals.push_back({ m_id, id, nowMs() });
                }
                sleepMs(m_workMs);
                if (!m_listener.isRunning())
                    return; // the process has ended
                fields += "Response-Signature: " + m_id + "." + id + "\r\n";
            }
            if (!connection.write("HTTP/1.1 " + status + "\r\n" + fields
                                  + "Content-Length: 2\r\n\r\nok"))
                return;
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::string m_zone;
    std::int64_t m_workMs;
    std::int64_t m_bornAt;
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_arrivals; // guarded by m_mutex
    Listener m_listener;
};

/// @brief What listens at a port. The numbers are places in a block of free ports.
enum class Port {
    Store,
    Engine,
    Front,
    Ready,
    Control,
    Directory,
    FirstPeer,
    LastPeer = FirstPeer + 15,
};

/// @brief The addresses of one run: a network below 127.0.0.0/8, and ports that are free.
class Addresses
{
public:
    /// @param number Second number of the addresses.
    explicit Addresses(int number)
    {
        constexpr int tries = 200;
        for (int i = 0; i < tries && m_firstPort == 0; ++i) {
            m_network = "127." + std::to_string(number) + '.'
                        + std::to_string(1 + (getpid() + i) % 250) + '.';
            const int first = 12'000 + (getpid() * 23 + i * 101) % 18'000;
            if (isUsable(first))
                m_firstPort = first;
        }
    }

    /// @brief Returns whether free ports were found.
    bool areFree() const { return m_firstPort != 0; }

    int port(Port which) const { return m_firstPort + static_cast<int>(which); }
    std::string host(int machine) const { return m_network + std::to_string(machine); }

    std::string at(int machine, Port which) const
    {
        return host(machine) + ':' + std::to_string(port(which));
    }

private:
    static bool canBind(const std::string &address, int type)
    {
        const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in name = socketAddress(address);
        const bool isFree =
            bind(socket, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0;
        ::close(socket);
        return isFree;
    }

    // The command of the deploy file names the port of the metrics.
    bool isUsable(int first) const
    {
        constexpr int metricsPort = 9'464;
        constexpr int machines = 3;
        for (int machine = 1; machine <= machines; ++machine) {
            if (!canBind(host(machine) + ':' + std::to_string(metricsPort), SOCK_STREAM))
                return false;
        }
        // Binding to all addresses fails if any of them uses the port.
        for (int port = first; port <= first + static_cast<int>(Port::LastPeer); ++port) {
            const std::string address = "0.0.0.0:" + std::to_string(port);
            if (!canBind(address, SOCK_STREAM) || !canBind(address, SOCK_DGRAM))
                return false;
        }
        return true;
    }

    std::string m_network;
    int m_firstPort = 0;
};

/// @brief A machine of the system: the program of the deploy file, as a process.
class Node
{
public:
    /// @param folder Temporary folder for the settings and the log.
    /// @param machines Number of machines; they have the numbers from 1.
    /// @param cpuShare Share of a core that the settings state.
    Node(const Addresses &addresses, int machine, int machines, std::string folder,
         std::string storeAddress, std::string cpuShare = "0.25")
        : m_addresses(addresses)
        , m_machine(machine)
        , m_machines(machines)
        , m_folder(std::move(folder))
        , m_storeAddress(std::move(storeAddress))
        , m_cpuShare(std::move(cpuShare))
    { }

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node() { kill(); }

    std::string frontAddress() const { return m_addresses.at(m_machine, Port::Front); }

    void start()
    {
        const std::string path = m_folder + "/settings-" + std::to_string(m_machine) + ".json";
        std::ofstream(path) << settings();
        const std::string log = m_folder + "/node-" + std::to_string(m_machine) + ".log";
        m_process = fork();
        if (m_process != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("EGRETMOUNT_SETTINGS", path.c_str(), 1);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl("target/bin/egretmount-node", "egretmount-node", "--metrics_port=9464",
              static_cast<char *>(nullptr));
        _exit(127);
    }

    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }

    /// @brief Returns whether the process runs, and reaps it if it has ended.
    bool isRunning()
    {
        if (m_process > 0 && waitpid(m_process, &m_exitStatus, WNOHANG) == m_process)
            m_process = -1;
        return m_process > 0;
    }

    int exitStatus() const { return m_exitStatus; }
    pid_t process() const { return m_process; }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        waitpid(m_process, &m_exitStatus, 0);
        m_process = -1;
    }

    bool isReady() const
    {
        const std::unique_ptr<Connection> connection =
            Connection::open(m_addresses.at(m_machine, Port::Ready), 500);
        return connection && connection->write("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n")
               && connection->read(500).status() == 200;
    }

private:
    std::string settings() const
    {
        std::string seeds;
        for (int seed = 1; seed <= std::min(m_machines, 3); ++seed)
            seeds.append(seed > 1 ? "," : "")
                .append('"' + m_addresses.at(seed, Port::Control) + '"');
        const auto listen = [this](const char *name, Port port) {
            return '"' + std::string(name) + "\":\"" + m_addresses.at(m_machine, port) + '"';
        };
        return "{\"nodeName\":\"front-a-" + std::to_string(m_machine)
               + "\",\"role\":\"node\",\"machineClass\":\"front\",\"ip\":\""
               + m_addresses.host(m_machine)
               + "\",\"zone\":\"a\",\"region\":\"r\",\"zones\":{\"a\":\"r\"},\"listenAddrs\":{"
               + listen("front", Port::Front) + ',' + listen("ready", Port::Ready) + ','
               + listen("control", Port::Control) + ',' + listen("directory", Port::Directory)
               + "},\"portRange\":[" + std::to_string(m_addresses.port(Port::FirstPeer)) + ","
               + std::to_string(m_addresses.port(Port::LastPeer)) + "],\"seeds\":[" + seeds
               + "],\"limits\":{\"cpuShare\":" + m_cpuShare
               + ",\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,"
                 "\"linkMbps\":1000.0,\"diskMb\":0},\"heartbeatMs\":1200,"
                 "\"contractParams\":{\"reuseAfterS\":2,\"contactMs\":3000,\"drainMs\":2000,"
                 "\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\"budgetRatio\":0.2,"
                 "\"budgetWindowS\":10,\"budgetSlack\":104,\"evacuationMs\":5000,"
                 "\"ttl_max_s\":5},\"platform\":{\"address\":\""
               + m_storeAddress
               + "\",\"form\":\"read\",\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576}}";
    }

    const Addresses &m_addresses;
    int m_machine;
    int m_machines;
    std::string m_folder;
    std::string m_storeAddress;
    std::string m_cpuShare;
    pid_t m_process = -1;
    int m_exitStatus = 0;
};

/// @brief Returns a configuration with one route to a plain service and one key.
inline std::string plainConfiguration(int version, const std::string &kind, int attempts)
{
    return "{\"version\":" + std::to_string(version)
           + ",\"routes\":[{\"name\":\"pay\",\"host\":\"x.example\",\"prefix\":\"/pay/\","
             "\"kind\":\""
           + kind + "\",\"timeoutMs\":2000,\"sloMs\":300,\"priority\":1,\"service\":\"app\","
           + "\"public\":false,\"attempts\":" + std::to_string(attempts)
           + "}],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110,"
             "\"coldS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"headerBytes\":4096,"
             "\"bodyBytes\":200000,\"headerMs\":600,\"idleMs\":5000},"
             "\"tenants\":[{\"name\":\"t1\",\"keys\":[\"key-1\"]}]}";
}

} // namespace review

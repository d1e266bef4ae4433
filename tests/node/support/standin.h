#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/http/head.h>

#include "net/reactor.h"
#include "net/server_connection.h"
#include "net/tcp_stream.h"

namespace egretmount::tests {

/// @brief What a stand-in of a target does with one request.
struct Script
{
    int status = 200;
    int events = 5; ///< Of a stream; zero: a plain answer with `body`.
    Milliseconds firstEventDelay = Milliseconds(10);
    Milliseconds eventGap = Milliseconds(10);
    int resetAfterEvents = -1; ///< Resets the connection after so many events; negative: does not.
    bool resetsInsideEvent = false; ///< Half of the next event goes out before the reset.
    bool declines = false; ///< States that it did not run the request.
    bool neverResponds = false; ///< Reads the request and sends nothing.
    bool sendsWrongRequestId = false; ///< The answer bears another request's id.
    bool sendsExtraResponse = false; ///< A second answer follows the first.
    bool sendsMalformedResponse = false; ///< Bytes that are no answer.
    std::string body = "ok";
};

/// @brief One request that reached a target.
struct Arrival
{
    std::string target;
    std::string requestId;
    http::RequestHead head;
    std::string body;
    Milliseconds at;
    int connection = 0;
    bool ran = false;
};

/// @brief How the stand-in of the store behaves.
enum class StoreMode {
    Serves,
    Refuses, ///< 503 to everything.
    Unresponsive, ///< Reads and never answers.
    HistoryCompacted, ///< 410 to watches, once.
};

/// @brief A small stand-in of the users' platform: its store and its targets, in one thread.
///
/// Written from the platform's published protocol, for tests only.
class StandIn
{
public:
    /// @param subnet The third number of the loopback addresses that it and the nodes use.
    explicit StandIn(int subnet);
    ~StandIn();

    std::string address(int host, int port) const;
    std::string storeAddress() const { return address(250, 8223); }

    /// @brief Starts a target and registers it. @param number From 1 to 99.
    void addTarget(int number, const std::string &service, const std::string &zone = "z1");

    /// @brief Ends a target's process: its connections reset, its port is closed.
    void killTarget(int number);

    /// @brief Writes a target's entry anew. @param state `ready` or `draining`.
    void writeEntry(int number, const std::string &state);
    void removeEntry(int number);

    /// @brief From now on a target's entries name another address, such as a proxy's.
    void setEntryAddress(int number, const std::string &address);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void setStoreMode(StoreMode mode);

    /// @brief Decides what targets do; called on the stand-in's thread.
    void setScript(std::function<Script(const Arrival &)> script);

    /// @brief What has reached the targets so far.
    std::vector<Arrival> arrivals() const;
    std::vector<Arrival> arrivalsOf(const std::string &requestId) const;

    /// @brief Connections to targets that their callers have closed while a request was under way.
    int abandoned() const { return m_abandoned; }

    /// @brief Calls to the store so far.
    int storeCalls() const { return m_storeCalls; }

    static std::string targetId(int number) { return "i-" + std::to_string(number); }

private:
    class Target;
    class TargetConnection;
    class Store;
    friend class TargetConnection;

    struct Item
    {
        std::string value;
        long revision = 0;
        bool isRemoved = false;
    };

    void call(const std::function<void()> &task);
    void runTasks();
    void notify();

    int m_subnet;
    net::Reactor m_reactor;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks; // guarded by m_mutex
    std::vector<Arrival> m_arrivals; // guarded by m_mutex
    std::function<Script(const Arrival &)> m_script; // guarded by m_mutex
    std::map<int, std::shared_ptr<Target>> m_targets;
    std::map<int, std::string> m_services;
    std::map<int, std::string> m_zones;
    std::map<int, std::string> m_entryAddresses;
    std::unique_ptr<Store> m_store;
    std::map<std::string, Item> m_items;
    long m_revision = 1;
    StoreMode m_mode = StoreMode::Serves;
    std::atomic<int> m_abandoned = 0;
    std::atomic<int> m_storeCalls = 0;
    std::atomic<int> m_connections = 0;
};

} // namespace egretmount::tests

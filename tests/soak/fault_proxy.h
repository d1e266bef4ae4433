#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/reactor.h"
#include "net/tcp_stream.h"

namespace egretmount::soak {

/// @brief What a proxy does with its connections.
enum class ProxyMode {
    Forward,
    Delay, ///< Passes bytes on some hundred milliseconds later.
    Reset, ///< Resets all connections and every new one.
    Stall, ///< Keeps connections and passes nothing on, in neither direction.
    StallResponses, ///< Passes requests on and no answers.
};

/// @brief TCP proxies on loopback whose connections can be harmed; one thread for all.
class FaultProxies
{
public:
    FaultProxies();
    ~FaultProxies();

    /// @brief Starts a proxy. @return Its number.
    int add(const std::string &listenAddress, const std::string &targetAddress);

    /// @brief Changes what a proxy does, with open connections too.
    void setMode(int proxy, ProxyMode mode);

private:
    struct Proxy;
    class ProxiedConnection;
    class Endpoint;

    void runInReactor(const std::function<void()> &task);

    net::Reactor m_reactor;
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks; // guarded by m_mutex
    std::vector<std::shared_ptr<Proxy>> m_proxies;
};

} // namespace egretmount::soak

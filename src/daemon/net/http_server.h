#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/reactor.h"
#include "net/server_connection.h"
#include "net/tcp_stream.h"

namespace egretmount::net {

/// @brief A listening address together with the connections accepted on it.
///
/// To shut down without losing a request, call `stopAccepting` and then `closeIdle` repeatedly,
/// until `openConnections` and `undelivered` are zero.
class HttpServer
{
public:
    /// @brief Starts to listen.
    /// @param address `IP:port`.
    /// @param handler Must outlive the connections.
    /// @throws Poco::Exception if the address cannot be bound or listened on.
    HttpServer(Reactor &reactor, const std::string &address, RequestHandler &handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// @brief Stops listening. Connections that are established by then are still served.
    void stopAccepting();

    /// @brief Closes the connections that have had no request for at least `idleTime`.
    void closeIdle(Milliseconds idleTime);

    /// @brief Refuses the requests that have arrived in part, and closes their connections.
    void refuseIncomplete(int status);

    /// @brief Returns the number of connections on which requests are accepted or in progress.
    std::size_t openConnections() const;

    /// @brief Returns the number of response bytes that callers have not received yet.
    /// @complexity One system call for each connection.
    std::size_t undelivered() const;

private:
    struct Accepted
    {
        std::weak_ptr<ServerConnection> connection;
        std::weak_ptr<TcpStream> stream; ///< Outlives the connection until its output is delivered.
    };

    static bool isInUse(const Accepted &accepted);
    void add(const Poco::Net::StreamSocket &socket);

    Reactor &m_reactor;
    RequestHandler &m_handler;
    std::shared_ptr<Listener> m_listener;
    std::vector<Accepted> m_connections;
    std::size_t m_sweepAt; ///< Number of entries at which ended connections are removed.
};

} // namespace egretmount::net

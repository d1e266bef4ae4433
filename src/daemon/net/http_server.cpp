#include "net/http_server.h"

#include <algorithm>

namespace egretmount::net {

namespace {

constexpr std::size_t minSweepSize = 64;

bool isOpen(const std::weak_ptr<ServerConnection> &weak)
{
    const std::shared_ptr<ServerConnection> connection = weak.lock();
    return connection && connection->isOpen();
}

} // namespace

HttpServer::HttpServer(Reactor &reactor, const std::string &address, RequestHandler &handler)
    : m_reactor(reactor)
    , m_handler(handler)
    , m_listener(Listener::open(reactor, address,
                                [this](const Poco::Net::StreamSocket &socket) { add(socket); }))
    , m_sweepAt(minSweepSize)
{ }

HttpServer::~HttpServer()
{
    m_listener->close();
}

void HttpServer::add(const Poco::Net::StreamSocket &socket)
{
    if (m_connections.size() >= m_sweepAt) {
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                           [](const std::weak_ptr<ServerConnection> &weak) {
                                               return !isOpen(weak);
                                           }),
                            m_connections.end());
        m_sweepAt = std::max(minSweepSize, 2 * m_connections.size());
    }
    m_connections.push_back(ServerConnection::serve(m_reactor, socket, m_handler));
}

void HttpServer::stopAccepting()
{
    m_listener->acceptPending();
    m_listener->close();
}

void HttpServer::closeIdle(Milliseconds idleTime)
{
    for (const std::weak_ptr<ServerConnection> &weak : m_connections) {
        const std::shared_ptr<ServerConnection> connection = weak.lock();
        if (connection && connection->idleTime() >= idleTime)
            connection->closeIfIdle();
    }
}

void HttpServer::refuseIncomplete(int status)
{
    for (const std::weak_ptr<ServerConnection> &weak : m_connections) {
        if (const std::shared_ptr<ServerConnection> connection = weak.lock())
            connection->refuseIncomplete(status);
    }
}

std::size_t HttpServer::openConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), isOpen));
}

} // namespace egretmount::net

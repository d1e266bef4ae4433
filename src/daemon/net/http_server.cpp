#include "net/http_server.h"

#include <algorithm>

namespace egretmount::net {

namespace {

constexpr std::size_t minSweepSize = 64;

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

bool HttpServer::isInUse(const Accepted &accepted)
{
    const std::shared_ptr<TcpStream> stream = accepted.stream.lock();
    return stream && stream->isOpen();
}

void HttpServer::add(const Poco::Net::StreamSocket &socket)
{
    if (m_connections.size() >= m_sweepAt) {
        m_connections.erase(
            std::remove_if(m_connections.begin(), m_connections.end(),
                           [](const Accepted &accepted) { return !isInUse(accepted); }),
            m_connections.end());
        m_sweepAt = std::max(minSweepSize, 2 * m_connections.size());
    }
    Accepted accepted;
    accepted.connection = ServerConnection::serve(m_reactor, socket, m_handler);
    if (const std::shared_ptr<ServerConnection> connection = accepted.connection.lock())
        accepted.stream = connection->stream();
    m_connections.push_back(accepted);
}

void HttpServer::stopAccepting()
{
    m_listener->acceptPending();
    m_listener->close();
}

void HttpServer::closeIdle(Milliseconds idleTime)
{
    for (const Accepted &accepted : m_connections) {
        const std::shared_ptr<ServerConnection> connection = accepted.connection.lock();
        if (connection && connection->idleTime() >= idleTime)
            connection->closeIfIdle();
    }
}

void HttpServer::refuseIncomplete(int status)
{
    for (const Accepted &accepted : m_connections) {
        if (const std::shared_ptr<ServerConnection> connection = accepted.connection.lock())
            connection->refuseIncomplete(status);
    }
}

std::size_t HttpServer::openConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const Accepted &accepted) {
            const std::shared_ptr<ServerConnection> connection = accepted.connection.lock();
            return connection && connection->isOpen();
        }));
}

std::size_t HttpServer::undelivered() const
{
    std::size_t bytes = 0;
    for (const Accepted &accepted : m_connections) {
        if (const std::shared_ptr<TcpStream> stream = accepted.stream.lock())
            bytes += stream->undelivered() + (stream->isDiscarding() ? 1 : 0);
    }
    return bytes;
}

} // namespace egretmount::net

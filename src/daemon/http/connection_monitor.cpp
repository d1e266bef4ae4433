#include "http/connection_monitor.h"

#include <cerrno>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/SocketImpl.h>
#include <sys/socket.h>

namespace egretmount::http {

ConnectionMonitor::ConnectionMonitor(Poco::Net::HTTPServerRequest &request)
    : m_descriptor(
        dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().impl()->sockfd())
{ }

bool ConnectionMonitor::isDisconnected() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return false;
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void ConnectionMonitor::shutDown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

} // namespace egretmount::http

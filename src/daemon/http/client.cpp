#include "http/client.h"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace egretmount::http {

namespace {

constexpr std::size_t readBlockBytes = 64UL * 1024;

Poco::Timespan toTimespan(Milliseconds duration)
{
    return { duration.count() * 1000 };
}

} // namespace

ClientCall::ClientCall(const std::string &address)
    : m_address(address)
{ }

ClientCall::~ClientCall()
{
    // Closed under the lock, so that `abort` cannot shut down a descriptor that the system has
    // already reused for another socket.
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isOpen = false;
    m_body.reset();
    m_socket = Poco::Net::StreamSocket();
    m_session.reset();
}

void ClientCall::connect(Milliseconds connectTimeout, Milliseconds ioTimeout)
{
    checkAborted();
    Poco::Net::StreamSocket socket;
    socket.connect(m_address, toTimespan(connectTimeout));
    socket.setReceiveTimeout(toTimespan(ioTimeout));
    socket.setSendTimeout(toTimespan(ioTimeout));
    socket.setNoDelay(true);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_socket = socket;
        m_isOpen = true;
    }
    // A session created from a connected socket has no host, so it cannot reconnect.
    m_session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    m_session->setKeepAlive(false);
    checkAborted();
}

void ClientCall::send(Poco::Net::HTTPRequest &request, const std::string &body)
{
    send(request, std::vector<std::string_view> { body });
}

void ClientCall::send(Poco::Net::HTTPRequest &request, const std::vector<std::string_view> &body)
{
    std::size_t length = 0;
    for (const std::string_view &part : body)
        length += part.size();
    m_method = request.getMethod();
    request.setKeepAlive(false);
    request.setHost(m_address.toString());
    request.setContentLength64(static_cast<Poco::Int64>(length));
    std::ostream &stream = m_session->sendRequest(request);
    for (const std::string_view &part : body)
        stream.write(part.data(), static_cast<std::streamsize>(part.size()));
    stream.flush();
    if (!stream)
        throw Poco::Net::ConnectionAbortedException("the request could not be sent");
}

std::istream &ClientCall::receive(Poco::Net::HTTPResponse &response)
{
    m_session->receiveResponse(response);
    m_body = std::make_unique<BodyStream>(*m_session, framingOf(response, m_method));
    return *m_body;
}

std::string ClientCall::readBody(std::size_t maxBytes)
{
    std::string body;
    std::string block(readBlockBytes, '\0');
    while (m_body->read(block.data(), static_cast<std::streamsize>(block.size()))
           || m_body->gcount() > 0) {
        body.append(block, 0, static_cast<std::size_t>(m_body->gcount()));
        if (body.size() > maxBytes)
            throw Poco::Net::MessageException("the body is too long");
    }
    if (!m_body->buffer().isWhole())
        throw Poco::Net::ConnectionAbortedException("the body is not whole");
    return body;
}

void ClientCall::abort()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isAborted = true;
    if (!m_isOpen)
        return;
    try {
        m_socket.shutdown();
    } catch (const Poco::Exception &) {
        // The peer has already closed the connection.
        m_isOpen = false;
    }
}

bool ClientCall::isAborted() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_isAborted;
}

void ClientCall::checkAborted() const
{
    if (isAborted())
        throw Poco::Net::ConnectionAbortedException("the call was aborted");
}

std::unique_ptr<Reply> fetch(const std::string &address, Poco::Net::HTTPRequest &request,
                             const std::string &body, Milliseconds timeout)
{
    std::unique_ptr<Reply> reply = std::make_unique<Reply>();
    ClientCall call(address);
    call.connect(timeout, timeout);
    call.send(request, body);
    call.receive(reply->response);
    reply->body = call.readBody();
    return reply;
}

std::unique_ptr<Reply> fetch(const std::string &address, const std::string &path,
                             Milliseconds timeout)
{
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    return fetch(address, request, {}, timeout);
}

} // namespace egretmount::http

#include "net/server_connection.h"

#include <glog/logging.h>

namespace egretmount::net {

namespace {

// Time limit for receiving a body. `fleet::CallerLimits` has a time limit for headers only.
constexpr Milliseconds bodyTimeout = Milliseconds(10'000);
// Added to the configured idle time, so that callers who close idle connections after exactly that
// time do so before this side. A request sent just as the server closes would be lost.
constexpr Milliseconds idleTimeoutMargin = Milliseconds(500);
// Limit of buffered input (pipelined requests) while the response to a request is pending.
constexpr std::size_t maxPipelinedBytes = 64UL * 1024;
constexpr std::size_t maxIgnoredBodyBytes = 64UL * 1024;

} // namespace

fleet::CallerLimits RequestHandler::limits() const
{
    fleet::CallerLimits limits;
    limits.bodyBytes = maxIgnoredBodyBytes;
    return limits;
}

void RequestHandler::onRefused(int status, std::string_view reason)
{
    LOG(INFO) << "ingress: refused status=" << status << " reason=\"" << reason << '"';
}

std::weak_ptr<ServerConnection> ServerConnection::serve(Reactor &reactor,
                                                        const Poco::Net::StreamSocket &socket,
                                                        RequestHandler &handler)
{
    std::shared_ptr<ServerConnection> connection =
        std::make_shared<ServerConnection>(reactor, handler);
    connection->m_self = connection;
    connection->m_stream = TcpStream::adopt(reactor, socket, connection.get());
    connection->m_limits = handler.limits();
    connection->m_idleSince = reactor.now();
    connection->setTimer(connection->m_limits.idleTime + idleTimeoutMargin, 0);
    return connection;
}

ServerConnection::ServerConnection(Reactor &reactor, RequestHandler &handler)
    : m_reactor(reactor)
    , m_handler(handler)
{ }

ServerConnection::~ServerConnection()
{
    m_reactor.cancel(m_timer);
    if (m_stream)
        m_stream->setListener(nullptr);
}

void ServerConnection::onBytes()
{
    if (m_phase == Phase::Responding) {
        if (m_stream->input().size() > maxPipelinedBytes)
            m_stream->pauseInput(true);
        return;
    }
    read();
}

void ServerConnection::read()
{
    if (m_isReading)
        return;
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    m_isReading = true;
    bool madeProgress = true;
    while (madeProgress && m_phase != Phase::Responding && m_phase != Phase::Closed)
        madeProgress = m_phase == Phase::Body ? readBody() : readHead();
    m_isReading = false;
}

bool ServerConnection::readHead()
{
    std::string &input = m_stream->input();
    // A server should ignore empty lines before a request (RFC 9112, section 2.2).
    while (m_phase == Phase::Idle && input.compare(0, 2, "\r\n") == 0)
        input.erase(0, 2);
    if (input.empty())
        return false;
    if (m_phase == Phase::Idle) {
        m_phase = Phase::Head;
        m_limits = m_handler.limits();
        setTimer(m_limits.headerTime, 408);
    }
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos ? input.size() > m_limits.headerBytes
                                 : end + 4 > m_limits.headerBytes) {
        refuse(431, "header-too-large");
        return false;
    }
    if (end == std::string::npos)
        return false;
    tl::expected<http::RequestHead, http::HeadProblem> head =
        http::parseRequestHead(std::string_view(input).substr(0, end));
    if (!head) {
        refuse(static_cast<int>(head.error()), "malformed-head");
        return false;
    }
    const tl::expected<http::BodyFraming, http::HeadProblem> framing = http::requestFraming(*head);
    if (!framing) {
        refuse(400, "ambiguous-framing");
        return false;
    }
    input.erase(0, end + 4);
    m_head = std::move(*head);
    m_keepsAlive = http::keepsConnection(m_head.fields, m_head.minorVersion);
    m_isChunked = m_head.minorVersion >= 1;
    m_isHeadRequest = m_head.method == "HEAD";
    if (framing->framing == http::Framing::Length && framing->length > m_limits.bodyBytes) {
        refuse(413, "body-too-large");
        return false;
    }
    m_reader = http::makeBodyReader(*framing);
    m_body.clear();
    m_bodyDigest = {};
    m_reservation = limits::BodyReservation(m_handler.bodyMemory());
    if (framing->framing == http::Framing::Length) {
        if (!reserveMemory(framing->length))
            return false;
        m_body.reserve(framing->length);
    }
    m_phase = Phase::Body;
    setTimer(bodyTimeout, 408);
    if (m_reader.state == http::BodyState::Reading
        && http::hasToken(m_head.fields, "Expect", "100-continue"))
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

bool ServerConnection::readBody()
{
    const std::size_t known = m_body.size();
    const http::BodyState state = http::readBody(m_reader, m_stream->input(), m_body);
    m_bodyDigest.add(std::string_view(m_body).substr(known));
    if (m_body.size() > m_limits.bodyBytes) {
        refuse(413, "body-too-large");
        return false;
    }
    if (state == http::BodyState::Malformed) {
        refuse(400, "malformed-body");
        return false;
    }
    if (!reserveMemory(m_body.size()))
        return false;
    if (state == http::BodyState::Reading)
        return false;
    m_phase = Phase::Responding;
    m_reactor.cancel(m_timer);
    m_handler.onRequest(shared_from_this(), std::move(m_head),
                        { std::move(m_body), m_bodyDigest.finish(), std::move(m_reservation) });
    return true;
}

bool ServerConnection::reserveMemory(std::size_t bytes)
{
    if (m_reservation.cover(bytes))
        return true;
    refuse(503, "no-memory", m_handler.outOfMemoryFields(m_head));
    return false;
}

void ServerConnection::refuse(int status, std::string_view reason, std::string_view fields)
{
    m_handler.onRefused(status, reason);
    std::string().swap(m_body); // `clear` would keep the memory
    m_reservation = {};
    m_phase = Phase::Responding;
    // The rest of the request stays unread, so no further request can be read after it.
    m_isRefused = true;
    m_keepsAlive = false;
    respond(status, http::reasonPhrase(status), fields, {});
}

void ServerConnection::setTimer(Milliseconds delay, int status)
{
    m_reactor.cancel(m_timer);
    m_timer = m_reactor.after(delay, [this, status] {
        const std::shared_ptr<ServerConnection> self = shared_from_this();
        m_timer = 0;
        if (status == 0)
            closeIfIdle();
        else
            refuse(status, "too-slow");
    });
}

std::string ServerConnection::headText(int status, std::string_view reason,
                                       std::string_view fields) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(reason).append("\r\n").append(fields);
    if (!m_keepsAlive)
        text += "Connection: close\r\n";
    return text;
}

void ServerConnection::decideKeepAlive(bool hasFraming)
{
    // Pipelined requests that have been read must be answered before the connection is closed.
    const bool isLast = m_handler.isStopping() && m_stream->input().empty();
    m_keepsAlive = m_keepsAlive && hasFraming && !isLast;
    if (!m_keepsAlive && !m_isRefused)
        m_stream->leaveInput();
}

void ServerConnection::respond(int status, std::string_view reason, std::string_view fields,
                               std::string_view body)
{
    if (m_phase != Phase::Responding)
        return;
    decideKeepAlive(true);
    std::string text = headText(status, reason, fields);
    const bool hasNoLength = status == 204 || status == 304;
    if (!hasNoLength)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    if (!hasNoLength && !m_isHeadRequest)
        text += body;
    m_stream->write(text);
    finishResponse();
}

void ServerConnection::beginResponse(int status, std::string_view reason, std::string_view fields)
{
    if (m_phase != Phase::Responding)
        return;
    decideKeepAlive(m_isChunked);
    std::string text = headText(status, reason, fields);
    // Without chunks, the end of the connection is the end of the body, so that every early end
    // must be a reset.
    if (m_isChunked)
        text += "Transfer-Encoding: chunked\r\n";
    else
        m_stream->resetOnClose();
    m_stream->write(text + "\r\n");
}

void ServerConnection::sendChunk(std::string_view bytes)
{
    if (m_phase != Phase::Responding || bytes.empty() || m_isHeadRequest)
        return;
    if (!m_isChunked) {
        m_stream->write(bytes);
        return;
    }
    std::string chunk;
    http::appendChunk(chunk, bytes);
    m_stream->write(chunk);
}

void ServerConnection::endResponse()
{
    if (m_phase != Phase::Responding)
        return;
    if (m_isChunked && !m_isHeadRequest)
        m_stream->write(http::lastChunk);
    finishResponse();
}

void ServerConnection::abortResponse()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    m_disconnectListener = nullptr;
    m_drainListener = nullptr;
    m_reactor.cancel(m_timer);
    // A chunked response without its last chunk is recognizably truncated.
    if (m_isChunked)
        m_stream->closeGracefully();
    else
        m_stream->abort();
    m_reactor.defer([self = std::move(m_self)] {});
}

void ServerConnection::finishResponse()
{
    m_disconnectListener = nullptr;
    m_drainListener = nullptr;
    if (!m_keepsAlive) {
        m_phase = Phase::Closed;
        m_reactor.cancel(m_timer);
        m_stream->closeGracefully();
        m_reactor.defer([self = std::move(m_self)] {});
        return;
    }
    m_phase = Phase::Idle;
    m_idleSince = m_reactor.now();
    setTimer(m_limits.idleTime + idleTimeoutMargin, 0);
    m_stream->pauseInput(false);
    // Pipelined requests are read in a deferred task, because this function is called from
    // callbacks of the handler.
    if (!m_stream->input().empty())
        m_reactor.defer([self = shared_from_this()] { self->read(); });
}

void ServerConnection::closeIfIdle()
{
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    if (m_phase == Phase::Idle)
        m_stream->receive();
    if (m_phase != Phase::Idle || !m_stream->input().empty())
        return;
    m_phase = Phase::Closed;
    m_reactor.cancel(m_timer);
    m_stream->leaveInput();
    m_stream->closeGracefully();
    m_reactor.defer([self = std::move(m_self)] {});
}

void ServerConnection::refuseIncomplete(int status)
{
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    if (m_phase == Phase::Head || m_phase == Phase::Body)
        refuse(status, "incomplete");
}

Milliseconds ServerConnection::idleTime() const
{
    return m_phase == Phase::Idle ? m_reactor.now() - m_idleSince : Milliseconds();
}

void ServerConnection::onDrained()
{
    if (!m_drainListener || m_phase != Phase::Responding)
        return;
    // Deferred because bytes may be sent, and so drained, within a callback of the listener's
    // owner.
    m_reactor.defer([weak = weak_from_this()] {
        const std::shared_ptr<ServerConnection> self = weak.lock();
        if (self && self->m_drainListener && self->unsent() == 0)
            self->m_drainListener();
    });
}

void ServerConnection::onEnd(StreamEnd)
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    m_reactor.cancel(m_timer);
    const std::shared_ptr<ServerConnection> self = std::move(m_self);
    const std::function<void()> listener = std::move(m_disconnectListener);
    m_disconnectListener = nullptr;
    m_drainListener = nullptr;
    if (listener)
        listener();
    m_reactor.defer([self] {});
}

} // namespace egretmount::net

#include "target_send.h"

#include <algorithm>

#include <glog/logging.h>

#include "fleet_service.h"
#include "platform/orders.h"
#include "reach_service.h"

namespace egretmount::node {

namespace {

// A target on the same site accepts a connection within some milliseconds. A retransmitted SYN
// would take more than a second, and another target serves the caller sooner.
constexpr Milliseconds connectTimeout = Milliseconds(400);
// A killed process's port is closed at once, so the wait is long only if the network is at fault.
constexpr Milliseconds endCheckTimeout = Milliseconds(500);
// Time for a target at its connection limit to end other connections.
constexpr Milliseconds endCheckInterval = Milliseconds(50);
// A target that ends its output and leaves a part of the request unread resets the connection when
// it closes it, which may be some milliseconds later.
constexpr Milliseconds settleTime = Milliseconds(50);
constexpr Milliseconds settleCheckInterval = Milliseconds(10);
constexpr std::size_t maxHeadBytes = 64UL * 1024;
// Total of the interim responses (1xx) before a response.
constexpr std::size_t maxInterimBytes = 64UL * 1024;
// Bodies of unrelated responses that are read to reach the response behind them.
constexpr std::size_t maxDiscardedBytes = 1024UL * 1024;
// Of a body whose length is not stated. No service sends nearly as much; what does, does not end.
constexpr std::size_t maxUnstatedBodyBytes = 64UL * 1024 * 1024;

} // namespace

TargetSend::TargetSend(net::Reactor &reactor, TargetPool &pool, SendListener &listener)
    : m_reactor(reactor)
    , m_pool(pool)
    , m_listener(&listener)
{ }

TargetSend::~TargetSend()
{
    *m_isAlive = false;
    cancel();
}

void TargetSend::start(const fleet::TargetEntry &target, Receiver receiver, std::string head,
                       std::shared_ptr<const std::string> body, std::string method,
                       std::string requestId, bool needsNewConnection)
{
    m_isRelay = receiver == Receiver::Instance;
    m_target = target;
    m_requestHead = std::move(head);
    m_requestBody = std::move(body);
    m_method = std::move(method);
    m_requestId = std::move(requestId);
    // The registry's entry may be older than a restart that the target has reported.
    m_startedAt = std::max(m_target.startedAt, m_pool.health(keyOf(m_target.id)).startedAt);
    m_reader = {};
    m_end.reset();
    m_isSent = m_isReported = m_hasHead = m_isUnrelated = m_isOver = m_isPaused = false;
    m_interimBytes = m_discardedBytes = m_bodyBytes = 0;
    m_fields = {};
    ++m_pool.health(keyOf(m_target.id)).inFlight;
    m_connection = m_pool.acquire(m_target, needsNewConnection, m_requestId, this);
    if (m_connection.isReused) {
        m_isStarting = true;
        if (m_listener->maySend())
            writeRequest();
        else
            withhold();
        m_isStarting = false;
        return;
    }
    m_connectTimer = m_reactor.after(connectTimeout, [this] {
        m_connectTimer = 0;
        if (!m_isRelay)
            m_pool.reach().onConnectFailed(m_target.id);
        fail(limits::SendFailure::NotSent);
    });
}

void TargetSend::withhold()
{
    // Deferred because the listener must not be called before `start` returns.
    m_reactor.defer([this, isAlive = m_isAlive, connection = m_connection.stream] {
        if (*isAlive && !m_isOver && !m_isSent && connection == m_connection.stream)
            fail(limits::SendFailure::Withheld);
    });
}

void TargetSend::cancel()
{
    if (!m_isOver)
        release(false);
}

void TargetSend::pauseInput(bool isPaused)
{
    if (m_isOver || m_isPaused == isPaused || !m_connection.stream)
        return;
    m_isPaused = isPaused;
    m_connection.stream->pauseInput(isPaused);
}

void TargetSend::onConnected()
{
    m_reactor.cancel(m_connectTimer);
    if (!m_isRelay)
        m_pool.reach().onConnected(m_target.id);
    if (m_listener->maySend())
        writeRequest();
    else
        fail(limits::SendFailure::Withheld);
}

void TargetSend::writeRequest()
{
    m_isSent = true;
    if (!m_isRelay)
        m_pool.reach().onRequestSent();
    // Writing may find that the connection has ended, which fails this send.
    const std::shared_ptr<net::TcpStream> stream = m_connection.stream;
    const std::shared_ptr<const std::string> body = m_requestBody;
    const std::shared_ptr<bool> isAlive = m_isAlive;
    stream->write(m_requestHead);
    if (!body->empty())
        stream->writeShared(body);
    if (*isAlive && !m_isOver && stream == m_connection.stream && stream->isOpen())
        reportSent();
}

void TargetSend::reportSent()
{
    if (m_isReported)
        return;
    m_isReported = true;
    m_listener->onRequestSent();
}

void TargetSend::onBytes()
{
    m_pool.health(keyOf(m_target.id)).lastReceivedAt = m_reactor.now();
    if (!m_isRelay)
        m_pool.reach().onBytes();
    const std::shared_ptr<bool> isAlive = m_isAlive;
    while (*isAlive && !m_isOver) {
        const std::size_t interimBytes = m_interimBytes;
        if (!m_hasHead && !readHead()) {
            if (*isAlive && !m_isOver && m_interimBytes > interimBytes)
                continue; // another response follows the interim one
            return;
        }
        if (!*isAlive || m_isOver)
            return;
        readBody();
        if (!*isAlive || m_isOver || m_hasHead)
            return;
    }
}

bool TargetSend::readHead()
{
    std::string &input = m_connection.stream->input();
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        if (input.size() > maxHeadBytes)
            fail(limits::SendFailure::Broken);
        return false;
    }
    tl::expected<http::ResponseHead, http::HeadProblem> head =
        http::parseResponseHead(std::string_view(input).substr(0, end));
    const tl::expected<http::BodyFraming, http::HeadProblem> framing =
        head ? http::responseFraming(*head, m_method) : tl::unexpected(head.error());
    if (!framing) {
        LOG(WARNING) << "targets: malformed response head target=" << m_target.id.value
                     << " id=" << m_requestId;
        fail(limits::SendFailure::Broken);
        return false;
    }
    input.erase(0, end + 4);
    if (head->status < 200) {
        m_interimBytes += end + 4;
        if (m_interimBytes > maxInterimBytes)
            fail(limits::SendFailure::Broken);
        return false;
    }
    m_head = std::move(*head);
    m_fields = platform::readResponseFields(m_head);
    if (!m_isRelay)
        m_pool.recordNotices(m_target, m_fields); // those of a target reach its own instance
    m_reader = http::makeBodyReader(*framing);
    if (framing->framing == http::Framing::UntilClose)
        m_connection.stream->stayOpenAtEnd();
    m_hasHead = true;
    const bool hasNoRequestId = m_fields.requestId.empty();
    // Targets state the id in all their responses. Without it, an error at the start of a
    // connection may come from a proxy; that the request was not executed is taken from no such
    // response.
    const bool isPlainError = m_head.status >= 300 && !m_fields.isDeclined;
    m_isUnrelated =
        hasNoRequestId ? m_connection.isReused || !isPlainError : m_fields.requestId != m_requestId;
    if (m_isUnrelated) {
        LOG(WARNING) << "targets: response to another request discarded target="
                     << m_target.id.value << " id=" << m_requestId
                     << " answers=" << m_fields.requestId;
        if (framing->framing == http::Framing::UntilClose || hasNoRequestId) {
            fail(limits::SendFailure::Broken);
            return false;
        }
        return true;
    }
    if (m_fields.isDeclined) {
        discardResponse(limits::SendFailure::Declined);
        return false;
    }
    if (const std::optional<limits::SendFailure> failure =
            m_listener->onResponseHead(m_head, m_fields.inFlight)) {
        discardResponse(*failure);
        return false;
    }
    return true;
}

void TargetSend::discardResponse(limits::SendFailure failure)
{
    std::string rest;
    const bool isComplete =
        http::readBody(m_reader, m_connection.stream->input(), rest) == http::BodyState::Complete;
    const std::string faulty = m_fields.failedTargetAddress;
    release(isComplete && keepsConnection());
    m_listener->onSendFailed(failure, faulty);
}

void TargetSend::readBody()
{
    std::string bytes;
    const http::BodyState state = http::readBody(m_reader, m_connection.stream->input(), bytes);
    if (m_isUnrelated) {
        m_discardedBytes += bytes.size();
        if (state == http::BodyState::Malformed || m_discardedBytes > maxDiscardedBytes)
            fail(limits::SendFailure::Broken);
        else if (state == http::BodyState::Complete)
            m_hasHead = false; // the response to this request follows
        return;
    }
    m_bodyBytes += bytes.size();
    if (m_reader.framing.framing != http::Framing::Length && m_bodyBytes > maxUnstatedBodyBytes) {
        LOG(WARNING) << "targets: response without end target=" << m_target.id.value
                     << " id=" << m_requestId << " bytes=" << m_bodyBytes;
        fail(limits::SendFailure::Broken);
        return;
    }
    const std::shared_ptr<bool> isAlive = m_isAlive;
    const bool isUsable = bytes.empty() || m_listener->onResponseBytes(std::move(bytes));
    if (!*isAlive || m_isOver)
        return;
    if (!isUsable) {
        fail(limits::SendFailure::NotContinued);
        return;
    }
    if (state == http::BodyState::Malformed)
        fail(limits::SendFailure::Broken);
    else if (state == http::BodyState::Complete)
        complete();
}

void TargetSend::onEnd(net::StreamEnd end)
{
    if (m_isOver)
        return;
    if (m_isStarting) {
        m_reactor.defer([this, isAlive = m_isAlive, connection = m_connection.stream, end] {
            if (*isAlive && !m_isOver && connection == m_connection.stream)
                onEnd(end);
        });
        return;
    }
    m_end = end;
    m_unsettledAt = m_reactor.now();
    if (m_isSent && m_connection.stream->hasSent())
        reportSent();
    if (m_isSent && !m_isReported) {
        fail(limits::SendFailure::NotSent);
        return;
    }
    if (!m_isSent) {
        if (!m_isRelay)
            m_pool.reach().onConnectFailed(m_target.id);
        fail(limits::SendFailure::NotSent);
        return;
    }
    const bool isComplete = m_hasHead && !m_isUnrelated && end == net::StreamEnd::Closed
                            && http::onEndOfInput(m_reader);
    if (isComplete && !m_isRelay)
        confirmEnd();
    else
        fail(limits::SendFailure::Broken);
}

void TargetSend::confirmEnd(int checks)
{
    m_endCheck = std::make_shared<net::HttpClient>(m_reactor, m_target.address);
    m_endCheck->setMaxBody(maxReportBytes);
    m_pool.recordCall(m_target);
    m_endCheck->get(
        std::string(platform::reportPath()), endCheckTimeout,
        [this, checks](int status, const std::string &body) {
            m_pool.recordNotices(m_target, platform::readResponseFields(m_endCheck->responseHead()),
                                 platform::startStampOf(body));
            limits::EndReport report = platform::endReportOf(status, body);
            report.isListening = m_endCheck->hasConnected();
            // Deferred because it destroys the client that runs this callback.
            m_reactor.defer([this, isAlive = m_isAlive, client = m_endCheck, report, checks] {
                if (*isAlive && client == m_endCheck)
                    onEndReported(report, checks);
            });
        });
}

void TargetSend::onEndReported(const limits::EndReport &report, int checks)
{
    if (limits::isEndUncertain(report, checks)) {
        m_endCheckTimer = m_reactor.after(endCheckInterval, [this, checks] {
            m_endCheckTimer = 0;
            confirmEnd(checks + 1);
        });
        return;
    }
    const bool isConfirmed = limits::isEndConfirmed(report, m_startedAt);
    std::int64_t &latest = m_pool.health(keyOf(m_target.id)).startedAt;
    latest = std::max(latest, report.startedAt);
    LOG(INFO) << "targets: response without a length ended id=" << m_requestId
              << " target=" << m_target.id.value << " listening=" << report.isListening
              << " responded=" << report.hasResponded << " started_at=" << report.startedAt
              << " expected=" << m_startedAt << " confirmed=" << isConfirmed;
    if (isConfirmed)
        completeOnceSettled();
    else
        fail(limits::SendFailure::Broken);
}

void TargetSend::completeOnceSettled()
{
    const Milliseconds now = m_reactor.now();
    if (m_connection.stream->undelivered() > 0)
        m_unsettledAt = now;
    // The target has read the head, which it answers.
    const bool mayBeUnread = !m_requestBody->empty();
    if (!mayBeUnread || now - m_unsettledAt >= settleTime) {
        complete();
        return;
    }
    m_endCheckTimer = m_reactor.after(settleCheckInterval, [this] {
        m_endCheckTimer = 0;
        completeOnceSettled();
    });
}

bool TargetSend::keepsConnection() const
{
    return m_reader.framing.framing != http::Framing::UntilClose
           && http::keepsConnection(m_head.fields, m_head.minorVersion)
           && m_connection.stream->unsent() == 0;
}

void TargetSend::complete()
{
    release(keepsConnection());
    m_listener->onResponseComplete();
}

void TargetSend::fail(limits::SendFailure failure, const std::string &failedTargetAddress)
{
    release(false);
    m_listener->onSendFailed(failure, failedTargetAddress);
}

void TargetSend::release(bool mayReuse)
{
    m_isOver = true;
    if (m_isSent && !m_isRelay)
        m_pool.reach().onRequestEnded();
    m_endCheck.reset();
    m_reactor.cancel(m_endCheckTimer);
    m_reactor.cancel(m_connectTimer);
    --m_pool.health(keyOf(m_target.id)).inFlight;
    TargetConnection connection = m_connection;
    m_connection.stream.reset();
    if (!connection.stream)
        return;
    connection.stream->pauseInput(false);
    if (mayReuse)
        m_pool.release(m_target.id, std::move(connection), m_fields.keepAliveTimeout);
    else
        connection.stream->closeWithoutDelivery();
}

} // namespace egretmount::node

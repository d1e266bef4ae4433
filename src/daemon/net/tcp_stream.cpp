#include "net/tcp_stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <glog/logging.h>

namespace egretmount::net {

namespace {

using Poco::Net::PollSet;

// A connection whose data is not acknowledged within this time has failed. Callers' latency
// objectives are a few seconds, so the kernel's default of minutes is too long.
constexpr Milliseconds deliveryTimeout = Milliseconds(2'500);
constexpr Milliseconds deliveryCheckInterval = Milliseconds(500);
// Together, the keep-alive settings detect a dead idle connection within three seconds.
constexpr int keepAliveIdleS = 1;
constexpr int keepAliveIntervalS = 1;
constexpr int keepAliveProbes = 2;
// Time that the peer has to close its side after it has received everything and sends no more.
constexpr Milliseconds lingerTimeout = Milliseconds(1'000);
// Limit of the time for which input is discarded, as a peer may send without end.
constexpr Milliseconds maxDiscardTime = Milliseconds(10'000);
constexpr std::size_t readBufferBytes = 16UL * 1024; // most messages fit into one read
constexpr std::size_t maxKeptCapacity = 64UL * 1024; // of the output buffer of an idle connection
constexpr int maxReadsPerCallback = 8; // a peer that sends fast must not starve other connections
constexpr int listenBacklog = 512; // absorbs many callers that reconnect at the same time

StreamEnd endOf(const Poco::Exception &error)
{
    const bool isUnresponsive = error.code() == ETIMEDOUT || error.code() == EHOSTUNREACH
                                || error.code() == ENETUNREACH
                                || dynamic_cast<const Poco::TimeoutException *>(&error) != nullptr;
    return isUnresponsive ? StreamEnd::TimedOut : StreamEnd::Reset;
}

void setOptions(Poco::Net::StreamSocket &socket)
{
    socket.setBlocking(false);
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleS);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalS);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

} // namespace

std::shared_ptr<TcpStream> TcpStream::connect(Reactor &reactor, const std::string &address,
                                              StreamListener *listener)
{
    Poco::Net::StreamSocket socket;
    std::shared_ptr<TcpStream> stream;
    try {
        socket.connectNB(Poco::Net::SocketAddress(address));
        stream = std::make_shared<TcpStream>(reactor, socket, listener);
        setOptions(stream->m_socket);
        stream->m_socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                                   static_cast<int>(deliveryTimeout.count()));
        stream->startWatching(PollSet::POLL_READ | PollSet::POLL_WRITE | PollSet::POLL_ERROR);
    } catch (const Poco::Exception &error) {
        LOG(WARNING) << "net: cannot connect address=" << address << " reason=\""
                     << error.displayText() << '"';
        stream = std::make_shared<TcpStream>(reactor, Poco::Net::StreamSocket(), listener);
        reactor.defer([stream] { stream->finish(StreamEnd::Reset); });
    }
    return stream;
}

std::shared_ptr<TcpStream> TcpStream::adopt(Reactor &reactor, const Poco::Net::StreamSocket &socket,
                                            StreamListener *listener)
{
    std::shared_ptr<TcpStream> stream = std::make_shared<TcpStream>(reactor, socket, listener);
    stream->m_isConnected = true;
    stream->m_isAccepted = true;
    try {
        setOptions(stream->m_socket);
        stream->startWatching(PollSet::POLL_READ | PollSet::POLL_ERROR);
    } catch (const Poco::Exception &error) {
        LOG(WARNING) << "net: cannot set up an accepted connection reason=\"" << error.displayText()
                     << '"';
        reactor.defer([stream] { stream->finish(StreamEnd::Reset); });
    }
    return stream;
}

TcpStream::TcpStream(Reactor &reactor, const Poco::Net::StreamSocket &socket,
                     StreamListener *listener)
    : m_reactor(reactor)
    , m_socket(socket)
    , m_listener(listener)
{ }

TcpStream::~TcpStream()
{
    close();
}

std::string TcpStream::peerHost() const
{
    try {
        return m_socket.peerAddress().host().toString();
    } catch (const Poco::Exception &) {
        return "unknown"; // the peer may have disconnected already
    }
}

void TcpStream::startWatching(int mode)
{
    m_mode = mode;
    m_reactor.watch(m_socket, mode, shared_from_this());
}

void TcpStream::updatePollMode()
{
    const bool isWatched = m_mode != 0; // not if the connection has failed at once
    if (!m_isOpen || !isWatched)
        return;
    int mode = PollSet::POLL_ERROR;
    if (!m_isPaused && !m_isInputClosed)
        mode |= PollSet::POLL_READ;
    if (!m_isConnected || unsent() > 0)
        mode |= PollSet::POLL_WRITE;
    if (mode == m_mode)
        return;
    m_mode = mode;
    m_reactor.update(m_socket, mode);
}

void TcpStream::write(std::string_view bytes)
{
    if (!m_isOpen || m_isClosing)
        return;
    const std::shared_ptr<TcpStream> self = shared_from_this();
    if (m_shared) { // the new bytes must follow it
        m_output.append(*m_shared, m_sharedSent, std::string::npos);
        m_shared.reset();
    }
    m_output.append(bytes);
    recordOutput(bytes.size());
    if (m_isConnected)
        flush();
}

void TcpStream::writeShared(std::shared_ptr<const std::string> bytes)
{
    if (!m_isOpen || m_isClosing)
        return;
    const std::shared_ptr<TcpStream> self = shared_from_this();
    if (m_shared) {
        write(*bytes);
        return;
    }
    recordOutput(bytes->size());
    m_shared = std::move(bytes);
    m_sharedSent = 0;
    if (m_isConnected)
        flush();
}

void TcpStream::recordOutput(std::size_t bytes)
{
    m_written += bytes;
    if (m_isAccepted && m_deliveryTimer == 0) {
        m_deliveredAt = m_reactor.now();
        startDeliveryTimer();
    }
}

std::size_t TcpStream::undelivered() const
{
    if (!m_isOpen)
        return 0;
    int inKernel = 0;
    try {
        m_socket.impl()->ioctl(SIOCOUTQ, inKernel);
    } catch (const Poco::Exception &) {
        inKernel = 0; // the connection has failed, which its next event reports
    }
    return unsent() + static_cast<std::size_t>(std::max(inKernel, 0));
}

bool TcpStream::isDiscarding() const
{
    return m_isOpen && m_isDiscarding && m_reactor.now() - m_deliveredAt < lingerTimeout;
}

void TcpStream::close()
{
    if (!m_isOpen)
        return;
    // The timer and the reactor may be the last owners.
    const std::shared_ptr<TcpStream> self = weak_from_this().lock();
    m_isOpen = false;
    m_listener = nullptr;
    m_reactor.cancel(m_deliveryTimer);
    m_reactor.unwatch(m_socket);
    m_socket.close();
}

void TcpStream::abort()
{
    if (!m_isOpen)
        return;
    resetOnClose();
    close();
}

void TcpStream::closeWithoutDelivery()
{
    if (undelivered() > 0)
        abort();
    else
        close();
}

void TcpStream::resetOnClose()
{
    if (m_isOpen)
        setLinger(true);
}

void TcpStream::setLinger(bool isEnabled)
{
    try {
        m_socket.setLinger(isEnabled, 0);
    } catch (const Poco::Exception &error) {
        LOG(WARNING) << "net: cannot set SO_LINGER enabled=" << isEnabled << " reason=\""
                     << error.displayText() << '"';
    }
}

void TcpStream::closeGracefully()
{
    if (!m_isOpen || m_isClosing)
        return;
    const std::shared_ptr<TcpStream> self = shared_from_this();
    m_listener = nullptr;
    m_isClosing = true;
    m_isPaused = false;
    m_closingSince = m_deliveredAt = m_reactor.now();
    startDeliveryTimer();
    flush();
}

void TcpStream::startDeliveryTimer()
{
    m_reactor.cancel(m_deliveryTimer);
    // The timer owns the stream, because the reactor may have stopped watching it.
    m_deliveryTimer = m_reactor.after(deliveryCheckInterval, [stream = shared_from_this()] {
        stream->m_deliveryTimer = 0;
        stream->checkDelivery();
    });
}

void TcpStream::checkDelivery()
{
    // Neither the room in the kernel's send buffer nor TCP_USER_TIMEOUT is a measure of progress.
    // The kernel reports room only after a large part of the buffer has been acknowledged, and the
    // time-out also ends connections to peers that read steadily through a small window.
    const std::size_t left = undelivered();
    const std::size_t delivered = m_written - std::min(left, m_written);
    if (delivered > m_delivered) {
        m_delivered = delivered;
        m_deliveredAt = m_reactor.now();
    }
    if (left == 0 && !m_isClosing)
        return;
    const Milliseconds quietTime = m_reactor.now() - m_deliveredAt;
    if (quietTime < (left > 0 ? deliveryTimeout : lingerTimeout)) {
        startDeliveryTimer();
        return;
    }
    if (left > 0)
        LOG(INFO) << "net: peer acknowledges nothing peer=" << peerHost()
                  << " closing=" << m_isClosing << " unsent=" << unsent() << " undelivered=" << left
                  << " quiet_ms=" << quietTime.count();
    if (m_isClosing) {
        close();
        return;
    }
    resetOnClose();
    finish(StreamEnd::Reset);
}

void TcpStream::receive()
{
    const std::shared_ptr<TcpStream> self = shared_from_this();
    if (m_isOpen && m_isConnected && !m_isPaused && !m_isInputClosed)
        readSome();
}

void TcpStream::pauseInput(bool isPaused)
{
    m_isPaused = isPaused;
    updatePollMode();
}

void TcpStream::onReady(bool isReadable, bool isWritable, bool hasFailed)
{
    const std::shared_ptr<TcpStream> self = shared_from_this();
    if (!m_isConnected && (isWritable || hasFailed)) {
        if (hasFailed || m_socket.impl()->socketError() != 0) {
            finish(StreamEnd::Reset);
            return;
        }
        m_isConnected = true;
        if (m_listener != nullptr)
            m_listener->onConnected();
    }
    if (m_isOpen && isWritable)
        flush();
    if (!m_isOpen)
        return;
    if (m_isInputClosed && hasFailed)
        finish(StreamEnd::Reset);
    else if (!m_isInputClosed && (isReadable || hasFailed))
        readSome();
}

void TcpStream::checkForEnd()
{
    char byte = 0;
    int count = 0;
    try {
        count = m_socket.receiveBytes(&byte, 1, MSG_PEEK);
    } catch (const Poco::Exception &error) {
        if (error.code() != EAGAIN && error.code() != EWOULDBLOCK)
            finish(StreamEnd::Reset);
        return;
    }
    if (count == 0 && (!m_isClosing || unsent() == 0))
        finish(StreamEnd::Closed);
    else if (count >= 0)
        stopWatchingInput();
}

void TcpStream::stopWatchingInput()
{
    m_isPaused = true;
    if (m_isClosing && unsent() == 0) {
        // The socket would be ready all the time once the peer has closed its side, too.
        m_mode = 0;
        m_reactor.unwatch(m_socket);
        return;
    }
    updatePollMode();
}

void TcpStream::discardedInput()
{
    const Milliseconds now = m_reactor.now();
    if (now - m_closingSince >= maxDiscardTime)
        return;
    // Many peers read a response only after they have sent the whole request; a reset before that
    // takes it from them.
    m_isDiscarding = true;
    m_deliveredAt = now;
}

void TcpStream::readSome()
{
    if (m_leavesInput) {
        checkForEnd();
        return;
    }
    std::array<char, readBufferBytes> buffer;
    for (int i = 0; i < maxReadsPerCallback && m_isOpen; ++i) {
        int count = 0;
        try {
            count = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        } catch (const Poco::Exception &error) {
            if (error.code() == EAGAIN || error.code() == EWOULDBLOCK)
                return;
            // Not logged here: the listener logs the failure with its effect on the request.
            finish(endOf(error));
            return;
        }
        if (count < 0)
            return;
        if (count == 0 && m_isClosing && unsent() > 0) {
            stopWatchingInput(); // the peer still reads
            return;
        }
        if (count == 0) {
            onInputClosed();
            return;
        }
        if (m_isClosing) {
            discardedInput();
            continue;
        }
        m_input.append(buffer.data(), static_cast<std::size_t>(count));
        if (m_listener != nullptr)
            m_listener->onBytes();
        // A paused stream is read, a little at a time, only to find the failure of its connection.
        if (static_cast<std::size_t>(count) < buffer.size() || m_isPaused)
            return;
    }
}

std::size_t TcpStream::sendBytes(std::string_view bytes)
{
    constexpr std::size_t maxBytes = std::numeric_limits<int>::max(); // of one call
    try {
        const int size = static_cast<int>(std::min(bytes.size(), maxBytes));
        const int count = m_socket.sendBytes(bytes.data(), size, MSG_NOSIGNAL);
        return static_cast<std::size_t>(std::max(count, 0));
    } catch (const Poco::Exception &error) {
        // POCO reports a full kernel buffer as an exception.
        if (error.code() != EAGAIN && error.code() != EWOULDBLOCK)
            finish(StreamEnd::Reset);
        return 0;
    }
}

void TcpStream::flush()
{
    while (m_isOpen && unsent() > 0) {
        const bool isShared = m_sent == m_output.size();
        const std::size_t count = isShared
                                      ? sendBytes(std::string_view(*m_shared).substr(m_sharedSent))
                                      : sendBytes(std::string_view(m_output).substr(m_sent));
        if (count == 0)
            break;
        (isShared ? m_sharedSent : m_sent) += count;
    }
    if (!m_isOpen)
        return;
    if (unsent() == 0) {
        m_output.clear();
        if (m_output.capacity() > maxKeptCapacity)
            m_output.shrink_to_fit();
        m_sent = 0;
        m_shared.reset();
        if (m_isClosing) {
            setLinger(false);
            try {
                m_socket.shutdownSend();
            } catch (const Poco::Exception &) {
                close(); // the peer has already disconnected
                return;
            }
            if (m_isPaused) {
                stopWatchingInput();
                return;
            }
        } else if (m_listener != nullptr) {
            m_listener->onDrained();
        }
    }
    updatePollMode();
}

void TcpStream::onInputClosed()
{
    if (!m_staysOpenAtEnd || m_listener == nullptr) {
        finish(StreamEnd::Closed);
        return;
    }
    m_isInputClosed = true;
    updatePollMode();
    m_listener->onEnd(StreamEnd::Closed);
}

void TcpStream::finish(StreamEnd end)
{
    if (!m_isOpen)
        return;
    StreamListener *listener = m_listener;
    close();
    if (listener != nullptr)
        listener->onEnd(end);
}

std::shared_ptr<Listener> Listener::open(Reactor &reactor, const std::string &address,
                                         Accept accept)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address), true);
    socket.listen(listenBacklog);
    socket.setBlocking(false);
    std::shared_ptr<Listener> listener =
        std::make_shared<Listener>(reactor, socket, std::move(accept));
    reactor.watch(socket, PollSet::POLL_READ, listener);
    return listener;
}

Listener::Listener(Reactor &reactor, const Poco::Net::ServerSocket &socket, Accept accept)
    : m_reactor(reactor)
    , m_socket(socket)
    , m_accept(std::move(accept))
{ }

void Listener::acceptPending()
{
    while (m_isOpen && m_socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ)
           && acceptOne()) { }
}

void Listener::close()
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_reactor.unwatch(m_socket);
    m_socket.close();
}

void Listener::onReady(bool, bool, bool)
{
    const std::shared_ptr<Listener> self = shared_from_this();
    // Accepts one connection per readiness event. The socket stays readable while connections are
    // pending; POCO would throw an exception on an `accept` with none pending.
    acceptOne();
}

bool Listener::acceptOne()
{
    try {
        m_accept(m_socket.acceptConnection());
        return true;
    } catch (const Poco::Exception &error) {
        LOG(WARNING) << "net: cannot accept a connection reason=\"" << error.displayText() << '"';
        return false;
    }
}

} // namespace egretmount::net

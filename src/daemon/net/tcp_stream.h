#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <egretmount/core/clock.h>

#include "net/reactor.h"

namespace egretmount::net {

/// @brief How a connection ended.
enum class StreamEnd {
    Closed, ///< The peer closed its side in order.
    Reset, ///< Reset, refused or timed out.
};

/// @brief The user of a `TcpStream`.
class StreamListener
{
public:
    StreamListener() = default;
    StreamListener(const StreamListener &) = delete;
    StreamListener &operator=(const StreamListener &) = delete;
    virtual ~StreamListener() = default;

    virtual void onConnected() { }
    virtual void onBytes() = 0; ///< New bytes are in `TcpStream::input`.
    virtual void onEnd(StreamEnd end) = 0; ///< Called once; not after `close`.
    virtual void onDrained() { } ///< All written bytes were handed to the kernel.
};

/// @brief A TCP connection with buffers, driven by a reactor.
///
/// Errors never throw: they end the stream. A silent peer is found by short keep-alive probes and
/// by a bound on unacknowledged data.
class TcpStream
    : public SocketWatcher
    , public std::enable_shared_from_this<TcpStream>
{
public:
    /// @brief Starts to connect. The user hears of the outcome later, never during the call.
    static std::shared_ptr<TcpStream> connect(Reactor &reactor, const std::string &address,
                                              StreamListener *listener);

    /// @brief Takes over an accepted connection.
    static std::shared_ptr<TcpStream> adopt(Reactor &reactor, const Poco::Net::StreamSocket &socket,
                                            StreamListener *listener);

    TcpStream(Reactor &reactor, const Poco::Net::StreamSocket &socket, StreamListener *listener);
    ~TcpStream() override;

    /// @brief Bytes received and not taken yet; the user erases what it takes.
    std::string &input() { return m_input; }

    /// @brief Sends bytes, as far as possible at once. Ignored after the end.
    void write(std::string_view bytes);

    /// @brief Bytes written that the kernel has not taken yet.
    std::size_t unsent() const { return m_output.size() - m_sent; }

    /// @brief Ends the stream at once; bytes unsent are lost. The user hears nothing more.
    void close();

    /// @brief Ends the stream with a reset, so that the peer cannot take it for a complete answer.
    void abort();

    /// @brief Sends what is written, closes this side, and waits a moment for the peer to do so:
    ///        a close at once with bytes unread would reset the connection under the last answer.
    void closeGracefully();

    /// @brief Stops or resumes taking bytes off the socket.
    void pauseInput(bool isPaused);

    void setListener(StreamListener *listener) { m_listener = listener; }
    bool isOpen() const { return m_isOpen; }
    bool isConnected() const { return m_isConnected; }
    std::string peerHost() const;

    void onReady(bool isReadable, bool isWritable, bool hasFailed) override;

private:
    void startWatching(int mode);
    void readSome();
    void flush();
    void finish(StreamEnd end);
    void updatePollMode();

    Reactor &m_reactor;
    Poco::Net::StreamSocket m_socket;
    StreamListener *m_listener;
    std::string m_input;
    std::string m_output;
    std::size_t m_sent = 0;
    TimerId m_closeTimer = 0;
    int m_mode = 0;
    bool m_isOpen = true;
    bool m_isConnected = false;
    bool m_isPaused = false;
    bool m_isClosing = false;
};

/// @brief Accepts connections and hands each one to a function.
class Listener
    : public SocketWatcher
    , public std::enable_shared_from_this<Listener>
{
public:
    using Accept = std::function<void(const Poco::Net::StreamSocket &)>;

    /// @throws Poco::Exception if the address cannot be listened on.
    static std::shared_ptr<Listener> open(Reactor &reactor, const std::string &address,
                                          Accept accept);

    Listener(Reactor &reactor, const Poco::Net::ServerSocket &socket, Accept accept);

    void close();
    void onReady(bool isReadable, bool isWritable, bool hasFailed) override;

private:
    Reactor &m_reactor;
    Poco::Net::ServerSocket m_socket;
    Accept m_accept;
    bool m_isOpen = true;
};

} // namespace egretmount::net

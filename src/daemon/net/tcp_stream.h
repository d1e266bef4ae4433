#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <egretmount/core/clock.h>
#include <egretmount/core/names.h>

#include "net/reactor.h"

namespace egretmount::net {

/// @brief Reason for the end of a connection.
enum class StreamEnd {
    Closed, ///< The peer closed its sending side (FIN).
    Reset, ///< The connection was reset or refused.
    TimedOut, ///< The peer stopped responding, or cannot be reached.
};

/// @brief Receives the events of a `TcpStream`.
class StreamListener
{
public:
    StreamListener() = default;
    StreamListener(const StreamListener &) = delete;
    StreamListener &operator=(const StreamListener &) = delete;
    virtual ~StreamListener() = default;

    virtual void onConnected() { }
    virtual void onBytes() = 0; ///< Bytes were appended to `TcpStream::input`.
    /// Called at most once, and never after `close`. `Reset` may follow `Closed` on a stream that
    /// stays open at its end.
    virtual void onEnd(StreamEnd end) = 0;
    virtual void onDrained() { } ///< All written bytes have been handed to the kernel.
};

/// @brief A buffered, non-blocking TCP connection driven by a reactor.
///
/// A listener may drop the stream in any of its callbacks: the stream outlives the member function
/// that calls the listener.
///
/// I/O errors end the stream instead of throwing. A peer that has stopped responding is detected by
/// TCP keep-alive probes and by a time limit on unacknowledged data. On accepted connections, a
/// peer that reads slowly is within that limit as long as it acknowledges anything.
class TcpStream
    : public SocketWatcher
    , public std::enable_shared_from_this<TcpStream>
{
public:
    /// @brief Starts to connect.
    /// @param address `IP:port` of the peer.
    /// @param listener Receives the outcome asynchronously, never during this call.
    static std::shared_ptr<TcpStream> connect(Reactor &reactor, const std::string &address,
                                              StreamListener *listener);

    /// @brief Wraps an accepted connection.
    static std::shared_ptr<TcpStream> adopt(Reactor &reactor, const Poco::Net::StreamSocket &socket,
                                            StreamListener *listener);

    TcpStream(Reactor &reactor, const Poco::Net::StreamSocket &socket, StreamListener *listener);
    ~TcpStream() override;

    /// @brief Buffer of received bytes; the listener erases the bytes that it has consumed.
    std::string &input() { return m_input; }

    /// @brief Sends bytes and buffers what the kernel does not accept immediately. Does nothing
    ///        after the end of the stream. If the connection turns out to have ended, the listener
    ///        receives `onEnd` before this function returns.
    void write(std::string_view bytes);

    /// @brief As `write`, but buffers a reference to the bytes instead of a copy.
    void writeShared(std::shared_ptr<const std::string> bytes);

    /// @brief Returns the number of written bytes that the kernel has not accepted yet.
    std::size_t unsent() const { return m_output.size() - m_sent + unsentShared(); }

    /// @brief Returns whether the kernel has accepted any byte, also after the end of the stream.
    bool hasSent() const { return m_written > unsent(); }

    /// @brief Returns the number of written bytes that the peer has not acknowledged yet; the end
    /// of
    ///        the sending side counts as one byte. Zero after the end of the stream.
    /// @complexity One system call.
    std::size_t undelivered() const;

    /// @brief Returns whether the peer of a closing stream has sent bytes within the last second.
    /// It
    ///        may read what it was sent only afterwards.
    bool isDiscarding() const;

    /// @brief Closes the socket immediately and discards unsent bytes. The listener receives no
    ///        further events.
    void close();

    /// @brief Closes the connection with a reset (RST), so that the peer cannot mistake a truncated
    ///        response for a complete one.
    void abort();

    /// @brief As `close`, but resets the connection if the peer has not acknowledged all output.
    ///
    /// The kernel would deliver output that a network failure holds up seconds after `close`. Where
    /// all has been acknowledged, an ordinary end is repeated until it arrives, unlike a reset.
    void closeWithoutDelivery();

    /// @brief Makes every end of the connection a reset, also one by the kernel because this
    /// process
    ///        is killed. `closeGracefully` ends it properly once all bytes have been sent.
    void resetOnClose();

    /// @brief Flushes the output, shuts down the sending side, and waits about a second for the
    ///        peer to close its side (lingering close). That time begins when the peer has received
    ///        everything and sends no more, at most ten seconds after this call; before that, the
    ///        stream ends if the peer acknowledges nothing for 2.5 seconds.
    ///
    /// Closing a socket with unread input would reset the connection, and the peer could lose the
    /// end of the last response. Input is therefore discarded until then, unless `leaveInput` was
    /// called. The listener receives no further events.
    void closeGracefully();

    /// @brief Reads no further input and only notices the end of the connection.
    ///
    /// A peer may repeat a request that was not read, but not one that was read and discarded.
    void leaveInput() { m_leavesInput = true; }

    /// @brief Keeps the connection when the peer closes its sending side. Output is still sent, and
    ///        a reset that follows is reported.
    ///
    /// A peer that ends its output and then closes with unread input resets the connection.
    void stayOpenAtEnd() { m_staysOpenAtEnd = true; }

    /// @brief Reads what has arrived since the last poll. The listener is called as usual.
    void receive();

    /// @brief Stops or resumes reading from the socket, which applies backpressure to the peer.
    void pauseInput(bool isPaused);

    void setListener(StreamListener *listener) { m_listener = listener; }
    bool isOpen() const { return m_isOpen; }
    bool isConnected() const { return m_isConnected; }

    /// @brief Returns the IP address of the peer for log lines, or "unknown".
    std::string peerHost() const;

    void onReady(bool isReadable, bool isWritable, bool hasFailed) override;

private:
    std::size_t unsentShared() const { return m_shared ? m_shared->size() - m_sharedSent : 0; }

    /// @brief Passes bytes to the kernel. Returns how many it has accepted; zero also if the stream
    ///        has ended.
    std::size_t sendBytes(std::string_view bytes);
    void setLinger(bool isEnabled);

    /// @brief Counts output that is about to be buffered, and watches its delivery.
    void recordOutput(std::size_t bytes);
    void startDeliveryTimer();

    /// @brief Ends the stream if its peer acknowledges nothing, or has received everything of a
    ///        closing stream.
    void checkDelivery();
    void startWatching(int mode);
    void readSome();

    /// @brief Finds out whether the peer has closed its side, without reading input.
    void checkForEnd();
    void stopWatchingInput();

    /// @brief Gives a peer that still sends time to finish.
    void discardedInput();
    void flush();
    void onInputClosed();
    void finish(StreamEnd end);
    void updatePollMode();

    Reactor &m_reactor;
    Poco::Net::StreamSocket m_socket;
    StreamListener *m_listener;
    std::string m_input;
    std::string m_output;
    std::size_t m_sent = 0; ///< Of `m_output`.
    std::shared_ptr<const std::string> m_shared; ///< Output that follows `m_output`.
    std::size_t m_sharedSent = 0;
    TimerId m_deliveryTimer = 0; ///< Runs while output is on its way, and while closing.
    std::size_t m_written = 0; ///< Total of all output.
    std::size_t m_delivered = 0; ///< Part of it that the peer had acknowledged at the last check.
    Milliseconds m_deliveredAt; ///< When `m_delivered` last rose, or input was last discarded.
    Milliseconds m_closingSince;
    int m_mode = 0;
    bool m_isOpen = true;
    bool m_isConnected = false;
    bool m_isPaused = false;
    bool m_isAccepted = false;
    bool m_isClosing = false;
    bool m_leavesInput = false;
    bool m_staysOpenAtEnd = false;
    bool m_isInputClosed = false; ///< The peer has closed its sending side, and the socket is kept.
    bool m_isDiscarding = false; ///< The peer has sent bytes since `closeGracefully`.
};

/// @brief Accepts connections and passes each of them to a callback.
class Listener
    : public SocketWatcher
    , public std::enable_shared_from_this<Listener>
{
public:
    using Accept = std::function<void(const Poco::Net::StreamSocket &)>;

    /// @brief Listens on an address, `IP:port`.
    /// @throws Poco::Exception if the address cannot be bound or listened on.
    static std::shared_ptr<Listener> open(Reactor &reactor, const std::string &address,
                                          Accept accept);

    Listener(Reactor &reactor, const Poco::Net::ServerSocket &socket, Accept accept);

    /// @brief Accepts the connections that the kernel has already established.
    void acceptPending();
    void close();
    void onReady(bool isReadable, bool isWritable, bool hasFailed) override;

private:
    bool acceptOne();

    Reactor &m_reactor;
    Poco::Net::ServerSocket m_socket;
    Accept m_accept;
    bool m_isOpen = true;
};

} // namespace egretmount::net

template<>
struct egretmount::NameTable<egretmount::net::StreamEnd>
{
    using StreamEnd = egretmount::net::StreamEnd;
    static constexpr std::array<NameEntry<StreamEnd>, 3> entries { {
        { StreamEnd::Closed, "closed" },
        { StreamEnd::Reset, "reset" },
        { StreamEnd::TimedOut, "timed-out" },
    } };
};

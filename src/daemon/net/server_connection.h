#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <egretmount/core/digest.h>
#include <egretmount/fleet/configuration.h>
#include <egretmount/http/body.h>
#include <egretmount/http/head.h>
#include <egretmount/limits/body_memory.h>

#include "net/reactor.h"
#include "net/tcp_stream.h"

namespace egretmount::net {

class ServerConnection;

/// @brief The body of a request.
struct RequestBody
{
    std::string bytes;
    Digest digest {}; ///< SHA-256 of the bytes.
    limits::BodyReservation reservation {}; ///< Of the memory that the bytes take.
};

/// @brief Handles the requests of all connections that one listening address accepts.
class RequestHandler
{
public:
    RequestHandler() = default;
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;
    virtual ~RequestHandler() = default;

    /// @brief Called when a request has arrived completely. The handler sends exactly one response,
    ///        during the call or later.
    virtual void onRequest(const std::shared_ptr<ServerConnection> &connection,
                           http::RequestHead head, RequestBody body) = 0;

    /// @brief Returns the current size and time limits for requests. The default is for handlers
    ///        that ignore bodies.
    virtual fleet::CallerLimits limits() const;

    /// @brief Returns the memory that the bodies of requests may take; null: it is not limited.
    virtual std::shared_ptr<limits::BodyMemory> bodyMemory() const { return nullptr; }

    /// @brief Returns the header fields of the response to a request that is refused with status
    ///        503 because its body takes too much memory.
    virtual std::string outOfMemoryFields(const http::RequestHead &) { return {}; }

    /// @brief Returns true during shutdown: connections are then closed after the current response
    ///        and those to pipelined requests.
    virtual bool isStopping() const { return false; }

    /// @brief Called when a request is rejected before it has arrived completely.
    /// @param status HTTP status of the response.
    virtual void onRefused(int status, std::string_view reason);
};

/// @brief Server side of one HTTP/1 connection. Requests are processed one at a time.
class ServerConnection
    : public std::enable_shared_from_this<ServerConnection>
    , private StreamListener
{
public:
    /// @brief Serves an accepted connection. The connection owns itself until it ends.
    static std::weak_ptr<ServerConnection>
    serve(Reactor &reactor, const Poco::Net::StreamSocket &socket, RequestHandler &handler);

    ServerConnection(Reactor &reactor, RequestHandler &handler);
    ~ServerConnection() override;

    /// @brief Sets the listener that is called if the caller disconnects before the response is
    ///        complete. It applies to the current request only.
    void onDisconnect(std::function<void()> listener)
    {
        m_disconnectListener = std::move(listener);
    }

    /// @brief Sets the listener that is called when the kernel has accepted all bytes of the
    /// current
    ///        response that were sent so far.
    void onDrain(std::function<void()> listener) { m_drainListener = std::move(listener); }

    /// @brief Sends a complete response.
    /// @param fields Header fields, each with its CRLF, without the framing fields.
    void respond(int status, std::string_view reason, std::string_view fields,
                 std::string_view body);

    /// @brief Begins a response of unknown length, to be followed by calls of `sendChunk` and one
    ///        of `endResponse`.
    void beginResponse(int status, std::string_view reason, std::string_view fields);
    void sendChunk(std::string_view bytes);
    void endResponse();

    /// @brief Closes the connection in such a way that the caller sees the current response as
    ///        incomplete.
    void abortResponse();

    /// @brief Returns the number of response bytes that are buffered because the caller reads too
    ///        slowly.
    std::size_t unsent() const { return m_stream ? m_stream->unsent() : 0; }

    /// @brief Closes the connection if it has no request in progress and none has arrived.
    void closeIfIdle();

    /// @brief Refuses a request that has arrived in part. Does nothing in other states.
    void refuseIncomplete(int status);

    /// @brief Returns the connection's stream, which may live longer to deliver its output.
    std::weak_ptr<TcpStream> stream() const { return m_stream; }

    bool isOpen() const { return m_phase != Phase::Closed; }

    /// @brief Returns how long the connection has had no request; zero if it has one.
    Milliseconds idleTime() const;

private:
    enum class Phase {
        Idle,
        Head,
        Body,
        Responding,
        Closed,
    };

    void onBytes() override;
    void onEnd(StreamEnd end) override;
    void onDrained() override;

    void read();
    bool readHead();
    bool readBody();
    void refuse(int status, std::string_view reason, std::string_view fields = {});

    /// @brief Reserves memory for the body. Refuses the request and returns false if there is too
    ///        little.
    bool reserveMemory(std::size_t bytes);
    void finishResponse();

    /// @brief Decides whether the connection is closed after the response that begins.
    void decideKeepAlive(bool hasFraming);

    void setTimer(Milliseconds delay, int status);
    std::string headText(int status, std::string_view reason, std::string_view fields) const;

    Reactor &m_reactor;
    RequestHandler &m_handler;
    std::shared_ptr<TcpStream> m_stream;
    std::shared_ptr<ServerConnection> m_self; ///< Keeps this object alive until it closes.
    std::function<void()> m_disconnectListener;
    std::function<void()> m_drainListener;
    Phase m_phase = Phase::Idle;
    fleet::CallerLimits m_limits;
    http::RequestHead m_head;
    http::BodyReader m_reader;
    std::string m_body;
    DigestStream m_bodyDigest;
    limits::BodyReservation m_reservation;
    TimerId m_timer = 0;
    Milliseconds m_idleSince;
    bool m_keepsAlive = true;
    bool m_isChunked = true;
    bool m_isHeadRequest = false; ///< The response has no body because of the request's method.
    bool m_isReading = false;
    bool m_isRefused = false; ///< A part of the current request stays unread.
};

} // namespace egretmount::net

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <egretmount/fleet/configuration.h>
#include <egretmount/http/body.h>
#include <egretmount/http/head.h>

#include "net/reactor.h"
#include "net/tcp_stream.h"

namespace egretmount::net {

class ServerConnection;

/// @brief Answers the requests of the connections of one listening address.
class RequestHandler
{
public:
    RequestHandler() = default;
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;
    virtual ~RequestHandler() = default;

    /// @brief A whole request has arrived. The handler answers it once, now or later.
    virtual void onRequest(const std::shared_ptr<ServerConnection> &connection,
                           http::RequestHead head, std::string body) = 0;

    /// @brief What callers may send at present.
    virtual fleet::CallerLimits limits() const { return {}; }

    /// @brief True if connections are to be closed after the answer in hand.
    virtual bool isStopping() const { return false; }

    /// @brief A request was refused before it was whole. @param status What was answered.
    virtual void onRefused(int status, std::string_view reason);
};

/// @brief One connection of a caller: reads requests one after the other, writes their answers.
class ServerConnection
    : public std::enable_shared_from_this<ServerConnection>
    , private StreamListener
{
public:
    /// @brief Serves an accepted connection until it ends.
    static std::weak_ptr<ServerConnection>
    serve(Reactor &reactor, const Poco::Net::StreamSocket &socket, RequestHandler &handler);

    ServerConnection(Reactor &reactor, RequestHandler &handler);
    ~ServerConnection() override;

    /// @brief Registers who hears that the caller has left before the answer was complete.
    void onDisconnect(std::function<void()> listener) { m_disconnectListener = std::move(listener); }

    /// @brief Sends a whole answer.
    /// @param fields Header fields with their line ends; no framing fields.
    void respond(int status, std::string_view reason, std::string_view fields,
                std::string_view body);

    /// @brief Begins an answer whose length is not known; `sendChunk` and `endResponse` follow.
    void beginResponse(int status, std::string_view reason, std::string_view fields);
    void sendChunk(std::string_view bytes);
    void endResponse();

    /// @brief Ends the connection so that the answer under way cannot look complete.
    void abortResponse();

    /// @brief Bytes of the answer that the caller has not taken yet.
    std::size_t unsent() const { return m_stream ? m_stream->unsent() : 0; }

    /// @brief Closes the connection now if no request is under way on it.
    void closeIfIdle();

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

    void read();
    bool readHead();
    bool readBody();
    void refuse(int status, std::string_view reason);
    void finishResponse();
    void setTimer(Milliseconds delay, int status);
    std::string headText(int status, std::string_view reason, std::string_view fields) const;

    Reactor &m_reactor;
    RequestHandler &m_handler;
    std::shared_ptr<TcpStream> m_stream;
    std::shared_ptr<ServerConnection> m_self; ///< Kept until the connection ends.
    std::function<void()> m_disconnectListener;
    Phase m_phase = Phase::Idle;
    fleet::CallerLimits m_limits;
    http::RequestHead m_head;
    http::BodyReader m_reader;
    std::string m_body;
    TimerId m_timer = 0;
    bool m_keepsAlive = true;
    bool m_isChunked = true;
    bool m_isReading = false;
};

} // namespace egretmount::net

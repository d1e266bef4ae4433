#pragma once

#include <functional>
#include <memory>
#include <string>

#include <egretmount/http/body.h>
#include <egretmount/http/head.h>

#include "net/reactor.h"
#include "net/tcp_stream.h"

namespace egretmount::net {

/// @brief Which encodings of response bodies a client accepts.
enum class BodyEncoding {
    Identity,
    Deflate, ///< Also compressed bodies, which it decompresses.
};

/// @brief An asynchronous HTTP client for one server, with one persistent connection and at most
///        one request at a time.
///
/// A request that is started while another one is in progress fails; the other one goes on. A
/// request that finds its kept connection closed, before any of it is sent, uses a new connection.
class HttpClient : private StreamListener
{
public:
    /// @brief Receives the status and body of the response, or status 0 if the request failed.
    ///
    /// Called once, not before the function that starts the request has returned, and not after the
    /// destruction of the client. It may start a request or destroy the client.
    using Done = std::function<void(int status, std::string body)>;

    /// @param address `IP:port` of the server.
    HttpClient(Reactor &reactor, std::string address,
               BodyEncoding accepted = BodyEncoding::Identity);
    ~HttpClient() override;

    /// @brief Starts a GET request.
    /// @param target Path and query.
    /// @param timeout After this time the request fails and the connection is closed.
    void get(const std::string &target, Milliseconds timeout, Done done);

    /// @brief Starts a POST request with a JSON body.
    void post(const std::string &target, const std::string &json, Milliseconds timeout, Done done);

    /// @brief Fails the request in progress, if any, and closes the connection.
    void cancel();

    /// @brief Sets the greatest length of a response body; a request with a longer one fails.
    void setMaxBody(std::size_t bytes) { m_maxBodyBytes = bytes; }

    /// @brief Returns the head of the response to the last request; its status is zero if no head
    ///        was received.
    const http::ResponseHead &responseHead() const { return m_head; }

    /// @brief Returns whether the last request had a connection.
    bool hasConnected() const { return m_hasConnected; }

    /// @brief Returns whether the server ended the connection of the last request before it had
    ///        responded; it was there at that moment.
    bool wasEndedByServer() const { return m_wasEndedByServer; }

    bool isBusy() const { return static_cast<bool>(m_done); }

private:
    void onConnected() override;
    void onBytes() override;
    void onEnd(StreamEnd end) override;
    void startRequest(std::string request, Milliseconds timeout, Done done);
    void rejectRequest(const std::string &request, Done done);

    /// @brief Writes the request on the kept connection. Returns false if it has ended, and nothing
    ///        of the request was sent.
    bool writeOnKept();
    void startTimer(Milliseconds timeout);
    void fail();
    void finish(int status);
    bool decodeBody();

    Reactor &m_reactor;
    std::string m_address;
    BodyEncoding m_accepted;
    // Several times the size of the largest page of a listing.
    std::size_t m_maxBodyBytes = 16UL * 1024 * 1024;
    std::shared_ptr<TcpStream> m_stream;
    std::string m_request;
    Done m_done;
    TimerId m_timer = 0;
    http::ResponseHead m_head;
    bool m_hasConnected = false;
    bool m_wasEndedByServer = false;
    bool m_hasHead = false;
    bool m_isStarting = false; ///< A request is being written on a kept connection.
    http::BodyReader m_reader;
    std::string m_body;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace egretmount::net

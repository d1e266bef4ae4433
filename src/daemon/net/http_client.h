#pragma once

#include <functional>
#include <memory>
#include <string>

#include <egretmount/http/body.h>
#include <egretmount/http/head.h>

#include "net/reactor.h"
#include "net/tcp_stream.h"

namespace egretmount::net {

/// @brief Calls to one HTTP server over one kept connection, one call at a time.
class HttpClient : private StreamListener
{
public:
    /// @brief Hears the outcome of a call: a status and a body, or status 0 if none came.
    using Done = std::function<void(int status, std::string body)>;

    HttpClient(Reactor &reactor, std::string address);
    ~HttpClient() override;

    /// @brief Starts a GET. @pre No call is under way.
    /// @param timeout After this the call counts as failed and the connection is dropped.
    void get(const std::string &target, Milliseconds timeout, Done done);

    /// @brief Starts a POST of a JSON body. @pre No call is under way.
    void post(const std::string &target, const std::string &json, Milliseconds timeout, Done done);

    /// @brief Ends the call under way, if any, as failed, and drops the connection.
    void cancel();

    bool isBusy() const { return static_cast<bool>(m_done); }

private:
    void onConnected() override;
    void onBytes() override;
    void onEnd(StreamEnd end) override;
    void startRequest(std::string request, Milliseconds timeout, Done done);
    void fail();
    void finish(int status);

    Reactor &m_reactor;
    std::string m_address;
    std::shared_ptr<TcpStream> m_stream;
    std::string m_request;
    Done m_done;
    TimerId m_timer = 0;
    http::ResponseHead m_head;
    bool m_hasHead = false;
    http::BodyReader m_reader;
    std::string m_body;
};

} // namespace egretmount::net

#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <egretmount/core/clock.h>

#include "http/body_stream.h"

namespace egretmount::http {

/// @brief One blocking HTTP call on a dedicated connection.
///
/// Each call uses a new connection and never reconnects, so the request reaches the server at most
/// once. `abort` may be called from any thread and makes pending reads and writes fail immediately.
class ClientCall
{
public:
    /// @param address `IP:port` of the server.
    explicit ClientCall(const std::string &address);
    ~ClientCall();

    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    /// @brief Connects to the server.
    /// @param connectTimeout Time limit for establishing the connection.
    /// @param ioTimeout Time limit for each later read and write.
    /// @throws Poco::Exception on failure; no byte of the request has then been sent.
    void connect(Milliseconds connectTimeout, Milliseconds ioTimeout);

    /// @brief Sends the request. @pre Connected.
    /// @throws Poco::Exception on failure; the server may then have received part of the request.
    void send(Poco::Net::HTTPRequest &request, const std::string &body);

    /// @brief Same as above for a body in several buffers, which are sent without being
    ///        concatenated.
    void send(Poco::Net::HTTPRequest &request, const std::vector<std::string_view> &body);

    /// @brief Waits for the head of the response.
    /// @return A stream from which to read the body; it fails with `badbit` within a body that
    ///         breaks off.
    /// @throws Poco::Exception on failure or after the I/O timeout.
    std::istream &receive(Poco::Net::HTTPResponse &response);

    /// @brief Reads the rest of the body.
    /// @throws Poco::Exception if the body is not proven whole (see `BodyBuffer`) or too long.
    std::string readBody(std::size_t maxBytes = std::string::npos);

    /// @brief Aborts the call from any thread. Later calls of `connect` fail.
    void abort();

    bool isAborted() const;

private:
    void checkAborted() const;

    Poco::Net::SocketAddress m_address;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session; // set once connected
    std::unique_ptr<BodyStream> m_body; // set once the head has been received
    std::string m_method;
    mutable std::mutex m_mutex;
    bool m_isAborted = false; // guarded by m_mutex
    bool m_isOpen = false; // guarded by m_mutex
    Poco::Net::StreamSocket m_socket; // guarded by m_mutex
};

/// @brief A complete response.
struct Reply
{
    Poco::Net::HTTPResponse response;
    std::string body;

    int status() const { return static_cast<int>(response.getStatus()); }
};

/// @brief Makes one call and reads the complete response.
/// @param timeout Time limit for establishing the connection and for each read and write.
/// @throws Poco::Exception on any failure.
std::unique_ptr<Reply> fetch(const std::string &address, Poco::Net::HTTPRequest &request,
                             const std::string &body, Milliseconds timeout);

/// @brief Same as above for a GET request for a path.
std::unique_ptr<Reply> fetch(const std::string &address, const std::string &path,
                             Milliseconds timeout);

} // namespace egretmount::http

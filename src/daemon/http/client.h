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

namespace egretmount::http {

/// @brief One HTTP call on a connection of its own.
///
/// A fresh connection is used for every call and never reconnected, so the request reaches the
/// server at most once. `abort` may be called from any thread; it makes reads and writes fail at
/// once.
class ClientCall
{
public:
    /// @param address `IP:port` of the server.
    explicit ClientCall(const std::string &address);
    ~ClientCall();

    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    /// @brief Connects.
    /// @param connectTimeout Bound of the connection set-up.
    /// @param ioTimeout Bound of each later read and write.
    /// @throws Poco::Exception if that fails: no byte of a request has been sent.
    void connect(Milliseconds connectTimeout, Milliseconds ioTimeout);

    /// @brief Sends the request. @pre Connected.
    /// @throws Poco::Exception on failure: part of the request may have arrived.
    void send(Poco::Net::HTTPRequest &request, const std::string &body);

    /// @brief The same with a body in parts, which are not copied together.
    void send(Poco::Net::HTTPRequest &request, const std::vector<std::string_view> &body);

    /// @brief Waits for the head of the response. @return The stream of its body.
    /// @throws Poco::Exception on failure or after the I/O timeout.
    std::istream &receive(Poco::Net::HTTPResponse &response);

    /// @brief Ends the call from any thread. Later calls of `connect` fail.
    void abort();

    bool isAborted() const;

private:
    void checkAborted() const;

    Poco::Net::SocketAddress m_address;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session; // set once connected
    mutable std::mutex m_mutex;
    bool m_isAborted = false; // guarded by m_mutex
    bool m_isOpen = false; // guarded by m_mutex
    Poco::Net::StreamSocket m_socket; // guarded by m_mutex
};

/// @brief A whole response.
struct Reply
{
    Poco::Net::HTTPResponse response;
    std::string body;

    int status() const { return static_cast<int>(response.getStatus()); }
};

/// @brief One short call with a whole answer.
/// @param timeout Bound of the connection set-up and of each read and write.
/// @throws Poco::Exception on any failure.
std::unique_ptr<Reply> fetch(const std::string &address, Poco::Net::HTTPRequest &request,
                             const std::string &body, Milliseconds timeout);

/// @brief The same for a GET of a path.
std::unique_ptr<Reply> fetch(const std::string &address, const std::string &path,
                             Milliseconds timeout);

} // namespace egretmount::http

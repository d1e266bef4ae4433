#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>

namespace egretmount::tests {

/// @brief A server that answers its first request with a kept connection, and closes every later
///        connection after it has read the request, without an answer.
class ClosingServer
{
public:
    explicit ClosingServer(const std::string &address);
    ~ClosingServer();

    ClosingServer(const ClosingServer &) = delete;
    ClosingServer &operator=(const ClosingServer &) = delete;

    /// @brief Requests read so far.
    int requests() const { return m_requests; }

private:
    void run();
    void serve(Poco::Net::StreamSocket socket);

    Poco::Net::ServerSocket m_socket;
    std::atomic<int> m_requests { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace egretmount::tests

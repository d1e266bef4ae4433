#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <egretmount/http/body.h>

#include "support/test_cluster.h"

namespace egretmount::tests {

/// @brief Port of raw targets: one of those from which `Nodes::setCut` cuts an instance off.
constexpr int rawPort = 9'090;

/// @brief How a raw target ends a connection after its response.
enum class End {
    Fin,
    Reset,
    CloseUnread, ///< Closes it at once, which resets it if a part of the request is unread.
    FinThenReset, ///< Ends its output, and resets the connection after `resetDelay`.
    FinThenRead, ///< Ends its output, and reads until the peer ends the connection.
};

struct RawResponse
{
    std::string bytes; ///< Sent as it is; `%ID` stands for the request's id.
    End end = End::Fin;
    Milliseconds resetDelay {};
};

/// @brief A target that sends given bytes, one request for each connection. The handler is called
///        on a thread for each connection.
class RawTarget
{
public:
    using Handler = std::function<RawResponse(const std::string &request)>;

    /// @param readBytes Of a request; the target responds once it has read that much.
    RawTarget(const std::string &address, Handler handler, std::size_t readBytes)
        : m_handler(std::move(handler))
        , m_readBytes(readBytes)
    {
        const std::size_t colon = address.find(':');
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &name.sin_addr);
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0);
        REQUIRE(listen(m_listener, 64) == 0);
        m_thread = std::thread([this] { run(); });
    }

    ~RawTarget()
    {
        m_isStopping = true;
        m_thread.join();
        for (std::thread &connection : m_connections)
            connection.join();
        ::close(m_listener);
    }

private:
    void run()
    {
        while (!m_isStopping) {
            pollfd watched { m_listener, POLLIN, 0 };
            if (poll(&watched, 1, 20) > 0) {
                const int connection = accept(m_listener, nullptr, nullptr);
                m_connections.emplace_back([this, connection] { serve(connection); });
            }
        }
    }

    void serve(int connection)
    {
        const timeval limit { 1, 0 };
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::string request;
        char buffer[4096];
        while (!isWhole(request) && request.size() < m_readBytes) {
            const std::size_t wanted = std::min(sizeof buffer, m_readBytes - request.size());
            const ssize_t count = recv(connection, buffer, wanted, 0);
            if (count <= 0)
                break;
            request.append(buffer, static_cast<std::size_t>(count));
        }
        RawResponse response = m_handler(request);
        const std::size_t mark = response.bytes.find("%ID");
        const std::size_t start = request.find("Request-Id: ");
        if (mark != std::string::npos && start != std::string::npos)
            response.bytes.replace(
                mark, 3, request.substr(start + 12, request.find('\r', start) - start - 12));
        send(connection, response.bytes.data(), response.bytes.size(), MSG_NOSIGNAL);
        if (response.end != End::CloseUnread)
            usleep(20'000); // a reset would discard what the peer has not read
        if (response.end == End::FinThenReset || response.end == End::FinThenRead)
            shutdown(connection, SHUT_WR);
        if (response.end == End::FinThenRead) {
            while (recv(connection, buffer, sizeof buffer, 0) > 0) { }
        }
        usleep(static_cast<useconds_t>(response.resetDelay.count() * 1'000));
        if (response.end == End::Reset || response.end == End::FinThenReset) {
            const linger reset { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        ::close(connection);
    }

    static bool isWhole(const std::string &request)
    {
        const std::size_t end = request.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        const std::size_t length = request.find("Content-Length: ");
        const std::size_t bytes = length < end ? std::stoul(request.substr(length + 16)) : 0;
        return request.size() >= end + 4 + bytes;
    }

    Handler m_handler;
    std::size_t m_readBytes;
    int m_listener = -1;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
    std::vector<std::thread> m_connections; ///< Only `m_thread` adds any.
};

inline bool isReport(const std::string &request)
{
    return request.find("GET /v1/report") == 0;
}

inline bool isResumed(const std::string &request)
{
    return request.find("Last-Event-Id: ") != std::string::npos;
}

inline const std::string plainHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\nResponse-Signature: s\r\n";
inline const std::string streamHead = plainHead + "Content-Type: text/event-stream\r\n";
inline const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string &text)
{
    std::string out;
    http::appendChunk(out, text);
    return out;
}

inline std::string events(const std::vector<std::string> &ids)
{
    std::string text;
    for (const std::string &id : ids)
        text += "id: " + id + "\ndata: " + id + "\n\n";
    return text;
}

inline CallerRequest streamRequest(const std::string &id, const std::string &route = "stream")
{
    CallerRequest request;
    request.target = '/' + route + "/x";
    request.id = id;
    request.body = "prompt";
    return request;
}

/// @brief A cluster whose targets of one service are raw ones.
struct RawCluster : TestCluster
{
    std::vector<std::unique_ptr<RawTarget>> raw;

    RawCluster(int subnet, const std::vector<int> &numbers, const RawTarget::Handler &handler,
               int instances = 1, std::size_t readBytes = std::numeric_limits<std::size_t>::max())
        : TestCluster(subnet, instances, 2, 1)
    {
        REQUIRE(isReady);
        for (const int number : numbers) {
            const std::string address = standIn.address(100 + number, rawPort);
            raw.push_back(std::make_unique<RawTarget>(address, handler, readBytes));
            standIn.setEntryAddress(number, address);
            standIn.writeEntry(number, "ready");
        }
        usleep(500'000);
    }
};

} // namespace egretmount::tests

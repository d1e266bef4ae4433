#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

// Sockets and HTTP/1.1 messages for the stand-ins of the review.

namespace review {

inline std::int64_t nowMs()
{
    timespec time {};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000;
}

inline std::int64_t unixMs()
{
    timespec time {};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000;
}

inline void sleepMs(std::int64_t milliseconds)
{
    if (milliseconds > 0)
        usleep(static_cast<useconds_t>(milliseconds * 1'000));
}

inline sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &name.sin_addr);
    return name;
}

/// @brief An HTTP message. Names of fields are in lower case.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::string body;
    bool isComplete = false;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    /// @brief Returns the second word of the start line: the target of a request, or the status.
    std::string secondWord() const
    {
        const std::size_t first = startLine.find(' ');
        if (first == std::string::npos)
            return {};
        return startLine.substr(first + 1, startLine.find(' ', first + 1) - first - 1);
    }

    int status() const
    {
        const std::string text = secondWord();
        return text.empty() ? 0 : std::atoi(text.c_str());
    }
};

/// @brief Blocking connection with time limits.
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { close(); }

    /// @return Null if the connection was not established in time.
    static std::unique_ptr<Connection> open(const std::string &address, std::int64_t timeoutMs)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        std::unique_ptr<Connection> connection = std::make_unique<Connection>(socket);
        const timeval limit { timeoutMs / 1'000, timeoutMs % 1'000 * 1'000 };
        setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        const sockaddr_in name = socketAddress(address);
        if (connect(socket, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0)
            return nullptr;
        return connection;
    }

    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// @brief Reads a message. It is incomplete if the connection ends or the time is over.
    Message read(std::int64_t timeoutMs)
    {
        const std::int64_t until = nowMs() + timeoutMs;
        Message message;
        std::size_t end = m_input.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!receive(until))
                return message;
            end = m_input.find("\r\n\r\n");
        }
        parseHead(message, m_input.substr(0, end));
        m_input.erase(0, end + 4);
        if (message.field("transfer-encoding") == "chunked") {
            readChunks(message, until);
            return message;
        }
        const std::string length = message.field("content-length");
        const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
        while (m_input.size() < bytes) {
            if (!receive(until)) {
                message.body = m_input;
                return message;
            }
        }
        message.body = m_input.substr(0, bytes);
        m_input.erase(0, bytes);
        message.isComplete = true;
        return message;
    }

    /// @brief Returns whether the peer has ended the connection.
    bool hasEnded() const
    {
        char byte = 0;
        const ssize_t count = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// @brief Wakes up the thread that reads or writes, which then closes the connection.
    void shutDown() { shutdown(m_socket, SHUT_RDWR); }

    void resetOnClose()
    {
        const linger reset { 1, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    bool receive(std::int64_t until)
    {
        const std::int64_t left = until - nowMs();
        pollfd watched { m_socket, POLLIN, 0 };
        if (left <= 0 || poll(&watched, 1, static_cast<int>(left)) <= 0)
            return false;
        char buffer[16'384];
        const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        m_input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    static void parseHead(Message &message, const std::string &head)
    {
        std::size_t start = head.find("\r\n");
        message.startLine = head.substr(0, start);
        while (start != std::string::npos) {
            const std::size_t next = head.find("\r\n", start + 2);
            const std::string line = head.substr(start + 2, next - start - 2);
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields[name] = value == std::string::npos ? std::string() : line.substr(value);
            start = next;
        }
    }

    void readChunks(Message &message, std::int64_t until)
    {
        while (true) {
            std::size_t end = m_input.find("\r\n");
            while (end == std::string::npos) {
                if (!receive(until))
                    return;
                end = m_input.find("\r\n");
            }
            const std::size_t size = std::stoul(m_input.substr(0, end), nullptr, 16);
            while (m_input.size() < end + 4 + size) {
                if (!receive(until))
                    return;
            }
            message.body += m_input.substr(end + 2, size);
            m_input.erase(0, end + 4 + size);
            if (size == 0) {
                message.isComplete = true;
                return;
            }
        }
    }

    int m_socket;
    std::string m_input;
};

/// @brief Accepts connections and serves each one on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;

    explicit Listener(Serve serve)
        : m_serve(std::move(serve))
    { }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener() { stop(false); }

    bool start(const std::string &address)
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in name = socketAddress(address);
        if (bind(m_socket, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0
            || listen(m_socket, 512) != 0)
            return false;
        m_isRunning = true;
        m_thread = std::thread([this] { run(); });
        return true;
    }

    /// @brief Closes the port and ends all connections, as the end of a process does.
    void stop(bool resets)
    {
        if (!m_isRunning.exchange(false))
            return;
        m_thread.join();
        ::close(m_socket);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const std::shared_ptr<Connection> &connection : m_connections) {
                if (resets)
                    connection->resetOnClose();
                connection->shutDown();
            }
        }
        for (std::thread &thread : m_threads)
            thread.join();
    }

    bool isRunning() const { return m_isRunning; }

    /// @brief Ends the connections that are open now. The port stays open.
    void endConnections()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const std::shared_ptr<Connection> &connection : m_connections)
            connection->shutDown();
    }

private:
    void run()
    {
        while (m_isRunning) {
            pollfd watched { m_socket, POLLIN, 0 };
            if (poll(&watched, 1, 20) <= 0)
                continue;
            const int accepted = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const std::shared_ptr<Connection> connection = std::make_shared<Connection>(accepted);
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_connections.push_back(connection);
            m_threads.emplace_back([this, connection] {
                m_serve(*connection);
                const std::lock_guard<std::mutex> ended(m_mutex);
                m_connections.erase(
                    std::remove(m_connections.begin(), m_connections.end(), connection),
                    m_connections.end());
                connection->close();
            });
        }
    }

    Serve m_serve;
    int m_socket = -1;
    std::atomic<bool> m_isRunning = false;
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections; // guarded by m_mutex
    std::vector<std::thread> m_threads; // guarded by m_mutex while the listener runs
};

} // namespace review

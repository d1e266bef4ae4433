// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and clients of the review cases.

#pragma once

#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
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

namespace review {

/// @brief Milliseconds of the steady clock.
inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t time)
{
    if (time > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

inline sockaddr_in socketName(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &name.sin_addr);
    return name;
}

/// @brief Options of a client's connection: small windows and segments, as on a real link.
struct LinkOptions
{
    int receiveBufferBytes = 0; ///< Zero: the system's default.
    int maxSegmentBytes = 0; ///< Zero: the system's default.
};

/// @brief Returns a connected socket, or -1.
inline int connectTo(const std::string &address, const LinkOptions &link = {},
                     const std::string &from = {})
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (link.receiveBufferBytes > 0)
        setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &link.receiveBufferBytes, sizeof(int));
    if (link.maxSegmentBytes > 0)
        setsockopt(handle, IPPROTO_TCP, TCP_MAXSEG, &link.maxSegmentBytes, sizeof(int));
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (!from.empty()) {
        const sockaddr_in own = socketName(from + ":0");
        bind(handle, reinterpret_cast<const sockaddr *>(&own), sizeof own);
    }
    const sockaddr_in name = socketName(address);
    if (connect(handle, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

inline bool sendAll(int handle, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// @brief A request or a response.
struct Message
{
    std::string start; ///< The first line.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool isComplete = false;

    std::string field(const std::string &name) const
    {
        const std::map<std::string, std::string>::const_iterator found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const
    {
        return start.size() > 12 && start.compare(0, 5, "HTTP/") == 0 ? std::atoi(start.c_str() + 9)
                                                                      : 0;
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const std::size_t first = start.find(' ');
        return start.substr(first + 1, start.rfind(' ') - first - 1);
    }
};

/// @brief How a connection ended while a message was awaited.
enum class ReadEnd {
    Message, ///< It did not end.
    Closed,
    Reset,
    TimedOut,
};

/// @brief Reads messages from a connection.
class Reader
{
public:
    explicit Reader(int handle)
        : m_handle(handle)
    { }

    ReadEnd end() const { return m_end; }

    /// @brief Called with the number of body bytes so far; may sleep, as a slow reader does.
    std::function<void(std::size_t)> onProgress;
    std::size_t readBytes = 16 * 1024; ///< Greatest size of one read.

    /// @brief Reads the next message. `isComplete` is false if the connection ends before its end.
    Message read(std::int64_t timeoutMs, bool isResponse, bool hasNoBody = false)
    {
        Message message;
        m_end = ReadEnd::Message;
        const std::int64_t until = steadyMs() + timeoutMs;
        std::size_t headEnd = std::string::npos;
        while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return message;
        }
        parseHead(message, m_input.substr(0, headEnd));
        m_input.erase(0, headEnd + 4);
        if (hasNoBody) {
            message.isComplete = true;
            return message;
        }
        if (message.field("transfer-encoding") == "chunked")
            message.isComplete = readChunks(message, until);
        else if (!message.field("content-length").empty())
            message.isComplete =
                readLength(message, std::stoul(message.field("content-length")), until);
        else if (isResponse)
            message.isComplete = readUntilClose(message, until);
        else
            message.isComplete = true;
        return message;
    }

private:
    bool fill(std::int64_t until)
    {
        const std::int64_t left = until - steadyMs();
        pollfd watched { m_handle, POLLIN, 0 };
        if (left <= 0 || poll(&watched, 1, static_cast<int>(left)) <= 0) {
            m_end = ReadEnd::TimedOut;
            return false;
        }
        std::vector<char> buffer(readBytes);
        const ssize_t count = recv(m_handle, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            m_end = count == 0 ? ReadEnd::Closed : ReadEnd::Reset;
            return false;
        }
        m_input.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }

    static void parseHead(Message &message, const std::string &head)
    {
        std::size_t position = 0;
        while (position <= head.size()) {
            std::size_t end = head.find("\r\n", position);
            if (end == std::string::npos)
                end = head.size();
            const std::string line = head.substr(position, end - position);
            position = end + 2;
            if (message.start.empty()) {
                message.start = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            for (char &letter : name)
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields[name] = value;
        }
    }

    bool readLength(Message &message, std::size_t length, std::int64_t until)
    {
        while (true) {
            const std::size_t count = std::min(length - message.body.size(), m_input.size());
            message.body.append(m_input, 0, count);
            m_input.erase(0, count);
            if (onProgress)
                onProgress(message.body.size());
            if (message.body.size() == length)
                return true;
            if (!fill(until))
                return false;
        }
    }

    bool readChunks(Message &message, std::int64_t until)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_input.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const std::size_t size = std::stoul(m_input.substr(0, lineEnd), nullptr, 16);
            while (m_input.size() < lineEnd + 2 + size + 2) {
                if (!fill(until))
                    return false;
            }
            message.body.append(m_input, lineEnd + 2, size);
            m_input.erase(0, lineEnd + 2 + size + 2);
            if (onProgress)
                onProgress(message.body.size());
            if (size == 0)
                return true;
        }
    }

    bool readUntilClose(Message &message, std::int64_t until)
    {
        message.body += m_input;
        m_input.clear();
        while (fill(until)) {
            message.body += m_input;
            m_input.clear();
        }
        return m_end == ReadEnd::Closed;
    }

    int m_handle;
    std::string m_input;
    ReadEnd m_end = ReadEnd::Message;
};

inline const char *nameOf(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Message:
        return "message";
    case ReadEnd::Closed:
        return "closed";
    case ReadEnd::Reset:
        return "reset";
    case ReadEnd::TimedOut:
        return "timed-out";
    }
    return "";
}

/// @brief A server with a thread for each connection.
class Server
{
public:
    /// @brief Serves one connection; the server closes it afterwards.
    using Serve = std::function<void(int handle)>;

    Server(const std::string &address, Serve serve, const LinkOptions &link = {})
        : m_serve(std::move(serve))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (link.receiveBufferBytes > 0)
            setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &link.receiveBufferBytes, sizeof(int));
        const sockaddr_in name = socketName(address);
        m_isOpen = bind(m_listener, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0
                   && listen(m_listener, 512) == 0;
        if (m_isOpen)
            m_thread = std::thread([this] { run(); });
    }

    ~Server() { stop(); }

    bool isOpen() const { return m_isOpen; }

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
        if (m_listener >= 0)
            ::close(m_listener);
        m_listener = -1;
    }

private:
    void run()
    {
        while (!m_isStopping) {
            pollfd watched { m_listener, POLLIN, 0 };
            if (poll(&watched, 1, 50) <= 0)
                continue;
            const int handle = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                continue;
            const int on = 1;
            setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([serve = m_serve, handle] {
                serve(handle);
                ::close(handle);
            }).detach();
        }
    }

    Serve m_serve;
    int m_listener = -1;
    bool m_isOpen = false;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace review

#include "support/closing_server.h"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace egretmount::tests {

namespace {

constexpr int backlog = 8;
constexpr std::size_t bufferBytes = 4'096;
const Poco::Timespan pollTime(0, 50'000);
const std::string goodAnswer = "HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\n"
                               "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

// The requests of these tests end with the body "{}".
bool isWhole(const std::string &text)
{
    return text.size() > 2 && text.compare(text.size() - 2, 2, "{}") == 0;
}

} // namespace

ClosingServer::ClosingServer(const std::string &address)
{
    m_socket.bind(Poco::Net::SocketAddress(address), true, false);
    m_socket.listen(backlog);
    m_thread = std::thread([this] { run(); });
}

ClosingServer::~ClosingServer()
{
    m_isStopping = true;
    m_thread.join();
}

void ClosingServer::run()
{
    while (!m_isStopping) {
        if (!m_socket.poll(pollTime, Poco::Net::Socket::SELECT_READ))
            continue;
        try {
            serve(m_socket.acceptConnection());
        } catch (const Poco::Exception &) {
            continue; // the client was faster in closing
        }
    }
}

void ClosingServer::serve(Poco::Net::StreamSocket socket)
{
    std::array<char, bufferBytes> buffer {};
    std::string text;
    while (!m_isStopping) {
        if (!socket.poll(pollTime, Poco::Net::Socket::SELECT_READ))
            continue;
        const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
            return;
        text.append(buffer.data(), static_cast<std::size_t>(count));
        if (!isWhole(text))
            continue;
        text.clear();
        if (++m_requests > 1)
            return socket.close();
        socket.sendBytes(goodAnswer.data(), static_cast<int>(goodAnswer.size()));
    }
}

} // namespace egretmount::tests

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "net/reactor.h"
#include "net/tcp_stream.h"

using namespace egretmount;
using namespace egretmount::literals;

namespace {

constexpr std::size_t responseBytes = 1'500'000;
constexpr int sendBufferBytes = 500'000;
constexpr int receiveBufferBytes = 16'384;
constexpr int readBytes = 4'096;

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

struct Delivery
{
    std::size_t received = 0; ///< Bytes that the peer has read.
    Milliseconds closedAfter; ///< Time until the sender has closed its socket.
};

/// @brief Sends `responseBytes` over a stream that is closed at once.
/// @param readPause Pause of the peer before each read of `readBytes`.
/// @param silence Time after which the peer begins to read.
Delivery deliver(const std::string &address, Milliseconds readPause, Milliseconds silence = {})
{
    net::Reactor reactor;
    std::shared_ptr<net::TcpStream> stream;
    const std::shared_ptr<net::Listener> listener =
        net::Listener::open(reactor, address, [&](const Poco::Net::StreamSocket &socket) {
            Poco::Net::StreamSocket(socket).setSendBufferSize(sendBufferBytes);
            stream = net::TcpStream::adopt(reactor, socket, nullptr);
            stream->write(std::string(responseBytes, 'x'));
            stream->closeGracefully();
        });
    Delivery delivery;
    std::thread peer([&] {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
        socket.setReceiveBufferSize(receiveBufferBytes);
        socket.connect(Poco::Net::SocketAddress(address));
        sleepFor(silence);
        char buffer[readBytes];
        try {
            for (int count = 1; count > 0; delivery.received += static_cast<std::size_t>(count)) {
                sleepFor(readPause);
                count = socket.receiveBytes(buffer, sizeof buffer);
            }
        } catch (const Poco::Exception &) {
            // The sender has given up.
        }
    });
    const Milliseconds start = monotonicNow();
    reactor.every(20_ms, [&] {
        if (stream && !stream->isOpen())
            reactor.stop();
    });
    reactor.run();
    delivery.closedAfter = monotonicNow() - start;
    listener->close();
    peer.join();
    return delivery;
}

} // namespace

// Guards against the end of a response whose reader is slow: the kernel's send buffer may have no
// room for more than a second although the peer reads. Review case 3.
TEST_CASE("a closing stream is delivered to a peer that reads slowly")
{
    const Delivery delivery = deliver("127.0.0.1:18431", 16_ms);
    CHECK(delivery.received == responseBytes);
}

TEST_CASE("a closing stream whose peer reads nothing is closed within seconds")
{
    const Delivery delivery = deliver("127.0.0.1:18432", 0_ms, 6'000_ms);
    CHECK(delivery.closedAfter < 4'500_ms);
}

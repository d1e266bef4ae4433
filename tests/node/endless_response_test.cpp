#include <doctest/doctest.h>

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/raw_target.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 24;
constexpr int callersAtOnce = 20;
// Resident memory that the responses of all these callers may take; the smallest instances have
// 160 MB.
constexpr long maxGrowthMb = 40;

/// @brief A target that sends a beginning and then the same bytes again and again, until its peer
///        closes the connection.
class EndlessTarget
{
public:
    EndlessTarget(const std::string &address, std::string beginning, std::string unit)
        : m_beginning(std::move(beginning))
        , m_unit(std::move(unit))
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

    ~EndlessTarget()
    {
        m_isStopping = true;
        m_thread.join();
        for (std::thread &connection : m_connections)
            connection.join();
        ::close(m_listener);
    }

    int opened() const { return m_opened; }
    int open() const { return m_opened - m_closed; }

private:
    void run()
    {
        while (!m_isStopping) {
            pollfd watched { m_listener, POLLIN, 0 };
            if (poll(&watched, 1, 20) > 0)
                m_connections.emplace_back(
                    [this, connection = accept(m_listener, nullptr, nullptr)] {
                        serve(connection);
                    });
        }
    }

    void serve(int connection)
    {
        const timeval limit { 0, 100'000 };
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        std::string request;
        char buffer[4096];
        while (!m_isStopping && request.find("\r\n\r\n") == std::string::npos) {
            const ssize_t count = recv(connection, buffer, sizeof buffer, 0);
            if (count == 0)
                break;
            if (count > 0)
                request.append(buffer, static_cast<std::size_t>(count));
        }
        if (request.find("Request-Id: ") != std::string::npos) {
            ++m_opened;
            std::string bytes = m_beginning;
            const std::size_t mark = bytes.find("%ID");
            const std::size_t start = request.find("Request-Id: ") + 12;
            if (mark != std::string::npos)
                bytes.replace(mark, 3, request.substr(start, request.find('\r', start) - start));
            if (sendAll(connection, bytes)) {
                while (sendAll(connection, m_unit)) { }
            }
            ++m_closed;
        }
        ::close(connection);
    }

    // Returns false once the peer has closed the connection.
    bool sendAll(int connection, const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count > 0)
                sent += static_cast<std::size_t>(count);
            else if (m_isStopping || (errno != EAGAIN && errno != EWOULDBLOCK))
                return false;
        }
        return true;
    }

    std::string m_beginning;
    std::string m_unit;
    int m_listener = -1;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_opened = 0;
    std::atomic<int> m_closed = 0;
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

/// @brief A caller that sends a request and reads, and discards, or reads nothing.
class DiscardingCaller
{
public:
    DiscardingCaller(const std::string &address, const std::string &request, bool reads)
    {
        const std::size_t colon = address.find(':');
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &name.sin_addr);
        m_socket = socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(m_socket, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0);
        send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
        if (reads)
            m_thread = std::thread([this] { readAll(); });
    }

    ~DiscardingCaller()
    {
        shutdown(m_socket, SHUT_RDWR);
        if (m_thread.joinable())
            m_thread.join();
        ::close(m_socket);
    }

    bool hasEnded() const { return m_hasEnded; }
    const std::string &start() const { return m_start; }

private:
    void readAll()
    {
        std::vector<char> buffer(256UL * 1'024);
        while (true) {
            const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            if (m_start.size() < 64)
                m_start.append(buffer.data(), std::min<std::size_t>(64, count));
            // The connection is kept after a complete response.
            const std::string_view bytes(buffer.data(), static_cast<std::size_t>(count));
            if (m_start.find("HTTP/1.1 50") == 0 && bytes.find("Content-Length: 0") != bytes.npos)
                break;
        }
        m_hasEnded = true;
    }

    int m_socket = -1;
    std::atomic<bool> m_hasEnded = false;
    std::string m_start;
    std::thread m_thread;
};

struct EndlessCase
{
    std::string name;
    std::string beginning;
    std::string unit;
    bool isStream = false;
};

std::vector<EndlessCase> endlessCases()
{
    const std::string block(16UL * 1'024, 'x');
    const std::string failed = "HTTP/1.1 500 Failed\r\nRequest-Id: %ID\r\n";
    std::string interim;
    for (int i = 0; i < 100; ++i)
        interim += "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n";
    return {
        { "no head", "", block },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(1'000, 'v') + "\r\n" },
        { "one header line", "HTTP/1.1 200 OK\r\nX-Field: ", block },
        { "interim responses", "", interim },
        { "body without a length", plainHead + "\r\n", block },
        { "body of an error", failed + "\r\n", block },
        { "chunks", plainHead + chunked, chunk(block) },
        { "chunk size", plainHead + chunked, std::string(4'096, '0') },
        { "chunk extension", plainHead + chunked + "5;", block },
        { "trailers", plainHead + chunked + chunk("whole") + "0\r\n",
          "X-Trailer: " + std::string(1'000, 'v') + "\r\n" },
        { "response to another request",
          "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n" + chunked,
          chunk(block) },
        { "one event", streamHead + chunked, chunk(block), true },
        { "one event without a length", streamHead + "\r\ndata: ", block, true },
        { "events", streamHead + "\r\n", "data: " + std::string(1'000, 'e') + "\n\n", true },
    };
}

struct EndlessRun
{
    TestCluster cluster;
    std::unique_ptr<EndlessTarget> target;
    long memoryBefore = 0;

    explicit EndlessRun(const EndlessCase &endless)
        : cluster(subnet, 1, 1, 1)
    {
        REQUIRE(cluster.isReady);
        // The calm requests go to the service of the other kind.
        const int number = endless.isStream ? 1 : 51;
        const std::string address = cluster.standIn.address(100 + number, 8090);
        target = std::make_unique<EndlessTarget>(address, endless.beginning, endless.unit);
        cluster.standIn.setEntryAddress(number, address);
        cluster.standIn.writeEntry(number, "ready");
        cluster.standIn.setScript([](const Arrival &arrival) {
            Script script;
            script.events = arrival.head.target.find("/stream/") == 0 ? 3 : 0;
            return script;
        });
        usleep(300'000);
        memoryBefore = cluster.nodes.process(0).residentMb();
    }

    std::list<DiscardingCaller> callers;

    void startCallers(const EndlessCase &endless, bool reads)
    {
        for (int i = 0; i < callersAtOnce; ++i) {
            const std::string id = "e" + std::to_string(i);
            const CallerRequest request =
                endless.isStream ? streamRequest(id) : plainRequest("read", id);
            callers.emplace_back(cluster.nodes.callerAddress(0), request.text(), reads);
        }
    }

    // Sends calm requests for longer than the route's time-out, and returns the greatest growth of
    // the instance's memory meanwhile.
    long growthBesideCalmRequests(const EndlessCase &endless)
    {
        long most = 0;
        const Milliseconds start = monotonicNow();
        for (int i = 0; monotonicNow() - start < 2'500_ms; ++i) {
            const std::string id = "c" + std::to_string(i);
            const Response response = cluster.nodes.sendRequest(
                0, endless.isStream ? plainRequest("read", id) : streamRequest(id));
            CHECK(response.status == 200);
            CHECK(response.elapsed < 500_ms);
            most = std::max(most, cluster.nodes.process(0).residentMb() - memoryBefore);
        }
        return most;
    }
};

} // namespace

// Guards against an instance whose memory one target fills with bytes that do not end.
TEST_CASE("responses without end take little memory, and are ended")
{
    for (const EndlessCase &endless : endlessCases()) {
        CAPTURE(endless.name);
        EndlessRun run(endless);
        run.startCallers(endless, true);
        CHECK(run.growthBesideCalmRequests(endless) <= maxGrowthMb);
        CHECK(run.target->opened() > 0);
        usleep(300'000);
        CHECK(run.target->open() == 0);
        for (const DiscardingCaller &caller : run.callers)
            CHECK(caller.hasEnded());
        CHECK(run.cluster.nodes.process(0).isRunning());
    }
}

// Guards against an instance that keeps all that its targets send for callers that read nothing.
TEST_CASE("responses to callers that read nothing take little memory")
{
    for (const EndlessCase &endless : endlessCases()) {
        if (endless.unit.size() < 5'000 && !endless.isStream)
            continue; // ended within the head or the framing, as above
        CAPTURE(endless.name);
        EndlessRun run(endless);
        run.startCallers(endless, false);
        CHECK(run.growthBesideCalmRequests(endless) <= maxGrowthMb);
        usleep(300'000);
        CHECK(run.target->open() == 0);
    }
}

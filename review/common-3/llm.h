#pragma once

#include "platform.h"

// Model engines that serve one prompt together, with memory that is set aside by orders.

namespace review {

/// @brief What the stand-ins of model engines are like; the configuration states the same.
struct EngineSpec
{
    int slots = 16;
    long memoryTokens = 20'000;
    double readTokensPerMs = 154;
    double attentionMsPerMillionPairs = 0.162;
    int events = 2;
    std::int64_t eventGapMs = 10;
    std::int64_t orderMs = 5; // until an order is answered
};

/// @brief A model engine. It reads a prompt together with the engines that the request names, and
///        sends a few events.
class LlmEngine
{
public:
    LlmEngine(std::string id, std::string address, const EngineSpec &spec)
        : m_id(std::move(id))
        , m_address(std::move(address))
        , m_spec(spec)
        , m_bornAt(unixMs())
        , m_listener([this](Connection &connection) { serve(connection); })
    { }

    bool start() { return m_listener.start(m_address); }

    std::string key() const { return "servers/" + m_id; }

    std::string entry() const
    {
        return R"({"service":"llm","address":")" + m_address
               + R"(","zone":"a","version":1,"slots":)" + std::to_string(m_spec.slots)
               + R"(,"state":"ready","coldLeftMs":0,"sequence":1,"born":)"
               + std::to_string(m_bornAt) + '}';
    }

    int orders() const { return m_orders; }

    /// @brief Returns the ids of the requests that have reached the engine and were not rejected.
    std::set<std::string> accepted() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_accepted;
    }

private:
    struct Reservation
    {
        long tokens = 0;
        std::int64_t until = 0;
    };

    static bool answer(Connection &connection, const std::string &status, const std::string &fields,
                       const std::string &body)
    {
        return connection.write("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    static std::string jsonValue(const std::string &body, const std::string &name)
    {
        const std::size_t start = body.find('"' + name + "\":");
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + name.size() + 3;
        const std::size_t end = body.find_first_of(",}", value);
        std::string text = body.substr(value, end - value);
        if (!text.empty() && text.front() == '"')
            text = text.substr(1, text.size() - 2);
        return text;
    }

    // Returns the status of a `reserve` or `release` order.
    std::string carryOut(const std::string &body)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::int64_t now = nowMs();
        long used = 0;
        for (auto position = m_reservations.begin(); position != m_reservations.end();) {
            if (position->second.until <= now) {
                position = m_reservations.erase(position);
                continue;
            }
            used += position->second.tokens;
            ++position;
        }
        const std::string id = jsonValue(body, "id");
        if (jsonValue(body, "operation") == "release") {
            m_reservations.erase(id);
            return "200 OK";
        }
        const long tokens = std::atol(jsonValue(body, "tokens").c_str());
        const std::int64_t until = now + std::atol(jsonValue(body, "holdMs").c_str());
        const auto known = m_reservations.find(id);
        if (known != m_reservations.end()) {
            known->second.until = until;
            return "200 OK";
        }
        if (used + tokens > m_spec.memoryTokens || m_reservations.size() >= 64)
            return "409 Conflict";
        m_reservations[id] = { tokens, until };
        return "200 OK";
    }

    void serve(Connection &connection)
    {
        while (m_listener.isRunning()) {
            const Message request = connection.read(60'000);
            if (!request.isComplete)
                return;
            const std::string target = request.secondWord();
            bool isOpen = true;
            if (target == "/v1/order") {
                ++m_orders;
                const std::string status = carryOut(request.body);
                sleepMs(m_spec.orderMs);
                isOpen = answer(connection, status, {}, "{\"free\":0}");
            } else if (target == "/v1/report") {
                isOpen =
                    answer(connection, "200 OK", {},
                           "{\"queued\":0,\"active\":1,\"born\":" + std::to_string(m_bornAt) + '}');
            } else {
                isOpen = serveRequest(connection, request);
            }
            if (!isOpen)
                return;
        }
    }

    bool serveRequest(Connection &connection, const Message &request)
    {
        const std::string id = request.field("request-id");
        const std::string echo = "Request-Id: " + id + "\r\n";
        if (request.field("expected-instance") != m_id)
            return answer(connection, "421 Misdirected Request", echo + "Not-Executed: 1\r\n", {});
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_accepted.insert(id);
        }
        const std::string helpers = request.field("helpers");
        const double parts =
            helpers.empty()
                ? 1
                : 2 + static_cast<double>(std::count(helpers.begin(), helpers.end(), ','));
        const double tokens = std::atof(request.field("token-usage").c_str());
        const double readMs = tokens / m_spec.readTokensPerMs
                              + tokens * tokens / 2e6 * m_spec.attentionMsPerMillionPairs;
        sleepMs(static_cast<std::int64_t>(readMs / parts));
        if (!connection.write("HTTP/1.1 200 OK\r\n" + echo + "Response-Signature: " + m_id + '.'
                              + id + "\r\nServer-Load: 1,0," + std::to_string(m_spec.slots)
                              + "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int number = 1; number <= m_spec.events; ++number) {
            const std::string event = "id: " + std::to_string(number) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", event.size());
            if (!connection.write(std::string(size) + "\r\n" + event + "\r\n"))
                return false;
            sleepMs(m_spec.eventGapMs);
        }
        return connection.write("0\r\n\r\n");
    }

    std::string m_id;
    std::string m_address;
    EngineSpec m_spec;
    std::int64_t m_bornAt;
    std::atomic<int> m_orders = 0;
    mutable std::mutex m_mutex;
    std::map<std::string, Reservation> m_reservations; // guarded by m_mutex
    std::set<std::string> m_accepted; // guarded by m_mutex
    Listener m_listener;
};

/// @brief Returns a configuration with a resumable streaming route to model engines and an
///        idempotent one to a plain service.
inline std::string llmConfiguration(const EngineSpec &spec)
{
    return R"({"version":1,"routes":[{"name":"review","host":"x.example","prefix":"/review/",)"
           R"("kind":"streaming","timeoutMs":10000,"sloMs":1500,"gapTargetMs":600,"priority":1,)"
           R"("service":"llm","sticky":true,"resumable":true,"public":false,"attempts":2},)"
           R"({"name":"read","host":"x.example","prefix":"/read/","kind":"idempotent",)"
           R"("timeoutMs":2000,"sloMs":300,"priority":1,"service":"app","public":false,)"
           R"("attempts":2}],"services":[{"name":"app","healthPath":"/health","maxConns":110,)"
           R"("coldS":0.0,"coldPerS":0.0},{"name":"llm","healthPath":"/health","maxConns":304,"coldS":0.0,)"
           R"("coldPerS":0.0,"engine":{"slots":)"
           + std::to_string(spec.slots) + R"(,"kvCapacityTokens":)"
           + std::to_string(spec.memoryTokens)
           + R"(,"stride":34,"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,)"
             R"("read_per_s":)"
           + std::to_string(spec.readTokensPerMs * 1'000) + R"(,"pairs_per_m":)"
           + std::to_string(spec.attentionMsPerMillionPairs)
           + R"(,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":11301,"answer":100},)"
             R"("hopMs":0.1}}],"limits":{"headerBytes":4096,"bodyBytes":200000,"headerMs":600,)"
             R"("idleMs":5000},"tenants":[{"name":"t1","keys":["key-1"]}]})";
}

} // namespace review

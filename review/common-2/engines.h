#pragma once

#include "platform.h"

/// Stand-ins of model engines that read prompts at the speed that the configuration states.
namespace review {

/// @brief Speed and size of the engines, as published in the configuration.
struct EngineSpeed
{
    double readPerMs = 154;
    double pairsPerM = 0.162;
    long memory = 405'000;
    int slots = 16;

    /// @brief Returns the time that one engine of full speed takes to read a prompt.
    double readMs(long tokens) const
    {
        const double pairs = static_cast<double>(tokens) * static_cast<double>(tokens) / 2e6;
        return static_cast<double>(tokens) / readPerMs + pairs * pairsPerM;
    }
};

/// @brief Model engines. Each reads its prompts in turns, a piece of each at a time, in even parts
///        with the helpers that a request lists, and then writes the events of its streams.
class Engines
{
public:
    Engines(const Subnet &subnet, Store &store, Record &record, int count)
        : m_subnet(subnet)
        , m_store(store)
        , m_record(record)
        , m_born(unixMs())
    {
        for (int i = 1; i <= count; ++i) {
            m_slowness[address(i)] = 1;
            m_servers.push_back(std::make_unique<Server>(
                address(i), [this, i](Connection &connection) { serve(i, connection); }));
            m_store.put("servers/" + idOf(i), entry(i));
        }
        std::thread([this] { read(); }).detach();
    }

    std::string address(int number) const
    {
        return m_subnet.address(100 + number, m_subnet.enginePort());
    }
    static std::string idOf(int number) { return "i-" + std::to_string(number); }
    const EngineSpeed &speed() const { return m_speed; }

    /// @brief Sets how many times as long as usual an engine works.
    void setSlowness(int number, double factor)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_slowness[address(number)] = factor;
        m_record.line("engine " + idOf(number) + " works " + std::to_string(factor)
                      + " times as long");
    }

    /// @brief From now on, counts for each engine the long prompts that it reads or helps to read.
    void beginGrey()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isGrey = true;
        m_record.line("two engines are grey from now on");
    }

    /// @brief Makes the next `count` engines that get a long prompt hang on it: they neither read
    ///        nor answer it, and their reports count it as active. Other requests are served.
    void hangOnLongPrompts(int count)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_hangsLeft = count;
    }

    /// @brief Returns the largest share of its long prompts on which an engine hung while grey.
    double endGrey()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isGrey = false;
        double largest = 0;
        for (const std::string &engine : m_hung) {
            largest = std::max(largest, 1.0 / m_taken[engine]);
            m_record.line("engine " + engine + " hung on 1 of " + std::to_string(m_taken[engine])
                          + " prompts while grey");
        }
        return largest;
    }

private:
    static constexpr double hungMs = 1e9;
    static constexpr long longPromptTokens = 50'000;

    struct Part
    {
        std::string request;
        double leftMs = 0;
    };

    std::string entry(int number) const
    {
        return "{\"service\":\"llm\",\"address\":\"" + address(number)
               + "\",\"zone\":\"z1\",\"version\":1,\"slots\":" + std::to_string(m_speed.slots)
               + ",\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":0,\"born\":"
               + std::to_string(m_born) + "}";
    }

    // The engines read in steps: each takes an even share of the time for every prompt it reads.
    void read()
    {
        long last = nowMs();
        while (true) {
            sleepMs(5);
            const long now = nowMs();
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (auto &[engine, parts] : m_parts) {
                const double share =
                    static_cast<double>(now - last) / m_slowness[engine]
                    / static_cast<double>(std::max<long>(
                        std::count_if(parts.begin(), parts.end(),
                                      [](const Part &part) { return part.leftMs < hungMs; }),
                        1));
                for (Part &part : parts) {
                    if (part.leftMs < hungMs)
                        part.leftMs -= share;
                }
                parts.erase(std::remove_if(parts.begin(), parts.end(),
                                           [](const Part &part) { return part.leftMs <= 0; }),
                            parts.end());
            }
            last = now;
        }
    }

    bool isRead(const std::string &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto &[engine, parts] : m_parts) {
            for (const Part &part : parts) {
                if (part.request == request)
                    return false;
            }
        }
        return true;
    }

    void drop(const std::string &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto &[engine, parts] : m_parts) {
            parts.erase(std::remove_if(parts.begin(), parts.end(),
                                       [&](const Part &part) { return part.request == request; }),
                        parts.end());
        }
    }

    void leave(const std::string &engine)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_active[engine];
    }

    std::string report(int number)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string own = address(number);
        const int active = m_active[own];
        return "{\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\",\"version\":1,"
               "\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":"
               + std::to_string(active) + ",\"kvUsed\":0,\"kvTotal\":"
               + std::to_string(m_speed.memory) + ",\"handles\":0,\"pace\":"
               + std::to_string(m_slowness[own]) + ",\"born\":" + std::to_string(m_born) + "}";
    }

    void serve(int number, Connection &connection)
    {
        while (const std::optional<Message> request = receiveRequest(connection, 5'000)) {
            const std::string target = request->target();
            const auto answer = [&](const std::string &head, const std::string &body) {
                connection.send("HTTP/1.1 " + head + "Keep-Alive: timeout=5\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body);
            };
            if (target == "/v1/report")
                answer("200 OK\r\nContent-Type: application/json\r\n", report(number));
            else if (target == "/v1/order")
                answer("200 OK\r\nContent-Type: application/json\r\n", "{\"free\":100000}");
            else if (request->field("Expected-Instance") != idOf(number))
                answer("421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: "
                           + request->field("Request-Id") + "\r\n",
                       {});
            else if (!generate(number, connection, *request))
                return;
        }
    }

    bool generate(int number, Connection &connection, const Message &request)
    {
        const std::string id = request.field("Request-Id");
        const std::string run = id + '#' + std::to_string(++m_runs);
        const long tokens = std::atol(request.field("Token-Usage").c_str());
        const std::string own = address(number);
        std::vector<std::string> readers { own };
        std::istringstream helpers(request.field("Helpers"));
        for (std::string helper; std::getline(helpers, helper, ',');)
            readers.push_back(helper.substr(0, helper.find('/')));
        const bool isLong = tokens >= longPromptTokens;
        if (isLong)
            m_record.line("engine " + idOf(number) + " takes " + id + ", " + std::to_string(tokens)
                          + " tokens, helpers " + request.field("Helpers"));
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_active[own];
            if (m_hangsLeft > 0 && tokens >= longPromptTokens && m_hung.insert(own).second) {
                --m_hangsLeft;
                m_parts[own].push_back({ run, hungMs });
                m_record.line("engine " + idOf(number) + " hangs on " + id);
            }
            for (const std::string &reader : readers)
                m_taken[reader] += m_isGrey && isLong;
            for (const std::string &reader : readers)
                m_parts[reader].push_back(
                    { run, m_speed.readMs(tokens) / static_cast<double>(readers.size()) });
        }
        const long until = nowMs() + std::atol(request.field("Request-Deadline").c_str());
        while (!isRead(run)) {
            sleepMs(5);
            if (connection.isClosedByPeer() || nowMs() > until) {
                m_record.line("engine " + idOf(number) + " drops " + id);
                drop(run);
                leave(own);
                return false;
            }
        }
        if (isLong)
            m_record.line("engine " + idOf(number) + " has read " + id);
        bool isSent =
            connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                            + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n");
        const int first = std::atoi(request.field("Last-Event-Id").c_str());
        for (int event = first + 1; isSent && event <= (isLong ? 19 : 38); ++event) {
            sleepMs(isLong ? 50 : 85);
            isSent = connection.send(
                chunk("id: " + std::to_string(event) + "\ndata: " + std::string(60, 'x') + "\n\n"));
        }
        leave(own);
        return isSent && connection.send("0\r\n\r\n");
    }

    const Subnet &m_subnet;
    Store &m_store;
    Record &m_record;
    EngineSpeed m_speed;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::map<std::string, std::vector<Part>> m_parts; // guarded by m_mutex; by engine address
    std::map<std::string, double> m_slowness; // guarded by m_mutex
    std::map<std::string, int> m_active; // guarded by m_mutex; requests in progress
    int m_hangsLeft = 0; // guarded by m_mutex
    bool m_isGrey = false; // guarded by m_mutex
    std::map<std::string, int> m_taken; // guarded by m_mutex; long prompts while grey
    std::set<std::string> m_hung; // guarded by m_mutex
    std::atomic<int> m_runs = 0;
    std::vector<std::unique_ptr<Server>> m_servers;
};

} // namespace review

// Two long prompts hang at the two engines that short requests leave to long ones. When two more
// long prompts are placed there, the instance must go on serving.

#include "../common-2/engines.h"

using namespace review;

namespace {

constexpr int engineCount = 15;
constexpr int greyEngines = 2; // 0.15 of 15 engines
constexpr double shortPerS = 46.1;
constexpr int shortTimeoutMs = 10'000;
constexpr int longTimeoutMs = 15'000;

std::string route(const std::string &name, int sloMs, int gapMs, int timeoutMs)
{
    return "{\"name\":\"" + name + "\",\"host\":\"x.example\",\"prefix\":\"/" + name
           + "/\",\"kind\":\"streaming\",\"timeoutMs\":" + std::to_string(timeoutMs)
           + ",\"sloMs\":" + std::to_string(sloMs)
           + ",\"priority\":1,\"service\":\"llm\",\"public\":false,\"attempts\":2,\"sticky\":true,"
             "\"resumable\":true,\"gapTargetMs\":"
           + std::to_string(gapMs) + "}";
}

std::string configuration()
{
    return "{\"version\":1,\"routes\":[" + route("merge", 3'000, 1'000, longTimeoutMs) + ","
           + route("check", 300, 250, shortTimeoutMs)
           + "],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":304,"
             "\"coldS\":3.0,\"coldPerS\":26.0,\"engine\":{\"slots\":16,\"kvCapacityTokens\":405000,"
             "\"stride\":34,\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,"
             "\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,"
             "\"usual\":{\"prompt\":11301,\"answer\":1266},\"hopMs\":0.1}}],"
             "\"limits\":{\"headerBytes\":4096,\"bodyBytes\":200000,\"headerMs\":600,\"idleMs\":"
             "5000},\"tenants\":[{\"name\":\"team-1\",\"keys\":[\"key-1\"],\"priority\":1}]}";
}

std::string requestText(const std::string &route, const std::string &id, long tokens, int deadline)
{
    return "POST /" + route + "/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: " + id
           + "\r\nModel: m\r\nToken-Usage: " + std::to_string(tokens)
           + ",640\r\nPrompt-Prefix: 1a:40," + id + ':' + std::to_string(tokens - 40)
           + "\r\nRequest-Deadline: " + std::to_string(deadline)
           + "\r\nAuthorization: Bearer key-1\r\nContent-Length: 6\r\n\r\nprompt";
}

/// @brief The clients, and what they got.
struct Clients
{
    const Instances &instances;
    Record &record;
    std::atomic<int> sent = 0;
    std::atomic<int> running = 0;
    std::atomic<bool> isCounting = false; ///< New short requests to instance 1 are judged.
    std::atomic<int> judged = 0;
    std::atomic<int> overdue = 0; ///< Of these: without an answer 0.5 s after the time-out.

    void send(const std::string &route, int instance, long tokens, int timeoutMs)
    {
        std::thread([this, route, instance, tokens, timeoutMs] {
            const bool isJudged = isCounting && instance == 1 && route == "check";
            char id[20];
            std::snprintf(id, sizeof id, "%x", 0x1000 + ++sent);
            if (route == "merge")
                record.line(std::string("client sends ") + id + ", " + std::to_string(tokens)
                            + " tokens");
            ++running;
            Connection connection(Connection::connectTo(instances.callers(instance), 1'000));
            connection.send(requestText(route, id, tokens, timeoutMs));
            const Response response = receiveResponse(connection, timeoutMs + 500);
            --running;
            if (route == "merge" || response.status() != 200)
                record.line("client gets from instance " + std::to_string(instance) + " for " + id
                            + ": " + response.text());
            judged += isJudged;
            overdue += isJudged && response.isLate;
        }).detach();
    }
};

} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const Subnet subnet;
    const Folder folder;
    Store store(subnet.store());
    store.put("op/config", configuration());
    Engines engines(subnet, store, record, engineCount);
    Instances instances(subnet, folder, 2, record);
    instances.waitReady();
    sleepMs(1'000);

    Clients clients { instances, record };
    std::atomic<bool> isOver = false;
    std::thread shorts([&] {
        const long start = nowMs();
        long sent = 0;
        while (!isOver) {
            for (;
                 static_cast<double>(sent) < shortPerS * static_cast<double>(nowMs() - start) / 1e3;
                 ++sent)
                clients.send("check", 1 + static_cast<int>(sent % 2), 4'960, shortTimeoutMs);
            sleepMs(2);
        }
    });
    sleepMs(4'500);
    const auto sendPair = [&] {
        clients.send("merge", 1, 122'000, longTimeoutMs);
        sleepMs(1'150);
        clients.send("merge", 1, 122'000, longTimeoutMs);
    };
    // The site's limits for grey engines: 6.5 s, and 0.45 of their requests.
    if (hasTrouble())
        engines.beginGrey();
    const long greySince = nowMs();
    sendPair();
    sleepMs(1'250);
    clients.send("merge", 1, 60'000, longTimeoutMs);
    sleepMs(2'800);
    if (hasTrouble())
        engines.hangOnLongPrompts(greyEngines);
    sendPair();
    sleepMs(50);
    const long greyMs = nowMs() - greySince;
    const double greyShare = engines.endGrey();
    record.line("grey for " + std::to_string(greyMs) + " ms, largest share "
                + std::to_string(greyShare));
    if (hasTrouble() && (greyMs > 6'500 || greyShare > 0.45)) {
        instances.endAll();
        giveUp("the limits of the disruption were not kept");
    }
    sleepMs(6'600);
    record.line("requests in progress: " + std::to_string(clients.running));
    clients.send("merge", 1, 146'000, longTimeoutMs);
    sleepMs(100);
    clients.send("merge", 1, 146'000, longTimeoutMs);
    sleepMs(200);
    clients.isCounting = true;
    const long before = instances.processorMs(1);
    const long start = nowMs();
    int unready = 0;
    while (nowMs() - start < shortTimeoutMs + 4'500) {
        if (nowMs() - start > 3'000)
            clients.isCounting = false;
        if (nowMs() - start > 3'200)
            isOver = true;
        const bool isReady = instances.isReady(1, 1'000);
        unready = isReady ? 0 : unready + 1;
        record.line("instance 1 is ready: " + std::to_string(isReady) + ", instance 2 is ready: "
                    + std::to_string(instances.isReady(2, 1'000)) + ", processor time of 1: "
                    + std::to_string(instances.processorMs(1) - before) + " ms");
        sleepMs(500);
    }
    shorts.join();
    const bool isRunning = !instances.hasEnded(1);
    // The bound of the rule: eight or more, and over a quarter.
    const bool isBroken = clients.overdue >= 8 && clients.overdue * 4 > clients.judged;
    record.line("instance 1 runs: " + std::to_string(isRunning) + ", questions in a row without an "
                + "answer: " + std::to_string(unready) + "; of " + std::to_string(clients.judged)
                + " requests, " + std::to_string(clients.overdue)
                + " have no answer 0.5 s after their time-out");
    record.line(isBroken ? "BROKEN" : "held");
    instances.endAll();
    std::_Exit(isBroken ? Broken : Held);
}

// A machine is stopped by SIGTERM while a client's stream ends on a kept connection. The client
// sends its next request on that connection.

#include <algorithm>
#include <random>

#include "../common/platform.h"

using namespace review;

namespace {

constexpr int machineCount = 6;
constexpr int streamEvents = 19; // 100 ms each: the stream ends 2.2 s after its request
constexpr int eventGapMs = 100;
constexpr int termAfterMs = 300; // the stream is under way by then
constexpr int payWorkMs = 300; // within the deadline of 1,500 ms and the route's timeout
constexpr int thinkMinMs = 20; // time from the end of a stream to the client's next request
constexpr int thinkMaxMs = 140;
constexpr int deadlineMs = 1'500;
constexpr int graceMs = 8'000;

struct Runs
{
    std::mutex mutex;
    std::map<std::string, int> started;
    std::map<std::string, int> finished;
};

bool serveStream(int handle, const Message &request, const std::string &engine)
{
    if (!sendAll(handle, engineHead(request, engine, 200)
                             + "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int i = 1; i <= streamEvents; ++i) {
        sleepMs(eventGapMs);
        const std::string event =
            "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
        std::ostringstream size;
        size << std::hex << event.size();
        if (!sendAll(handle, size.str() + "\r\n" + event + "\r\n"))
            return false;
    }
    return sendAll(handle, "0\r\n\r\n");
}

std::string describe(const Message &response, const Reader &reader)
{
    return "status=" + std::to_string(response.status()) + " complete="
           + (response.isComplete ? "yes" : "no") + " connection=" + nameOf(reader.end())
           + " close-announced=" + (response.field("connection") == "close" ? "yes" : "no");
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3)
        return CannotRun;
    const std::string folder = argv[2];
    Record record(argv[1]);
    const Network network;
    Store store(network.store());
    store.put("op/config", configuration(1, 800));
    Runs runs;
    std::vector<std::unique_ptr<Engine>> engines;
    const auto addEngine = [&](int number, const std::string &service) {
        const std::string id = "i-" + std::to_string(number);
        engines.push_back(std::make_unique<Engine>(
            network.engine(number), id, [&, id](int handle, const Message &request) {
                const std::string requestId = request.field("request-id");
                record.write("engine " + id + " begins to run " + requestId);
                if (request.target().compare(0, 8, "/stream/") == 0)
                    return serveStream(handle, request, id);
                {
                    const std::lock_guard<std::mutex> lock(runs.mutex);
                    ++runs.started[requestId];
                }
                sleepMs(payWorkMs);
                {
                    const std::lock_guard<std::mutex> lock(runs.mutex);
                    ++runs.finished[requestId];
                }
                const bool isSent =
                    sendAll(handle, engineHead(request, id, 200) + "Content-Length: 4\r\n\r\ndone");
                record.write("engine " + id + " has run " + requestId);
                return isSent;
            }));
        store.put("servers/" + id, engines.back()->entry(service));
    };
    for (int number = 101; number <= 106; ++number)
        addEngine(number, "llm");
    for (int number = 151; number <= 153; ++number)
        addEngine(number, "app");

    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 1; i <= machineCount; ++i) {
        nodes.push_back(std::make_unique<Node>(network, i, folder));
        nodes.back()->start();
    }
    if (!waitReady(nodes)) {
        record.write("machines did not become ready");
        finish(nodes, CannotRun);
    }
    record.write("machines ready");
    sleepMs(3'500); // contactMs: the starts are over for the rules

    std::mt19937 random(std::random_device {}());
    std::uniform_int_distribution<int> thinkTime(thinkMinMs, thinkMaxMs);
    int lost = 0;
    int served = 0;
    for (int i = 0; i < machineCount; ++i) {
        Node &node = *nodes[static_cast<std::size_t>(i)];
        const std::vector<std::string> named =
            node.resolve(); // valid for ttlS; some keep it 3 ttlS
        if (std::find(named.begin(), named.end(), node.front()) == named.end())
            finish(nodes, CannotRun);
        const int handle = connectTo(node.front());
        Reader reader(handle);
        const std::string streamId = "stream-" + std::to_string(i + 1);
        sendAll(handle, clientRequest("POST", "/stream/x", streamId, 10'000,
                                      "Model: m\r\nToken-Usage: 1000,500\r\n", "prompt"));
        record.write("client sends " + streamId + " to " + node.host());
        sleepMs(termAfterMs);
        const std::int64_t termAt = steadyMs();
        if (hasTrouble()) {
            node.signal(SIGTERM);
            record.write("SIGTERM to " + node.host());
        }
        const Message stream = reader.read(10'000, true);
        record.write("client has the answer of " + streamId + ": " + describe(stream, reader));
        if (!stream.isComplete)
            finish(nodes, CannotRun);
        if (stream.field("connection") != "close") {
            sleepMs(thinkTime(random));
            const std::string payId = "pay-" + std::to_string(i + 1);
            const bool isSent =
                sendAll(handle, clientRequest("POST", "/pay/x", payId, deadlineMs, {}, "approve"));
            const std::int64_t sentAt = steadyMs();
            record.write("client sends " + payId + " on the same connection, "
                         + std::to_string(sentAt - termAt) + " ms after the SIGTERM");
            const Message pay = reader.read(deadlineMs + 500, true);
            const std::int64_t endAt = steadyMs();
            sleepMs(payWorkMs + 100);
            bool hasReached = false;
            {
                const std::lock_guard<std::mutex> lock(runs.mutex);
                hasReached = runs.started.count(payId) > 0;
            }
            record.write("client: " + payId + " ended after " + std::to_string(endAt - sentAt)
                         + " ms: " + describe(pay, reader)
                         + " reached-an-engine=" + (hasReached ? "yes" : "no"));
            // The rule: read whole, passed on to an engine, and ended without a complete answer,
            // before the deadline and the route's timeout.
            const bool isLost = isSent && hasReached && !pay.isComplete
                                && reader.end() != ReadEnd::TimedOut && endAt - sentAt < 800;
            lost += isLost ? 1 : 0;
            served += pay.isComplete && pay.status() == 200 ? 1 : 0;
            if (isLost)
                record.write("LOST " + payId);
        }
        ::close(handle);
        while (hasTrouble() && !node.hasEnded() && steadyMs() - termAt < graceMs + 1'000)
            sleepMs(20);
        if (hasTrouble()) {
            record.write("machine " + node.host() + " has ended, " + describeStatus(node.status())
                         + ", " + std::to_string(steadyMs() - termAt) + " ms after the SIGTERM");
            node.start();
            if (!waitReady(nodes))
                finish(nodes, CannotRun);
        }
    }
    record.write("requests lost: " + std::to_string(lost) + ", served: " + std::to_string(served));
    finish(nodes, lost > 0 ? RuleBroken : RuleHeld);
}

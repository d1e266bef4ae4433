// A grey server runs a payment and answers 429 or 408 without stating that it did not run it. The
// caller must not get an answer that promises so.

#include "../common-2/platform.h"

using namespace review;

namespace {

constexpr int serverCount = 7;
constexpr int requestCount = 60;

const std::string configuration =
    "{\"version\":1,\"routes\":[{\"name\":\"pay\",\"host\":\"x.example\",\"prefix\":\"/pay/\","
    "\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"priority\":2,\"service\":"
    "\"app\",\"public\":false,\"attempts\":2}],\"services\":[{\"name\":\"app\",\"healthPath\":"
    "\"/health\",\"maxConns\":110,\"coldS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"headerBytes\":"
    "4096,\"bodyBytes\":200000,\"headerMs\":600,\"idleMs\":5000},\"tenants\":[{\"name\":\"team-1\","
    "\"keys\":[\"key-1\"],\"priority\":1}]}";

/// @brief The payments that the servers have run, and what they answered.
struct Runs
{
    std::mutex mutex;
    std::map<std::string, int> byId;
    std::map<std::string, int> byPayment; ///< All attempts of a client for one payment.

    void add(const std::string &id, const std::string &payment)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ++byId[id];
        ++byPayment[payment];
    }
};

} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const Subnet subnet;
    const Folder folder;
    Store store(subnet.store());
    store.put("op/config", configuration);
    Runs runs;
    const std::int64_t born = unixMs();
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 1; i <= serverCount; ++i) {
        const std::string address = subnet.address(100 + i, subnet.enginePort());
        const std::string id = "i-" + std::to_string(i);
        // One of seven servers is grey and fails two of five requests.
        const bool isGrey = hasTrouble() && i == 1;
        const std::shared_ptr<std::atomic<int>> taken = std::make_shared<std::atomic<int>>(0);
        servers.push_back(
            std::make_unique<Server>(address, [&, id, isGrey, taken](Connection &connection) {
                while (const std::optional<Message> request = receiveRequest(connection, 5'000)) {
                    const std::string requestId = request->field("Request-Id");
                    const bool isForOther = request->field("Expected-Instance") != id;
                    std::string status = isForOther ? "421 Misdirected Request" : "200 OK";
                    if (request->target().compare(0, 5, "/pay/") != 0) {
                        connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    if (!isForOther) {
                        runs.add(requestId, request->body);
                        sleepMs(60);
                        const int number = ++*taken % 5;
                        if (isGrey && number < 2)
                            status = number == 0 ? "429 Too Many Requests" : "408 Request Timeout";
                        record.line("server " + id + " has run " + requestId + " and answers "
                                    + status);
                    }
                    const std::string body = "done";
                    if (!connection.send("HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId
                                         + "\r\n" + (isForOther ? "Not-Executed: 1\r\n" : "")
                                         + "Response-Signature: s\r\nContent-Length: "
                                         + std::to_string(body.size()) + "\r\n\r\n" + body))
                        return;
                }
            }));
        store.put("servers/" + id,
                  "{\"service\":\"app\",\"address\":\"" + address
                      + "\",\"zone\":\"z1\",\"version\":1,\"slots\":6,\"state\":\"ready\","
                        "\"coldLeftMs\":0,\"sequence\":0,\"born\":"
                      + std::to_string(born) + "}");
    }
    Instances instances(subnet, folder, 2, record);
    instances.waitReady();
    sleepMs(1'000);
    int promised = 0;
    int twice = 0;
    for (int i = 0; i < requestCount; ++i) {
        const std::string payment = "payment-" + std::to_string(i);
        // The client repeats once, with a new id, after an answer that promises "not run".
        for (int attempt = 0; attempt < 2; ++attempt) {
            char id[20];
            std::snprintf(id, sizeof id, "%x", 0x1000 + 2 * i + attempt);
            Connection connection(Connection::connectTo(instances.callers(1 + i % 2), 1'000));
            connection.send(std::string("POST /pay/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: ")
                            + id
                            + "\r\nRequest-Deadline: 1500\r\nAuthorization: Bearer key-1\r\n"
                              "Content-Length: "
                            + std::to_string(payment.size()) + "\r\n\r\n" + payment);
            const Response response = receiveResponse(connection, 2'000);
            const int status = response.status();
            const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
            const std::lock_guard<std::mutex> lock(runs.mutex);
            const bool hasRun = runs.byId.count(id) > 0;
            record.line("client gets for " + payment + ", request " + id + ": " + response.text()
                        + (hasRun ? "; it has run" : "; it has not run"));
            promised += isPromise && hasRun;
            if (!isPromise)
                break;
        }
        const std::lock_guard<std::mutex> lock(runs.mutex);
        twice += runs.byPayment[payment] > 1;
    }
    record.line(std::to_string(promised) + " requests were answered 429, 503, 408 or 421 and have "
                + "run; " + std::to_string(twice) + " payments were made twice by the retry");
    record.line(promised > 0 ? "BROKEN" : "held");
    instances.endAll();
    std::_Exit(promised > 0 ? Broken : Held);
}

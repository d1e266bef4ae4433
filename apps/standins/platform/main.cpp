// Simulates the platform: serves the fleet document, the instance list and the weight store over
// HTTP.

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <iterator>
#include <mutex>
#include <thread>

#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <glog/logging.h>

#include <egretmount/config/document.h>
#include <egretmount/membership/instance_list.h>

#include "http/headers.h"
#include "http/server.h"
#include "kernel/daemon.h"
#include "kernel/settings.h"

namespace {

using namespace egretmount;
using namespace egretmount::literals;
using Poco::Net::HTTPResponse;

constexpr const char *iniType = "text/plain; charset=utf-8";
constexpr std::int64_t maxWaitMilliseconds = 60'000;
constexpr std::int64_t maxLagMilliseconds = 600'000;
constexpr std::int64_t maxCallsPerSecond = 1'000'000;

const std::vector<config::SectionSpec> &settingsSpecs()
{
    using config::ValueKind;
    static const std::vector<config::SectionSpec> specs {
        { "platform",
          false,
          {
              { "address", ValueKind::Address, "", "127.0.0.1:7000", 0, 0, "", false,
                "Address of the HTTP server." },
              { "fleetFile", ValueKind::Text, "", "", 0, 0, "", true,
                "Fleet document to publish at startup." },
              { "instancesFile", ValueKind::Text, "", "", 0, 0, "", true,
                "Instance list to publish at startup." },
              { "listLagMs", ValueKind::Integer, "ms", "0", 0, maxLagMilliseconds, "", false,
                "Delay until readers see a new instance list." },
              { "weightCallsPerSecond", ValueKind::Integer, "calls/s", "10", 1, maxCallsPerSecond,
                "", false, "Rate limit of the weight store." },
          } },
    };
    return specs;
}

/// @brief Faults that a test can inject.
enum class Fault {
    None,
    Down, ///< New reads and watches fail with 503; watches that wait return at once.
    Stale, ///< Reads and watches return the state at the time when the fault was set.
    Slow, ///< Reads and watches take `slowDelay` longer.
};

constexpr Milliseconds slowDelay = 1500_ms;

/// @brief A published text. Readers see an instance list once it is older than the list lag.
struct Published
{
    std::string text;
    std::uint64_t version = 0;
    Milliseconds at;
};

/// @brief The state of the simulated platform. Thread-safe.
class Platform
{
public:
    Platform(std::string fleet, std::string instances, Milliseconds listLag,
             std::int64_t weightCallsPerSecond)
        : m_listLag(listLag)
        , m_weightCallsPerSecond(weightCallsPerSecond)
    {
        const tl::expected<config::FleetDocument, std::vector<config::Problem>> parsed =
            config::parseFleetDocument(fleet, "fleet");
        m_fleet = { std::move(fleet), parsed ? parsed->version : 0, monotonicNow() };
        m_lists.push_back({ std::move(instances), 1, monotonicNow() });
        m_frozenFleet = m_fleet;
        m_frozenList = m_lists.back();
    }

    /// @brief Counts a read and applies the fault. @return False if the read must fail.
    bool beginRead()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        ++m_reads;
        if (m_fault == Fault::Slow) {
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(slowDelay.count()));
            return true;
        }
        return m_fault != Fault::Down;
    }

    /// @brief Waits until a version above `version` is visible, the platform is down, or the time
    ///        `wait` is over.
    /// @return The visible document, whose version may still be `version`.
    Published waitForFleet(std::uint64_t version, Milliseconds wait)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::milliseconds(wait.count()), [this, version] {
            return visibleFleet().version > version || m_fault == Fault::Down;
        });
        return visibleFleet();
    }

    Published instances()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_fault == Fault::Stale)
            return m_frozenList;
        const Milliseconds now = monotonicNow();
        Published visible = m_lists.front();
        for (const Published &list : m_lists) {
            if (list.at + m_listLag <= now)
                visible = list;
        }
        return visible;
    }

    /// @brief Publishes a document if `expectedVersion` is the current version.
    /// @return False on a version conflict.
    bool publishFleet(const std::string &text, std::uint64_t version, std::uint64_t expectedVersion)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (expectedVersion != m_fleet.version)
            return false;
        m_fleet = { text, version, monotonicNow() };
        m_changed.notify_all();
        return true;
    }

    void publishInstances(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_lists.push_back({ text, m_lists.back().version + 1, monotonicNow() });
    }

    void setFault(Fault fault)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (fault == Fault::Stale) {
            m_frozenFleet = m_fleet;
            m_frozenList = m_lists.back();
        }
        m_fault = fault;
        m_changed.notify_all();
    }

    /// @brief Takes one call from the rate limit of the weight store.
    /// @return False if this second has no calls left.
    bool tryAcquireWeightCall()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const Milliseconds second(monotonicNow().count() / 1000);
        if (second != m_weightSecond) {
            m_weightSecond = second;
            m_weightCalls = 0;
        }
        return ++m_weightCalls <= m_weightCallsPerSecond;
    }

    std::int64_t reads() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_reads;
    }

private:
    const Published &visibleFleet() const
    {
        return m_fault == Fault::Stale ? m_frozenFleet : m_fleet;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Published m_fleet;
    Published m_frozenFleet;
    Published m_frozenList;
    std::vector<Published> m_lists;
    Milliseconds m_listLag;
    Fault m_fault = Fault::None;
    std::int64_t m_reads = 0;
    std::int64_t m_weightCallsPerSecond;
    std::int64_t m_weightCalls = 0;
    Milliseconds m_weightSecond;
};

std::uint64_t numberOr(const std::string &text, std::uint64_t fallback)
{
    Poco::UInt64 number = 0;
    return Poco::NumberParser::tryParseUnsigned64(text, number) ? number : fallback;
}

void sendUnavailable(http::Exchange &exchange)
{
    exchange.send(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, iniType, "the platform is down\n");
}

void sendFleet(Platform &platform, http::Exchange &exchange)
{
    if (!platform.beginRead())
        return sendUnavailable(exchange);
    const std::uint64_t above = numberOr(exchange.query("above"), 0);
    const std::uint64_t wait = numberOr(exchange.query("wait"), 0);
    const std::int64_t waitMs = std::min(static_cast<std::int64_t>(wait), maxWaitMilliseconds);
    const Published fleet = platform.waitForFleet(above, Milliseconds(waitMs));
    exchange.response().set(http::versionHeader, std::to_string(fleet.version));
    if (fleet.version <= above)
        return exchange.send(HTTPResponse::HTTP_NOT_MODIFIED, iniType, "");
    exchange.send(HTTPResponse::HTTP_OK, iniType, fleet.text);
}

void sendInstances(Platform &platform, http::Exchange &exchange)
{
    if (!platform.beginRead())
        return sendUnavailable(exchange);
    const Published list = platform.instances();
    exchange.response().set(http::versionHeader, std::to_string(list.version));
    exchange.send(HTTPResponse::HTTP_OK, iniType, list.text);
}

void publishFleet(Platform &platform, http::Exchange &exchange)
{
    const Result<std::string> body = exchange.readBody(config::maxDocumentBytes);
    if (!body)
        return exchange.sendError(body.error());
    const tl::expected<config::FleetDocument, std::vector<config::Problem>> document =
        config::parseFleetDocument(*body, "fleet");
    // The real platform does not validate documents. With `force=1` a test can publish an invalid
    // one.
    const bool isForced = exchange.query("force") == "1";
    if (!document && !isForced) {
        return exchange.sendError({ ErrorId::InvalidDocument, Verdict::NotRun,
                                    config::describe(document.error().front()), Milliseconds() });
    }
    const std::uint64_t expectedVersion = numberOr(exchange.header("If-Match"), 0);
    const std::uint64_t version = document ? document->version : expectedVersion + 1;
    if (!platform.publishFleet(*body, version, expectedVersion)) {
        return exchange.sendError({ ErrorId::StaleDocument, Verdict::NotRun,
                                    "another version is published", Milliseconds() });
    }
    LOG(INFO) << "platform: published a fleet document version=" << version;
    exchange.send(HTTPResponse::HTTP_OK, iniType, "published\n");
}

void publishInstances(Platform &platform, http::Exchange &exchange)
{
    const Result<std::string> body = exchange.readBody(config::maxDocumentBytes);
    if (!body)
        return exchange.sendError(body.error());
    platform.publishInstances(*body);
    LOG(INFO) << "platform: published an instance list";
    exchange.send(HTTPResponse::HTTP_OK, iniType, "published\n");
}

void setFault(Platform &platform, http::Exchange &exchange)
{
    const std::string kind = exchange.query("kind");
    Fault fault = Fault::None;
    if (kind == "down")
        fault = Fault::Down;
    else if (kind == "stale")
        fault = Fault::Stale;
    else if (kind == "slow")
        fault = Fault::Slow;
    platform.setFault(fault);
    LOG(INFO) << "platform: fault set kind=" << kind;
    exchange.send(HTTPResponse::HTTP_OK, iniType, "set\n");
}

void sendWeights(Platform &platform, http::Exchange &exchange)
{
    if (!platform.tryAcquireWeightCall()) {
        exchange.response().set("Retry-After", "1");
        return exchange.send(HTTPResponse::HTTP_TOO_MANY_REQUESTS, iniType, "over the rate\n");
    }
    exchange.send(HTTPResponse::HTTP_OK, "application/octet-stream", exchange.pathSuffix());
}

void sendCallCounts(Platform &platform, http::Exchange &exchange)
{
    Poco::JSON::Object counts;
    counts.set("reads", platform.reads());
    std::ostringstream stream;
    counts.stringify(stream);
    exchange.send(HTTPResponse::HTTP_OK, "application/json", stream.str());
}

class PlatformService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "platform";

    PlatformService(std::string address, std::unique_ptr<Platform> platform)
        : m_address(std::move(address))
        , m_platform(std::move(platform))
    { }

    std::string_view name() const override { return serviceName; }

    void start() override
    {
        using Method = void (*)(Platform &, http::Exchange &);
        const auto route = [this](const char *method, const char *path, Method function) {
            m_server.route(method, path, [this, function](http::Exchange &exchange) {
                function(*m_platform, exchange);
            });
        };
        route("GET", "/v1/fleet", sendFleet);
        route("PUT", "/v1/fleet", publishFleet);
        route("GET", "/v1/instances", sendInstances);
        route("PUT", "/v1/instances", publishInstances);
        route("GET", "/v1/weights/", sendWeights);
        route("POST", "/v1/fault", setFault);
        route("GET", "/v1/calls", sendCallCounts);
        m_server.start(m_address);
        LOG(INFO) << "platform: listening address=" << m_address;
    }

    void stop() override
    {
        m_platform->setFault(Fault::Down);
        m_server.stop();
    }

private:
    std::string m_address;
    std::unique_ptr<Platform> m_platform;
    http::Server m_server;
};

std::string readFileOrExit(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        LOG(ERROR) << "platform: cannot read file=" << path;
        std::exit(kernel::exitBadSettings);
    }
    return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace

int main(int argc, char **argv)
{
    kernel::captureStopSignals();
    const kernel::Settings settings =
        kernel::Settings::loadOrExit(argc, argv, "Simulates the platform.", settingsSpecs());
    const config::SectionReader reader = settings.section("platform");
    std::unique_ptr<Platform> platform = std::make_unique<Platform>(
        readFileOrExit(reader.text("fleetFile")), readFileOrExit(reader.text("instancesFile")),
        Milliseconds(reader.integer("listLagMs")), reader.integer("weightCallsPerSecond"));
    kernel::Loop loop;
    kernel::ServiceRegistry registry;
    registry.add(std::make_unique<PlatformService>(reader.text("address"), std::move(platform)));
    return kernel::runDaemon(loop, registry);
}

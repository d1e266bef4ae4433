#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/limits/target_notices.h>
#include <egretmount/limits/target_rates.h>
#include <egretmount/placement/load_tracker.h>

#include "kernel/service.h"
#include "net/http_client.h"
#include "net/reactor.h"
#include "net/tcp_stream.h"
#include "platform/messages.h"
#include "platform/orders.h"
#include "target_limit_news.h"

namespace egretmount::node {

class FleetService;
class MetricsService;
class PeerService;
class ReachService;

/// @brief Health and load of one target, as observed by this instance.
struct TargetHealth
{
    int inFlight = 0; ///< Requests of this instance in flight at the target.
    int failuresInRow = 0;
    double failureRate = 0; ///< Share of recent sends that failed.
    Milliseconds lastReceivedAt; ///< When the target last sent any bytes.
    std::int64_t startedAt = 0; ///< Latest start stamp that the target itself has reported.
    Milliseconds ejectedUntil;
};

/// @brief Greatest length of a target's report, or of its response to an order.
constexpr std::size_t maxReportBytes = 256UL * 1024;

/// @brief A connection to a target for one request.
struct TargetConnection
{
    std::shared_ptr<net::TcpStream> stream;
    bool isReused = false;
    std::vector<std::uint64_t> requests; ///< Hashes of the ids of the latest requests on it.
};

/// @brief Pools idle connections to targets and tracks the health of each target.
class TargetPool : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "targets";

    TargetPool(net::Reactor &reactor, kernel::ServiceRegistry &registry);
    ~TargetPool() override;

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Returns an idle connection to a target, or opens a new one.
    /// @param needsNewConnection True for a request that must not be retried: if the target closes
    ///        a reused connection at that moment, it is unknown whether the request was executed.
    TargetConnection acquire(const fleet::TargetEntry &target, bool needsNewConnection,
                             const std::string &requestId, net::StreamListener *listener);

    /// @brief Returns a connection to the pool after a complete response. Closes it instead if it
    ///        cannot be reused or the pool is full.
    /// @param idleTimeout Time for which the target keeps the idle connection open, if stated.
    void release(const TargetId &target, TargetConnection connection,
                 std::optional<Milliseconds> idleTimeout);

    TargetHealth &health(placement::EngineKey target) { return m_health[target]; }

    /// @brief Returns the service that is notified of the events of connections to targets.
    ReachService &reach() const { return *m_reach; }

    /// @brief Records a successful send.
    void recordSuccess(placement::EngineKey target);

    /// @brief Records a send that failed at the target.
    /// @param isUnresponsive True if the target did not respond at all. It is then ejected for a
    ///        while, here and, unless this instance is at fault, at all others.
    void recordFailure(placement::EngineKey target, bool isUnresponsive);

    /// @brief Ejects a target that another instance reported as unresponsive.
    void ejectUntil(placement::EngineKey target, Milliseconds until);

    bool isEjected(placement::EngineKey target) const;

    /// @brief Records what a response says about the target that sent it.
    /// @param target The target that was called.
    /// @param startedAt Start stamp of the target that responded, if the response states it.
    void recordNotices(const fleet::TargetEntry &target, const platform::ResponseFields &response,
                       std::optional<std::int64_t> startedAt = std::nullopt);

    /// @brief Records that another instance knows a target to be leaving.
    /// @param startedAt Start stamp of the incarnation that leaves.
    void recordLeavingFromPeer(placement::EngineKey target, std::int64_t startedAt);

    /// @brief Records a rate limit, or its end, that another instance has heard of.
    void recordLimitFromPeer(const TargetLimitNews &news);

    /// @brief Returns the rate limits that are in force.
    std::vector<TargetLimitNews> limitsInForce() const;

    /// @brief Returns whether the target's responses allow to send it new work now.
    bool acceptsWork(const fleet::TargetEntry &target) const;

    /// @brief Returns whether the target wants no requests of this instance for a time.
    bool turnsAway(const fleet::TargetEntry &target) const;

    /// @brief Returns whether the target has sent notice that it is leaving.
    bool isLeaving(const fleet::TargetEntry &target) const;

    /// @brief Returns whether the target has named a rate limit.
    bool isLimited(const fleet::TargetEntry &target) const;

    /// @brief Takes one request from this instance's share of the target's rate limit, if it has
    ///        named one.
    /// @return False if the share is used up.
    bool tryAcquireSend(const TargetId &target);

    /// @brief Counts a call to a target that cannot be put off against its rate limit.
    void recordCall(const fleet::TargetEntry &target);

    /// @brief Returns whether new work may be sent to a target, by its responses and its entry.
    bool mayReceive(const TargetId &target) const;

    /// @brief Returns whether a target may prefill a shard of another target's prompt. One with a
    ///        rate limit may not: the shard would come beside the requests that are counted.
    bool mayHelp(const TargetId &target) const;

    /// @brief Returns whether any target has sent notice that it accepts no work, or not all.
    bool hasNotices() const { return !m_notices.byTarget.empty() || !m_rates.byTarget.empty(); }

    /// @brief Returns how long it takes until one of the targets accepts work again.
    /// @param targets Targets that only their responses keep from being used.
    /// @return Zero if one accepts work now; nothing if none will.
    std::optional<Milliseconds>
    timeUntilReturn(const std::vector<const fleet::Target *> &targets) const;

    /// @brief Asks a target for its load report to find out whether it still works on requests.
    ///
    /// Calls for the same target that overlap share one request. A target that turns requests away,
    /// or is at its rate limit, is not called and counts as busy.
    /// @param done Called once, not before this function returns.
    void probe(const fleet::TargetEntry &target, std::function<void(limits::TargetState)> done);

private:
    class IdleConnection;

    /// @brief A probe in progress.
    struct Probe
    {
        std::unique_ptr<net::HttpClient> client;
        std::vector<std::function<void(limits::TargetState)>> listeners;
    };

    /// @brief Forgets what was learnt of targets while this instance reached none.
    void onReachChanged();

    void recordLeaving(const fleet::TargetEntry &target, std::int64_t startedAt);
    void recordTurnedAway(const fleet::TargetEntry &target, std::int64_t startedAt,
                          std::optional<double> statedSeconds);
    void recordLimit(const fleet::TargetEntry &target, std::int64_t startedAt,
                     const platform::ResponseFields &response);
    void announceLimit(const fleet::TargetEntry &target);
    limits::RateSharing rateSharing() const;
    void onProbeEnded(placement::EngineKey target, limits::TargetState state);

    /// @brief Returns the entry of the target that sent a response, or nothing if it is unknown.
    /// @param target The target that was called.
    std::optional<fleet::TargetEntry> senderOf(const platform::ResponseFields &response,
                                               const fleet::TargetEntry &target) const;

    void closeIdle(const TargetId &target);
    void closeExpired();

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    MetricsService *m_metrics = nullptr;
    PeerService *m_peers = nullptr;
    ReachService *m_reach = nullptr;
    /// Keyed by target id.
    std::unordered_map<std::string, std::list<std::shared_ptr<IdleConnection>>> m_idle;
    std::unordered_map<placement::EngineKey, TargetHealth> m_health;
    std::unordered_map<placement::EngineKey, Probe> m_probes;
    /// Ejected here; it is being found out whether this instance is at fault.
    std::set<placement::EngineKey> m_ejectionsInQuestion;
    limits::TargetNotices m_notices;
    limits::TargetRates m_rates;
    std::map<TargetId, Milliseconds> m_limitsAnnouncedAt;
    InstanceId m_self;
};

} // namespace egretmount::node

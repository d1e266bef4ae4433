#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <egretmount/fleet/target_table.h>
#include <egretmount/limits/crash_causes.h>
#include <egretmount/placement/load_tracker.h>

#include "crash_update.h"
#include "kernel/service.h"
#include "net/http_client.h"
#include "net/reactor.h"

namespace egretmount::node {

class MetricsService;
class PeerService;
class ReachService;
class TargetPool;

/// @brief Finds out, together with the other instances, which requests crash targets, and sends
///        those to no further target.
class CrashGuard : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "crashes";

    CrashGuard(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Counts a request that this instance has received.
    void recordRequest(const std::string &route, const std::vector<limits::Cause> &causes);

    /// @brief Returns for how long a request may be sent to no target; nothing if it may be sent.
    std::optional<Milliseconds> blockedFor(const std::vector<limits::Cause> &causes) const;

    /// @brief Returns for how long a request that has been sent would be blocked; nothing if it may
    ///        run.
    std::optional<Milliseconds> blockedForRunning(const std::vector<limits::Cause> &causes) const;

    /// @brief Records that a request is sent. One whose block has ended is on trial.
    void recordSend(const std::vector<limits::Cause> &causes);

    /// @brief Returns whether one of the causes was in a request that may have crashed a target,
    ///        and none has proven sound since.
    bool isSuspected(const std::vector<limits::Cause> &causes) const;

    /// @brief Records that a target has survived a request.
    void recordSound(const std::vector<limits::Cause> &causes);

    /// @brief Finds out whether a target has crashed that ended a connection within a response.
    /// @param startedAt Start stamp of the target when the request was sent.
    /// @param causes In the request, unless the target had been writing on it for long.
    void onConnectionLost(const fleet::TargetEntry &target, std::int64_t startedAt,
                          const std::vector<limits::Cause> &causes);

    /// @brief Registers a listener for causes that are blocked from now on.
    void onBlocked(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

    /// @brief Applies what another instance has announced.
    void applyRemote(const std::string &host, const CrashUpdate &update);

    /// @brief Returns the blocked causes, and the crashes that this instance has recently observed.
    CrashUpdate snapshot() const;

private:
    /// @brief A call that finds out whether a target still runs.
    struct CrashCheck
    {
        std::shared_ptr<net::HttpClient> client;
        fleet::TargetEntry target;
        std::int64_t startedAt = 0;
        Milliseconds askedAt;
        std::set<limits::Cause> causes; ///< Of all requests that broke off at the target.
    };

    void onChecked(placement::EngineKey key, int status, const std::string &body);
    void recordOwnCrash(const limits::TargetCrash &crash);

    /// @brief Takes a crash into account, and announces the causes that it leads to block.
    void applyCrash(const limits::TargetCrash &crash, const std::string &host);
    /// @brief Tells the others of causes that this instance has accused and that are sound.
    void withdraw(const std::vector<limits::Cause> &cleared);
    /// @param isOwnCrash This instance has observed the crash that led to it.
    void announceBlocked(const std::vector<limits::Cause> &causes, bool isOwnCrash);
    void notifyListeners() const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    MetricsService *m_metrics = nullptr;
    PeerService *m_peers = nullptr;
    ReachService *m_reach = nullptr;
    TargetPool *m_targets = nullptr;
    limits::CrashCauses m_causes;
    std::deque<limits::TargetCrash> m_ownCrashes; ///< Observed by this instance.
    std::set<limits::Cause> m_announced; ///< Causes that this instance has suspected or blocked.
    std::unordered_map<placement::EngineKey, CrashCheck> m_checks;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace egretmount::node

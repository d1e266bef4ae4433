#pragma once

#include <functional>
#include <list>
#include <memory>
#include <random>
#include <vector>

#include <egretmount/fleet/target_table.h>
#include <egretmount/limits/reachability.h>

#include "kernel/service.h"
#include "net/reactor.h"
#include "net/tcp_stream.h"

namespace egretmount::node {

class FleetService;
class MetricsService;
class PeerService;

/// @brief Finds out whether this instance can connect to targets at all.
///
/// A failed connection may be the fault of its target or of this instance's network. Probes of
/// other targets, which only connect, distinguish the two; the other instances' contacts with
/// targets distinguish the latter from targets that have all failed.
class ReachService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "reach";

    ReachService(net::Reactor &reactor, kernel::ServiceRegistry &registry);
    ~ReachService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Returns whether this instance can connect to no target.
    bool reachesNone() const { return limits::reachOf(m_reach) == limits::Reach::NotReached; }

    /// @brief Returns when this instance last had contact with a target.
    Milliseconds contactAt() const { return m_reach.contactAt; }

    /// @name Events of connections to targets
    /// @{
    void onConnected(const TargetId &target);
    void onConnectFailed(const TargetId &target);
    void onBytes() { limits::recordBytes(m_reach, m_reactor.now()); }
    void onRequestSent() { limits::recordRequestSent(m_reach, m_reactor.now()); }
    void onRequestEnded() { limits::recordRequestEnded(m_reach); }
    /// @}

    /// @brief Finds out whether a target, or this instance, is at fault for a connection that has
    ///        just failed.
    /// @param done Called once, not before this function returns.
    void findFault(std::function<void(limits::Fault)> done);

    /// @brief Registers a listener that is called when this instance begins or ceases to reach
    ///        targets.
    void onChanged(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

private:
    class Probe;

    struct Question
    {
        Milliseconds failedAt;
        std::function<void(limits::Fault)> done;
    };

    /// @brief Probes targets after a connection has failed.
    void checkReach();
    void probe();
    void onProbeEnded(const TargetId &target, bool isConnected);
    void answerQuestions();
    void notifyListeners() const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    limits::Reachability m_reach;
    std::list<std::shared_ptr<Probe>> m_probes; ///< In progress.
    std::vector<Question> m_questions;
    std::vector<std::function<void()>> m_listeners;
    std::mt19937_64 m_random;
};

} // namespace egretmount::node

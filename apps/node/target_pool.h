#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include <egretmount/core/clock.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/placement/ledger.h>

#include "kernel/service.h"
#include "net/reactor.h"
#include "net/tcp_stream.h"

namespace egretmount::node {

class FleetService;
class PeerService;

/// @brief What this instance has seen of one target.
struct TargetHealth
{
    int inHand = 0; ///< Requests of this instance that the target has.
    int failuresInRow = 0;
    double failureRate = 0; ///< Share of recent sends that failed.
    Milliseconds lastHeard; ///< When it last sent anything.
    Milliseconds distrustedUntil;
};

/// @brief A connection to a target, for one request.
struct TargetConnection
{
    std::shared_ptr<net::TcpStream> stream;
    bool isReused = false;
};

/// @brief Connections to targets that wait for the next request, and what was seen of each target.
class TargetPool : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "targets";

    TargetPool(net::Reactor &reactor, kernel::ServiceRegistry &registry);
    ~TargetPool() override;

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Gives a connection for one request.
    /// @param mustBeFresh The request may not be repeated: a reused connection that the target
    ///        closes at this moment would leave open whether it has run.
    TargetConnection take(const fleet::TargetEntry &target, bool mustBeFresh,
                          net::StreamListener *listener);

    /// @brief Takes a connection back on which a whole answer has come and nothing else.
    /// @param idleTime How long the target keeps it, if it says so.
    void giveBack(const TargetId &target, const std::shared_ptr<net::TcpStream> &stream,
                  std::optional<Milliseconds> idleTime);

    TargetHealth &health(placement::EngineKey target) { return m_health[target]; }

    /// @brief Counts a send that ended well.
    void noteSuccess(placement::EngineKey target);

    /// @brief Counts a send that failed at the target.
    /// @param isSilent The target does not answer at all: all instances keep off it for a while.
    void noteFailure(placement::EngineKey target, bool isSilent);

    /// @brief Keeps off a target, as another instance says that it does not answer.
    void distrustUntil(placement::EngineKey target, Milliseconds until);

    bool isDistrusted(placement::EngineKey target) const;

private:
    class Idle;

    void closeIdle(const TargetId &target);
    void closeExpired();

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    PeerService *m_peers = nullptr;
    std::unordered_map<std::string, std::list<std::shared_ptr<Idle>>> m_idle; ///< By target id.
    std::unordered_map<placement::EngineKey, TargetHealth> m_health;
};

} // namespace egretmount::node

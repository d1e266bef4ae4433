#pragma once

#include <array>
#include <string>

#include <egretmount/instance/shutdown_plan.h>

#include "kernel/service.h"
#include "net/http_server.h"
#include "net/reactor.h"

namespace egretmount::node {

class DirectoryService;
class FleetService;
class IngressService;
class PeerService;
class PlacementService;
class RelayService;

/// @brief Shuts this instance down gracefully after a stop signal, and reloads changed settings.
///
/// A shutdown announces that the instance is leaving, refuses deferred requests, and goes through
/// the stages of `instance::ShutdownStage`. The process exits once no request is in hand and no
/// connection is open on which another one would be accepted, and callers have received all bytes.
class ShutdownService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "shutdown";

    /// @brief Installs the signal handlers, which only set flags. Call this first in `main`.
    static void installSignalHandlers();

    ShutdownService(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                    std::string settingsPath);

    std::string_view name() const override { return serviceName; }
    void start() override;

private:
    void onTick();
    void beginShutdown();
    void continueShutdown();

    /// @brief Closes what is no longer needed at a stage of the shutdown.
    void drain(instance::ShutdownStage stage);
    instance::Obligations obligations() const;

    /// @brief Answers the last requests for the directory, and stops the loop.
    /// @param elapsed Time since the stop signal.
    void finishShutdown(Milliseconds elapsed);

    /// @brief Returns the servers that accept requests from callers and for them.
    std::array<net::HttpServer *, 2> requestServers() const;
    void reloadIfChanged(bool isSignalled);

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    std::string m_settingsPath;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    PlacementService *m_placement = nullptr;
    IngressService *m_ingress = nullptr;
    RelayService *m_relay = nullptr;
    DirectoryService *m_directory = nullptr;
    std::string m_settingsText;
    Milliseconds m_shutdownStartedAt;
    Milliseconds m_nextSettingsCheckAt;
    bool m_isShuttingDown = false;
    bool m_isExiting = false;
    instance::ShutdownPlan m_plan;
    instance::ShutdownStage m_stage = instance::ShutdownStage::Announcing;
};

} // namespace egretmount::node

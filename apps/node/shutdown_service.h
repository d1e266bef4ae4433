#pragma once

#include "kernel/service.h"
#include "net/reactor.h"

namespace egretmount::node {

class DirectoryService;
class FleetService;
class IngressService;
class PeerService;

/// @brief Leaves in order after a stop signal, and takes in changed settings.
class ShutdownService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "shutdown";

    /// @brief Blocks nothing; its handlers only set flags. Call first in `main`.
    static void catchSignals();

    ShutdownService(net::Reactor &reactor, kernel::ServiceRegistry &registry, std::string settingsPath);

    std::string_view name() const override { return serviceName; }
    void start() override;

private:
    void check();
    void beginLeaving();
    void checkLeaving();
    void reloadIfChanged(bool isSignalled);

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    std::string m_settingsPath;
    FleetService *m_fleet = nullptr;
    PeerService *m_peers = nullptr;
    IngressService *m_ingress = nullptr;
    DirectoryService *m_directory = nullptr;
    std::string m_settingsText;
    Milliseconds m_leavingSince;
    Milliseconds m_nextSettingsCheck;
    bool m_isLeaving = false;
    bool m_hasStoppedAccepting = false;
};

} // namespace egretmount::node

#include "shutdown_service.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>

#include <glog/logging.h>

#include "directory_service.h"
#include "fleet_service.h"
#include "ingress_service.h"
#include "peer_service.h"
#include "placement_service.h"
#include "platform/settings.h"
#include "relay_service.h"

namespace egretmount::node {

namespace {

using instance::ShutdownStage;

std::atomic<bool> stopRequested = false;
std::atomic<bool> reloadRequested = false;

constexpr Milliseconds checkInterval = Milliseconds(50);
constexpr Milliseconds shutdownCheckInterval = Milliseconds(20); // a late exit would be a kill
// Changes of the settings file are also detected without SIGHUP.
constexpr Milliseconds settingsCheckInterval = Milliseconds(1'000);
// Time for the next request on a connection whose last response did not announce its end.
constexpr Milliseconds maxIdleTime = Milliseconds(300);
// Callers read the ends of their connections before the process exits.
constexpr Milliseconds exitDelay = Milliseconds(100);

void onSignal(int signal)
{
    if (signal == SIGHUP)
        reloadRequested = true;
    else
        stopRequested = true;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

void ShutdownService::installSignalHandlers()
{
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGHUP, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

ShutdownService::ShutdownService(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                                 std::string settingsPath)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_settingsPath(std::move(settingsPath))
{ }

void ShutdownService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    m_placement = &m_registry.find<PlacementService>();
    m_ingress = &m_registry.find<IngressService>();
    m_relay = &m_registry.find<RelayService>();
    m_directory = &m_registry.find<DirectoryService>();
    m_settingsText = readFile(m_settingsPath);
    m_reactor.every(checkInterval, [this] { onTick(); });
}

void ShutdownService::onTick()
{
    if (m_isShuttingDown)
        return;
    if (stopRequested) {
        beginShutdown();
        return;
    }
    const bool isSignalled = reloadRequested.exchange(false);
    if (isSignalled || m_reactor.now() >= m_nextSettingsCheckAt) {
        m_nextSettingsCheckAt = m_reactor.now() + settingsCheckInterval;
        reloadIfChanged(isSignalled);
    }
}

void ShutdownService::beginShutdown()
{
    m_isShuttingDown = true;
    m_shutdownStartedAt = m_reactor.now();
    m_plan = instance::shutdownPlan(m_fleet->settings().shutdownGrace);
    LOG(INFO) << "shutdown: stage=announcing grace_ms="
              << m_fleet->settings().shutdownGrace.count();
    m_directory->setStopping();
    m_peers->announceLeaving();
    // They have not run, and other instances can place them while this one drains.
    m_placement->stopDeferring();
    m_ingress->retryDeferred();
    m_reactor.every(shutdownCheckInterval, [this] { continueShutdown(); });
}

void ShutdownService::continueShutdown()
{
    if (m_isExiting)
        return;
    const Milliseconds elapsed = m_reactor.now() - m_shutdownStartedAt;
    const ShutdownStage stage = instance::shutdownStage(m_plan, elapsed);
    if (stage != m_stage) {
        const instance::Obligations owed = obligations();
        LOG(INFO) << "shutdown: stage=" << nameOf(stage) << " after_ms=" << elapsed.count()
                  << " requests=" << owed.requests << " connections=" << owed.connections;
        m_stage = stage;
    }
    drain(stage);
    if (instance::mayExit(stage, obligations()))
        finishShutdown(elapsed);
}

void ShutdownService::drain(ShutdownStage stage)
{
    if (stage < ShutdownStage::Draining)
        return;
    m_ingress->closeAfterResponses();
    if (stage >= ShutdownStage::Refusing)
        m_ingress->refuseNew();
    const bool isAborting = stage >= ShutdownStage::Aborting;
    for (net::HttpServer *server : requestServers()) {
        server->stopAccepting();
        server->closeIdle(isAborting ? Milliseconds() : maxIdleTime);
        if (isAborting)
            server->refuseIncomplete(503);
    }
    if (isAborting)
        m_ingress->endAll();
}

void ShutdownService::finishShutdown(Milliseconds elapsed)
{
    const instance::Obligations owed = obligations();
    LOG(INFO) << "shutdown: stopping after_ms=" << elapsed.count() << " requests=" << owed.requests
              << " connections=" << owed.connections << " unsent_bytes=" << owed.bytes;
    m_isExiting = true;
    m_directory->closeAll();
    const Milliseconds timeLeft = std::max(m_plan.exiting - elapsed, Milliseconds());
    m_reactor.after(std::min(exitDelay, timeLeft), [this] { m_reactor.stop(); });
}

instance::Obligations ShutdownService::obligations() const
{
    instance::Obligations owed;
    owed.requests = m_ingress->requestsInHand();
    for (const net::HttpServer *server : requestServers())
        owed.connections += server->openConnections();
    if (owed.requests > 0 || owed.connections > 0)
        return owed; // the process does not exit yet, and counting the bytes costs system calls
    for (const net::HttpServer *server : requestServers())
        owed.bytes += server->undelivered();
    return owed;
}

std::array<net::HttpServer *, 2> ShutdownService::requestServers() const
{
    return { &m_ingress->server(), &m_relay->server() };
}

void ShutdownService::reloadIfChanged(bool isSignalled)
{
    const std::string text = readFile(m_settingsPath);
    if (text == m_settingsText)
        return;
    m_settingsText = text;
    const tl::expected<instance::Settings, std::string> settings = platform::parseSettings(text);
    if (!settings) {
        LOG(ERROR) << "settings: invalid change ignored reason=\"" << settings.error() << '"';
        return;
    }
    LOG(INFO) << "settings: reloaded signalled=" << isSignalled
              << " contacts=" << settings->contacts.size();
    m_fleet->setSettings(*settings);
    m_peers->setContacts(settings->contacts);
}

} // namespace egretmount::node

#include "shutdown_service.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>

#include <glog/logging.h>

#include "directory_service.h"
#include "fleet_service.h"
#include "ingress_service.h"
#include "peer_service.h"
#include "platform/settings.h"

namespace egretmount::node {

namespace {

std::atomic<bool> stopRequested = false;
std::atomic<bool> reloadRequested = false;

constexpr Milliseconds checkInterval = Milliseconds(50);
constexpr Milliseconds settingsInterval = Milliseconds(1'000); // for changes without a signal
// The other instances name this one for a moment longer, and callers keep answers: connections
// are taken until most of them have turned elsewhere.
constexpr Milliseconds acceptTime = Milliseconds(1'500);
// Requests on kept connections are served until this share of the grace, then refused.
constexpr double serveShare = 0.4;
// What is still under way at this share of the grace is ended, before the kill.
constexpr double endShare = 0.94;
constexpr Milliseconds quietTime = Milliseconds(300); // without requests before the end

void onSignal(int signal)
{
    if (signal == SIGHUP)
        reloadRequested = true;
    else
        stopRequested = true;
}

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Milliseconds shareOf(Milliseconds time, double share)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

} // namespace

void ShutdownService::catchSignals()
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
    m_ingress = &m_registry.find<IngressService>();
    m_directory = &m_registry.find<DirectoryService>();
    m_settingsText = fileText(m_settingsPath);
    m_reactor.every(checkInterval, [this] { check(); });
}

void ShutdownService::check()
{
    if (m_isLeaving) {
        checkLeaving();
        return;
    }
    if (stopRequested) {
        beginLeaving();
        return;
    }
    const bool isSignalled = reloadRequested.exchange(false);
    if (isSignalled || m_reactor.now() >= m_nextSettingsCheck) {
        m_nextSettingsCheck = m_reactor.now() + settingsInterval;
        reloadIfChanged(isSignalled);
    }
}

void ShutdownService::beginLeaving()
{
    m_isLeaving = true;
    m_leavingSince = m_reactor.now();
    LOG(INFO) << "shutdown: leaving grace_ms=" << m_fleet->settings().shutdownGrace.count();
    m_directory->setStopping();
    m_peers->announceLeaving();
}

void ShutdownService::checkLeaving()
{
    const Milliseconds now = m_reactor.now();
    const Milliseconds since = now - m_leavingSince;
    const Milliseconds grace = m_fleet->settings().shutdownGrace;
    if (!m_hasStoppedAccepting && since >= acceptTime) {
        m_hasStoppedAccepting = true;
        m_ingress->stopAccepting();
    }
    if (since >= shareOf(grace, serveShare))
        m_ingress->refuseNew();
    const bool isQuiet = m_ingress->isQuiet() && now - m_ingress->lastRequestAt() >= quietTime;
    const bool mustEnd = since >= shareOf(grace, endShare);
    if (!(m_hasStoppedAccepting && isQuiet) && !mustEnd)
        return;
    LOG(INFO) << "shutdown: ending after_ms=" << since.count() << " quiet=" << isQuiet;
    m_ingress->endAll();
    m_reactor.after(Milliseconds(100), [this] { m_reactor.stop(); });
}

void ShutdownService::reloadIfChanged(bool isSignalled)
{
    const std::string text = fileText(m_settingsPath);
    if (text == m_settingsText)
        return;
    m_settingsText = text;
    const tl::expected<instance::Settings, std::string> settings = platform::parseSettings(text);
    if (!settings) {
        LOG(ERROR) << "settings: change ignored reason=\"" << settings.error() << '"';
        return;
    }
    LOG(INFO) << "settings: reloaded signalled=" << isSignalled
              << " contacts=" << settings->contacts.size();
    m_fleet->setSettings(*settings);
    m_peers->setContacts(settings->contacts);
}

} // namespace egretmount::node

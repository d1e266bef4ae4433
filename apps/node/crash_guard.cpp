#include "crash_guard.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/core/hash.h>
#include <egretmount/limits/response_end.h>

#include "fleet_service.h"
#include "id_text.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "platform/messages.h"
#include "platform/orders.h"
#include "reach_service.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// The port of a crashed process refuses connections at once; only a cut-off one takes so long.
constexpr Milliseconds crashCheckTimeout = Milliseconds(400);
constexpr Milliseconds expirySweepInterval = Milliseconds(5'000);
// Snapshots repeat a crash for this long, for instances that have missed its announcement.
constexpr Milliseconds crashRepeatTime = Milliseconds(30'000);
constexpr std::size_t maxAnnounced = 10'000;
// A snapshot is one datagram, which also holds the requests of the instance.
constexpr std::size_t maxCrashesInSnapshot = 16;
constexpr std::size_t maxCausesInSnapshot = 256;
// Stands for the reporting host in a log line about a crash that this instance has observed.
const std::string ownCrash = "self";

} // namespace

CrashGuard::CrashGuard(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

void CrashGuard::start()
{
    m_causes.instance = stableHash(m_registry.find<FleetService>().settings().host);
    m_targets = &m_registry.find<TargetPool>();
    m_peers = &m_registry.find<PeerService>();
    m_reach = &m_registry.find<ReachService>();
    m_metrics = &m_registry.find<MetricsService>();
    m_metrics->addGauge("blocked_causes",
                        [this] { return static_cast<double>(m_causes.blocked.size()); });
    m_metrics->addGauge("suspected_target_crashes",
                        [this] { return static_cast<double>(m_causes.crashes.size()); });
    m_reactor.every(expirySweepInterval, [this] {
        const Milliseconds now = m_reactor.now();
        limits::removeExpired(m_causes, now);
        while (!m_ownCrashes.empty() && now - m_ownCrashes.front().at >= crashRepeatTime)
            m_ownCrashes.pop_front();
        if (m_announced.size() > maxAnnounced)
            m_announced.clear();
    });
}

void CrashGuard::recordRequest(const std::string &route, const std::vector<limits::Cause> &causes)
{
    limits::recordRequest(m_causes, stableHash(route), causes, m_reactor.now());
}

std::optional<Milliseconds> CrashGuard::blockedFor(const std::vector<limits::Cause> &causes) const
{
    return limits::blockedFor(m_causes, causes, m_reactor.now());
}

bool CrashGuard::isSuspected(const std::vector<limits::Cause> &causes) const
{
    return limits::isSuspected(m_causes, causes);
}

std::optional<Milliseconds>
CrashGuard::blockedForRunning(const std::vector<limits::Cause> &causes) const
{
    return limits::blockedForRunning(m_causes, causes, m_reactor.now());
}

void CrashGuard::recordSend(const std::vector<limits::Cause> &causes)
{
    CrashUpdate update;
    update.blocked = limits::recordSend(m_causes, causes, m_reactor.now());
    if (update.isEmpty())
        return;
    for (const limits::BlockedCause &heldBack : update.blocked) {
        LOG(INFO) << "crashes: request on trial cause=" << causeText(heldBack.cause);
        m_announced.insert(heldBack.cause);
    }
    m_peers->broadcastCrashUpdate(update);
}

void CrashGuard::recordSound(const std::vector<limits::Cause> &causes)
{
    const std::vector<limits::Cause> cleared =
        limits::recordSound(m_causes, causes, m_reactor.now());
    if (cleared.empty())
        return;
    LOG(INFO) << "crashes: causes cleared causes=" << joinCauses(cleared) << " from=response";
    for (const limits::Cause &cause : cleared)
        m_announced.erase(cause);
    CrashUpdate update;
    update.sound = cleared;
    m_peers->broadcastCrashUpdate(update);
}

void CrashGuard::onConnectionLost(const fleet::TargetEntry &target, std::int64_t startedAt,
                                  const std::vector<limits::Cause> &causes)
{
    if (m_targets->turnsAway(target))
        return;
    const std::vector<limits::Cause> unproven = limits::unprovenCauses(m_causes, causes);
    if (unproven.empty())
        return;
    const placement::EngineKey key = keyOf(target.id);
    CrashCheck &check = m_checks[key];
    for (const limits::Cause &cause : unproven) {
        if (check.causes.size() < limits::maxCausesPerCrash)
            check.causes.insert(cause);
    }
    if (check.client)
        return;
    check.target = target;
    check.startedAt = startedAt;
    check.askedAt = m_reactor.now();
    check.client = std::make_shared<net::HttpClient>(m_reactor, target.address);
    check.client->setMaxBody(maxReportBytes);
    m_targets->recordCall(target);
    check.client->get(
        std::string(platform::reportPath()), crashCheckTimeout,
        [this, key](int status, const std::string &body) { onChecked(key, status, body); });
}

void CrashGuard::onChecked(placement::EngineKey key, int status, const std::string &body)
{
    const auto found = m_checks.find(key);
    const CrashCheck check = std::move(found->second);
    m_checks.erase(found);
    // Deferred because it destroys the client that runs this callback.
    m_reactor.defer([client = check.client] {});
    limits::EndReport report = platform::endReportOf(status, body);
    report.isListening = check.client->hasConnected();
    m_targets->recordNotices(check.target,
                             platform::readResponseFields(check.client->responseHead()),
                             platform::startStampOf(body));
    // No evidence of a crash: the network between this instance and the target is at fault.
    const bool isCutOff =
        !report.isListening && m_reactor.now() - check.askedAt >= crashCheckTimeout;
    const bool hasCrashed = !isCutOff && limits::hasRestartedOrEnded(report, check.startedAt);
    LOG(INFO) << "crashes: connection lost target=" << check.target.id.value
              << " crashed=" << hasCrashed << " cut_off=" << isCutOff
              << " listening=" << report.isListening << " responded=" << report.hasResponded
              << " started_at=" << report.startedAt << " expected=" << check.startedAt
              << " causes=" << joinCauses(check.causes);
    if (!hasCrashed)
        return;
    const limits::TargetCrash crash { key, check.askedAt, check.causes };
    if (report.hasResponded) {
        recordOwnCrash(crash); // a later process of the target has said so
        return;
    }
    // A network that cuts this instance off refuses connections just as a crashed target does.
    m_reach->findFault([this, crash](limits::Fault fault) {
        if (fault == limits::Fault::Target)
            recordOwnCrash(crash);
        else
            LOG(INFO) << "crashes: crash not counted target=" << crash.target
                      << " fault=" << nameOf(fault) << " causes=" << joinCauses(crash.causes);
    });
}

void CrashGuard::recordOwnCrash(const limits::TargetCrash &crash)
{
    m_ownCrashes.push_back(crash);
    if (m_ownCrashes.size() > limits::maxTargetCrashes)
        m_ownCrashes.pop_front();
    m_announced.insert(crash.causes.begin(), crash.causes.end());
    CrashUpdate update;
    update.crashes.push_back(crash);
    m_peers->broadcastCrashUpdate(update);
    applyCrash(crash, ownCrash);
}

void CrashGuard::applyCrash(const limits::TargetCrash &crash, const std::string &host)
{
    const Milliseconds now = m_reactor.now();
    const std::vector<limits::Cause> causes(crash.causes.begin(), crash.causes.end());
    const std::size_t knownCrashes = m_causes.crashes.size();
    const std::vector<limits::Cause> blocked =
        limits::recordCrash(m_causes, crash.target, causes, crash.at, now);
    if (m_causes.crashes.size() != knownCrashes) {
        LOG(INFO) << "crashes: crash recorded target=" << crash.target << " from=" << host
                  << " age_ms=" << (now - crash.at).count() << " causes=" << joinCauses(causes);
    }
    for (const limits::Cause &cause : blocked) {
        LOG(WARNING) << "crashes: cause blocked cause=" << causeText(cause)
                     << " crashes=" << limits::crashCount(m_causes, cause)
                     << " last_target=" << crash.target << " from=" << host
                     << " for_ms=" << blockedFor({ cause }).value_or(Milliseconds()).count();
    }
    if (blocked.empty())
        return;
    announceBlocked(blocked, host == ownCrash);
    notifyListeners();
}

void CrashGuard::announceBlocked(const std::vector<limits::Cause> &causes, bool isOwnCrash)
{
    CrashUpdate update;
    for (const limits::Cause &cause : causes) {
        // All instances that receive the crash block the request themselves.
        if (!isOwnCrash && cause.kind == limits::CauseKind::Request)
            continue;
        m_announced.insert(cause);
        update.blocked.push_back({ cause, m_causes.blocked.at(cause) });
    }
    if (!update.isEmpty())
        m_peers->broadcastCrashUpdate(update);
}

void CrashGuard::applyRemote(const std::string &host, const CrashUpdate &update)
{
    const Milliseconds now = m_reactor.now();
    const std::vector<limits::Cause> cleared = limits::recordSound(m_causes, update.sound, now);
    if (!cleared.empty())
        LOG(INFO) << "crashes: causes cleared causes=" << joinCauses(cleared) << " from=" << host;
    withdraw(cleared);
    // Only to the sender, which passes it on once: many instances may know of the same cause.
    CrashUpdate reply;
    bool hasNewBlock = false;
    for (const limits::BlockedCause &blocked : update.blocked) {
        if (limits::recordBlock(m_causes, blocked.cause, blocked.block, now)) {
            hasNewBlock = true;
            LOG(WARNING) << "crashes: cause blocked cause=" << causeText(blocked.cause)
                         << " from=" << host << " age_ms=" << (now - blocked.block.from).count()
                         << " for_ms=" << (blocked.block.until - now).count();
        } else if (limits::isSound(m_causes, blocked.cause)) {
            reply.sound.push_back(blocked.cause);
        }
    }
    for (const limits::TargetCrash &crash : update.crashes) {
        std::copy_if(crash.causes.begin(), crash.causes.end(), std::back_inserter(reply.sound),
                     [&](const limits::Cause &cause) { return limits::isSound(m_causes, cause); });
        applyCrash(crash, host);
    }
    if (!reply.isEmpty())
        m_peers->sendCrashUpdate(host, reply);
    if (hasNewBlock)
        notifyListeners();
}

void CrashGuard::withdraw(const std::vector<limits::Cause> &cleared)
{
    CrashUpdate update;
    std::copy_if(cleared.begin(), cleared.end(), std::back_inserter(update.sound),
                 [&](const limits::Cause &cause) { return m_announced.erase(cause) > 0; });
    if (!update.isEmpty())
        m_peers->broadcastCrashUpdate(update);
}

CrashUpdate CrashGuard::snapshot() const
{
    CrashUpdate update;
    const Milliseconds now = m_reactor.now();
    for (const auto &[cause, block] : m_causes.blocked) {
        if (now < block.until)
            update.blocked.push_back({ cause, block });
    }
    std::size_t causes = 0;
    for (auto crash = m_ownCrashes.rbegin(); crash != m_ownCrashes.rend(); ++crash) {
        const std::vector<limits::Cause> unproven = limits::unprovenCauses(
            m_causes, std::vector<limits::Cause>(crash->causes.begin(), crash->causes.end()));
        causes += unproven.size();
        if (now - crash->at >= crashRepeatTime || update.crashes.size() >= maxCrashesInSnapshot
            || causes > maxCausesInSnapshot)
            break;
        if (!unproven.empty())
            update.crashes.push_back(
                { crash->target, crash->at, { unproven.begin(), unproven.end() } });
    }
    return update;
}

void CrashGuard::notifyListeners() const
{
    for (const std::function<void()> &listener : m_listeners)
        listener();
}

} // namespace egretmount::node

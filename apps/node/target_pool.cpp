#include "target_pool.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include <egretmount/core/hash.h>

#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_service.h"
#include "reach_service.h"

namespace egretmount::node {

namespace {

// Assumed for targets that do not state how long they keep idle connections open.
constexpr Milliseconds defaultIdleTimeout = Milliseconds(2'000);
// Idle connections are closed this long before the target would close them.
constexpr Milliseconds idleMargin = Milliseconds(700);
constexpr Milliseconds idleSweepInterval = Milliseconds(250);
constexpr Milliseconds noticeSweepInterval = Milliseconds(1'000);
// Enough for a burst of requests from one instance to one target.
constexpr std::size_t maxIdlePerTarget = 16;
// On one connection, a repeated response follows the original within a few requests.
constexpr std::size_t maxRememberedRequests = 16;
// The ejection time doubles with each consecutive failure, up to the maximum.
constexpr Milliseconds initialEjectionTime = Milliseconds(700);
constexpr Milliseconds maxEjectionTime = Milliseconds(5'000);
constexpr double failureSmoothing = 0.1; // averages over about the last ten sends
// A report needs no slot, so a working target returns it within milliseconds.
constexpr Milliseconds probeTimeout = Milliseconds(400);
// How often an instance that hears a limit again and again passes it on.
constexpr Milliseconds limitAnnouncementInterval = Milliseconds(5'000);

} // namespace

/// @brief An idle connection. It becomes unusable when bytes arrive or the peer closes it.
class TargetPool::IdleConnection : private net::StreamListener
{
public:
    IdleConnection(TargetConnection connection, Milliseconds until)
        : m_connection(std::move(connection))
        , m_until(until)
    {
        m_connection.stream->setListener(this);
    }
    ~IdleConnection() override
    {
        if (m_connection.stream)
            m_connection.stream->close();
    }

    bool isUsable(Milliseconds now) const
    {
        return m_connection.stream && m_connection.stream->isOpen() && now < m_until;
    }

    /// @brief Returns whether a request was among the latest ones on the connection.
    bool hasCarried(std::uint64_t request) const
    {
        return std::find(m_connection.requests.begin(), m_connection.requests.end(), request)
               != m_connection.requests.end();
    }

    TargetConnection acquire() { return std::exchange(m_connection, {}); }

private:
    // Unsolicited bytes, such as a second response, must not reach the next caller.
    void onBytes() override { m_connection.stream->close(); }
    void onEnd(net::StreamEnd) override { }

    TargetConnection m_connection;
    Milliseconds m_until;
};

TargetPool::TargetPool(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

TargetPool::~TargetPool() = default;

void TargetPool::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_metrics = &m_registry.find<MetricsService>();
    m_peers = &m_registry.find<PeerService>();
    m_reach = &m_registry.find<ReachService>();
    m_self = InstanceId(m_fleet->settings().host);
    m_metrics->addGauge("limited_targets",
                        [this] { return static_cast<double>(limitsInForce().size()); });
    m_fleet->onTargetEnded([this](const TargetId &id) {
        closeIdle(id);
        TargetHealth &health = m_health[keyOf(id)];
        health.failuresInRow = 0;
        health.failureRate = 0;
        health.ejectedUntil = Milliseconds();
    });
    m_reach->onChanged([this] { onReachChanged(); });
    m_reactor.every(idleSweepInterval, [this] { closeExpired(); });
    m_reactor.every(noticeSweepInterval, [this] {
        limits::removeOutdated(m_notices, m_fleet->table(), m_reactor.now());
        limits::removeOutdated(m_rates, m_fleet->table(), m_reactor.now());
    });
}

TargetConnection TargetPool::acquire(const fleet::TargetEntry &target, bool needsNewConnection,
                                     const std::string &requestId, net::StreamListener *listener)
{
    std::list<std::shared_ptr<IdleConnection>> &idle = m_idle[target.id.value];
    const std::uint64_t request = stableHash(requestId);
    TargetConnection connection;
    // The most recently used connection is the least likely to be stale.
    for (auto position = idle.end(); !needsNewConnection && position != idle.begin();) {
        --position;
        if (!(*position)->isUsable(m_reactor.now())) {
            position = idle.erase(position);
            continue;
        }
        // A target that repeats an earlier response would seem to answer the request that is sent
        // again.
        if ((*position)->hasCarried(request))
            continue;
        connection = (*position)->acquire();
        connection.stream->setListener(listener);
        connection.isReused = true;
        idle.erase(position);
        break;
    }
    if (!connection.stream)
        connection.stream = net::TcpStream::connect(m_reactor, target.address, listener);
    if (connection.requests.size() >= maxRememberedRequests)
        connection.requests.erase(connection.requests.begin());
    connection.requests.push_back(request);
    return connection;
}

void TargetPool::release(const TargetId &target, TargetConnection connection,
                         std::optional<Milliseconds> idleTimeout)
{
    std::list<std::shared_ptr<IdleConnection>> &idle = m_idle[target.value];
    const Milliseconds time = idleTimeout.value_or(defaultIdleTimeout) - idleMargin;
    if (!connection.stream->isOpen() || !connection.stream->input().empty()
        || time <= Milliseconds() || idle.size() >= maxIdlePerTarget) {
        connection.stream->close();
        return;
    }
    idle.push_back(std::make_shared<IdleConnection>(std::move(connection), m_reactor.now() + time));
}

void TargetPool::recordSuccess(placement::EngineKey target)
{
    TargetHealth &health = m_health[target];
    health.failuresInRow = 0;
    health.failureRate -= health.failureRate * failureSmoothing;
}

void TargetPool::recordFailure(placement::EngineKey target, bool isUnresponsive)
{
    TargetHealth &health = m_health[target];
    ++health.failuresInRow;
    health.failureRate += (1 - health.failureRate) * failureSmoothing;
    // A target that responds at all is alive. Its failure rate already makes it a worse choice, and
    // an ejection would only overload the other targets.
    if (!isUnresponsive)
        return;
    const int doublings = std::min(health.failuresInRow - 1, 4);
    const Milliseconds time =
        std::min(initialEjectionTime * (std::int64_t(1) << doublings), maxEjectionTime);
    health.ejectedUntil = std::max(health.ejectedUntil, m_reactor.now() + time);
    LOG(INFO) << "targets: target ejected target=" << target << " failures=" << health.failuresInRow
              << " for_ms=" << time.count();
    if (!m_ejectionsInQuestion.insert(target).second)
        return;
    m_reach->findFault([this, target](limits::Fault fault) {
        m_ejectionsInQuestion.erase(target);
        if (fault == limits::Fault::Target)
            m_peers->broadcastEjection(target);
    });
}

void TargetPool::onReachChanged()
{
    if (m_reach->reachesNone()) {
        m_idle.clear(); // most of these connections are cut as well
        return;
    }
    for (auto &[target, health] : m_health)
        health.ejectedUntil = Milliseconds();
}

void TargetPool::ejectUntil(placement::EngineKey target, Milliseconds until)
{
    TargetHealth &health = m_health[target];
    if (m_reactor.now() >= health.ejectedUntil)
        LOG(INFO) << "targets: target ejected by another instance target=" << target;
    health.ejectedUntil = std::max(health.ejectedUntil, until);
}

bool TargetPool::isEjected(placement::EngineKey target) const
{
    const auto found = m_health.find(target);
    return found != m_health.end() && m_reactor.now() < found->second.ejectedUntil;
}

std::optional<fleet::TargetEntry> TargetPool::senderOf(const platform::ResponseFields &response,
                                                       const fleet::TargetEntry &target) const
{
    const std::map<TargetId, fleet::Target> &targets = m_fleet->table().targets;
    if (!response.respondingTarget.empty() && response.respondingTarget != target.id.value) {
        const auto found = targets.find(TargetId(response.respondingTarget));
        return found != targets.end() ? std::optional<fleet::TargetEntry>(found->second.entry)
                                      : std::nullopt;
    }
    if (!response.isMisdirected)
        return target;
    // Another target uses the address now.
    const auto found = std::find_if(targets.begin(), targets.end(), [&](const auto &one) {
        return one.second.entry.address == target.address && one.first != target.id;
    });
    return found != targets.end() ? std::optional<fleet::TargetEntry>(found->second.entry)
                                  : std::nullopt;
}

void TargetPool::recordNotices(const fleet::TargetEntry &target,
                               const platform::ResponseFields &response,
                               std::optional<std::int64_t> startedAt)
{
    // Only the response to a request tells that a target names no limit any more.
    const bool mayEndLimit = response.isSigned && m_rates.byTarget.count(target.id) > 0;
    if (!response.isLeaving && !response.isTurnedAway && !response.isLimited && !mayEndLimit)
        return;
    const std::optional<fleet::TargetEntry> sender = senderOf(response, target);
    if (!sender)
        return;
    const std::int64_t start = startedAt.value_or(sender->startedAt);
    if (response.isLimited || mayEndLimit)
        recordLimit(*sender, start, response);
    if (response.isLeaving)
        recordLeaving(*sender, start);
    if (response.isTurnedAway)
        recordTurnedAway(*sender, start, response.turnAwaySeconds);
}

void TargetPool::recordLeaving(const fleet::TargetEntry &target, std::int64_t startedAt)
{
    if (!limits::recordLeaving(m_notices, target.id, startedAt, m_reactor.now()))
        return;
    LOG(INFO) << "targets: target leaving target=" << target.id.value << " started=" << startedAt
              << " listed_draining=" << target.isDraining << " from=response";
    m_metrics->countTargetNotice(TargetNoticeKind::Leaving);
    // The registry notifies the other instances of a target that is listed as draining.
    if (!target.isDraining)
        m_peers->broadcastLeaving(keyOf(target.id), startedAt);
}

void TargetPool::recordTurnedAway(const fleet::TargetEntry &target, std::int64_t startedAt,
                                  std::optional<double> statedSeconds)
{
    const limits::TurnAway turnAway = limits::turnAwayOf(statedSeconds);
    const Milliseconds time =
        limits::spreadReturn(turnAway.time, stableHash(m_fleet->settings().host, keyOf(target.id)));
    const Milliseconds now = m_reactor.now();
    if (!limits::recordTurnedAway(m_notices, target.id, startedAt, now + time, now))
        return; // responses to requests that were on their way are not logged
    if (turnAway.isCorrected) {
        LOG(WARNING) << "targets: Retry-After out of range target=" << target.id.value
                     << " stated=" << (statedSeconds ? std::to_string(*statedSeconds) : "malformed")
                     << " used_ms=" << turnAway.time.count();
    }
    LOG(INFO) << "targets: target turned requests away target=" << target.id.value
              << " started=" << startedAt << " for_ms=" << time.count()
              << " stated_ms=" << turnAway.time.count();
    m_metrics->countTargetNotice(TargetNoticeKind::TurnedAway);
}

void TargetPool::recordLimit(const fleet::TargetEntry &target, std::int64_t startedAt,
                             const platform::ResponseFields &response)
{
    const Milliseconds now = m_reactor.now();
    if (!response.isLimited) {
        if (!limits::recordUnlimited(m_rates, target.id, startedAt, now))
            return;
        LOG(INFO) << "targets: target names no limit any more target=" << target.id.value
                  << " started=" << startedAt << " from=response";
        announceLimit(target);
        return;
    }
    if (!response.requestsPerSecond) {
        LOG_EVERY_N(WARNING, 100) << "targets: malformed limit ignored target=" << target.id.value;
        return;
    }
    const bool hasChanged =
        limits::recordRate(m_rates, target.id, startedAt, *response.requestsPerSecond, now, now);
    if (hasChanged) {
        LOG(INFO) << "targets: target names a limit target=" << target.id.value
                  << " started=" << startedAt << " per_second=" << *response.requestsPerSecond
                  << " share="
                  << limits::rateShare(m_rates.byTarget.at(target.id), target.id, rateSharing(),
                                       now)
                  << " from=response";
        m_metrics->countTargetNotice(TargetNoticeKind::Limited);
    }
    if (hasChanged || now - m_limitsAnnouncedAt[target.id] >= limitAnnouncementInterval)
        announceLimit(target);
}

void TargetPool::announceLimit(const fleet::TargetEntry &target)
{
    const limits::TargetRate &rate = m_rates.byTarget.at(target.id);
    m_limitsAnnouncedAt[target.id] = m_reactor.now();
    m_peers->broadcastLimit({ keyOf(target.id), rate.startedAt, rate.perSecond, rate.heardAt });
}

void TargetPool::recordLimitFromPeer(const TargetLimitNews &news)
{
    const fleet::Target *known = m_fleet->findTarget(news.target);
    if (known == nullptr)
        return; // its own responses will say so
    const TargetId &id = known->entry.id;
    const bool hasChanged =
        news.perSecond > 0 ? limits::recordRate(m_rates, id, news.startedAt, news.perSecond,
                                                news.heardAt, m_reactor.now())
                           : limits::recordUnlimited(m_rates, id, news.startedAt, news.heardAt);
    if (hasChanged)
        LOG(INFO) << "targets: target "
                  << (news.perSecond > 0 ? "names a limit" : "names no limit any more")
                  << " target=" << id.value << " started=" << news.startedAt
                  << " per_second=" << news.perSecond
                  << " age_ms=" << (m_reactor.now() - news.heardAt).count() << " from=peer";
}

std::vector<TargetLimitNews> TargetPool::limitsInForce() const
{
    std::vector<TargetLimitNews> news;
    for (const auto &[id, rate] : m_rates.byTarget) {
        if (rate.perSecond > 0)
            news.push_back({ keyOf(id), rate.startedAt, rate.perSecond, rate.heardAt });
    }
    return news;
}

limits::RateSharing TargetPool::rateSharing() const
{
    return { m_self, m_peers->living() };
}

bool TargetPool::isLimited(const fleet::TargetEntry &target) const
{
    return limits::findRate(m_rates, target) != nullptr;
}

bool TargetPool::isLeaving(const fleet::TargetEntry &target) const
{
    return limits::isLeaving(m_notices, target);
}

bool TargetPool::turnsAway(const fleet::TargetEntry &target) const
{
    return limits::isTurnedAway(m_notices, target, m_reactor.now());
}

bool TargetPool::tryAcquireSend(const TargetId &target)
{
    const fleet::TargetTable &table = m_fleet->table();
    const auto found = table.targets.find(target);
    if (found == table.targets.end())
        return false;
    const fleet::TargetEntry &entry = found->second.entry;
    const Milliseconds now = m_reactor.now();
    if (limits::timeUntilSend(m_rates, entry, rateSharing(), now) != Milliseconds())
        return false;
    limits::recordSend(m_rates, entry, now);
    return true;
}

void TargetPool::recordCall(const fleet::TargetEntry &target)
{
    limits::recordSend(m_rates, target, m_reactor.now());
}

void TargetPool::recordLeavingFromPeer(placement::EngineKey target, std::int64_t startedAt)
{
    const fleet::Target *known = m_fleet->findTarget(target);
    if (known == nullptr)
        return; // its own responses will say so
    if (!limits::recordLeaving(m_notices, known->entry.id, startedAt, m_reactor.now()))
        return;
    LOG(INFO) << "targets: target leaving target=" << known->entry.id.value
              << " started=" << startedAt << " listed_draining=" << known->entry.isDraining
              << " from=peer";
    m_metrics->countTargetNotice(TargetNoticeKind::Leaving);
}

bool TargetPool::acceptsWork(const fleet::TargetEntry &target) const
{
    const Milliseconds now = m_reactor.now();
    return limits::acceptsWork(m_notices, target, now)
           && limits::timeUntilSend(m_rates, target, rateSharing(), now) == Milliseconds();
}

bool TargetPool::mayReceive(const TargetId &target) const
{
    const fleet::TargetTable &table = m_fleet->table();
    const auto found = table.targets.find(target);
    return found != table.targets.end() && fleet::isUsable(table, found->second)
           && acceptsWork(found->second.entry);
}

bool TargetPool::mayHelp(const TargetId &target) const
{
    return mayReceive(target) && !isLimited(m_fleet->table().targets.at(target).entry);
}

std::optional<Milliseconds>
TargetPool::timeUntilReturn(const std::vector<const fleet::Target *> &targets) const
{
    std::optional<Milliseconds> earliest;
    for (const fleet::Target *target : targets) {
        const Milliseconds now = m_reactor.now();
        const std::optional<Milliseconds> returns =
            limits::timeUntilReturn(m_notices, { target }, now);
        const std::optional<Milliseconds> untilSend =
            limits::timeUntilSend(m_rates, target->entry, rateSharing(), now);
        if (!returns || !untilSend)
            continue;
        const Milliseconds time = std::max(*returns, *untilSend);
        earliest = std::min(earliest.value_or(time), time);
    }
    return earliest;
}

void TargetPool::probe(const fleet::TargetEntry &target,
                       std::function<void(limits::TargetState)> done)
{
    if (turnsAway(target) || (isLimited(target) && !tryAcquireSend(target.id))) {
        m_reactor.defer([done = std::move(done)] { done(limits::TargetState::Busy); });
        return;
    }
    const placement::EngineKey key = keyOf(target.id);
    Probe &probe = m_probes[key];
    probe.listeners.push_back(std::move(done));
    if (probe.client)
        return;
    probe.client = std::make_unique<net::HttpClient>(m_reactor, target.address);
    probe.client->setMaxBody(maxReportBytes);
    probe.client->get(std::string(platform::reportPath()), probeTimeout,
                      [this, key, target](int status, const std::string &body) {
                          const limits::TargetState state = platform::targetStateOf(status, body);
                          recordNotices(
                              target,
                              platform::readResponseFields(m_probes.at(key).client->responseHead()),
                              platform::startStampOf(body));
                          // Deferred because it destroys the client that runs this callback.
                          m_reactor.defer([this, key, state] { onProbeEnded(key, state); });
                      });
}

void TargetPool::onProbeEnded(placement::EngineKey target, limits::TargetState state)
{
    const auto found = m_probes.find(target);
    const Probe probe = std::move(found->second);
    m_probes.erase(found);
    for (const std::function<void(limits::TargetState)> &listener : probe.listeners)
        listener(state);
}

void TargetPool::closeIdle(const TargetId &target)
{
    m_idle.erase(target.value);
}

void TargetPool::closeExpired()
{
    for (auto position = m_idle.begin(); position != m_idle.end();) {
        position->second.remove_if([this](const std::shared_ptr<IdleConnection> &idle) {
            return !idle->isUsable(m_reactor.now());
        });
        position = position->second.empty() ? m_idle.erase(position) : std::next(position);
    }
}

} // namespace egretmount::node

#include "peer_service.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <capnp/serialize-packed.h>
#include <glog/logging.h>

#include <egretmount/membership/registry_sync.h>

#include "crash_guard.h"
#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_messages.h"
#include "placement_service.h"
#include "reach_service.h"
#include "registry_sync.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// Placements are sent immediately because another instance may place a request on the same engine
// within milliseconds. First events and ends only refine estimates, so they are sent in batches.
constexpr Milliseconds placementFlushDelay = Milliseconds(0);
// The delay grows with the number of instances because each message goes to all of them.
constexpr Milliseconds minProgressFlushDelay = Milliseconds(20);
constexpr Milliseconds progressFlushDelayPerInstance = Milliseconds(2);
constexpr Milliseconds maxProgressFlushDelay = Milliseconds(150);
// Interval of full-state snapshots, which repair the effects of lost datagrams.
constexpr Milliseconds snapshotInterval = Milliseconds(1'000);
// The snapshot interval grows by one `snapshotInterval` for each group of this many instances.
constexpr std::size_t instancesPerSnapshotTick = 30;
// A starting instance announces itself repeatedly because the others may still be starting too.
constexpr Milliseconds joinAnnouncementInterval = Milliseconds(60);
constexpr int joinAnnouncementCount = 10;
// Once one other instance is known, the rest become known within a few messages.
constexpr Milliseconds joinDelayAfterFirstPeer = Milliseconds(60);
constexpr Milliseconds joinTimeout = Milliseconds(500); // this may be the only live instance
constexpr std::size_t maxDatagramBytes = 32UL * 1024;
constexpr int maxDatagramsPerPoll = 64;
// How long the other instances avoid a target that does not respond to this one.
constexpr Milliseconds ejectionDuration = Milliseconds(1'000);
// The set changes several times within a second while an instance learns of the others.
constexpr Milliseconds preferredLogInterval = Milliseconds(2'000);
// Bounds the length of the log line. These are the watchers of the registry, as the log names the
// instances in the order in which they take up roles.
constexpr std::size_t maxLoggedInstances = membership::maxRegistryWatchers;

} // namespace

/// @brief The datagram socket of the peer service.
class PeerService::Socket : public net::SocketWatcher
{
public:
    Socket(PeerService &service, const std::string &address)
        : m_service(service)
    {
        m_socket.bind(Poco::Net::SocketAddress(address), true);
        m_socket.setBlocking(false);
    }

    const Poco::Net::DatagramSocket &socket() const { return m_socket; }

    void send(const Poco::Net::SocketAddress &to, const std::string &datagram)
    {
        try {
            m_socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), to);
        } catch (const Poco::Exception &error) {
            // Not logged by default: later messages repair the loss, and a saturated link would
            // fill the log.
            VLOG(1) << "peers: cannot send datagram to=" << to.toString() << " reason=\""
                    << error.displayText() << '"';
        }
    }

    void onReady(bool, bool, bool) override
    {
        for (int i = 0; i < maxDatagramsPerPoll; ++i) {
            Poco::Net::SocketAddress sender;
            int count = 0;
            try {
                count = m_socket.receiveFrom(m_buffer.data(), static_cast<int>(m_buffer.size()),
                                             sender);
            } catch (const Poco::Exception &error) {
                VLOG(1) << "peers: cannot receive datagram reason=\"" << error.displayText() << '"';
                return;
            }
            if (count <= 0)
                return;
            m_service.receive(sender.host().toString(), m_buffer.data(),
                              static_cast<std::size_t>(count));
        }
    }

private:
    PeerService &m_service;
    Poco::Net::DatagramSocket m_socket;
    std::array<char, maxDatagramBytes> m_buffer {};
};

PeerService::PeerService(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_random(std::random_device()())
{ }

PeerService::~PeerService() = default;

void PeerService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_placement = &m_registry.find<PlacementService>();
    m_sync = &m_registry.find<RegistrySync>();
    m_targets = &m_registry.find<TargetPool>();
    m_crashes = &m_registry.find<CrashGuard>();
    m_reach = &m_registry.find<ReachService>();
    m_reach->onChanged([this] { announceReach(); });
    const instance::Settings &settings = m_fleet->settings();
    m_memberList.self.host = settings.host;
    m_memberList.self.incarnation =
        static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
    m_memberList.self.capacity = instance::relativeCapacity(settings.capacity);
    m_memberList.contacts = settings.contacts;
    m_socket = std::make_shared<Socket>(*this, settings.host + ':'
                                                   + std::to_string(settings.firstPeerPort));
    m_reactor.watch(m_socket->socket(), Poco::Net::PollSet::POLL_READ, m_socket);
    m_startedAt = m_reactor.now();
    m_logPreferredAt = m_startedAt + preferredLogInterval;
    MetricsService &metrics = m_registry.find<MetricsService>();
    metrics.addGauge("instance_capacity", [this] { return m_memberList.self.capacity; });
    metrics.addGauge("preferred_instances",
                     [this] { return static_cast<double>(m_preferred.size()); });
    updateLiving();
    announceJoin();
    m_reactor.every(membership::heartbeatInterval, [this] { runMembershipRound(); });
    m_reactor.every(snapshotInterval, [this] { sendSnapshots(); });
}

void PeerService::stop()
{
    m_reactor.unwatch(m_socket->socket());
}

void PeerService::announceLeaving()
{
    m_memberList.self.isLeaving = true;
    updateLiving();
    ++m_memberList.self.version;
    sendMemberRecords({ m_memberList.self }, membership::livingHosts(m_memberList));
}

void PeerService::broadcastPlaced(std::uint64_t id, Audience audience)
{
    outboxOf(audience).placed.push_back(id);
    scheduleFlush(audience, placementFlushDelay);
}

void PeerService::broadcastDecoding(std::uint64_t id, placement::EngineKey target,
                                    std::optional<int> inFlight, Audience audience)
{
    outboxOf(audience).progress.push_back({ id, target, inFlight });
    scheduleFlush(audience, progressFlushDelay(audience));
}

void PeerService::broadcastEnded(std::uint64_t id, Audience audience)
{
    outboxOf(audience).ended.push_back(id);
    scheduleFlush(audience, progressFlushDelay(audience));
}

void PeerService::broadcastEjection(placement::EngineKey target)
{
    m_fleetOutbox.ejections.push_back(target);
    scheduleFlush(Audience::Fleet, placementFlushDelay);
}

void PeerService::broadcastLeaving(placement::EngineKey target, std::int64_t startedAt)
{
    m_fleetOutbox.departures.push_back({ target, startedAt });
    scheduleFlush(Audience::Fleet, placementFlushDelay);
}

void PeerService::broadcastLimit(const TargetLimitNews &news)
{
    m_fleetOutbox.limits.push_back(news);
    scheduleFlush(Audience::Fleet, placementFlushDelay);
}

void PeerService::broadcastCrashUpdate(const CrashUpdate &update)
{
    CrashUpdate &out = m_fleetOutbox.crashes;
    out.crashes.insert(out.crashes.end(), update.crashes.begin(), update.crashes.end());
    out.blocked.insert(out.blocked.end(), update.blocked.begin(), update.blocked.end());
    out.sound.insert(out.sound.end(), update.sound.begin(), update.sound.end());
    // After the crash of a target, many requests prove sound one after the other.
    const bool isUrgent = !update.crashes.empty() || !update.blocked.empty();
    scheduleFlush(Audience::Fleet,
                  isUrgent ? placementFlushDelay : progressFlushDelay(Audience::Fleet));
}

void PeerService::sendCrashUpdate(const std::string &host, const CrashUpdate &update)
{
    capnp::MallocMessageBuilder builder;
    wire::PeerMessage::Builder message = builder.initRoot<wire::PeerMessage>();
    writeHeader(message);
    writeCrashUpdate(message, update, m_reactor.now());
    send(host, serializePacked(builder));
}

PeerService::Outbox &PeerService::outboxOf(Audience audience)
{
    return audience == Audience::Cell ? m_cellOutbox : m_fleetOutbox;
}

Milliseconds PeerService::progressFlushDelay(Audience audience) const
{
    const std::size_t receivers =
        audience == Audience::Cell ? m_cell.members.size() : m_living.size();
    return std::clamp(progressFlushDelayPerInstance * static_cast<std::int64_t>(receivers),
                      minProgressFlushDelay, maxProgressFlushDelay);
}

void PeerService::announceJoin()
{
    runMembershipRound();
    if (++m_joinAnnouncements < joinAnnouncementCount)
        m_reactor.after(joinAnnouncementInterval, [this] { announceJoin(); });
}

bool PeerService::hasJoined() const
{
    const Milliseconds now = m_reactor.now();
    return now - m_startedAt >= joinTimeout
           || (m_living.size() > 1 && now - m_firstPeerAt >= joinDelayAfterFirstPeer);
}

std::vector<std::string> PeerService::servingHosts() const
{
    const std::vector<std::string> all = membership::servingHosts(m_memberList);
    std::vector<std::string> reaching = reachingHosts();
    if (!m_reach->reachesNone()
        && std::binary_search(all.begin(), all.end(), m_memberList.self.host))
        reaching.insert(std::lower_bound(reaching.begin(), reaching.end(), m_memberList.self.host),
                        m_memberList.self.host);
    return reaching.empty() ? all : reaching;
}

std::vector<std::string> PeerService::reachingHosts() const
{
    std::vector<std::string> hosts = membership::servingHosts(m_memberList);
    hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                               [this](const std::string &host) {
                                   const auto found = m_reachOf.find(host);
                                   return host == m_memberList.self.host
                                          || (found != m_reachOf.end()
                                              && found->second.reachesNone);
                               }),
                hosts.end());
    return hosts;
}

void PeerService::scheduleFlush(Audience audience, Milliseconds delay)
{
    Outbox &outbox = outboxOf(audience);
    const Milliseconds at = m_reactor.now() + delay;
    if (outbox.flushTimer != 0 && outbox.flushAt <= at)
        return;
    m_reactor.cancel(outbox.flushTimer);
    outbox.flushAt = at;
    outbox.flushTimer = m_reactor.after(delay, [this, audience] {
        outboxOf(audience).flushTimer = 0;
        flush(audience);
    });
}

void PeerService::flush(Audience audience)
{
    const Outbox outbox = std::exchange(outboxOf(audience), {});
    capnp::MallocMessageBuilder builder;
    wire::PeerMessage::Builder message = builder.initRoot<wire::PeerMessage>();
    writeHeader(message);
    std::vector<const placement::InFlightRequest *> inFlight;
    std::vector<const placement::QueuedRequest *> queued;
    for (const std::uint64_t id : outbox.placed) {
        if (const placement::InFlightRequest *request = m_placement->findInFlight(id))
            inFlight.push_back(request);
        else if (const placement::QueuedRequest *queuedRequest = m_placement->findQueued(id))
            queued.push_back(queuedRequest);
    }
    writeRequests(message, inFlight, queued, m_reactor.now());
    capnp::List<wire::Progress>::Builder progress = message.initWriting(outbox.progress.size());
    for (unsigned i = 0; i < outbox.progress.size(); ++i) {
        progress[i].setId(outbox.progress[i].id);
        progress[i].setTarget(outbox.progress[i].target);
        progress[i].setInHand(outbox.progress[i].inFlight.value_or(-1));
    }
    capnp::List<std::uint64_t>::Builder ended = message.initEnded(outbox.ended.size());
    for (unsigned i = 0; i < outbox.ended.size(); ++i)
        ended.set(i, outbox.ended[i]);
    capnp::List<wire::Ejection>::Builder ejections =
        message.initDistrusted(outbox.ejections.size());
    for (unsigned i = 0; i < outbox.ejections.size(); ++i) {
        ejections[i].setTarget(outbox.ejections[i]);
        ejections[i].setLeftMs(static_cast<std::uint32_t>(ejectionDuration.count()));
    }
    capnp::List<wire::Departure>::Builder departures =
        message.initLeaving(outbox.departures.size());
    for (unsigned i = 0; i < outbox.departures.size(); ++i) {
        departures[i].setTarget(outbox.departures[i].target);
        departures[i].setStartedAt(outbox.departures[i].startedAt);
    }
    writeCrashUpdate(message, outbox.crashes, m_reactor.now());
    writeLimits(message, outbox.limits, m_reactor.now());
    const std::string datagram = serializePacked(builder);
    if (audience == Audience::Cell)
        sendToCell(datagram);
    else
        sendToAll(datagram);
}

void PeerService::sendSnapshots()
{
    ++m_snapshotTicks;
    const auto isDue = [this](std::size_t receivers) {
        return m_snapshotTicks % (1 + receivers / instancesPerSnapshotTick) == 0;
    };
    if (isDue(m_cell.members.size()))
        sendToCell(snapshotMessage(Audience::Cell));
    if (m_cell.count > 1 && isDue(m_living.size()))
        sendOutsideCell(snapshotMessage(Audience::Fleet));
}

std::string PeerService::snapshotMessage(Audience audience)
{
    std::vector<const placement::InFlightRequest *> inFlight = m_placement->ownInFlight();
    if (audience == Audience::Fleet) {
        inFlight.erase(std::remove_if(inFlight.begin(), inFlight.end(),
                                      [](const placement::InFlightRequest *request) {
                                          return request->isCellLocal;
                                      }),
                       inFlight.end());
    }
    capnp::MallocMessageBuilder builder;
    wire::PeerMessage::Builder message = builder.initRoot<wire::PeerMessage>();
    writeHeader(message);
    message.setIsStatement(true);
    writeRequests(message, inFlight, m_placement->ownQueued(), m_reactor.now());
    writeCrashUpdate(message, m_crashes->snapshot(), m_reactor.now());
    writeLimits(message, m_targets->limitsInForce(), m_reactor.now());
    return serializePacked(builder);
}

void PeerService::runMembershipRound()
{
    const Milliseconds now = m_reactor.now();
    const std::vector<membership::Suspicion> suspicions =
        membership::detectFailures(m_memberList, now);
    if (!suspicions.empty())
        sendToAll(suspicionMessage(suspicions));
    membership::evictLost(m_memberList, now);
    updateLiving();
    updateCapacities();
    notePreferred();
    updateCell();
    sendHeartbeatTo(membership::ownWatchers(m_memberList));
    const std::vector<std::string> receivers =
        membership::digestReceivers(m_memberList, m_random());
    sendMemberRecords(membership::makeDigest(m_memberList, now), receivers);
}

void PeerService::sendHeartbeatTo(const std::vector<std::string> &hosts)
{
    sendMemberRecords(membership::makeHeartbeat(m_memberList, m_reactor.now()), hosts);
}

void PeerService::sendMemberRecords(const std::vector<membership::MemberRecord> &records,
                                    const std::vector<std::string> &hosts)
{
    capnp::MallocMessageBuilder builder;
    wire::PeerMessage::Builder message = builder.initRoot<wire::PeerMessage>();
    writeHeader(message);
    writeMembers(message, records);
    const std::string datagram = serializePacked(builder);
    for (const std::string &host : hosts) {
        if (host != m_memberList.self.host)
            send(host, datagram);
    }
}

std::string PeerService::suspicionMessage(const std::vector<membership::Suspicion> &suspicions)
{
    capnp::MallocMessageBuilder builder;
    wire::PeerMessage::Builder message = builder.initRoot<wire::PeerMessage>();
    writeHeader(message);
    writeSuspicions(message, suspicions);
    return serializePacked(builder);
}

void PeerService::writeHeader(wire::PeerMessage::Builder message) const
{
    const Milliseconds now = m_reactor.now();
    message.setSender(m_memberList.self.host);
    message.setIncarnation(m_memberList.self.incarnation);
    message.setRegistryRevision(m_sync->version().revision);
    message.setRegistryEra(m_sync->version().era);
    message.setRegistryAgeMs(durationField(m_sync->confirmationAge()));
    message.setDeferred(static_cast<std::uint16_t>(std::min<std::size_t>(
        m_placement->deferredCount(), std::numeric_limits<std::uint16_t>::max())));
    message.setReachesNoTarget(m_reach->reachesNone());
    if (m_reach->contactAt() > Milliseconds())
        message.setContactAgeMs(durationField(now - m_reach->contactAt()));
    if (const std::deque<fleet::RegistryAbsence> &absences = m_fleet->table().contact.absences;
        !absences.empty()) {
        message.setOutageAgeMs(durationField(now - absences.back().until));
        message.setOutageLengthMs(durationField(absences.back().until - absences.back().from));
    }
}

void PeerService::announceReach()
{
    scheduleFlush(Audience::Fleet, placementFlushDelay); // each message says so
}

std::optional<Milliseconds> PeerService::contactOfOthers() const
{
    std::optional<Milliseconds> latest;
    for (const auto &[host, reach] : m_reachOf) {
        if (!reach.reachesNone && reach.contactAt > Milliseconds())
            latest = std::max(latest.value_or(reach.contactAt), reach.contactAt);
    }
    return latest;
}

double PeerService::deferredInCell() const
{
    return placement::statedDeferred(m_deferredOf, m_cell.members, m_reactor.now());
}

void PeerService::announceRegistryVersion()
{
    const std::vector<InstanceId> receivers = membership::changeReceivers(
        InstanceId(m_memberList.self.host), m_living, m_capacitiesInUse);
    if (receivers.empty())
        return;
    capnp::MallocMessageBuilder builder;
    writeHeader(builder.initRoot<wire::PeerMessage>());
    const std::string datagram = serializePacked(builder);
    for (const InstanceId &receiver : receivers)
        send(receiver.value, datagram);
}

void PeerService::updateLiving()
{
    std::vector<InstanceId> living;
    for (const std::string &host : membership::livingHosts(m_memberList))
        living.emplace_back(host);
    if (living == m_living)
        return;
    for (const InstanceId &previous : m_living) {
        if (!std::binary_search(living.begin(), living.end(), previous)) {
            LOG(INFO) << "peers: instance lost host=" << previous.value;
            m_placement->removeRequestsOfOwner(previous.value);
            m_reachOf.erase(previous.value);
            m_deferredOf.erase(previous.value);
        }
    }
    m_living = std::move(living);
    LOG(INFO) << "peers: living instances=" << m_living.size();
    updateCapacities();
    updateCell();
}

void PeerService::updateCapacities()
{
    m_capacitiesInUse = m_placement->loadPolicy().isOn ? membership::livingCapacities(m_memberList)
                                                       : instance::Capacities();
}

void PeerService::notePreferred()
{
    m_preferred = instance::preferredInstances(m_living, m_capacitiesInUse);
    const Milliseconds now = m_reactor.now();
    if (m_preferred == m_loggedPreferred || now < m_logPreferredAt)
        return;
    m_loggedPreferred = m_preferred;
    m_logPreferredAt = now + preferredLogInterval;
    std::string hosts;
    for (std::size_t i = 0; i < std::min(m_preferred.size(), maxLoggedInstances); ++i)
        hosts += (i > 0 ? "," : "") + m_preferred[i].value;
    const double least = instance::preferredCapacity(m_living, m_capacitiesInUse);
    LOG(INFO) << "peers: preferred instances changed preferred=" << m_preferred.size()
              << " living=" << m_living.size() << " least_capacity=" << least
              << " own_capacity=" << m_memberList.self.capacity << " first=" << hosts;
}

void PeerService::updateCell()
{
    placement::Cell cell =
        placement::cellOf(InstanceId(m_memberList.self.host), m_living, m_fleet->engineCount());
    if (cell.count != m_cell.count || cell.index != m_cell.index)
        LOG(INFO) << "peers: cell index=" << cell.index << " cells=" << cell.count
                  << " members=" << cell.members.size();
    m_cell = std::move(cell);
}

void PeerService::sendToAll(const std::string &datagram)
{
    for (const InstanceId &instance : m_living) {
        if (instance.value != m_memberList.self.host)
            send(instance.value, datagram);
    }
}

void PeerService::sendToCell(const std::string &datagram)
{
    for (const InstanceId &instance : m_cell.members) {
        if (instance.value != m_memberList.self.host)
            send(instance.value, datagram);
    }
}

void PeerService::sendOutsideCell(const std::string &datagram)
{
    for (const InstanceId &instance : m_living) {
        if (!std::binary_search(m_cell.members.begin(), m_cell.members.end(), instance))
            send(instance.value, datagram);
    }
}

void PeerService::send(const std::string &host, const std::string &datagram)
{
    m_socket->send(Poco::Net::SocketAddress(
                       host, static_cast<Poco::UInt16>(m_fleet->settings().firstPeerPort)),
                   datagram);
}

} // namespace egretmount::node

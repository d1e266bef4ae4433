#include "peer_service.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <capnp/serialize-packed.h>
#include <glog/logging.h>

#include "fleet_service.h"
#include "peer_messages.h"
#include "placement_service.h"
#include "registry_sync.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// A placement is told at once: another one may follow within milliseconds. First events and ends
// only correct estimates and wait for company.
constexpr Milliseconds placedDelay = Milliseconds(0);
// Longer with many instances, as each message goes to all of them.
constexpr Milliseconds progressDelay = Milliseconds(20);
constexpr Milliseconds progressDelayPerInstance = Milliseconds(2);
// All own work is stated this often; makes good what datagrams lost.
constexpr Milliseconds statementInterval = Milliseconds(1'000);
// With many instances, every so many statements only.
constexpr std::size_t instancesPerStatement = 30;
// A starting instance makes itself known this often, so many times: the others may start as well.
constexpr Milliseconds introductionInterval = Milliseconds(60);
constexpr int introductions = 10;
// After the first word of another instance, the rest are heard of within a few messages.
constexpr Milliseconds settlingTime = Milliseconds(60);
constexpr Milliseconds longestSettling = Milliseconds(500); // nobody else may live
constexpr std::size_t maxDatagram = 32UL * 1024;
constexpr int receivesPerTurn = 64;
// How long other instances keep off a target that does not answer here.
constexpr Milliseconds distrustLife = Milliseconds(1'000);

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
            // A lost datagram is made good by the next statement; a full link is not worth a line
            // each.
            VLOG(1) << "peers: cannot send to=" << to.toString() << " reason=\""
                    << error.displayText() << '"';
        }
    }

    void onReady(bool, bool, bool) override
    {
        for (int i = 0; i < receivesPerTurn; ++i) {
            Poco::Net::SocketAddress sender;
            int count = 0;
            try {
                count = m_socket.receiveFrom(m_buffer.data(), static_cast<int>(m_buffer.size()),
                                             sender);
            } catch (const Poco::Exception &error) {
                VLOG(1) << "peers: cannot receive reason=\"" << error.displayText() << '"';
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
    std::array<char, maxDatagram> m_buffer {};
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
    const instance::Settings &settings = m_fleet->settings();
    m_roster.self.host = settings.host;
    m_roster.self.incarnation =
        static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
    m_roster.contacts = settings.contacts;
    m_socket = std::make_shared<Socket>(*this, settings.host + ':'
                                                   + std::to_string(settings.firstPeerPort));
    m_reactor.watch(m_socket->socket(), Poco::Net::PollSet::POLL_READ, m_socket);
    m_startedAt = m_reactor.now();
    refreshLiving();
    introduce();
    m_reactor.every(membership::beatInterval, [this] { beat(); });
    m_reactor.every(statementInterval, [this] { sendStatement(); });
}

void PeerService::stop()
{
    m_reactor.unwatch(m_socket->socket());
}

void PeerService::announceLeaving()
{
    m_roster.self.isLeaving = true;
    refreshLiving();
    ++m_roster.self.version;
    sendRoster({ m_roster.self }, membership::livingHosts(m_roster));
}

void PeerService::tellPlaced(std::uint64_t id)
{
    m_placed.push_back(id);
    scheduleFlush(placedDelay);
}

void PeerService::tellWriting(std::uint64_t id, placement::EngineKey target,
                              std::optional<int> inHand)
{
    m_writing.push_back({ id, target, inHand });
    scheduleFlush(delayOfProgress());
}

Milliseconds PeerService::delayOfProgress() const
{
    return std::max(progressDelay,
                    progressDelayPerInstance * static_cast<std::int64_t>(m_living.size()));
}

void PeerService::tellEnded(std::uint64_t id)
{
    m_ended.push_back(id);
    scheduleFlush(delayOfProgress());
}

void PeerService::tellDistrust(placement::EngineKey target)
{
    m_distrusted.push_back(target);
    scheduleFlush(placedDelay);
}

void PeerService::introduce()
{
    beat();
    if (++m_introductions < introductions)
        m_reactor.after(introductionInterval, [this] { introduce(); });
}

bool PeerService::isSettled() const
{
    const Milliseconds now = m_reactor.now();
    return now - m_startedAt >= longestSettling
           || (m_living.size() > 1 && now - m_firstHeardAt >= settlingTime);
}

std::vector<std::string> PeerService::servingHosts() const
{
    return membership::servingHosts(m_roster);
}

void PeerService::scheduleFlush(Milliseconds delay)
{
    const Milliseconds at = m_reactor.now() + delay;
    if (m_flushTimer != 0 && m_flushAt <= at)
        return;
    m_reactor.cancel(m_flushTimer);
    m_flushAt = at;
    m_flushTimer = m_reactor.after(delay, [this] {
        m_flushTimer = 0;
        flush();
    });
}

void PeerService::flush()
{
    capnp::MallocMessageBuilder message;
    wire::News::Builder news = message.initRoot<wire::News>();
    news.setSender(m_roster.self.host);
    news.setIncarnation(m_roster.self.incarnation);
    news.setRegistryRevision(m_sync->revision());
    std::vector<const placement::Work *> works;
    std::vector<const placement::WaitingWork *> waiting;
    for (const std::uint64_t id : m_placed) {
        if (const placement::Work *work = m_placement->findWork(id))
            works.push_back(work);
        else if (const placement::WaitingWork *waits = m_placement->findWaiting(id))
            waiting.push_back(waits);
    }
    writeWorks(news, works, waiting, m_reactor.now());
    capnp::List<wire::Progress>::Builder writing = news.initWriting(m_writing.size());
    for (unsigned i = 0; i < m_writing.size(); ++i) {
        writing[i].setId(m_writing[i].id);
        writing[i].setTarget(m_writing[i].target);
        writing[i].setInHand(m_writing[i].inHand.value_or(-1));
    }
    capnp::List<std::uint64_t>::Builder ended = news.initEnded(m_ended.size());
    for (unsigned i = 0; i < m_ended.size(); ++i)
        ended.set(i, m_ended[i]);
    capnp::List<wire::Distrust>::Builder distrusted = news.initDistrusted(m_distrusted.size());
    for (unsigned i = 0; i < m_distrusted.size(); ++i) {
        distrusted[i].setTarget(m_distrusted[i]);
        distrusted[i].setLeftMs(static_cast<std::uint32_t>(distrustLife.count()));
    }
    m_placed.clear();
    m_writing.clear();
    m_ended.clear();
    m_distrusted.clear();
    sendToAll(serialized(message));
}

void PeerService::sendStatement()
{
    if (++m_statements % (1 + m_living.size() / instancesPerStatement) != 0)
        return;
    sendToAll(statement());
}

std::string PeerService::statement()
{
    const std::vector<const placement::Work *> works = m_placement->ownWorks();
    capnp::MallocMessageBuilder message;
    wire::News::Builder news = message.initRoot<wire::News>();
    news.setSender(m_roster.self.host);
    news.setIncarnation(m_roster.self.incarnation);
    news.setRegistryRevision(m_sync->revision());
    news.setIsStatement(true);
    writeWorks(news, works, m_placement->ownWaiting(), m_reactor.now());
    return serialized(message);
}

void PeerService::beat()
{
    const Milliseconds now = m_reactor.now();
    const std::vector<membership::SilenceClaim> claims = membership::judgeSilence(m_roster, now);
    if (!claims.empty())
        sendToAll(claimMessage(claims));
    membership::forgetLost(m_roster, now);
    refreshLiving();
    sendBeatTo(membership::ownWatchers(m_roster));
    const std::vector<std::string> receivers = membership::digestReceivers(m_roster, m_random());
    sendRoster(membership::makeDigest(m_roster, now), receivers);
}

void PeerService::sendBeatTo(const std::vector<std::string> &hosts)
{
    sendRoster(membership::makeBeat(m_roster, m_reactor.now()), hosts);
}

void PeerService::sendRoster(const std::vector<membership::RosterEntry> &entries,
                             const std::vector<std::string> &hosts)
{
    capnp::MallocMessageBuilder message;
    wire::News::Builder news = message.initRoot<wire::News>();
    news.setSender(m_roster.self.host);
    news.setIncarnation(m_roster.self.incarnation);
    news.setRegistryRevision(m_sync->revision());
    writeRoster(news, entries);
    const std::string datagram = serialized(message);
    for (const std::string &host : hosts) {
        if (host != m_roster.self.host)
            send(host, datagram);
    }
}

std::string PeerService::claimMessage(const std::vector<membership::SilenceClaim> &claims)
{
    capnp::MallocMessageBuilder message;
    wire::News::Builder news = message.initRoot<wire::News>();
    news.setSender(m_roster.self.host);
    news.setIncarnation(m_roster.self.incarnation);
    news.setRegistryRevision(m_sync->revision());
    writeClaims(news, claims);
    return serialized(message);
}

void PeerService::refreshLiving()
{
    std::vector<InstanceId> living;
    for (const std::string &host : membership::livingHosts(m_roster))
        living.emplace_back(host);
    if (living == m_living)
        return;
    for (const InstanceId &before : m_living) {
        if (!std::binary_search(living.begin(), living.end(), before)) {
            LOG(INFO) << "peers: instance lost host=" << before.value;
            m_placement->forgetOwner(before.value);
        }
    }
    m_living = std::move(living);
    LOG(INFO) << "peers: living instances=" << m_living.size();
}

void PeerService::sendToAll(const std::string &datagram)
{
    for (const InstanceId &instance : m_living) {
        if (instance.value != m_roster.self.host)
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

#include "peer_service.h"

#include <chrono>
#include <stdexcept>

#include <glog/logging.h>
#include <kj/debug.h>

#include <egretmount/membership/selection.h>

#include "config_service.h"
#include "peer_server.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds beatInterval = 300_ms;
constexpr Milliseconds linkIdleTime = 30'000_ms;
constexpr kj::Duration callTimeout = 1000 * kj::MILLISECONDS;
constexpr kj::Duration fetchTimeout = 3000 * kj::MILLISECONDS;

// Restarted processes must have higher numbers, and they keep nothing: hence the wall clock.
Incarnation makeIncarnation()
{
    const std::chrono::system_clock::duration sinceEpoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::string toString(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

membership::PeerView readView(wire::Heartbeat::Reader beat, Milliseconds now)
{
    const rpc::PeerIdentity sender = rpc::readIdentity(beat.getSender());
    membership::PeerView heard;
    heard.run = sender.run;
    heard.zone = sender.zone;
    heard.httpAddress = sender.httpAddress;
    heard.lastReceivedAt = now;
    heard.configVersion = beat.getConfigVersion();
    heard.isDraining = beat.getIsDraining();
    return heard;
}

void writeClaims(const std::vector<membership::PeerReport> &claims, wire::Heartbeat::Builder beat,
                 Milliseconds now)
{
    capnp::List<wire::PeerClaim>::Builder list =
        beat.initClaims(static_cast<unsigned int>(claims.size()));
    unsigned int index = 0;
    for (const membership::PeerReport &claim : claims) {
        wire::PeerClaim::Builder row = list[index++];
        rpc::writeRun(claim.reporter, row.initReporter());
        rpc::writeRun(claim.subject, row.initSubject());
        row.setAgeMs((now - claim.at).count());
        row.setIsDraining(claim.kind == membership::PeerReportKind::Draining);
    }
}

} // namespace

PeerService::PeerService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                         const EntrySettings &settings)
    : m_loop(loop)
    , m_registry(registry)
    , m_fleetKey(settings.fleetKey)
    , m_listenAddress(settings.rpcAddress)
{
    m_self = {
        { settings.id, makeIncarnation() }, settings.zone, settings.httpAddress, settings.rpcAddress
    };
    m_membership.self = m_self.run;
}

PeerService::~PeerService() noexcept = default;

void PeerService::start()
{
    m_registry.find<ConfigService>().onList(
        [this](const membership::InstanceList &list) { takeList(list); });
    const rpc::PeerFactory factory = [this](const rpc::PeerIdentity &caller) {
        return makePeerServer(m_registry, caller);
    };
    m_server = kj::heap<capnp::TwoPartyServer>(rpc::makeGate(m_fleetKey, factory));
    m_loop.addTask(m_loop.io()
                       .getNetwork()
                       .parseAddress(m_listenAddress)
                       .then([this](kj::Own<kj::NetworkAddress> address) {
                           m_receiver = address->listen();
                           m_listening = m_server->listen(*m_receiver);
                           LOG(INFO) << "peers: listening address=" << m_listenAddress;
                       })
                       .eagerlyEvaluate([this](kj::Exception &&error) {
                           LOG(ERROR) << "peers: cannot listen address=" << m_listenAddress
                                      << " reason=\"" << error.getDescription().cStr() << '"';
                           m_loop.fail();
                       }));
    m_registry.find<ConfigService>().onKnown([this] {
        checkStartup();
        beat();
    });
    m_loop.onPause([this](Milliseconds) {
        membership::onProcessPaused(m_membership, monotonicNow());
        beat();
    });
    m_loop.every(beatInterval, [this] {
        checkStartup();
        beat();
    });
}

void PeerService::stop()
{
    m_links.clear();
    m_listening = nullptr;
}

void PeerService::setDraining()
{
    m_isDraining = true;
    beat();
}

kj::Maybe<wire::Peer::Client> PeerService::peer(const InstanceId &id)
{
    const auto link = m_links.find(id);
    if (link == m_links.end())
        return nullptr;
    link->second.usedAt = monotonicNow();
    if (link->second.peer == nullptr)
        connect(id, link->second);
    KJ_IF_MAYBE (client, link->second.peer)
        return *client;
    return nullptr;
}

void PeerService::takeHeartbeat(wire::Heartbeat::Reader beat)
{
    const Milliseconds now = monotonicNow();
    const membership::PeerView heard = readView(beat, now);
    const membership::PeerView *before = membership::findPeer(m_membership, heard.run.instance);
    const bool wasDraining = before && before->isDraining;
    if (!membership::applyHeartbeat(m_membership, heard))
        return;
    ConfigService &config = m_registry.find<ConfigService>();
    if (beat.getPlatformAgeMs() >= 0)
        config.noteReadByPeer(now - Milliseconds(beat.getPlatformAgeMs()));
    takeClaims(beat, now);
    if (knowsBetter(beat))
        fetchDocument(heard.run.instance);
    else
        membership::markPeerDone(m_startup, heard.run.instance);
    checkStartup();
    if (heard.isDraining && !wasDraining)
        m_loop.post([this] { this->beat(); });
}

void PeerService::takeClaims(wire::Heartbeat::Reader beat, Milliseconds now)
{
    bool hasNews = false;
    for (const wire::PeerClaim::Reader row : beat.getClaims()) {
        membership::PeerReport claim;
        claim.reporter = rpc::readRun(row.getReporter());
        claim.subject = rpc::readRun(row.getSubject());
        claim.at = now - Milliseconds(std::max<std::int64_t>(row.getAgeMs(), 0));
        if (row.getIsDraining())
            claim.kind = membership::PeerReportKind::Draining;
        hasNews = membership::applyReport(m_membership, claim, now) || hasNews;
    }
    if (hasNews)
        m_loop.post([this] { this->beat(); });
}

void PeerService::writeHeartbeat(wire::Heartbeat::Builder beat) const
{
    const Milliseconds now = monotonicNow();
    rpc::writeIdentity(m_self, beat.initSender());
    const ConfigService &config = m_registry.find<ConfigService>();
    const std::shared_ptr<const config::FleetDocument> &document = config.known().document;
    if (document) {
        beat.setConfigVersion(document->version);
        beat.setConfigDigest(kj::arrayPtr(document->digest.data(), document->digest.size()));
    }
    beat.setIsDraining(m_isDraining);
    const config::PollState &reading = config.reading();
    beat.setPlatformAgeMs(reading.hasBeenRead ? (now - reading.lastReadAt).count() : -1);
    writeClaims(membership::reportsToSend(m_membership, now), beat, now);
}

void PeerService::takeList(const membership::InstanceList &list)
{
    const Milliseconds now = monotonicNow();
    membership::applyList(m_membership, list, now);
    membership::applyFirstList(m_startup, list, m_self.run.instance, now);
    for (const membership::ListedInstance &instance : list) {
        if (instance.id == m_self.run.instance)
            continue;
        Link &link = m_links[instance.id];
        if (link.address != instance.rpcAddress)
            drop(instance.id, link.number);
        link.address = instance.rpcAddress;
    }
    for (auto link = m_links.begin(); link != m_links.end();) {
        if (membership::findListed(list, link->first))
            ++link;
        else
            link = m_links.erase(link);
    }
    checkStartup();
    beat();
}

void PeerService::checkStartup()
{
    if (membership::isStartupComplete(m_startup, monotonicNow()))
        m_registry.find<ConfigService>().release();
}

bool PeerService::isWanted(const InstanceId &id, const Link &link) const
{
    const std::vector<InstanceId> &heartbeatPeers = m_membership.heartbeatPeers;
    const std::vector<InstanceId> &awaited = m_startup.awaited;
    const bool isUsed = link.usedAt > Milliseconds() && monotonicNow() - link.usedAt < linkIdleTime;
    return isUsed || std::binary_search(heartbeatPeers.begin(), heartbeatPeers.end(), id)
           || std::binary_search(awaited.begin(), awaited.end(), id);
}

void PeerService::beat()
{
    std::vector<InstanceId> wanted;
    for (std::pair<const InstanceId, Link> &entry : m_links) {
        if (isWanted(entry.first, entry.second))
            wanted.push_back(entry.first);
        else if (!entry.second.isBusy)
            drop(entry.first, entry.second.number);
    }
    for (const InstanceId &id : wanted)
        beatOne(id);
}

void PeerService::beatOne(const InstanceId &id)
{
    Link &link = m_links[id];
    if (link.isBusy)
        return;
    if (link.peer == nullptr)
        connect(id, link);
    link.isBusy = true;
    const std::uint64_t number = link.number;
    KJ_IF_MAYBE (client, link.peer) {
        m_loop.addTask(m_loop.timer()
                           .timeoutAfter(callTimeout, sendHeartbeat(*client))
                           .then(
                               [this, id, number] {
                                   const auto done = m_links.find(id);
                                   if (done != m_links.end() && done->second.number == number)
                                       done->second.isBusy = false;
                               },
                               [this, id, number](kj::Exception &&) {
                                   membership::markPeerDone(m_startup, id);
                                   drop(id, number);
                               }));
    }
}

void PeerService::connect(const InstanceId &id, Link &link)
{
    link.number = ++m_connections;
    link.peer = wire::Peer::Client(openConnection(id, link.number));
}

kj::Promise<wire::Peer::Client> PeerService::openConnection(const InstanceId &id,
                                                            std::uint64_t number)
{
    return m_loop.io()
        .getNetwork()
        .parseAddress(m_links[id].address)
        .then([](kj::Own<kj::NetworkAddress> address) {
            kj::Promise<kj::Own<kj::AsyncIoStream>> stream = address->connect();
            return stream.attach(kj::mv(address));
        })
        .then([this, id, number](kj::Own<kj::AsyncIoStream> stream) {
            const auto link = m_links.find(id);
            KJ_REQUIRE(link != m_links.end() && link->second.number == number,
                       "the connection is not wanted any more");
            link->second.stream = kj::mv(stream);
            link->second.client = kj::heap<capnp::TwoPartyClient>(*link->second.stream);
            return rpc::authenticatePeer(link->second.client->bootstrap().castAs<wire::Gate>(),
                                         m_fleetKey, m_self);
        });
}

kj::Promise<void> PeerService::sendHeartbeat(wire::Peer::Client peer)
{
    auto request = peer.heartbeatRequest();
    writeHeartbeat(request.initBeat());
    return request.send().then([this](auto &&answer) { takeHeartbeat(answer.getBeat()); });
}

bool PeerService::knowsBetter(wire::Heartbeat::Reader beat) const
{
    const std::shared_ptr<const config::FleetDocument> &own =
        m_registry.find<ConfigService>().known().document;
    const ConfigVersion version = beat.getConfigVersion();
    if (!own || version != own->version)
        return version > (own ? own->version : 0);
    return toString(beat.getConfigDigest()) > bytesOf(own->digest);
}

void PeerService::fetchDocument(const InstanceId &id)
{
    if (m_isFetching)
        return;
    KJ_IF_MAYBE (client, peer(id)) {
        m_isFetching = true;
        kj::Promise<void> work = m_registry.find<ConfigService>().known().document
                                     ? fetchChanges(*client)
                                     : fetchWhole(*client);
        m_loop.addTask(m_loop.timer()
                           .timeoutAfter(fetchTimeout, kj::mv(work))
                           .then([this] { m_isFetching = false; },
                                 [this](kj::Exception &&) {
                                     // The next heartbeat of a peer with a newer one asks again.
                                     m_isFetching = false;
                                 }));
    }
}

kj::Promise<void> PeerService::fetchChanges(wire::Peer::Client peer)
{
    const std::vector<config::Chunk> chunks =
        config::splitIntoChunks(m_registry.find<ConfigService>().known().text);
    auto request = peer.changedSectionsRequest();
    capnp::List<wire::SectionDigest>::Builder have =
        request.initHave(static_cast<unsigned int>(chunks.size()));
    unsigned int index = 0;
    for (const config::Chunk &chunk : chunks)
        have[index++].setHash(chunk.hash);
    return request.send().then([this, peer](auto &&answer) mutable -> kj::Promise<void> {
        config::DocumentDelta update;
        for (const std::uint64_t hash : answer.getOrder())
            update.chunkHashes.push_back(hash);
        for (const wire::SectionText::Reader section : answer.getChanged())
            update.missingChunks.emplace_back(section.getText().cStr());
        Digest digest {};
        const capnp::Data::Reader bytes = answer.getDigest();
        if (bytes.size() == digest.size())
            std::copy(bytes.begin(), bytes.end(), digest.begin());
        ConfigService &config = m_registry.find<ConfigService>();
        const std::optional<std::string> text =
            config::applyDelta(config.known().text, update, digest);
        if (!text)
            return fetchWhole(kj::mv(peer));
        LOG(INFO) << "peers: received a document's changes chunks=" << update.missingChunks.size()
                  << " words=" << answer.totalSize().wordCount;
        config.offerText(*text, "peer");
        return kj::READY_NOW;
    });
}

kj::Promise<void> PeerService::fetchWhole(wire::Peer::Client peer)
{
    auto request = peer.documentRequest();
    return request.send().then([this](auto &&answer) {
        const std::string text = answer.getText().cStr();
        if (!text.empty())
            m_registry.find<ConfigService>().offerText(text, "peer");
    });
}

void PeerService::drop(const InstanceId &id, std::uint64_t number)
{
    const auto link = m_links.find(id);
    if (link == m_links.end() || link->second.number != number)
        return;
    link->second.peer = nullptr;
    link->second.client = nullptr;
    link->second.stream = nullptr;
    link->second.isBusy = false;
}

} // namespace egretmount::entry

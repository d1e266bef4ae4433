#include "peer_service.h"

#include <chrono>
#include <stdexcept>

#include <glog/logging.h>
#include <kj/debug.h>

#include "config_service.h"
#include "peer_server.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds beatInterval = 300_ms;
constexpr auto callTimeout = 1000 * kj::MILLISECONDS;

// Restarted processes must have higher numbers, and they keep nothing: hence the wall clock.
Incarnation makeIncarnation()
{
    const std::chrono::system_clock::duration sinceEpoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

PeerService::PeerService(kernel::Loop &loop, kernel::Registry &registry,
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
    m_loop.keep(m_loop.io()
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
                        m_loop.stop();
                    }));
    m_loop.every(beatInterval, [this] { beat(); });
}

void PeerService::stop()
{
    m_links.clear();
    m_listening = nullptr;
}

kj::Maybe<wire::Peer::Client> PeerService::peer(const InstanceId &id)
{
    const auto link = m_links.find(id);
    if (link == m_links.end())
        return nullptr;
    KJ_IF_MAYBE (client, link->second.peer)
        return *client;
    return nullptr;
}

void PeerService::takeHeartbeat(wire::Heartbeat::Reader beat)
{
    const rpc::PeerIdentity sender = rpc::readIdentity(beat.getSender());
    membership::PeerView heard;
    heard.run = sender.run;
    heard.zone = sender.zone;
    heard.httpAddress = sender.httpAddress;
    heard.lastHeard = monotonicNow();
    heard.configVersion = beat.getConfigVersion();
    heard.isDraining = beat.getIsDraining();
    if (!membership::noteHeartbeat(m_membership, heard))
        return;
    const std::shared_ptr<const config::FleetDocument> own =
        m_registry.find<ConfigService>().document();
    if (heard.configVersion > (own ? own->version : 0))
        fetchDocument(heard.run.instance, heard.configVersion);
}

void PeerService::writeHeartbeat(wire::Heartbeat::Builder beat) const
{
    rpc::writeIdentity(m_self, beat.initSender());
    const std::shared_ptr<const config::FleetDocument> document =
        m_registry.find<ConfigService>().document();
    beat.setConfigVersion(document ? document->version : 0);
    beat.setIsDraining(m_isDraining);
}

void PeerService::takeList(const membership::InstanceList &list)
{
    m_membership.listed = list;
    for (const membership::ListedInstance &instance : list) {
        if (instance.id != m_self.run.instance)
            m_links[instance.id].address = instance.rpcAddress;
    }
    for (auto link = m_links.begin(); link != m_links.end();) {
        if (membership::findListed(list, link->first) || link->second.isBusy)
            ++link;
        else
            link = m_links.erase(link);
    }
}

void PeerService::beat()
{
    for (std::pair<const InstanceId, Link> &entry : m_links) {
        Link &link = entry.second;
        if (link.isBusy)
            continue;
        link.isBusy = true;
        const InstanceId id = entry.first;
        kj::Promise<void> work = link.peer == nullptr ? connect(id) : sendHeartbeat(id);
        m_loop.keep(m_loop.timer()
                        .timeoutAfter(callTimeout, kj::mv(work))
                        .then([this, id] { m_links[id].isBusy = false; },
                              [this, id](kj::Exception &&) { drop(id); }));
    }
}

kj::Promise<void> PeerService::connect(const InstanceId &id)
{
    return m_loop.io()
        .getNetwork()
        .parseAddress(m_links[id].address)
        .then([](kj::Own<kj::NetworkAddress> address) {
            kj::Promise<kj::Own<kj::AsyncIoStream>> stream = address->connect();
            return stream.attach(kj::mv(address));
        })
        .then([this, id](kj::Own<kj::AsyncIoStream> stream) {
            Link &link = m_links[id];
            link.stream = kj::mv(stream);
            link.client = kj::heap<capnp::TwoPartyClient>(*link.stream);
            return rpc::enterGate(link.client->bootstrap().castAs<wire::Gate>(), m_fleetKey,
                                  m_self);
        })
        .then([this, id](wire::Peer::Client peer) { m_links[id].peer = kj::mv(peer); });
}

kj::Promise<void> PeerService::sendHeartbeat(const InstanceId &id)
{
    KJ_IF_MAYBE (client, m_links[id].peer) {
        auto request = client->heartbeatRequest();
        writeHeartbeat(request.initBeat());
        return request.send().then([this](auto &&answer) { takeHeartbeat(answer.getBeat()); });
    }
    return kj::READY_NOW;
}

void PeerService::fetchDocument(const InstanceId &id, ConfigVersion version)
{
    KJ_IF_MAYBE (client, peer(id)) {
        auto request = client->documentRequest();
        request.setVersion(version);
        m_loop.keep(request.send().then(
            [this](auto &&answer) {
                const std::string text = answer.getText().cStr();
                if (!text.empty())
                    m_registry.find<ConfigService>().offerText(text, "peer");
            },
            [](kj::Exception &&) { /* the next heartbeat asks again */ }));
    }
}

void PeerService::drop(const InstanceId &id)
{
    Link &link = m_links[id];
    link.peer = nullptr;
    link.client = nullptr;
    link.stream = nullptr;
    link.isBusy = false;
}

} // namespace egretmount::entry

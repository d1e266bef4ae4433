#pragma once

#include <map>
#include <string>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <egretmount/membership/view.h>

#include "entry_settings.h"
#include "kernel/loop.h"
#include "kernel/service.h"
#include "rpc/gate.h"

namespace egretmount::entry {

class ConfigService;

/// @brief Meets the other instances over Cap'n Proto RPC: heartbeats and configuration versions.
class PeerService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "peers";

    PeerService(kernel::Loop &loop, kernel::Registry &registry, const EntrySettings &settings);
    ~PeerService() noexcept override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    const membership::MembershipState &membership() const { return m_membership; }
    const rpc::PeerIdentity &self() const { return m_self; }

    /// @brief Says in heartbeats and to callers that this instance leaves.
    void setDraining() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }

    /// @brief The connection to an instance. @return Nothing while there is none.
    kj::Maybe<wire::Peer::Client> peer(const InstanceId &id);

    /// @brief Takes in a heartbeat from either end of a connection.
    void takeHeartbeat(wire::Heartbeat::Reader beat);
    void writeHeartbeat(wire::Heartbeat::Builder beat) const;

private:
    /// A connection that this instance opened.
    struct Link
    {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> client;
        kj::Maybe<wire::Peer::Client> peer;
        std::string address;
        bool isBusy = false; // a connection attempt or a heartbeat is under way
    };

    void takeList(const membership::InstanceList &list);
    void beat();
    kj::Promise<void> connect(const InstanceId &id);
    kj::Promise<void> sendHeartbeat(const InstanceId &id);
    void fetchDocument(const InstanceId &id, ConfigVersion version);
    void drop(const InstanceId &id);

    kernel::Loop &m_loop;
    kernel::Registry &m_registry;
    std::string m_fleetKey;
    std::string m_listenAddress;
    rpc::PeerIdentity m_self;
    membership::MembershipState m_membership;
    bool m_isDraining = false;
    std::map<InstanceId, Link> m_links;
    kj::Own<capnp::TwoPartyServer> m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Maybe<kj::Promise<void>> m_listening;
};

} // namespace egretmount::entry

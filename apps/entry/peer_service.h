#pragma once

#include <map>
#include <string>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <egretmount/config/chunks.h>
#include <egretmount/membership/startup.h>
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

    PeerService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                const EntrySettings &settings);
    ~PeerService() noexcept override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    const membership::MembershipState &membership() const { return m_membership; }
    const rpc::PeerIdentity &self() const { return m_self; }

    /// @brief Says in heartbeats and to callers that this instance leaves.
    void setDraining();
    bool isDraining() const { return m_isDraining; }

    /// @brief The connection to an instance; opened if need be, its calls wait until it is.
    /// @return Nothing for an instance that is not listed.
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
        std::uint64_t number = 0; // of the connection attempt, to tell a late failure
        bool isBusy = false; // a heartbeat is under way
        Milliseconds usedAt; // by another service
    };

    void takeList(const membership::InstanceList &list);
    void takeClaims(wire::Heartbeat::Reader beat, Milliseconds now);
    void checkStartup();
    void beat();
    void beatOne(const InstanceId &id);
    bool isWanted(const InstanceId &id, const Link &link) const;
    void connect(const InstanceId &id, Link &link);
    kj::Promise<wire::Peer::Client> openConnection(const InstanceId &id, std::uint64_t number);
    kj::Promise<void> sendHeartbeat(wire::Peer::Client peer);
    bool knowsBetter(wire::Heartbeat::Reader beat) const;
    void fetchDocument(const InstanceId &id);
    kj::Promise<void> fetchChanges(wire::Peer::Client peer);
    kj::Promise<void> fetchWhole(wire::Peer::Client peer);
    void drop(const InstanceId &id, std::uint64_t number);

    kernel::Loop &m_loop;
    kernel::ServiceRegistry &m_registry;
    std::string m_fleetKey;
    std::string m_listenAddress;
    rpc::PeerIdentity m_self;
    membership::MembershipState m_membership;
    membership::StartupState m_startup;
    bool m_isDraining = false;
    bool m_isFetching = false;
    std::uint64_t m_connections = 0;
    std::map<InstanceId, Link> m_links;
    kj::Own<capnp::TwoPartyServer> m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Maybe<kj::Promise<void>> m_listening;
};

} // namespace egretmount::entry

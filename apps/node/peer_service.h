#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <Poco/Net/DatagramSocket.h>

#include <egretmount/membership/roster.h>
#include <egretmount/placement/ledger.h>

#include "kernel/service.h"
#include "net/reactor.h"
#include "peer_message.capnp.h"

namespace egretmount::node {

class FleetService;
class PlacementService;
class RegistrySync;
class TargetPool;

/// @brief Exchanges with the other instances who lives and which work was placed where.
///
/// One datagram a message; each message stands alone, so that a lost one is made good by the next
/// statement.
class PeerService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "peers";

    PeerService(net::Reactor &reactor, kernel::Registry &registry);
    ~PeerService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    /// @brief Takes in other first addresses.
    void setContacts(std::vector<std::string> contacts) { m_memberList.contacts = std::move(contacts); }

    /// @brief Tells the other instances at once that this one leaves.
    void announceLeaving();

    /// @brief Tells the others of a placement made here or of one that waits, of its first event,
    ///        of its end.
    void broadcastPlaced(std::uint64_t id);
    void broadcastDecoding(std::uint64_t id, placement::EngineKey target, std::optional<int> inHand);
    void broadcastEnded(std::uint64_t id);

    /// @brief Tells the others that a target does not answer.
    void broadcastEjection(placement::EngineKey target);

    /// @brief Hosts that callers may be sent to, this instance included unless it leaves.
    std::vector<std::string> servingHosts() const;

    /// @brief True once others have been heard of, or have had the time to be.
    ///
    /// Until then what they have placed is unknown.
    bool hasJoined() const;

    /// @brief Names of the living instances, this one included.
    const std::vector<InstanceId> &living() const { return m_living; }
    std::size_t livingCount() const { return m_living.size(); }

private:
    class Socket;

    struct Progress
    {
        std::uint64_t id = 0;
        placement::EngineKey target = 0;
        std::optional<int> inHand;
    };

    void receive(const std::string &sender, const char *data, std::size_t size);
    void runMembershipRound();
    void announceJoin();
    void sendHeartbeatTo(const std::vector<std::string> &hosts);
    void sendMemberRecords(const std::vector<membership::RosterEntry> &records,
                    const std::vector<std::string> &hosts);
    std::string suspicionMessage(const std::vector<membership::SilenceClaim> &suspicions);
    void applyMembership(const std::string &host, wire::PeerMessage::Reader message);
    void applyRequestState(const std::string &host, wire::PeerMessage::Reader message);
    void sendSnapshot();
    std::string snapshotMessage();
    void flush();
    void scheduleFlush(Milliseconds delay);
    Milliseconds progressFlushDelay() const;
    void sendToAll(const std::string &datagram);
    void send(const std::string &host, const std::string &datagram);
    void updateLiving();

    net::Reactor &m_reactor;
    kernel::Registry &m_registry;
    FleetService *m_fleet = nullptr;
    PlacementService *m_placement = nullptr;
    RegistrySync *m_sync = nullptr;
    TargetPool *m_targets = nullptr;
    membership::Roster m_memberList;
    std::vector<InstanceId> m_living;
    std::shared_ptr<Socket> m_socket;
    std::vector<std::uint64_t> m_pendingPlaced;
    std::vector<Progress> m_pendingProgress;
    std::vector<std::uint64_t> m_pendingEnded;
    std::vector<placement::EngineKey> m_pendingEjections;
    Milliseconds m_flushAt;
    Milliseconds m_startedAt;
    Milliseconds m_firstPeerAt;
    int m_joinAnnouncements = 0;
    std::size_t m_snapshotTicks = 0;
    net::TimerId m_flushTimer = 0;
    std::mt19937_64 m_random;
};

} // namespace egretmount::node

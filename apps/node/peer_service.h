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
#include "peer_news.capnp.h"

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

    PeerService(net::Reactor &reactor, kernel::ServiceRegistry &registry);
    ~PeerService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    /// @brief Takes in other first addresses.
    void setContacts(std::vector<std::string> contacts) { m_roster.contacts = std::move(contacts); }

    /// @brief Tells the other instances at once that this one leaves.
    void announceLeaving();

    /// @brief Tells the others of a placement made here or of one that waits, of its first event,
    ///        of its end.
    void tellPlaced(std::uint64_t id);
    void tellWriting(std::uint64_t id, placement::EngineKey target, std::optional<int> inHand);
    void tellEnded(std::uint64_t id);

    /// @brief Tells the others that a target does not answer.
    void tellDistrust(placement::EngineKey target);

    /// @brief Hosts that callers may be sent to, this instance included unless it leaves.
    std::vector<std::string> servingHosts() const;

    /// @brief True once others have been heard of, or have had the time to be.
    ///
    /// Until then what they have placed is unknown.
    bool isSettled() const;

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
    void beat();
    void introduce();
    void sendBeatTo(const std::vector<std::string> &hosts);
    void sendRoster(const std::vector<membership::RosterEntry> &entries,
                    const std::vector<std::string> &hosts);
    std::string claimMessage(const std::vector<membership::SilenceClaim> &claims);
    void noteMembers(const std::string &host, wire::News::Reader news);
    void noteWorks(const std::string &host, wire::News::Reader news);
    void sendStatement();
    std::string statement();
    void flush();
    void scheduleFlush(Milliseconds delay);
    Milliseconds delayOfProgress() const;
    void sendToAll(const std::string &datagram);
    void send(const std::string &host, const std::string &datagram);
    void refreshLiving();

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PlacementService *m_placement = nullptr;
    RegistrySync *m_sync = nullptr;
    TargetPool *m_targets = nullptr;
    membership::Roster m_roster;
    std::vector<InstanceId> m_living;
    std::shared_ptr<Socket> m_socket;
    std::vector<std::uint64_t> m_placed;
    std::vector<Progress> m_writing;
    std::vector<std::uint64_t> m_ended;
    std::vector<placement::EngineKey> m_distrusted;
    Milliseconds m_flushAt;
    Milliseconds m_startedAt;
    Milliseconds m_firstHeardAt;
    int m_introductions = 0;
    std::size_t m_statements = 0;
    net::TimerId m_flushTimer = 0;
    std::mt19937_64 m_random;
};

} // namespace egretmount::node

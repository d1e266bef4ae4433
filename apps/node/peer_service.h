#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <Poco/Net/DatagramSocket.h>

#include <egretmount/instance/capacity.h>
#include <egretmount/membership/member_list.h>
#include <egretmount/placement/cell.h>
#include <egretmount/placement/load_tracker.h>
#include <egretmount/placement/short_admission.h>

#include "crash_update.h"
#include "kernel/service.h"
#include "net/reactor.h"
#include "peer_message.capnp.h"
#include "target_limit_news.h"

namespace egretmount::node {

class FleetService;
class PlacementService;
class CrashGuard;
class ReachService;
class RegistrySync;
class TargetPool;

/// @brief Which instances receive a message about a request.
enum class Audience {
    Cell, ///< The instances of this one's cell.
    Fleet,
};

/// @brief Replicates membership and the placement of requests between the instances.
///
/// Membership spreads by heartbeats, gossip digests and suspicions; placements are broadcast as
/// they change. Each message is one datagram and does not depend on earlier ones. Lost datagrams
/// are not retransmitted: periodic full-state snapshots repair what a receiver has missed.
class PeerService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "peers";

    PeerService(net::Reactor &reactor, kernel::ServiceRegistry &registry);
    ~PeerService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    /// @brief Replaces the addresses through which this instance finds the others.
    void setContacts(std::vector<std::string> contacts)
    {
        m_memberList.contacts = std::move(contacts);
    }

    /// @brief Notifies the other instances immediately that this one is shutting down.
    void announceLeaving();

    /// @brief Broadcasts a request that was placed or queued by this instance.
    void broadcastPlaced(std::uint64_t id, Audience audience);

    /// @brief Broadcasts that the first event of a request has arrived.
    /// @param inFlight Number of in-flight requests as reported by the target, if it reported one.
    void broadcastDecoding(std::uint64_t id, placement::EngineKey target,
                           std::optional<int> inFlight, Audience audience);

    /// @brief Broadcasts that a request has ended.
    void broadcastEnded(std::uint64_t id, Audience audience);

    /// @brief Broadcasts that a target does not respond, so that the other instances avoid it too.
    void broadcastEjection(placement::EngineKey target);

    /// @brief Broadcasts that a target is leaving, which its registry entry does not say yet.
    /// @param startedAt Start stamp of the incarnation that leaves.
    void broadcastLeaving(placement::EngineKey target, std::int64_t startedAt);

    /// @brief Broadcasts the rate limit that a target has named, or its end.
    void broadcastLimit(const TargetLimitNews &news);

    /// @brief Broadcasts what this instance knows of requests that crash targets.
    void broadcastCrashUpdate(const CrashUpdate &update);

    /// @brief Sends it to one instance.
    void sendCrashUpdate(const std::string &host, const CrashUpdate &update);

    /// @brief Notifies the instances that receive registry changes through this one that it has a
    ///        new version.
    void announceRegistryVersion();

    /// @brief Tells the other instances at once whether this one reaches targets.
    void announceReach();

    /// @brief Returns when another instance last had contact with a target, if one has.
    std::optional<Milliseconds> contactOfOthers() const;

    /// @brief Returns the hosts that callers may use: without instances that are shutting down, and
    ///        without those that reach no target, unless that holds for all.
    std::vector<std::string> servingHosts() const;

    /// @brief Returns the hosts of other instances that reach targets and are not shutting down.
    std::vector<std::string> reachingHosts() const;

    /// @brief Returns true once the other instances have had time to send their state.
    ///
    /// Until then this instance does not know what the others have placed.
    bool hasJoined() const;

    /// @brief Returns the hosts of the live instances, sorted.
    ///
    /// The list includes this instance and instances that are shutting down.
    const std::vector<InstanceId> &living() const { return m_living; }
    std::size_t livingCount() const { return m_living.size(); }

    /// @brief Returns the relative capacities that decisions use: empty, as if all instances were
    ///        alike, while the load policy is off.
    const instance::Capacities &capacitiesInUse() const { return m_capacitiesInUse; }

    /// @brief Returns the mean time until the end of a request is announced within the cell.
    Milliseconds meanEndDelay() const { return progressFlushDelay(Audience::Cell) / 2; }

    /// @brief Returns the short requests that the other instances of the cell say they defer.
    double deferredInCell() const;

    /// @brief Returns the cell of this instance.
    const placement::Cell &cell() const { return m_cell; }

private:
    class Socket;

    struct Progress
    {
        std::uint64_t id = 0;
        placement::EngineKey target = 0;
        std::optional<int> inFlight;
    };

    /// @brief What another instance states of its connections to targets.
    struct PeerReach
    {
        bool reachesNone = false;
        Milliseconds contactAt;
    };

    /// @brief A target that is leaving.
    struct Departure
    {
        placement::EngineKey target = 0;
        std::int64_t startedAt = 0; ///< Start stamp of the incarnation that leaves.
    };

    /// @brief Updates that the next flush sends.
    struct Outbox
    {
        std::vector<std::uint64_t> placed;
        std::vector<Progress> progress;
        std::vector<std::uint64_t> ended;
        std::vector<placement::EngineKey> ejections;
        std::vector<Departure> departures;
        CrashUpdate crashes;
        std::vector<TargetLimitNews> limits;
        Milliseconds flushAt; ///< When the pending flush runs.
        net::TimerId flushTimer = 0;
    };

    void receive(const std::string &sender, const char *data, std::size_t size);
    void runMembershipRound();
    void announceJoin();
    void sendHeartbeatTo(const std::vector<std::string> &hosts);
    void sendMemberRecords(const std::vector<membership::MemberRecord> &records,
                           const std::vector<std::string> &hosts);
    std::string suspicionMessage(const std::vector<membership::Suspicion> &suspicions);
    void applyRegistryState(const std::string &host, wire::PeerMessage::Reader message);
    void applyMembership(const std::string &host, wire::PeerMessage::Reader message);
    void applyRequestState(const std::string &host, wire::PeerMessage::Reader message);
    void applyCrashUpdate(const std::string &host, wire::PeerMessage::Reader message);
    void applyReach(const std::string &host, wire::PeerMessage::Reader message);
    void applyDeferred(const std::string &host, wire::PeerMessage::Reader message);
    void sendSnapshots();

    /// @param audience `Fleet`: without the requests that only the cell knows of.
    std::string snapshotMessage(Audience audience);
    Outbox &outboxOf(Audience audience);
    void flush(Audience audience);
    void scheduleFlush(Audience audience, Milliseconds delay);
    Milliseconds progressFlushDelay(Audience audience) const;
    void writeHeader(wire::PeerMessage::Builder message) const;
    void sendToAll(const std::string &datagram);
    void sendToCell(const std::string &datagram);
    void sendOutsideCell(const std::string &datagram);
    void updateCell();
    void send(const std::string &host, const std::string &datagram);
    void updateLiving();
    void updateCapacities();

    /// @brief Updates the instances preferred for special roles and logs a change, at most one line
    ///        per interval.
    void notePreferred();

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PlacementService *m_placement = nullptr;
    RegistrySync *m_sync = nullptr;
    TargetPool *m_targets = nullptr;
    CrashGuard *m_crashes = nullptr;
    ReachService *m_reach = nullptr;
    membership::MemberList m_memberList;
    std::vector<InstanceId> m_living;
    instance::Capacities m_capacitiesInUse; ///< Of the living instances.
    std::vector<InstanceId> m_preferred; ///< In the order of their roles; empty: all are alike.
    std::vector<InstanceId> m_loggedPreferred; ///< Value of `m_preferred` that was last logged.
    Milliseconds m_logPreferredAt; ///< A change is not logged before this time.
    std::map<std::string, placement::DeferredStatement> m_deferredOf; ///< As `m_reachOf`.
    std::map<std::string, PeerReach> m_reachOf; ///< Of other living instances, by host.
    std::shared_ptr<Socket> m_socket;
    placement::Cell m_cell;
    Outbox m_cellOutbox;
    Outbox m_fleetOutbox;
    Milliseconds m_startedAt;
    Milliseconds m_firstPeerAt; ///< When the first other instance became known.
    int m_joinAnnouncements = 0;
    std::size_t m_snapshotTicks = 0; ///< Snapshot intervals that have passed.
    std::mt19937_64 m_random;
};

} // namespace egretmount::node

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/instance/capacity.h>

namespace egretmount::membership {

/// @brief State that an instance publishes about itself and that the others gossip.
struct MemberRecord
{
    std::string host; ///< Address without a port; the ports are the same on all instances.
    Incarnation incarnation = 0; ///< Number of the run; a restart has a higher one.
    std::uint64_t version = 0; ///< Incremented by the instance when it changes this record.
    bool isLeaving = false;
    bool isLost = false; ///< A quorum of its watchers suspects this version of this run.
    double capacity = 0; ///< Relative capacity, constant during a run; zero: unknown.
};

/// @brief Report of a watcher that it receives nothing from an instance.
struct Suspicion
{
    std::string host;
    Incarnation incarnation = 0;
    std::uint64_t version = 0; ///< Suspected version; a higher one refutes the suspicion.
};

/// @brief Local state about another instance.
struct Member
{
    MemberRecord record;
    Milliseconds firstSeenAt; ///< When this instance learned of the run.
    Milliseconds changedAt; ///< When the record last changed here; recent changes are gossiped.
    /// Last datagram from it or last change of its record; set to the present when watching starts.
    Milliseconds lastReceivedAt;
    bool isWatched = false; ///< True if this instance is one of its watchers.
    bool isLostLocally = false; ///< Declared lost by this instance alone; not gossiped.
    Milliseconds suspectedSince; ///< When this instance began to suspect it; 0: not suspected.
    /// Time of the last report by each suspecting host.
    std::map<std::string, Milliseconds> suspicions;
};

/// @brief Members of the fleet and the state of the failure detector. There is no central list: an
///        instance starts with a few contacts and learns of the other members by gossip.
///
/// The living instances form a ring, ordered by the hash of their address. Each instance sends
/// heartbeats to its watchers, which are its successors in the ring. A watcher that receives
/// nothing for `suspicionTimeout` broadcasts a suspicion, and an instance is lost once at least
/// half of its watchers suspect it. The quorum leaves out watchers that are themselves suspected by
/// several instances.
///
/// As long as no member changes, the traffic of one instance therefore does not grow with the
/// fleet. A detected failure reaches every instance directly, in one message.
struct MemberList
{
    MemberRecord self;
    std::vector<std::string> contacts; ///< Hosts to contact first; some may be stale.
    std::map<std::string, Member, std::less<>> members; ///< By host; excludes this instance.
    Milliseconds lastDetectionAt; ///< Last call of `detectFailures`; 0: none yet.
    std::uint64_t gossipRound = 0; ///< Number of heartbeats and digests made so far.
};

/// @brief Time between two heartbeats.
constexpr Milliseconds heartbeatInterval = Milliseconds(400);

/// @brief Time without a datagram after which a watcher suspects an instance.
///
/// This is three heartbeats: two lost heartbeats in a row raise no suspicion, and an instance that
/// loses power leaves the directory before most callers have tried it.
constexpr Milliseconds suspicionTimeout = Milliseconds(1'200);

/// @brief Time without a datagram after which a watcher declares an instance lost without a quorum.
///
/// This is twice `suspicionTimeout`: by then, watchers that failed at the same moment have been
/// replaced in the ring.
constexpr Milliseconds soloFailureTimeout = Milliseconds(2'400);

/// @brief Time for which a suspicion counts after its last report: two heartbeats and their delay.
constexpr Milliseconds suspicionLifetime = Milliseconds(1'000);

/// @brief Time for which a watcher repeats a suspicion, in case datagrams are lost.
constexpr Milliseconds suspicionBroadcastPeriod = Milliseconds(2'400);

/// @brief Time after which a lost member is evicted. Until then it still receives digests and can
///        learn which instances are living.
constexpr Milliseconds lostMemberRetention = Milliseconds(45'000);

/// @brief Time for which a change goes into each heartbeat and digest. A few heartbeats are needed
///        to reach all instances.
constexpr Milliseconds changeDisseminationPeriod = Milliseconds(2'000);

/// @brief Number of watchers of one instance.
///
/// With six, most instances keep enough watchers when one of three availability zones fails, and a
/// minority of the watchers cannot declare an instance lost.
constexpr std::size_t watcherCount = 6;

/// @brief Greatest number of unchanged records in one digest, selected round-robin.
constexpr std::size_t maxUnchangedRecords = 10;

/// @brief Greatest number of records in one digest; keeps it within one datagram.
constexpr std::size_t maxDigestRecords = 40;

/// @brief Merges records received from another instance.
///
/// A record that an older version of the program has passed on lacks the capacity. The known
/// capacity of the run is then kept, and a record of the same version supplies a missing one.
/// @return The hosts with a run that was unknown here (new or restarted) and is not marked lost.
/// @complexity Logarithmic in the number of members for each record.
std::vector<std::string> mergeRecords(MemberList &list, const std::vector<MemberRecord> &records,
                                      Milliseconds now);

/// @brief Records that a datagram arrived from an instance itself. Withdraws this instance's own
///        suspicion of it.
/// @return False if the sender is marked as lost. The caller then sends it a suspicion, which the
///         sender refutes with a higher version.
bool recordDatagram(MemberList &list, const std::string &host, Incarnation incarnation,
                    Milliseconds now);

/// @brief Receivers of the heartbeat with which an instance refutes suspicions of itself.
enum class SuspicionReply : std::uint8_t {
    Nobody, ///< It was not suspected.
    Sender, ///< The suspicion names an outdated version; its sender needs the present one.
    Everyone, ///< It has incremented its version to refute the suspicion.
};

/// @brief Applies suspicions from a watcher and marks members as lost that have a quorum against
///        them. A suspicion of the present version of this instance increments that version.
/// @return Receivers of the heartbeat that refutes a suspicion of this instance.
SuspicionReply applySuspicions(MemberList &list, const std::string &watcher,
                               const std::vector<Suspicion> &suspicions, Milliseconds now);

/// @brief Suspects watched members whose heartbeats stopped and marks members as lost that have a
///        quorum against them. Call it every `heartbeatInterval`.
/// @return The suspicions of this instance, to be broadcast.
/// @complexity N log N in the number of members.
std::vector<Suspicion> detectFailures(MemberList &list, Milliseconds now);

/// @brief Returns a suspicion of the present version of a member. @pre `host` is a member.
Suspicion suspicionOf(const MemberList &list, const std::string &host);

/// @brief Returns the record of this instance and recently changed ones, for its watchers. If they
///        exceed `maxDigestRecords`, successive calls select them round-robin.
std::vector<MemberRecord> makeHeartbeat(MemberList &list, Milliseconds now);

/// @brief Returns a heartbeat and some unchanged records, lost members included, round-robin.
std::vector<MemberRecord> makeDigest(MemberList &list, Milliseconds now);

/// @brief Returns the hosts of the instances that watch this one.
std::vector<std::string> ownWatchers(const MemberList &list);

/// @brief Returns the hosts to send a digest to: a random living member, and up to two unknown
///        contacts or lost members, round-robin, so that the sides of a healed partition find each
///        other. Without a living member, all unknown contacts and lost members are returned.
/// @param randomBits Selects the living member.
std::vector<std::string> digestReceivers(const MemberList &list, std::uint64_t randomBits);

/// @brief Returns true unless the member is lost, by quorum or by local decision.
bool isLiving(const Member &member);

/// @brief Returns the sorted hosts that callers may be sent to: living members and this
///        instance, without those that are leaving.
std::vector<std::string> servingHosts(const MemberList &list);

/// @brief Returns the hosts that one response of the directory names: at most `limit`, in order
/// from
///        `self` on, so that each host is in as many responses as any other.
/// @param hosts Sorted hosts.
std::vector<std::string> directorySection(std::vector<std::string> hosts, const std::string &self,
                                          std::size_t limit);

/// @brief Returns the sorted hosts of living instances, including leaving ones and this one.
std::vector<std::string> livingHosts(const MemberList &list);

/// @brief Returns the relative capacities of the living instances, including this one. Those of
///        unknown capacity are left out.
instance::Capacities livingCapacities(const MemberList &list);

/// @brief Evicts members that have been lost for `lostMemberRetention`.
void evictLost(MemberList &list, Milliseconds now);

} // namespace egretmount::membership

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::membership {

/// @brief What one instance says of itself, and others pass on.
struct MemberRecord
{
    std::string host; ///< Address without a port; the ports are the same on all instances.
    Incarnation incarnation = 0; ///< Of its run; a restart has a higher one.
    std::uint64_t version = 0; ///< Grows when the run has something new to say of itself.
    bool isLeaving = false;
    bool isLost = false; ///< Its watchers agree that this run at this version is silent.
};

/// @brief One watcher's statement that it hears nothing of an instance.
struct Suspicion
{
    std::string host;
    Incarnation incarnation = 0;
    std::uint64_t version = 0; ///< A later version of the instance voids the claim.
};

/// @brief An instance as this one knows it.
struct Member
{
    MemberRecord record;
    Milliseconds firstSeenAt; ///< When this run was first heard of.
    Milliseconds changedAt; ///< When the entry last changed here; recent changes are passed on.
    Milliseconds lastReceivedAt; ///< Last datagram that came from it, or the start of watching it.
    bool isWatched = false; ///< This instance is one of its watchers.
    bool isLostLocally = false; ///< Lost in this instance's own judgement only; not passed on.
    Milliseconds suspectedSince; ///< Since when this instance claims it silent; 0: it does not.
    std::map<std::string, Milliseconds> suspicions; ///< By the claiming host: when it last did so.
};

/// @brief Who lives. There is no list to read: an instance knows a few first addresses and learns
///        the rest from others.
///
/// All instances stand in a ring in the order of their hashed addresses. Each one sends a beat to
/// its watchers, the next living ones in the ring. Watchers that hear nothing tell everyone; an
/// instance is lost once most of its watchers say so. What an instance sends and hears in quiet
/// times therefore does not grow with the fleet, and a loss is known everywhere one message after
/// it is noticed.
struct MemberList
{
    MemberRecord self;
    std::vector<std::string> contacts; ///< First addresses to ask; some may be stale.
    std::map<std::string, Member, std::less<>> members; ///< By host, without this instance.
    Milliseconds lastDetectionAt; ///< Last call of `detectFailures`; 0: none yet.
    std::uint64_t gossipRound = 0; ///< Beats and digests made.
};

/// @brief Time between two beats.
constexpr Milliseconds heartbeatInterval = Milliseconds(400);

/// @brief A watcher that has heard nothing for this long says so.
///
/// Three beats: two lost in a row do not count, and an instance without power leaves the directory
/// before most callers have tried it.
constexpr Milliseconds suspicionTimeout = Milliseconds(1'200);

/// @brief A watcher that is alone with its judgement drops the instance after this.
///
/// Twice the usual time: by then watchers that were lost at the same moment have been replaced.
constexpr Milliseconds soloFailureTimeout = Milliseconds(2'400);

/// @brief A claim counts for this long after it was last made: two beats and their delay.
constexpr Milliseconds suspicionLifetime = Milliseconds(1'000);

/// @brief A claim is repeated for this long, so that lost datagrams do not hide it.
constexpr Milliseconds suspicionBroadcastPeriod = Milliseconds(2'400);

/// @brief A lost run is forgotten after this; until then it is still told that others live.
constexpr Milliseconds lostMemberRetention = Milliseconds(45'000);

/// @brief Changes younger than this go into each digest: a few beats, to reach everyone.
constexpr Milliseconds changeDisseminationPeriod = Milliseconds(2'000);

/// @brief Watchers of one instance. With six, the loss of a zone of three leaves most instances
///        enough of them; losing a minority of them decides nothing.
constexpr std::size_t watcherCount = 6;

/// @brief Entries in one digest while nothing changes; the members take turns.
constexpr std::size_t maxUnchangedRecords = 10;

/// @brief Most entries in one digest; keeps it within one datagram.
constexpr std::size_t maxDigestRecords = 40;

/// @brief Takes in entries that another instance passed on.
/// @return The hosts whose run is new or has ended (a higher incarnation).
/// @complexity Logarithmic in the members for each entry.
std::vector<std::string> mergeRecords(MemberList &list, const std::vector<MemberRecord> &records,
                                     Milliseconds now);

/// @brief Takes in that a datagram came from an instance itself.
/// @return False if the sender counts as lost: it has to be told, by a claim.
bool recordDatagram(MemberList &list, const std::string &host, Incarnation incarnation, Milliseconds now);

/// @brief Whom an instance has to answer that was claimed silent itself.
enum class SuspicionReply : std::uint8_t {
    Nobody, ///< It was not claimed.
    Sender, ///< The claimant has missed its present version.
    Everyone, ///< It has made a new version of itself.
};

/// @brief Takes in what a watcher claims. A claim of this instance's own silence makes a new
///        version of it.
/// @return Whom to send a beat because of that.
SuspicionReply applySuspicions(MemberList &list, const std::string &watcher,
                       const std::vector<Suspicion> &suspicions, Milliseconds now);

/// @brief Counts the claims and drops who is lost. To be called every `heartbeatInterval`.
/// @return This instance's own claims, to be told to everyone.
/// @complexity n log n in the members.
std::vector<Suspicion> detectFailures(MemberList &list, Milliseconds now);

/// @brief A claim that tells an instance that it counts as lost here.
Suspicion suspicionOf(const MemberList &list, const std::string &host);

/// @brief This instance and what has changed lately, in turn if that is much; for its watchers.
std::vector<MemberRecord> makeHeartbeat(MemberList &list, Milliseconds now);

/// @brief A beat and some other members in turn, lost ones included.
std::vector<MemberRecord> makeDigest(MemberList &list, Milliseconds now);

/// @brief The instances that watch this one.
std::vector<std::string> ownWatchers(const MemberList &list);

/// @brief Hosts to send a digest to: a living member by chance, and contacts or lost members in
///        turn, so that the two sides of a healed partition find each other.
/// @param draw Random bits.
std::vector<std::string> digestReceivers(const MemberList &list, std::uint64_t randomBits);

/// @brief True if the member counts as living.
bool isLiving(const Member &member);

/// @brief Hosts that callers may be sent to, this instance included unless it leaves. Sorted.
std::vector<std::string> servingHosts(const MemberList &list);

/// @brief Hosts of living runs, leaving ones and this instance included. Sorted.
std::vector<std::string> livingHosts(const MemberList &list);

/// @brief Forgets members that have been lost for `lostMemberRetention`.
void evictLost(MemberList &list, Milliseconds now);

} // namespace egretmount::membership

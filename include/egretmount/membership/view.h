#pragma once

#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/membership/instance_list.h>

namespace egretmount::membership {

/// @brief What this instance last heard of another one, from that one itself.
struct PeerView
{
    InstanceRun run;
    ZoneId zone;
    std::string httpAddress;
    Milliseconds lastReceivedAt;
    ConfigVersion configVersion = 0;
    bool isDraining = false;
};

/// @brief What one instance says of another one.
enum class PeerReportKind {
    NoHeartbeat, ///< The reporter exchanges heartbeats with it and hears nothing.
    Draining, ///< It leaves.
};

/// @brief One instance's word on another one; passed on until it is too old.
struct PeerReport
{
    InstanceRun reporter;
    InstanceRun subject; ///< Incarnation zero: never heard of.
    PeerReportKind kind = PeerReportKind::NoHeartbeat;
    Milliseconds at; ///< When it was made, on this instance's clock.
};

/// @brief Who there is, as this instance sees it: the platform's list, its own heartbeats, and what
/// others claim.
struct MembershipState
{
    InstanceRun self;
    InstanceList listed;
    std::vector<PeerView> peers; ///< Sorted by instance.
    std::vector<InstanceId> heartbeatPeers; ///< Where own heartbeats go; sorted.
    std::vector<InstanceId> directPeers; ///< `heartbeatPeers`, and whose heartbeats come here; sorted.
    std::vector<PeerReport> reports; ///< Of other reporters.
    Milliseconds listedAt; ///< When the list last changed.
    Milliseconds staleBefore; ///< Views that are older count for nothing; set after a pause.
};

/// @brief A peer not heard of for this long is suspected.
constexpr Milliseconds peerSuspicionTimeout = Milliseconds(2'000);

/// @brief A claim older than this counts for nothing.
constexpr Milliseconds reportLifetime = Milliseconds(1'500);

/// @brief Reporters needed before an instance out of direct hearing is suspected.
constexpr std::size_t suspicionQuorum = 2;

/// @brief Greatest number of claims in one heartbeat.
constexpr std::size_t maxReports = 64;

/// @brief Takes a new list and chooses the peers for heartbeats.
/// @complexity Quadratic in its length at worst; close to linear with few instances in a list.
void applyList(MembershipState &state, const InstanceList &list, Milliseconds now);

/// @brief Takes in what a peer says of itself. A lower incarnation than the known one is ignored.
/// @return False if it was ignored.
/// @complexity Linear in the number of peers.
bool applyHeartbeat(MembershipState &state, const PeerView &received);

/// @brief Takes in a claim that a peer makes or passes on.
/// @return True if it tells something new: the first claim of its kind on its subject.
/// @complexity Linear in the number of claims.
bool applyReport(MembershipState &state, const PeerReport &report, Milliseconds now);

/// @brief The claims to send: own ones, and the fresh ones of others.
/// @complexity Linear in peers and claims.
std::vector<PeerReport> reportsToSend(const MembershipState &state, Milliseconds now);

/// @brief Notes that the process was paused: what was known before is not fresh any more.
void onProcessPaused(MembershipState &state, Milliseconds now);

/// @brief True if the view may be acted upon: since the last pause a peer has answered, or there is
/// none to ask.
bool isViewFresh(const MembershipState &state);

/// @brief The last word of a peer. @return Null if it was never heard of.
const PeerView *findPeer(const MembershipState &state, const InstanceId &id);

/// @brief True if a peer in direct hearing is silent for `peerSuspicionTimeout` or was never heard of,
///        or if enough others say so of one that is not.
///
/// Suspicion only keeps callers and calls away; it never takes a share of a target from an instance
/// that the platform lists.
bool isSuspected(const MembershipState &state, const InstanceId &id, Milliseconds now);

/// @brief True if an instance is known to leave.
bool isLeaving(const MembershipState &state, const InstanceId &id, Milliseconds now);

/// @brief Instances that callers may be sent to: listed as live, not draining, not suspected.
std::vector<ListedInstance> callableInstances(const MembershipState &state, bool isSelfDraining,
                                              Milliseconds now);

} // namespace egretmount::membership

namespace egretmount {

template<>
struct NameTable<membership::PeerReportKind>
{
    static constexpr std::array<NameEntry<membership::PeerReportKind>, 2> entries { {
        { membership::PeerReportKind::NoHeartbeat, "silent" },
        { membership::PeerReportKind::Draining, "draining" },
    } };
};

} // namespace egretmount

#pragma once

#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/membership/instance_list.h>

namespace egretmount::membership {

/// @brief State of a peer as of its last heartbeat.
struct PeerView
{
    InstanceRun run;
    ZoneId zone;
    std::string httpAddress;
    Milliseconds lastReceivedAt; ///< When its last heartbeat arrived.
    ConfigVersion configVersion = 0;
    bool isDraining = false;
};

/// @brief Kind of a report about a peer.
enum class PeerReportKind {
    NoHeartbeat, ///< The reporter exchanges heartbeats with it and receives none.
    Draining, ///< The subject drains before it ends.
};

/// @brief Report of one instance about another one; forwarded for `reportLifetime`.
struct PeerReport
{
    InstanceRun reporter;
    InstanceRun subject; ///< Incarnation zero: the reporter never received a heartbeat.
    PeerReportKind kind = PeerReportKind::NoHeartbeat;
    Milliseconds at; ///< When it was made, on this instance's clock.
};

/// @brief What this instance knows about the others: the list from the platform, the heartbeats it
///        received, and reports from other instances.
struct MembershipState
{
    InstanceRun self;
    InstanceList listed;
    std::vector<PeerView> peers; ///< Sorted by instance.
    std::vector<InstanceId> heartbeatPeers; ///< Receivers of own heartbeats; sorted.
    /// `heartbeatPeers` and the instances that send heartbeats to this one; sorted.
    std::vector<InstanceId> directPeers;
    std::vector<PeerReport> reports; ///< Reports from other instances.
    Milliseconds listedAt; ///< When the list last changed.
    Milliseconds staleBefore; ///< Earlier heartbeats do not make the view fresh; set after a pause.
};

/// @brief Time without a heartbeat after which a peer is suspected.
constexpr Milliseconds peerSuspicionTimeout = Milliseconds(2'000);

/// @brief Time after which a report expires.
constexpr Milliseconds reportLifetime = Milliseconds(1'500);

/// @brief Number of reporters that makes an instance suspected that is not a direct peer.
constexpr std::size_t suspicionQuorum = 2;

/// @brief Greatest number of reports in one heartbeat.
constexpr std::size_t maxReports = 64;

/// @brief Applies a new instance list: selects the heartbeat peers and removes unlisted peers.
/// @complexity Quadratic in its length at worst; close to linear with few instances in a list.
void applyList(MembershipState &state, const InstanceList &list, Milliseconds now);

/// @brief Applies a heartbeat from a peer. One with a lower incarnation than known is ignored.
/// @return False if it was ignored.
/// @complexity Linear in the number of peers.
bool applyHeartbeat(MembershipState &state, const PeerView &received);

/// @brief Applies a report that a peer made or forwarded.
/// @return True for the first report of its kind about its subject, which the caller forwards at
///         once.
/// @complexity Linear in the number of reports.
bool applyReport(MembershipState &state, const PeerReport &report, Milliseconds now);

/// @brief Returns the reports for a heartbeat: own ones and unexpired ones from others.
/// @complexity Linear in the number of peers and reports.
std::vector<PeerReport> reportsToSend(const MembershipState &state, Milliseconds now);

/// @brief Marks the view as stale after the process was paused and drops all reports.
void onProcessPaused(MembershipState &state, Milliseconds now);

/// @brief Returns true if a peer has sent a heartbeat since the last pause, or if there are no
///        heartbeat peers. Decisions must not be based on a view that is not fresh.
bool isViewFresh(const MembershipState &state);

/// @brief Finds the last known state of a peer. @return Null if no heartbeat was ever received.
const PeerView *findPeer(const MembershipState &state, const InstanceId &id);

/// @brief Returns true if no heartbeat of an instance arrived within `peerSuspicionTimeout` and it
///        is a direct peer, is not listed, or is reported by `suspicionQuorum` instances.
///
/// Suspicion only keeps callers and calls away from an instance. It never takes away the share of a
/// target that an instance listed by the platform holds.
bool isSuspected(const MembershipState &state, const InstanceId &id, Milliseconds now);

/// @brief Returns true if an instance is draining, by its own heartbeat or by a report.
bool isLeaving(const MembershipState &state, const InstanceId &id, Milliseconds now);

/// @brief Returns the instances that callers may be sent to: listed as live, not draining and not
///        suspected.
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

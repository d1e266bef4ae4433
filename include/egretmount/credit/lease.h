#pragma once

#include <map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/credit/holders.h>

namespace egretmount::credit {

/// @brief Durations that the leases on cold targets use.
struct LeaseSettings
{
    Milliseconds length = Milliseconds(2'000);
    Milliseconds renewInterval = Milliseconds(500);
    /// Time after its start during which an instance neither grants nor requests a lease, as it
    /// has lost the promises of its earlier incarnation. Covers a lease and the list's lag.
    Milliseconds startupDelay = Milliseconds(3'000);
    /// Time during which a candidate of an earlier list must still grant a round, because it may
    /// have promised the lease to another instance.
    Milliseconds formerCandidateRetention = Milliseconds(4'000);
};

/// @brief Requests the lease on a cold target, or releases it.
struct LeaseRequest
{
    InstanceRun holder;
    std::uint64_t number = 0; ///< Number of the round; counts the rounds of this incarnation.
    TargetId target;
    Milliseconds length;
    bool isRelease = false;
};

/// @brief The reply to the lease request with the same number.
struct LeaseReply
{
    std::uint64_t number = 0;
    InstanceId granter;
    TargetId target;
    bool isGranted = false;
    InstanceId heldBy; ///< The instance that the lease is promised to; empty if none.
};

/// @brief A granter's promise not to grant the lease to another instance until a given time.
struct LeasePromise
{
    InstanceRun holder;
    std::uint64_t number = 0;
    Milliseconds until; ///< Receipt of the request plus the length of the lease.
};

/// @brief An instance that was a candidate according to an earlier list.
struct FormerCandidate
{
    InstanceId id;
    Milliseconds until; ///< Its grant is not required after this time.
};

/// @brief The lease on one target, with the data of both roles: granter and holder.
struct TargetLease
{
    std::vector<InstanceId> candidates; ///< In rendezvous order, from the current list.
    std::vector<FormerCandidate> formerCandidates; ///< From earlier lists, if still listed.
    LeasePromise promise; ///< The latest promise that this instance has given.
    std::uint64_t round = 0; ///< Number of this instance's current round; zero if there is none.
    Milliseconds sentAt; ///< When the current round was sent.
    std::vector<InstanceId> pendingGranters; ///< Have not granted the current round yet.
    Milliseconds heldUntil; ///< Sending of the last round that all have granted, plus the length.
};

/// @brief All leases of one instance.
struct LeaseState
{
    InstanceRun self;
    LeaseSettings settings;
    Milliseconds startedAt; ///< Promises of an earlier incarnation expire `startupDelay` later.
    bool isLeaving = false;
    std::uint64_t lastRound = 0;
    ListedInstances listedInstances;
    std::map<TargetId, TargetLease> leases;
};

/// @brief Computes the candidates of all targets from the instances of a list.
/// @complexity Number of targets times number of instances.
void setLeaseInstances(LeaseState &state, const std::vector<TargetId> &targets,
                       const ListedInstances &listedInstances, Milliseconds now);

/// @brief Answers the lease request of another instance.
///
/// Grants the lease to listed instances only, and to one at a time. An instance that is leaving, or
/// whose `startupDelay` has not passed, grants nothing. A release ends the promise to its sender,
/// unless the promise belongs to a newer round.
LeaseReply answerLease(LeaseState &state, const LeaseRequest &request, Milliseconds now);

/// @brief Starts a round. The caller sends `request` to every instance of `pendingGranters`.
/// @param[out] request The request to send.
/// @return False if this instance has promised the lease to another one, is no candidate, is
///         leaving, or is still within its `startupDelay`.
bool beginRound(LeaseState &state, const TargetId &target, LeaseRequest &request, Milliseconds now);

/// @brief Processes a reply. Replies to earlier rounds are ignored.
/// @return True if this instance holds the lease.
bool onLeaseReply(LeaseState &state, const LeaseReply &reply, Milliseconds now);

/// @brief Ends this instance's lease or current round.
/// @return The release to send to the granters.
LeaseRequest releaseLease(LeaseState &state, const TargetId &target, Milliseconds now);

/// @brief Returns true while this instance holds the lease.
bool holdsLease(const LeaseState &state, const TargetId &target, Milliseconds now);

/// @brief Returns the instance to which this one has promised the lease; empty if there is none.
InstanceId leaseHolder(const LeaseState &state, const TargetId &target, Milliseconds now);

/// @brief Finds the lease record of a target. @return Null if there is none.
const TargetLease *findLease(const LeaseState &state, const TargetId &target);

} // namespace egretmount::credit

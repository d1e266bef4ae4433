#pragma once

#include <map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/credit/holders.h>

namespace egretmount::credit {

/// @brief Times of the leases on cold targets.
struct LeaseSettings
{
    Milliseconds length = Milliseconds(2'000);
    Milliseconds renewInterval = Milliseconds(500);
    /// After a start an instance neither grants nor asks: a lease and the lag of the list.
    Milliseconds startupDelay = Milliseconds(3'000);
    /// So long a candidate of a list before is still asked: its promises may be in force.
    Milliseconds formerCandidateRetention = Milliseconds(4'000);
};

/// @brief Asks for the lease on a cold target, or gives it back.
struct LeaseRequest
{
    InstanceRun holder;
    std::uint64_t number = 0; ///< Counts the rounds of this incarnation.
    TargetId target;
    Milliseconds length;
    bool isRelease = false;
};

/// @brief Answers the round with the same number.
struct LeaseReply
{
    std::uint64_t number = 0;
    InstanceId granter;
    TargetId target;
    bool isGranted = false;
    InstanceId heldBy; ///< If not granted: the present holder, or empty.
};

/// @brief A promise to grant the lease to nobody else for a while.
struct LeasePromise
{
    InstanceRun holder;
    std::uint64_t number = 0;
    Milliseconds until; ///< Counted from the receipt of the request.
};

/// @brief A candidate by an earlier list.
struct FormerCandidate
{
    InstanceId id;
    Milliseconds until; ///< Asked no more from then on.
};

/// @brief The lease on one target, as granter and as holder.
struct TargetLease
{
    std::vector<InstanceId> candidates; ///< By the list in force, in rendezvous order.
    std::vector<FormerCandidate> formerCandidates; ///< By lists before, as far as still listed.
    LeasePromise promise;
    std::uint64_t round = 0; ///< Number of the own request in hand; zero: none.
    Milliseconds sentAt; ///< Of the round in hand.
    std::vector<InstanceId> pendingGranters; ///< Have not granted the round in hand.
    Milliseconds heldUntil; ///< Counted from sending the round that all have granted.
};

/// @brief All leases of one instance.
struct LeaseState
{
    InstanceRun self;
    LeaseSettings settings;
    Milliseconds startedAt; ///< Promises of an earlier incarnation run out `startupDelay` later.
    bool isLeaving = false;
    std::uint64_t lastRound = 0;
    ListedInstances listedInstances;
    std::map<TargetId, TargetLease> leases;
};

/// @brief Takes in the instances of a list. @complexity Targets times instances.
void setLeaseInstances(LeaseState &state, const std::vector<TargetId> &targets,
                       const ListedInstances &listedInstances, Milliseconds now);

/// @brief Answers another instance's request. Grants only to listed instances, not while leaving,
///        not within the settling time after the start, and never to two at once.
LeaseReply answerLease(LeaseState &state, const LeaseRequest &request, Milliseconds now);

/// @brief Starts a round: the request goes to every instance of `pendingGranters`.
/// @return False if the own promise is given to another, or the instance may not ask yet.
bool beginRound(LeaseState &state, const TargetId &target, LeaseRequest &request, Milliseconds now);

/// @brief Takes in an answer; only the round in hand counts. @return True if the lease is held.
bool onLeaseReply(LeaseState &state, const LeaseReply &reply, Milliseconds now);

/// @brief Ends the own lease or round. @return The request that tells the granters.
LeaseRequest releaseLease(LeaseState &state, const TargetId &target, Milliseconds now);

/// @brief True while this instance holds the lease.
bool holdsLease(const LeaseState &state, const TargetId &target, Milliseconds now);

/// @brief Whom this instance takes for the holder. @return Empty if it knows none.
InstanceId leaseHolder(const LeaseState &state, const TargetId &target, Milliseconds now);

/// @brief The lease record of a target. @return Null if there is none.
const TargetLease *findLease(const LeaseState &state, const TargetId &target);

} // namespace egretmount::credit

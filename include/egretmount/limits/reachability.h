#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>
#include <egretmount/fleet/target_table.h>

namespace egretmount::limits {

/// @brief Whether an instance can connect to targets at all.
enum class Reach {
    Reached, ///< No connection has failed since the last one that was established.
    Doubtful, ///< One has failed; the fault may be that of its target.
    NotReached, ///< All targets that were probed since then have failed, in several zones.
};

/// @brief Number of probes that must fail, to different targets, before none counts as reached.
///        They go to as many availability zones as there are.
constexpr std::size_t minFailedProbes = 3;

/// @brief Time without a byte from any target, while requests await responses, after which a target
///        is probed. A sound engine may be silent for a second, but not all at the same time.
constexpr Milliseconds maxSilence = Milliseconds(700);

/// @brief Least time between two probes because of the same silence.
constexpr Milliseconds silenceProbeInterval = Milliseconds(1'000);

/// @brief How often an instance that reaches no target tries one.
constexpr Milliseconds recoveryProbeInterval = Milliseconds(300);

/// @brief How long an instance that reaches no target waits for news of others that do, before it
///        concludes that the targets are at fault.
constexpr Milliseconds faultDecisionTime = Milliseconds(1'200);

/// @brief How long a target that could not be reached is probed only after the others.
constexpr Milliseconds failureMemory = Milliseconds(10'000);

/// @brief What an instance knows of its own connections to targets.
struct Reachability
{
    std::optional<Milliseconds> failingSince; ///< First failure since the last connection.
    std::optional<Milliseconds> notReachedSince;
    std::set<TargetId> failedProbes; ///< Targets that were probed in vain since then.
    /// When connections to targets last failed, also before other targets were reached.
    std::map<TargetId, Milliseconds> failedAt;
    Milliseconds connectedAt; ///< Last connection to a target.
    Milliseconds contactAt; ///< Last connection to a target, or bytes from one.
    Milliseconds awaitingSince; ///< When the oldest of the present requests was sent.
    Milliseconds probedAt;
    int awaiting = 0; ///< Requests sent to targets that are not complete.
};

/// @brief Records that a connection to a target was established.
/// @return True if none was reached until now.
bool recordConnected(Reachability &reach, Milliseconds now);

/// @brief Records that a connection to a target failed.
void recordConnectFailed(Reachability &reach, Milliseconds now);

/// @brief Remembers whether a connection to a target was established, for the choice of probes.
/// @complexity Linear in the number of targets that have failed lately.
void recordTargetOutcome(Reachability &reach, const TargetId &target, bool isReached,
                         Milliseconds now);

/// @brief Records that a probe of a target failed.
///
/// If another target was reached since the probe began, the failure says something of its target
/// alone.
/// @param knownTargets Number of targets that could be probed.
/// @param startedAt When the probe began.
/// @return True if none is reached from now on.
bool recordProbeFailed(Reachability &reach, const TargetId &target, std::size_t knownTargets,
                       Milliseconds startedAt, Milliseconds now);

/// @brief Records that a target has sent something on a connection.
void recordBytes(Reachability &reach, Milliseconds now);

/// @brief Counts a request that was sent to a target, and its end.
void recordRequestSent(Reachability &reach, Milliseconds now);
void recordRequestEnded(Reachability &reach);

Reach reachOf(const Reachability &reach);

/// @brief Returns how many targets are to be probed now, besides those that are being probed.
std::size_t probesDue(const Reachability &reach, std::size_t running, Milliseconds now);

/// @brief Chooses targets to probe: those that have not failed, from different zones.
///
/// Targets that requests could not reach come last, as a probe would say the same once more.
/// @param randomBits Selects among equals.
std::vector<fleet::TargetEntry> chooseProbes(const Reachability &reach,
                                             const fleet::TargetTable &table, std::size_t count,
                                             std::uint64_t randomBits);

/// @brief Who is at fault if an instance reaches no target.
enum class Fault {
    Unknown,
    Target, ///< The targets: others do not reach any either, or this instance reaches another.
    Instance, ///< This instance or its network: another instance reaches targets.
};

/// @brief Returns who is at fault for a failed connection.
/// @param failedAt When it failed.
/// @param connectedAt When this instance last connected to a target.
/// @param contactOfOthers When another instance last had contact with a target, if known.
Fault faultOf(const Reachability &reach, Milliseconds failedAt, Milliseconds connectedAt,
              std::optional<Milliseconds> contactOfOthers, Milliseconds now);

} // namespace egretmount::limits

template<>
struct egretmount::NameTable<egretmount::limits::Reach>
{
    using Reach = egretmount::limits::Reach;
    static constexpr std::array<NameEntry<Reach>, 3> entries { {
        { Reach::Reached, "reached" },
        { Reach::Doubtful, "doubtful" },
        { Reach::NotReached, "not-reached" },
    } };
};

template<>
struct egretmount::NameTable<egretmount::limits::Fault>
{
    using Fault = egretmount::limits::Fault;
    static constexpr std::array<NameEntry<Fault>, 3> entries { {
        { Fault::Unknown, "unknown" },
        { Fault::Target, "target" },
        { Fault::Instance, "instance" },
    } };
};

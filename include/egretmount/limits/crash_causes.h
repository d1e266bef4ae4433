#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>

namespace egretmount::limits {

/// @brief What a cause of crashes is.
enum class CauseKind {
    PromptPart, ///< A part that the prompts of many requests may share.
    Request, ///< A whole request, by its content; see `contentId`.
};

/// @brief Something in requests that may crash the targets that run them.
struct Cause
{
    CauseKind kind = CauseKind::PromptPart;
    std::uint64_t id = 0;

    friend bool operator==(const Cause &a, const Cause &b)
    {
        return a.kind == b.kind && a.id == b.id;
    }
    friend bool operator<(const Cause &a, const Cause &b)
    {
        return std::tie(a.kind, a.id) < std::tie(b.kind, b.id);
    }
};

/// @brief Number of crashes after which a cause is blocked, and their least time span.
///
/// Targets that fail together, such as those of an availability zone, crash at almost the same
/// moment; a request crashes one target after the other.
constexpr std::size_t minCrashesToBlock = 3;
constexpr Milliseconds minCrashSpan = Milliseconds(700);

/// @brief How long a cause is blocked for the first time.
///
/// One crash within `crashMemory` after that blocks it again, for twice the time.
constexpr Milliseconds causeBlockTime = Milliseconds(600'000);
constexpr Milliseconds maxCauseBlockTime = Milliseconds(86'400'000);

/// @brief How long a request is blocked whose crashes span less than `minCrashSpan`.
///
/// Its repeats may have crashed all targets of a service within that span. A sound one that was
/// running on three targets that failed together is served after this time; one crash more blocks
/// the request for `causeBlockTime`.
constexpr Milliseconds shortBlockTime = Milliseconds(10'000);

/// @brief How long a crash counts as evidence.
constexpr Milliseconds crashMemory = Milliseconds(300'000);

/// @brief How long after its last use a part of prompts is remembered, and so known to be sound.
constexpr Milliseconds partMemory = Milliseconds(1'200'000);

/// @brief The same of a whole request. Most requests come only once.
constexpr Milliseconds requestMemory = Milliseconds(60'000);

/// @brief Crashes of one target within this time are one crash, seen by several instances.
constexpr Milliseconds sameCrashTime = Milliseconds(500);

/// @brief A part that more than this share of a route's prompts hold is not blocked: it would stop
///        the route, and requests without the part, which could clear it, hardly come.
constexpr double maxBlockableShare = 0.8;

/// @name Bounds of the state
/// @{
constexpr std::size_t maxKnownParts = 20'000;
constexpr std::size_t maxKnownRequests = 10'000;
constexpr std::size_t maxTargetCrashes = 256;
constexpr std::size_t maxCausesPerCrash = 128; // of all requests that run or wait at a target
constexpr std::size_t maxBlockedCauses = 64;
constexpr std::size_t maxCauseRoutes = 1'000;
/// @}

/// @brief What is known of the use of a cause.
struct CauseUse
{
    Milliseconds usedAt; ///< When a request with it was last received or proven sound.
    double received = 0; ///< Requests with it that this instance received recently.
    std::uint64_t route = 0; ///< Route of the last one.
    bool isSound = false; ///< A target has run such a request and went on running.
};

/// @brief A crash of a target, and the causes in the requests that it may have been running.
struct TargetCrash
{
    std::uint64_t target = 0;
    Milliseconds at;
    std::set<Cause> causes;
};

/// @brief A cause whose requests are sent to no target.
struct CauseBlock
{
    Milliseconds from;
    Milliseconds until;
    bool isTrial = false; ///< It had ended, and holds back all requests but the one on trial.
};

/// @brief A cause and its block.
struct BlockedCause
{
    Cause cause;
    CauseBlock block;
};

/// @brief What is suspected to crash targets, and what is known to.
///
/// A crash implicates the causes in all requests that the target had not answered, or not been
/// writing on for long. Those that a target has survived are sound as long as they are remembered.
/// A cause is blocked once it is implicated in `minCrashesToBlock` crashes that no other blocked
/// cause explains: a part of prompts by instances that have received it, a request by all.
struct CrashCauses
{
    std::map<Cause, CauseUse> uses;
    std::deque<TargetCrash> crashes;
    std::map<Cause, CauseBlock> blocked;
    std::map<std::uint64_t, double>
        receivedByRoute; ///< Requests that this instance received recently.
    Milliseconds decayedAt;
    /// Identifies this instance. Those with different ids allow a request whose block has ended one
    /// after the other within `shortBlockTime`, so that one of them tries first.
    std::uint64_t instance = 0;
};

/// @brief Counts the parts of the prompt of a request that this instance has received.
/// @param route Identifies its route.
void recordRequest(CrashCauses &state, std::uint64_t route, const std::vector<Cause> &causes,
                   Milliseconds now);

/// @brief Records that a target has survived a request, so that its causes crash none.
/// @return Those that were suspected or blocked until now.
std::vector<Cause> recordSound(CrashCauses &state, const std::vector<Cause> &causes,
                               Milliseconds now);

/// @brief Returns whether a target is known to have survived a cause.
bool isSound(const CrashCauses &state, const Cause &cause);

/// @brief Returns those causes that are not known to be sound.
std::vector<Cause> unprovenCauses(const CrashCauses &state, const std::vector<Cause> &causes);

/// @brief Records a crash of a target.
/// @param causes In the requests that it may have been running.
/// @return The causes that are blocked by it.
std::vector<Cause> recordCrash(CrashCauses &state, std::uint64_t target,
                               const std::vector<Cause> &causes, Milliseconds at, Milliseconds now);

/// @brief Records that a request is sent.
///
/// If one of its causes was blocked until recently, the request is on trial: it holds back the
/// others with the cause for `shortBlockTime`. If a target survives it, they are free at once.
/// @return The causes that are held back.
std::vector<BlockedCause> recordSend(CrashCauses &state, const std::vector<Cause> &causes,
                                     Milliseconds now);

/// @brief Records that another instance blocks a cause.
/// @return False if it was blocked for as long already, or is known to be sound.
bool recordBlock(CrashCauses &state, const Cause &cause, const CauseBlock &block, Milliseconds now);

/// @brief Returns the number of crashes that implicate a cause and that no blocked one explains.
std::size_t crashCount(const CrashCauses &state, const Cause &cause);

/// @brief Returns whether a crash has implicated one of the causes, and none has proven sound
///        since.
bool isSuspected(const CrashCauses &state, const std::vector<Cause> &causes);

/// @brief Returns for how long a request may be sent to no target; nothing if it may be sent.
std::optional<Milliseconds> blockedFor(const CrashCauses &state, const std::vector<Cause> &causes,
                                       Milliseconds now);

/// @brief Returns for how long a request that has been sent would be blocked; nothing if it may
/// run.
///
/// A request on trial is not held back by its own block.
std::optional<Milliseconds> blockedForRunning(const CrashCauses &state,
                                              const std::vector<Cause> &causes, Milliseconds now);

/// @brief Removes what has expired and keeps the state within its bounds. Call this regularly.
void removeExpired(CrashCauses &state, Milliseconds now);

} // namespace egretmount::limits

template<>
struct egretmount::NameTable<egretmount::limits::CauseKind>
{
    using CauseKind = egretmount::limits::CauseKind;
    static constexpr std::array<NameEntry<CauseKind>, 2> entries { {
        { CauseKind::PromptPart, "part" },
        { CauseKind::Request, "request" },
    } };
};

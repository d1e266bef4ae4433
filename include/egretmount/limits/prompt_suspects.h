#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::limits {

/// @brief Number of crashes after which a part of a prompt is blocked, and their least time span.
///
/// Engines that fail together, such as those of an availability zone, crash at almost the same
/// moment; a prompt crashes one engine after the other.
constexpr std::size_t minCrashesToBlock = 3;
constexpr Milliseconds minCrashSpan = Milliseconds(700);

/// @brief How long a part is blocked for the first time.
///
/// One crash within as long a time after that blocks it again, for twice the time.
constexpr Milliseconds promptBlockTime = Milliseconds(600'000);
constexpr Milliseconds maxPromptBlockTime = Milliseconds(86'400'000);

/// @brief How long a crash counts as evidence.
constexpr Milliseconds crashMemory = Milliseconds(300'000);

/// @brief How long after its last use a part is remembered, and so known to be sound.
constexpr Milliseconds promptPartMemory = Milliseconds(1'200'000);

/// @brief Crashes of one target within this time are one crash, seen by several instances.
constexpr Milliseconds sameCrashTime = Milliseconds(500);

/// @brief A part that more than this share of a route's prompts hold is not blocked: it would stop
///        the route, and requests without the part, which could clear it, hardly come.
constexpr double maxBlockableShare = 0.8;

/// @name Bounds of the state
/// @{
constexpr std::size_t maxPromptParts = 20'000;
constexpr std::size_t maxTargetCrashes = 256;
constexpr std::size_t maxPartsPerCrash = 64;
constexpr std::size_t maxBlockedParts = 64;
constexpr std::size_t maxPromptRoutes = 1'000;
/// @}

/// @brief What is known of a shared part of prompts.
struct PromptPart
{
    Milliseconds usedAt; ///< When a prompt with it was last received or proven sound.
    double received = 0; ///< Prompts with it that this instance received lately.
    std::uint64_t route = 0; ///< Route of the last one.
    bool isSound = false; ///< An engine has written on it and went on running.
};

/// @brief A crash of a target, and the parts of the prompts that it had begun to write on.
struct TargetCrash
{
    std::uint64_t target = 0;
    Milliseconds at;
    std::set<PromptPartId> parts;
};

/// @brief A part whose prompts are sent to no engine.
struct PromptBlock
{
    Milliseconds from;
    Milliseconds until;
};

/// @brief Which parts of prompts are suspected to crash engines, and which are known to.
///
/// A crash implicates the parts of all prompts that the target had not been writing on for long.
/// Those that a target has gone on writing on are sound for good. A part is blocked once it is
/// implicated in `minCrashesToBlock` crashes that no other blocked part explains.
struct PromptSuspects
{
    std::map<PromptPartId, PromptPart> parts;
    std::deque<TargetCrash> crashes;
    std::map<PromptPartId, PromptBlock> blocked;
    std::map<std::uint64_t, double>
        receivedByRoute; ///< Prompts that this instance received lately.
    Milliseconds decayedAt;
};

/// @brief Counts a prompt that this instance has received.
/// @param route Identifies its route.
void recordPrompt(PromptSuspects &suspects, std::uint64_t route,
                  const std::vector<PromptPartId> &parts, Milliseconds now);

/// @brief Records that a target has written on a prompt for so long that its parts crash none.
/// @return Those parts that were suspected or blocked until now.
std::vector<PromptPartId> recordSound(PromptSuspects &suspects,
                                      const std::vector<PromptPartId> &parts, Milliseconds now);

/// @brief Returns whether an engine is known to have gone on writing on a part.
bool isSound(const PromptSuspects &suspects, PromptPartId part);

/// @brief Returns those parts that are not known to be sound.
std::vector<PromptPartId> unprovenParts(const PromptSuspects &suspects,
                                        const std::vector<PromptPartId> &parts);

/// @brief Records a crash of a target that had not written on the prompts for long.
/// @return The parts that are blocked by it.
std::vector<PromptPartId> recordCrash(PromptSuspects &suspects, std::uint64_t target,
                                      const std::vector<PromptPartId> &parts, Milliseconds at,
                                      Milliseconds now);

/// @brief Records that another instance blocks a part.
/// @return False if it was blocked already, or is known to be sound.
bool recordBlock(PromptSuspects &suspects, PromptPartId part, const PromptBlock &block,
                 Milliseconds now);

/// @brief Returns the number of crashes that implicate a part and that no blocked part explains.
std::size_t crashCount(const PromptSuspects &suspects, PromptPartId part);

/// @brief Returns whether a crash has implicated one of the parts, and none has proven sound since.
bool isSuspected(const PromptSuspects &suspects, const std::vector<PromptPartId> &parts);

/// @brief Returns for how long a prompt may be sent to no engine; nothing if it may be sent.
std::optional<Milliseconds> blockedFor(const PromptSuspects &suspects,
                                       const std::vector<PromptPartId> &parts, Milliseconds now);

/// @brief Removes what has expired and keeps the state within its bounds. Call this regularly.
void removeExpired(PromptSuspects &suspects, Milliseconds now);

} // namespace egretmount::limits

#pragma once

#include <optional>
#include <vector>

#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief One part of a prompt that several engines serve together.
struct SpanShard
{
    TargetId target;
    TokenCount tokens = 0; ///< Prompt tokens of this part; parts follow each other in the prompt.
};

/// @brief The engines of one availability zone that serve one prompt together.
///
/// Each engine is named once. The last part also holds the answer.
struct SpanPlan
{
    ZoneId zone;
    std::vector<SpanShard> shards;
};

/// @brief Part of an engine's memory that one span may take at most, in percent; the rest stays for
///        short prompts.
constexpr int spanMemoryPercent = 75;

/// @brief True if a request needs more memory than any target of its service has.
/// @complexity Linear in the number of targets.
bool needsSpan(const DispatchState &state, const Request &request);

/// @brief Plans a span: the availability zone that needs the fewest engines, the own zone first
///        among equals; in it the engines with the most free memory, each given a part in
///        proportion.
/// @param least Fewest parts wanted; a retry asks for more, so that each part is smaller.
/// @return Nothing if no zone has the memory now.
/// @complexity N log N in the number of targets.
std::optional<SpanPlan> planSpan(const DispatchState &state, const Request &request,
                                 std::size_t minShards, Milliseconds now);

/// @brief Plans one part anew after its engine was lost, on an engine that no other part uses.
std::optional<TargetId> replaceShard(const DispatchState &state, const SpanPlan &plan,
                                    std::size_t index, const Request &shard, Milliseconds now);

/// @brief The request by which one part is counted at its target.
/// @param answerTokens Zero for every part but the last.
Request shardRequest(const Request &request, std::size_t index, TokenCount tokens,
                    TokenCount maxOutputTokens);

/// @brief Sends a request to a given target without queueing, if this instance's share has room.
/// @return Nothing assigned if it has not; the request does not wait.
Decisions reserveAt(DispatchState &state, const Request &request, const TargetId &target,
                    Milliseconds now);

/// @brief The same for a request that has borrowed the room it needs; the share is not looked at.
Decisions reserveBorrowed(DispatchState &state, const Request &request, const TargetId &target,
                        Milliseconds now);

} // namespace egretmount::routing

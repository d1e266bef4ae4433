#pragma once

#include <optional>
#include <vector>

#include <egretmount/routing/dispatcher.h>

namespace egretmount::routing {

/// @brief The shard of a prompt that one engine of a span prefills.
struct SpanShard
{
    TargetId target;
    TokenCount tokens = 0; ///< Prompt tokens of the shard; shards are in prompt order.
};

/// @brief The engines of one availability zone that serve one prompt together.
///
/// Each engine holds one shard. The engine of the last shard also generates the output.
struct SpanPlan
{
    ZoneId zone;
    std::vector<SpanShard> shards;
};

/// @brief Maximum percentage of an engine's memory for one span. The rest is left to short prompts.
constexpr int spanMemoryPercent = 75;

/// @brief Returns true if a request needs more memory than any target of its service has.
/// @complexity Linear in the number of targets.
bool needsSpan(const DispatchState &state, const Request &request);

/// @brief Plans a span in the availability zone that needs the fewest engines.
///
/// The instance's own zone wins ties. The engines with the most free memory are used, and the sizes
/// of their shards are proportional to their free memory.
/// @param minShards Minimum number of shards. A retry requests more, so that each shard is smaller.
/// @return Nothing if no zone has enough free memory now.
/// @complexity N log N in the number of targets.
std::optional<SpanPlan> planSpan(const DispatchState &state, const Request &request,
                                 std::size_t minShards, Milliseconds now);

/// @brief Chooses a new engine for a shard whose engine failed.
/// @return An engine of the span's zone that no other shard uses; nothing if none has the memory.
std::optional<TargetId> replaceShard(const DispatchState &state, const SpanPlan &plan,
                                     std::size_t index, const Request &shard, Milliseconds now);

/// @brief Returns the request that accounts for one shard at its target.
/// @param maxOutputTokens Zero for every shard but the last.
Request shardRequest(const Request &request, std::size_t index, TokenCount tokens,
                     TokenCount maxOutputTokens);

/// @brief Dispatches a request to a given target without queueing.
/// @return No decisions if this instance's share has no room.
Decisions reserveAt(DispatchState &state, const Request &request, const TargetId &target,
                    Milliseconds now);

/// @brief Dispatches a request that has borrowed its capacity, without a check of the own share.
/// @return No decisions if the target is not eligible or the request is already running.
Decisions reserveBorrowed(DispatchState &state, const Request &request, const TargetId &target,
                          Milliseconds now);

} // namespace egretmount::routing

#pragma once

#include <egretmount/core/ids.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::placement {

/// @brief Computes the prefill time of one shard, in milliseconds, if a prompt is split evenly over
///        `shards` engines.
///
/// Prefill has a cost per token and a cost per pair of tokens (attention). An even split divides
/// both, so the total over all engines does not depend on `shards`.
/// @pre `shards` is at least one.
double shardPrefillTime(const fleet::EngineSpeed &speed, TokenCount promptTokens, int shards);

/// @brief Computes the time between two events of a stream, in milliseconds, at an engine that only
///        decodes.
/// @param streams Number of streams that the engine decodes.
/// @param contextTokens Prompt and output tokens of all streams together.
double decodeEventInterval(const fleet::EngineSpeed &speed, int streams, TokenCount contextTokens);

/// @brief Computes by how many milliseconds the prefill of a shard lengthens one event interval at
///        most: a step processes one chunk of the prompt, and an interval has a fixed number of
///        steps.
/// @param shardPrefillMs Prefill time of the whole shard.
/// @param shardTokens Prompt tokens of the shard.
double prefillPerEventInterval(const fleet::EngineSpeed &speed, double shardPrefillMs,
                               TokenCount shardTokens);

} // namespace egretmount::placement

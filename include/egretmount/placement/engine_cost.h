#pragma once

#include <egretmount/core/ids.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::placement {

/// @brief Milliseconds that one engine reads if a prompt is split evenly over `shards` engines.
///
/// Reading costs a term for each token and one for each pair of tokens. An even split shares both,
/// so the whole cost does not depend on `shards`.
/// @pre `shards` is at least one.
double shardPrefillTime(const fleet::EngineSpeed &speed, TokenCount promptTokens, int shards);

/// @brief Milliseconds of one pass in which an engine only writes: the pause between two events.
/// @param contextTokens Prompt and written tokens of all writers together.
double decodeEventInterval(const fleet::EngineSpeed &speed, int streams, TokenCount contextTokens);

/// @brief Most milliseconds of a prompt's reading that fit into one pass.
/// @param partMs Reading time of the part. @param partTokens Its tokens.
double prefillPerEventInterval(const fleet::EngineSpeed &speed, double shardPrefillMs, TokenCount shardTokens);

} // namespace egretmount::placement

#pragma once

#include <egretmount/core/ids.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::placement {

/// @brief Milliseconds that one engine reads if a prompt is split evenly over `parts` engines.
///
/// Reading costs a term for each token and one for each pair of tokens. An even split shares both,
/// so the whole cost does not depend on `parts`.
/// @pre `parts` is at least one.
double partReadingTime(const fleet::EngineSpeed &speed, TokenCount promptTokens, int parts);

/// @brief Milliseconds of one pass in which an engine only writes: the pause between two events.
/// @param contextTokens Prompt and written tokens of all writers together.
double writingPassTime(const fleet::EngineSpeed &speed, int writers, TokenCount contextTokens);

/// @brief Most milliseconds of a prompt's reading that fit into one pass.
/// @param partMs Reading time of the part. @param partTokens Its tokens.
double readingPerPass(const fleet::EngineSpeed &speed, double partMs, TokenCount partTokens);

} // namespace egretmount::placement

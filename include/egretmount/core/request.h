#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/length_class.h>

namespace egretmount {

/// @brief What the decision functions know of a request.
struct Request
{
    RequestId id;
    TeamId team;
    ServiceId service;
    TokenCount promptTokens = 0; ///< Estimated before, exact after the target has reported usage.
    TokenCount maxTokens = 0; ///< Upper bound of the answer, in tokens.
    Milliseconds arrival; ///< On the monotonic clock of this instance.
    Milliseconds deadline; ///< On the monotonic clock of this instance.
    int priority = 0; ///< Higher runs first; from the team's priority class.
    std::uint64_t prefixHash = 0; ///< Hash of the first block of the prompt; zero: unknown.
    std::int64_t promptBytes = 0; ///< Length of the prompt's text; zero: it has none.
    bool isRepeatable = true; ///< False: a second execution would do harm.

    /// @brief Tokens of target memory that the request needs at most.
    TokenCount memoryTokens() const { return promptTokens + maxTokens; }
};

} // namespace egretmount

#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/length_class.h>

namespace egretmount {

/// @brief Properties of a request that the decision functions use.
struct Request
{
    RequestId id;
    TeamId team;
    ServiceId service;
    TokenCount promptTokens = 0; ///< An estimate until the target has reported the usage.
    TokenCount maxTokens = 0; ///< Upper bound of the output tokens.
    Milliseconds arrival; ///< On the monotonic clock of this instance.
    Milliseconds deadline; ///< On the monotonic clock of this instance.
    int priority = 0; ///< Higher values run first; from the priority class of the team.
    std::uint64_t prefixHash = 0; ///< Hash of the first block of the prompt; zero: unknown.
    std::int64_t promptBytes = 0; ///< Length of the prompt text; zero: no prompt.
    bool isRepeatable = true; ///< False: a second execution would have unwanted side effects.

    /// @brief Returns the greatest number of tokens that the request holds in target memory.
    TokenCount memoryTokens() const { return promptTokens + maxTokens; }
};

} // namespace egretmount

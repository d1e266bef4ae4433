#pragma once

#include <cstdint>
#include <string>

#include <egretmount/core/ids.h>

namespace egretmount::routing {

/// @brief What a target says of itself; it lags behind the truth.
struct LoadReport
{
    std::uint64_t bootId = 0; ///< Differs after every start of the target.
    TokenCount usedTokens = 0; ///< Memory in use or reserved.
    std::int64_t usedSlots = 0; ///< Requests that it holds.
    TokenCount waitingPromptTokens = 0; ///< Prompt tokens accepted and not yet processed.
    bool isWarm = false; ///< The target's own evidence that it bears its full capacity.
    std::string modelVersion; ///< Version of the loaded model; empty: none.
};

} // namespace egretmount::routing

#pragma once

#include <vector>

#include <egretmount/limits/prompt_suspects.h>

namespace egretmount::node {

/// @brief What one instance tells the others of prompts that crash engines.
struct PromptNews
{
    /// @brief A part that the sender blocks.
    struct BlockedPart
    {
        PromptPartId part = 0;
        limits::PromptBlock block;
    };

    std::vector<limits::TargetCrash> crashes; ///< That the sender has observed.
    std::vector<BlockedPart> blocked;
    std::vector<PromptPartId> sound; ///< Parts on which an engine has gone on writing.

    bool isEmpty() const { return crashes.empty() && blocked.empty() && sound.empty(); }
};

} // namespace egretmount::node

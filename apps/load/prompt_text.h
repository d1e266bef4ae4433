#pragma once

#include <string>
#include <string_view>

#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief The text that all prompts of a run share. A prompt consists of a short text of its own,
/// followed by a prefix of the shared text, which is sent without a copy.
class PromptText
{
public:
    /// @brief Repeats the Markdown documents of a folder up to the length of the longest prompt.
    /// @throws std::runtime_error if the folder contains no text.
    PromptText(const std::string &folder, TokenCount maxPromptTokens);

    /// @brief Returns the first `tokens` tokens of the text. The view is valid as long as this
    /// object.
    std::string_view prefix(TokenCount tokens) const;

private:
    std::string m_text;
};

} // namespace egretmount::load

#pragma once

#include <string>
#include <string_view>

#include <egretmount/core/ids.h>

namespace egretmount::load {

/// @brief The text that all prompts of a run share: each is a start of it behind its own first
/// line.
class PromptText
{
public:
    /// @brief Repeats the documents of a folder until the longest prompt fits.
    /// @throws std::runtime_error if the folder holds no text.
    PromptText(const std::string &folder, TokenCount maxPromptTokens);

    /// @brief The start of the text with a length. Lives as long as the text.
    std::string_view prefix(TokenCount tokens) const;

private:
    std::string m_text;
};

} // namespace egretmount::load

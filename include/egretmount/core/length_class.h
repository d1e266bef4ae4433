#pragma once

#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>

namespace egretmount {

/// @brief Class of a request by its prompt length.
enum class LengthClass {
    Short, ///< Up to `shortPromptTokens`.
    Medium, ///< Up to `mediumPromptTokens`.
    Long, ///< Up to `longPromptTokens`.
    Huge, ///< Longer; may need the memory of more than one engine.
};

template<>
struct NameTable<LengthClass>
{
    static constexpr std::array<NameEntry<LengthClass>, 4> entries { {
        { LengthClass::Short, "short" },
        { LengthClass::Medium, "medium" },
        { LengthClass::Long, "long" },
        { LengthClass::Huge, "huge" },
    } };
};

constexpr TokenCount shortPromptTokens = 4'000;
constexpr TokenCount mediumPromptTokens = 32'000;
constexpr TokenCount longPromptTokens = 200'000;

/// @brief Returns the class of a prompt of `promptTokens` tokens.
constexpr LengthClass lengthClassOf(TokenCount promptTokens)
{
    if (promptTokens <= shortPromptTokens)
        return LengthClass::Short;
    if (promptTokens <= mediumPromptTokens)
        return LengthClass::Medium;
    if (promptTokens <= longPromptTokens)
        return LengthClass::Long;
    return LengthClass::Huge;
}

} // namespace egretmount

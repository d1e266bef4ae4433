#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace egretmount {

/// @brief One row of a table that names the values of an enumeration.
template<typename Enum>
struct NameEntry
{
    Enum value;
    std::string_view name;
};

/// @brief The table of names of an enumeration; specialised beside each `enum class`.
///
/// A specialisation has a static constexpr array `entries` of `NameEntry<Enum>`, one row a value.
template<typename Enum>
struct NameTable;

/// @brief The name of a value. @return An empty view if the table lacks it.
/// @complexity Linear in the number of values. @sa valueNamed
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const NameEntry<Enum> &entry : NameTable<Enum>::entries) {
        if (entry.value == value)
            return entry.name;
    }
    return {};
}

/// @brief The value with a name. @return Nothing if no value has it.
/// @complexity Linear in the number of values. @sa nameOf
template<typename Enum>
constexpr std::optional<Enum> valueNamed(std::string_view name)
{
    for (const NameEntry<Enum> &entry : NameTable<Enum>::entries) {
        if (entry.name == name)
            return entry.value;
    }
    return std::nullopt;
}

} // namespace egretmount

#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace egretmount {

/// @brief Row of a name table: an enumeration value and its name.
template<typename Enum>
struct NameEntry
{
    Enum value;
    std::string_view name;
};

/// @brief Name table of an enumeration, specialized next to each `enum class`.
///
/// A specialization has a static constexpr array `entries` of `NameEntry<Enum>` with one row for
/// each value.
template<typename Enum>
struct NameTable;

/// @brief Returns the name of a value. @return An empty view if the table lacks it.
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

/// @brief Returns the value with a name. @return `std::nullopt` if no value has it.
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

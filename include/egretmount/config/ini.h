#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace egretmount::config {

/// @brief One `key=value` line of an INI text.
struct IniEntry
{
    std::string key;
    std::string value;
};

/// @brief One section of an INI text; the entries keep their order.
struct IniSection
{
    std::string name; ///< The text between the brackets.
    std::vector<IniEntry> entries;

    /// @brief The value of a key. @return Null if the section lacks it.
    /// @complexity Linear in the number of entries.
    const std::string *find(std::string_view key) const;
};

/// @brief A whole INI text; the sections keep their order.
struct IniText
{
    std::vector<IniSection> sections;

    /// @brief The section with a name. @return Null if there is none.
    const IniSection *find(std::string_view name) const;
};

/// @brief Why a text is not INI.
struct IniError
{
    int line = 0; ///< Counted from one.
    std::string message;
};

/// @brief Reads an INI text.
/// @return The sections, or the first line that cannot be read: a line without `=`, an unclosed
///         bracket, a key before the first section, a section or key given twice.
/// @complexity N log N in the number of lines.
tl::expected<IniText, IniError> readIni(std::string_view text);

/// @brief Writes sections as INI text; `readIni` gives the same sections back.
std::string writeIni(const IniText &text);

} // namespace egretmount::config

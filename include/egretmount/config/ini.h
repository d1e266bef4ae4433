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

/// @brief One section of an INI text; the entries are in the order of the text.
struct IniSection
{
    std::string name; ///< The text between the brackets.
    std::vector<IniEntry> entries;

    /// @brief Returns the value of a key, or null if the section does not have the key.
    /// @complexity Linear in the number of entries.
    const std::string *find(std::string_view key) const;
};

/// @brief A parsed INI text; the sections are in the order of the text.
struct IniText
{
    std::vector<IniSection> sections;

    /// @brief Returns the section of that name, or null if there is none.
    const IniSection *find(std::string_view name) const;
};

/// @brief Parse error of an INI text.
struct IniError
{
    int line = 0; ///< Counted from one.
    std::string message;
};

/// @brief Parses an INI text.
/// @return The sections, or the first error: a line without `=`, an unclosed
///         bracket, a key before the first section, a section or key given twice.
/// @complexity N log N in the number of lines.
tl::expected<IniText, IniError> readIni(std::string_view text);

/// @brief Serializes sections as INI text; `readIni` restores the same sections.
std::string writeIni(const IniText &text);

} // namespace egretmount::config

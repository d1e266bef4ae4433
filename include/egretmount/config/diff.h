#pragma once

#include <string>
#include <vector>

#include <egretmount/config/ini.h>
#include <egretmount/core/names.h>

namespace egretmount::config {

/// @brief Kind of a difference between two documents.
enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/// @brief One difference between two documents.
struct Change
{
    ChangeKind kind = ChangeKind::Changed;
    std::string section;
    std::string key; ///< Empty if the whole section was added or removed.
    std::string before; ///< Empty for an addition.
    std::string after; ///< Empty for a removal.
};

/// @brief Computes the differences between two texts, sorted by section name.
///
/// The order of sections and keys is ignored.
/// @complexity N log N in the number of lines.
std::vector<Change> diff(const IniText &before, const IniText &after);

/// @brief Formats a change as one line: `+` for an addition, `-` for a removal, `~` for a change.
///
/// The value of a token hash is redacted; the line shows only that it changed.
std::string describe(const Change &change);

} // namespace egretmount::config

namespace egretmount {

template<>
struct NameTable<config::ChangeKind>
{
    static constexpr std::array<NameEntry<config::ChangeKind>, 3> entries { {
        { config::ChangeKind::Added, "added" },
        { config::ChangeKind::Removed, "removed" },
        { config::ChangeKind::Changed, "changed" },
    } };
};

} // namespace egretmount

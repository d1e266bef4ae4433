#pragma once

#include <string>
#include <vector>

#include <egretmount/config/ini.h>
#include <egretmount/core/names.h>

namespace egretmount::config {

/// @brief How one line of a document differs between two texts.
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
    std::string key; ///< Empty: the whole section.
    std::string before; ///< Empty for an addition.
    std::string after; ///< Empty for a removal.
};

/// @brief The differences between two texts, sorted by section; the order of sections and keys does
///        not count.
/// @complexity N log N in the number of lines.
std::vector<Change> diff(const IniText &before, const IniText &after);

/// @brief Writes a change as one line, `+` for an addition, `-` for a removal, `~` for a change.
///
/// The value of a token hash is not shown, only that it changed.
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

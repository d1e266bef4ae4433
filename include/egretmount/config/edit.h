#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <egretmount/config/document.h>
#include <egretmount/config/ini.h>

namespace egretmount::config {

/// @brief Sets one key of a section; adds section and key where they lack.
/// @complexity Linear in the number of sections.
void setValue(IniText &text, const std::string &section, const std::string &key,
              const std::string &value);

/// @brief Removes a section. @return False if there is none of that name.
bool removeSection(IniText &text, std::string_view section);

/// @brief Raises the version of a document by one. @return The new version.
ConfigVersion incrementVersion(IniText &text);

/// @brief Makes the next version of a document with one availability zone or target taken out or
///        brought back.
/// @param name Name of a zone or a target.
/// @param isOut True: it receives no new work; false: it does again.
/// @return The new text, or what was expected in place of the name.
tl::expected<std::string, Problem> withState(const std::string &text, const std::string &name,
                                             bool isOut);

} // namespace egretmount::config

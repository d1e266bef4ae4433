#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <egretmount/config/document.h>
#include <egretmount/config/ini.h>

namespace egretmount::config {

/// @brief Sets one key of a section; adds the section and the key if they are missing.
/// @complexity Linear in the number of sections.
void setValue(IniText &text, const std::string &section, const std::string &key,
              const std::string &value);

/// @brief Removes a section. @return False if there is no section of that name.
bool removeSection(IniText &text, std::string_view section);

/// @brief Increments the version of a document. @return The new version.
ConfigVersion incrementVersion(IniText &text);

/// @brief Creates the next version of a document, with one availability zone or target taken out of
///        service or put back into service.
/// @param name Name of a zone or a target.
/// @param isOut True: it receives no new requests; false: it receives new requests again.
/// @return The new text, or a problem if the text is not INI or has no zone or target of that name.
tl::expected<std::string, Problem> withState(const std::string &text, const std::string &name,
                                             bool isOut);

} // namespace egretmount::config

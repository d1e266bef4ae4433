#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <egretmount/config/schema.h>

namespace egretmount::kernel {

/// @brief Exit codes of all programs.
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

/// @brief The checked settings of one daemon: flags over an INI file over defaults.
///
/// Every key of the specification is also a flag, `--section_key=value`.
class Settings
{
public:
    /// @brief Reads the command line and the file that `--settings` names.
    ///
    /// Prints every problem to standard error and ends the process with `exitBadSettings` if there
    /// is one.
    /// @param specs Must outlive the settings.
    static Settings loadOrExit(int &argc, char **&argv, std::string_view usage,
                               const std::vector<config::SectionSpec> &specs);

    /// @brief A reader of one section; keys that are not set have their defaults.
    /// @pre The specification has the section.
    config::SectionReader section(std::string_view name) const;

    /// @brief All sections as set, without defaults.
    const config::IniText &text() const { return m_text; }

private:
    explicit Settings(const std::vector<config::SectionSpec> &specs)
        : m_specs(&specs)
    { }

    const std::vector<config::SectionSpec> *m_specs;
    config::IniText m_text;
};

} // namespace egretmount::kernel

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <egretmount/config/schema.h>

namespace egretmount::kernel {

// Exit codes of all programs.
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3; ///< Start-up failed, or a fatal error ended the process.

/// @brief The validated settings of one daemon.
///
/// A command-line flag overrides the INI file, which overrides the default. Every key has a flag,
/// `--section_key=value`, except in sections that may occur several times under different names
/// (`SectionSpec::isNamed`).
class Settings
{
public:
    /// @brief Reads the command line and the file given with `--settings`, and starts logging.
    ///
    /// Prints all problems to standard error and, if there are any, exits the process with
    /// `exitBadSettings`.
    /// @param specs Specification of the sections; must outlive the returned settings.
    static Settings loadOrExit(int &argc, char **&argv, std::string_view usage,
                               const std::vector<config::SectionSpec> &specs);

    /// @brief Returns a reader for one section; keys that are not set have their default values.
    /// @pre The specification contains the section.
    config::SectionReader section(std::string_view name) const;

    /// @brief Returns all sections as set by the file and the flags, without defaults.
    const config::IniText &text() const { return m_text; }

private:
    explicit Settings(const std::vector<config::SectionSpec> &specs)
        : m_specs(&specs)
    { }

    const std::vector<config::SectionSpec> *m_specs;
    config::IniText m_text;
};

} // namespace egretmount::kernel

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <egretmount/config/ini.h>

namespace egretmount::config {

/// @brief Type of a key's value.
enum class ValueKind {
    Text,
    Integer,
    Choice,
    Address, ///< `IP:port`.
    Digest, ///< 64 hexadecimal digits.
};

/// @brief Schema of one key of a section.
struct KeySpec
{
    std::string_view key;
    ValueKind kind = ValueKind::Text;
    std::string_view unit; ///< Empty for a number without a unit and for text.
    std::string_view defaultValue; ///< Value of an absent key; unused if `isRequired`.
    std::int64_t low = 0; ///< Minimum of an integer.
    std::int64_t high = 0; ///< Maximum of an integer.
    std::string_view choices; ///< Allowed values of a choice, separated by `|`.
    bool isRequired = false;
    std::string_view help; ///< Description for operators, in one sentence.
};

/// @brief Schema of one kind of section.
struct SectionSpec
{
    std::string_view kind; ///< Section name, or the part of it before the first dot.
    bool isNamed = false; ///< True: any number of `[kind.name]`; false: at most one `[kind]`.
    std::vector<KeySpec> keys;
};

/// @brief One validation error of a document or settings file, for its author.
struct Problem
{
    std::string file;
    std::string section;
    std::string key; ///< Empty if the error concerns the section itself.
    std::string value;
    std::string expected; ///< What would be valid; for an unknown name, the nearest known one.
};

/// @brief Formats a problem as one line: file, section, key, value and what was expected.
std::string describe(const Problem &problem);

/// @brief Validates every section and key of a text against a schema.
/// @return All problems, in the order of the sections; empty if there are none.
/// @complexity Linear in the length of the text times the number of keys of a section.
std::vector<Problem> check(const IniText &text, const std::vector<SectionSpec> &specs,
                           std::string_view file);

/// @brief Reads the values of one validated section, with defaults for absent keys.
class SectionReader
{
public:
    /// @param section May be null; every key then has its default value.
    /// @param spec Must outlive the reader.
    SectionReader(const IniSection *section, const SectionSpec &spec)
        : m_section(section)
        , m_spec(spec)
    { }

    /// @brief Returns the value of a key or its default. @pre The schema has the key.
    std::string text(std::string_view key) const;

    /// @brief Returns the value of an integer key or its default. @pre The section passed `check`.
    std::int64_t integer(std::string_view key) const;

    /// @brief Returns true if the section sets the key, so that its default does not apply.
    bool has(std::string_view key) const;

private:
    const IniSection *m_section;
    const SectionSpec &m_spec;
};

/// @brief Returns the part of a section name after its kind: `wien-a` for `zone.wien-a`.
std::string nameInSection(const IniSection &section);

/// @brief Returns the kind of a section: `zone` for `zone.wien-a`.
std::string_view kindOfSection(const IniSection &section);

} // namespace egretmount::config

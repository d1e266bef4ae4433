#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <egretmount/config/ini.h>

namespace egretmount::config {

/// @brief Type of the value of a key.
enum class ValueKind {
    Text,
    Integer,
    Choice,
    Address, ///< `IP:port`.
    Digest, ///< 64 hexadecimal digits.
};

/// @brief What may stand under one key of a section.
struct KeySpec
{
    std::string_view key;
    ValueKind kind = ValueKind::Text;
    std::string_view unit; ///< Empty for a bare number or text.
    std::string_view defaultValue; ///< Used where the key is absent; unused if `isRequired`.
    std::int64_t low = 0; ///< Least integer allowed.
    std::int64_t high = 0; ///< Greatest integer allowed.
    std::string_view choices; ///< Allowed words, separated by `|`.
    bool isRequired = false;
    std::string_view help; ///< One sentence for the operator.
};

/// @brief What may stand in one kind of section.
struct SectionSpec
{
    std::string_view kind; ///< Section name, or the part of it before the first dot.
    bool isNamed = false; ///< True: `[kind.name]`, any number; false: `[kind]`, at most one.
    std::vector<KeySpec> keys;
};

/// @brief One fault of a document or settings file, for the operator who wrote it.
struct Problem
{
    std::string file;
    std::string section;
    std::string key; ///< Empty if the fault is the section itself.
    std::string value;
    std::string expected; ///< What would have been right, with the nearest known name if any.
};

/// @brief Writes a problem as one line: file, section, key, value and what was expected.
std::string describe(const Problem &problem);

/// @brief Checks every section and key of a text against the specification.
/// @return All faults, in the order of the text; empty if there are none.
/// @complexity Linear in the length of the text times the keys of a section.
std::vector<Problem> check(const IniText &text, const std::vector<SectionSpec> &specs,
                           std::string_view file);

/// @brief Reads the keys of one checked section with their defaults.
class SectionReader
{
public:
    /// @param section May be null: every key then has its default.
    /// @param spec Must outlive the reader.
    SectionReader(const IniSection *section, const SectionSpec &spec)
        : m_section(section)
        , m_spec(spec)
    { }

    /// @brief The value or default of a key. @pre The specification has the key.
    std::string text(std::string_view key) const;

    /// @brief The value or default of an integer key. @pre The section passed `check`.
    std::int64_t integer(std::string_view key) const;

    /// @brief True if the section itself gives the key.
    bool has(std::string_view key) const;

private:
    const IniSection *m_section;
    const SectionSpec &m_spec;
};

/// @brief The part of a section name after its kind, `wien-a` of `zone.wien-a`.
std::string nameInSection(const IniSection &section);

/// @brief The kind of a section name, `zone` of `zone.wien-a`.
std::string_view kindOfSection(const IniSection &section);

} // namespace egretmount::config

#include <egretmount/config/schema.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <optional>

namespace egretmount::config {

namespace {

constexpr std::size_t digestDigits = 64;
constexpr std::int64_t maxPort = 65535;

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t above = row[j + 1];
            const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
            row[j + 1] = std::min({ above + 1, row[j] + 1, substituted });
            diagonal = above;
        }
    }
    return row[b.size()];
}

template<typename Spec>
std::string describeExpectedName(std::string_view wanted, const std::vector<Spec> &specs,
                                 std::string_view Spec::*field)
{
    if (specs.empty())
        return "nothing here";
    const auto nearest =
        std::min_element(specs.begin(), specs.end(), [wanted, field](const Spec &a, const Spec &b) {
            return editDistance(wanted, a.*field) < editDistance(wanted, b.*field);
        });
    return "a known name; the nearest is '" + std::string((*nearest).*field) + "'";
}

bool isChoice(std::string_view choices, std::string_view value)
{
    while (!choices.empty()) {
        const std::size_t bar = choices.find('|');
        if (choices.substr(0, bar) == value)
            return true;
        if (bar == std::string_view::npos)
            return false;
        choices.remove_prefix(bar + 1);
    }
    return false;
}

bool isIpAddress(std::string_view host)
{
    const auto isAllowed = [](char c) {
        return (c >= '0' && c <= '9') || c == '.' || c == ':' || (c >= 'a' && c <= 'f') || c == '['
               || c == ']';
    };
    return !host.empty() && std::all_of(host.begin(), host.end(), isAllowed);
}

bool isAddress(std::string_view value)
{
    const std::size_t colon = value.rfind(':');
    if (colon == std::string_view::npos || !isIpAddress(value.substr(0, colon)))
        return false;
    const std::optional<std::int64_t> port = parseInteger(value.substr(colon + 1));
    return port && *port > 0 && *port <= maxPort;
}

bool isDigest(std::string_view value)
{
    const auto isHexDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return value.size() == digestDigits && std::all_of(value.begin(), value.end(), isHexDigit);
}

std::string withUnit(std::string text, std::string_view unit)
{
    if (!unit.empty())
        text += " " + std::string(unit);
    return text;
}

// Describes what would be a valid value; returns nothing if the value is valid.
std::optional<std::string> describeExpectedValue(const KeySpec &spec, std::string_view value)
{
    switch (spec.kind) {
    case ValueKind::Text:
        if (value.empty() && spec.isRequired)
            return "a text that is not empty";
        return std::nullopt;
    case ValueKind::Integer: {
        const std::optional<std::int64_t> number = parseInteger(value);
        if (number && *number >= spec.low && *number <= spec.high)
            return std::nullopt;
        return withUnit("an integer from " + std::to_string(spec.low) + " to "
                            + std::to_string(spec.high),
                        spec.unit);
    }
    case ValueKind::Choice:
        if (isChoice(spec.choices, value))
            return std::nullopt;
        return "one of " + std::string(spec.choices);
    case ValueKind::Address:
        if (isAddress(value) || (value.empty() && !spec.isRequired))
            return std::nullopt;
        return "an IP number and a port, like 127.0.0.1:8080";
    case ValueKind::Digest:
        if (isDigest(value))
            return std::nullopt;
        return "64 lower-case hexadecimal digits";
    }
    return std::nullopt;
}

const KeySpec *findKey(const SectionSpec &spec, std::string_view key)
{
    const auto found = std::find_if(spec.keys.begin(), spec.keys.end(),
                                    [key](const KeySpec &one) { return one.key == key; });
    return found == spec.keys.end() ? nullptr : &*found;
}

const SectionSpec *findSpec(const std::vector<SectionSpec> &specs, const IniSection &section)
{
    const bool isNamed = !nameInSection(section).empty();
    const std::string_view kind = kindOfSection(section);
    const auto found = std::find_if(specs.begin(), specs.end(), [&](const SectionSpec &one) {
        return one.kind == kind && one.isNamed == isNamed;
    });
    return found == specs.end() ? nullptr : &*found;
}

void checkSection(const IniSection &section, const SectionSpec &spec, std::string_view file,
                  std::vector<Problem> &problems)
{
    const std::string fileName(file);
    for (const IniEntry &entry : section.entries) {
        const KeySpec *key = findKey(spec, entry.key);
        if (!key) {
            problems.push_back({ fileName, section.name, entry.key, entry.value,
                                 describeExpectedName(entry.key, spec.keys, &KeySpec::key) });
            continue;
        }
        const std::optional<std::string> expected = describeExpectedValue(*key, entry.value);
        if (expected)
            problems.push_back({ fileName, section.name, entry.key, entry.value, *expected });
    }
    for (const KeySpec &key : spec.keys) {
        if (key.isRequired && !section.find(key.key))
            problems.push_back({ fileName, section.name, std::string(key.key), "",
                                 "this key, which has no default" });
    }
}

} // namespace

std::string describe(const Problem &problem)
{
    std::string line = problem.file + ": [" + problem.section + "]";
    if (!problem.key.empty())
        line += " " + problem.key + "=" + problem.value;
    return line + ": expected " + problem.expected;
}

std::vector<Problem> check(const IniText &text, const std::vector<SectionSpec> &specs,
                           std::string_view file)
{
    std::vector<Problem> problems;
    for (const IniSection &section : text.sections) {
        const SectionSpec *spec = findSpec(specs, section);
        if (!spec) {
            problems.push_back(
                { std::string(file), section.name, "", "",
                  describeExpectedName(kindOfSection(section), specs, &SectionSpec::kind) });
            continue;
        }
        checkSection(section, *spec, file, problems);
    }
    return problems;
}

std::string SectionReader::text(std::string_view key) const
{
    const std::string *given = m_section ? m_section->find(key) : nullptr;
    if (given)
        return *given;
    const KeySpec *spec = findKey(m_spec, key);
    return spec ? std::string(spec->defaultValue) : std::string();
}

std::int64_t SectionReader::integer(std::string_view key) const
{
    return parseInteger(text(key)).value_or(0);
}

bool SectionReader::has(std::string_view key) const
{
    return m_section && m_section->find(key);
}

std::string nameInSection(const IniSection &section)
{
    const std::size_t dot = section.name.find('.');
    return dot == std::string::npos ? std::string() : section.name.substr(dot + 1);
}

std::string_view kindOfSection(const IniSection &section)
{
    return std::string_view(section.name).substr(0, section.name.find('.'));
}

} // namespace egretmount::config

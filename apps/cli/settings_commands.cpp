// Commands that use the specifications of settings: keys and settings.

#include <iostream>

#include "command.h"
#include "entry_settings.h"

namespace egretmount::cli {

namespace {

// A shared secret, whose value must not be printed.
constexpr std::string_view redactedKey = "fleetKey";

// Describes the values that a key accepts, as Markdown.
std::string valueText(const config::KeySpec &key)
{
    switch (key.kind) {
    case config::ValueKind::Integer: {
        const std::string range =
            "integer, " + std::to_string(key.low) + " to " + std::to_string(key.high);
        return key.unit.empty() ? range : range + " " + std::string(key.unit);
    }
    case config::ValueKind::Choice: {
        std::string choices(key.choices);
        for (std::size_t at = choices.find('|'); at != std::string::npos;
             at = choices.find('|', at))
            choices.replace(at, 1, ", ");
        return "one of " + choices;
    }
    case config::ValueKind::Address:
        return "`IP:port`";
    case config::ValueKind::Digest:
        return "64 hexadecimal digits";
    case config::ValueKind::Text:
        return "text";
    }
    return "text";
}

void printSection(const config::SectionSpec &section)
{
    std::cout << "### `[" << section.kind << (section.isNamed ? ".NAME" : "") << "]`\n\n"
              << "| Key | Value | Default | Meaning |\n| --- | --- | --- | --- |\n";
    for (const config::KeySpec &key : section.keys) {
        std::cout << "| `" << key.key << "` | " << valueText(key) << " | "
                  << (key.isRequired ? "required" : "`" + std::string(key.defaultValue) + "`")
                  << " | " << key.help << " |\n";
    }
    std::cout << '\n';
}

void printSetting(const config::IniSection *section, const config::SectionSpec &spec,
                  const config::KeySpec &key)
{
    const config::SectionReader reader(section, spec);
    const std::string value = key.key == redactedKey ? "(hidden)" : reader.text(key.key);
    std::cout << spec.kind << '.' << key.key << '=' << value << "  ; "
              << (reader.has(key.key) ? "file" : "default") << '\n';
}

} // namespace

int runKeys(const std::vector<std::string> &arguments)
{
    const bool isFleet = arguments[0] == "fleet";
    if (!isFleet && arguments[0] != "entry")
        throw CommandError { exitUsage, "keys are those of 'fleet' or 'entry'" };
    const std::vector<config::SectionSpec> &specs =
        isFleet ? config::fleetSpecs() : entry::entrySettingsSpecs();
    for (const config::SectionSpec &section : specs)
        printSection(section);
    return exitSuccess;
}

int runSettings(const std::vector<std::string> &arguments)
{
    const config::IniText text = readIniFile(arguments[0]);
    const std::vector<config::Problem> problems =
        config::check(text, entry::entrySettingsSpecs(), arguments[0]);
    for (const config::Problem &problem : problems)
        std::cerr << config::describe(problem) << '\n';
    for (const config::SectionSpec &spec : entry::entrySettingsSpecs()) {
        for (const config::KeySpec &key : spec.keys)
            printSetting(text.find(spec.kind), spec, key);
    }
    return problems.empty() ? exitSuccess : exitFindings;
}

} // namespace egretmount::cli

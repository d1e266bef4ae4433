#include "kernel/settings.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <iterator>

#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_string(settings, "", "INI file with the settings of this process");

namespace egretmount::kernel {

namespace {

/// A command-line flag for one key of the specification. gflags keeps pointers to its members, so
/// its address must not change.
struct KeyFlag
{
    std::string section;
    std::string key;
    std::string name;
    std::string help;
    std::string current;
    std::string initial;
};

std::deque<KeyFlag> &keyFlags()
{
    static std::deque<KeyFlag> flags;
    return flags;
}

void registerFlag(const config::SectionSpec &section, const config::KeySpec &key)
{
    KeyFlag flag;
    flag.section = section.kind;
    flag.key = key.key;
    flag.name = flag.section + "_" + flag.key;
    flag.help = key.help;
    keyFlags().push_back(flag);
    KeyFlag &stored = keyFlags().back();
    const gflags::FlagRegisterer registerer(stored.name.c_str(), stored.help.c_str(), "settings",
                                            &stored.current, &stored.initial);
}

void registerFlags(const std::vector<config::SectionSpec> &specs)
{
    for (const config::SectionSpec &section : specs) {
        if (section.isNamed)
            continue;
        for (const config::KeySpec &key : section.keys)
            registerFlag(section, key);
    }
}

[[noreturn]] void exitWith(const std::string &line)
{
    std::cerr << line << std::endl;
    std::exit(exitBadSettings);
}

config::IniText readFile(const std::string &path)
{
    if (path.empty())
        return {};
    std::ifstream stream(path);
    if (!stream)
        exitWith(path + ": cannot be read; name a readable file with --settings");
    const std::string text { std::istreambuf_iterator<char>(stream), {} };
    tl::expected<config::IniText, config::IniError> ini = config::readIni(text);
    if (!ini)
        exitWith(path + ":" + std::to_string(ini.error().line) + ": " + ini.error().message);
    return *ini;
}

void applyFlag(config::IniText &text, const KeyFlag &flag)
{
    const auto isSection = [&flag](const config::IniSection &one) {
        return one.name == flag.section;
    };
    auto section = std::find_if(text.sections.begin(), text.sections.end(), isSection);
    if (section == text.sections.end()) {
        text.sections.push_back({ flag.section, {} });
        section = std::prev(text.sections.end());
    }
    const auto isKey = [&flag](const config::IniEntry &one) { return one.key == flag.key; };
    const auto entry = std::find_if(section->entries.begin(), section->entries.end(), isKey);
    if (entry == section->entries.end())
        section->entries.push_back({ flag.key, flag.current });
    else
        entry->value = flag.current;
}

// Adds empty sections for those that are missing, so that the check reports their required keys.
void addMissingSections(config::IniText &text, const std::vector<config::SectionSpec> &specs)
{
    for (const config::SectionSpec &spec : specs) {
        if (!spec.isNamed && !text.find(spec.kind))
            text.sections.push_back({ std::string(spec.kind), {} });
    }
}

void startLogging(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

} // namespace

Settings Settings::loadOrExit(int &argc, char **&argv, std::string_view usage,
                              const std::vector<config::SectionSpec> &specs)
{
    gflags::SetUsageMessage(std::string(usage));
    registerFlags(specs);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1)
        exitWith(std::string(argv[0]) + ": unexpected argument '" + argv[1] + "'; see --help");

    Settings settings(specs);
    settings.m_text = readFile(FLAGS_settings);
    for (const KeyFlag &flag : keyFlags()) {
        if (!gflags::GetCommandLineFlagInfoOrDie(flag.name.c_str()).is_default)
            applyFlag(settings.m_text, flag);
    }
    addMissingSections(settings.m_text, specs);
    const std::string file = FLAGS_settings.empty() ? "command line" : FLAGS_settings;
    const std::vector<config::Problem> problems = config::check(settings.m_text, specs, file);
    for (const config::Problem &problem : problems)
        std::cerr << config::describe(problem) << std::endl;
    if (!problems.empty())
        std::exit(exitBadSettings);
    startLogging(argv[0]);
    return settings;
}

config::SectionReader Settings::section(std::string_view name) const
{
    const auto spec =
        std::find_if(m_specs->begin(), m_specs->end(), [name](const config::SectionSpec &one) {
            return one.kind == name && !one.isNamed;
        });
    return { m_text.find(name), *spec };
}

} // namespace egretmount::kernel

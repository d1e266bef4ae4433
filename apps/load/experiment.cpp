#include "experiment.h"

#include <algorithm>
#include <sstream>

namespace egretmount::load {

namespace {

using config::KeySpec;
using config::SectionReader;
using config::SectionSpec;
using config::ValueKind;

constexpr std::int64_t maxInteger = 1'000'000'000;
constexpr std::int64_t millisPerSecond = 1000;

KeySpec integer(std::string_view key, std::string_view unit, std::string_view value,
                std::string_view help)
{
    return { key, ValueKind::Integer, unit, value, 0, maxInteger, "", false, help };
}

KeySpec positive(std::string_view key, std::string_view unit, std::string_view help)
{
    return { key, ValueKind::Integer, unit, "", 1, maxInteger, "", true, help };
}

KeySpec text(std::string_view key, std::string_view value, std::string_view help)
{
    return { key, ValueKind::Text, "", value, 0, 0, "", false, help };
}

KeySpec requiredText(std::string_view key, std::string_view help)
{
    return { key, ValueKind::Text, "", "", 0, 0, "", true, help };
}

SectionSpec runSpec()
{
    return { "run",
             false,
             {
                 text("label", "run", "Name of the setting that is measured."),
                 integer("seed", "", "1", "Seed of the arrivals."),
                 positive("seconds", "s", "Length of the run."),
                 positive("requestsPerSecond", "1/s", "Mean rate of the arrivals."),
                 text("without", "", "Lengths to leave out, separated by blanks."),
                 requiredText("entries", "Addresses of entry instances, separated by blanks."),
                 text("direct", "", "Engines that get every second request themselves."),
                 text("platform", "", "Address of the platform, for faults."),
                 text("service", "egret-llm", "Service to ask."),
                 text("documents", "docs", "Folder with the texts for prompts."),
                 integer("maxInFlight", "requests", "2000", "Requests at one time."),
             } };
}

SectionSpec lengthSpec()
{
    return { "length",
             true,
             {
                 positive("weight", "", "Share of the requests."),
                 positive("lowTokens", "tokens", "Shortest prompt."),
                 positive("highTokens", "tokens", "Longest prompt."),
                 positive("answerTokens", "tokens", "Length of the answers."),
                 positive("deadlineMs", "ms", "Time that a request has."),
             } };
}

SectionSpec teamSpec()
{
    return { "team",
             true,
             {
                 positive("weight", "", "Share of the requests."),
                 requiredText("token", "The team's token."),
             } };
}

SectionSpec faultSpec()
{
    return { "fault",
             true,
             {
                 integer("atMs", "ms", "0", "Time since the start of the run."),
                 { "kind", ValueKind::Choice, "", "", 0, 0,
                   "signal|document|instances|platform|target", true, "What it does." },
                 text("subject", "", "Process name, file or address, by kind."),
                 text("value", "", "Name of the signal or of the stand-in's fault."),
             } };
}

std::vector<std::string> splitWords(const std::string &words)
{
    std::istringstream stream(words);
    std::vector<std::string> parts;
    for (std::string word; stream >> word;)
        parts.push_back(word);
    return parts;
}

void readRun(const SectionReader &run, Experiment &experiment)
{
    experiment.label = run.text("label");
    experiment.workload.seed = static_cast<std::uint64_t>(run.integer("seed"));
    experiment.workload.duration = Milliseconds(run.integer("seconds") * millisPerSecond);
    experiment.workload.requestsPerSecond = run.integer("requestsPerSecond");
    experiment.without = splitWords(run.text("without"));
    experiment.entryAddresses = splitWords(run.text("entries"));
    experiment.directAddresses = splitWords(run.text("direct"));
    experiment.platformAddress = run.text("platform");
    experiment.service = run.text("service");
    experiment.documents = run.text("documents");
    experiment.maxInFlight = static_cast<int>(run.integer("maxInFlight"));
}

LengthShare readLength(const std::string &name, const SectionReader &reader)
{
    return { name,
             reader.integer("weight"),
             reader.integer("lowTokens"),
             reader.integer("highTokens"),
             reader.integer("answerTokens"),
             Milliseconds(reader.integer("deadlineMs")) };
}

Fault readFault(const std::string &name, const SectionReader &reader)
{
    const FaultKind kind = valueNamed<FaultKind>(reader.text("kind")).value_or(FaultKind::Signal);
    return { name, Milliseconds(reader.integer("atMs")), kind, reader.text("subject"),
             reader.text("value") };
}

void readSection(const config::IniSection &section, const SectionSpec &spec, Experiment &experiment)
{
    const SectionReader reader(&section, spec);
    const std::string name = config::nameInSection(section);
    if (spec.kind == "run")
        readRun(reader, experiment);
    else if (spec.kind == "length")
        experiment.workload.lengths.push_back(readLength(name, reader));
    else if (spec.kind == "team")
        experiment.workload.teams.push_back(
            { name, reader.integer("weight"), reader.text("token") });
    else
        experiment.faults.push_back(readFault(name, reader));
}

void override(config::IniText &text, const std::string &sectionName, const config::IniEntry &entry)
{
    const auto isSection = [&sectionName](const config::IniSection &one) {
        return one.name == sectionName;
    };
    auto section = std::find_if(text.sections.begin(), text.sections.end(), isSection);
    if (section == text.sections.end()) {
        text.sections.push_back({ sectionName, {} });
        section = std::prev(text.sections.end());
    }
    const auto isKey = [&entry](const config::IniEntry &one) { return one.key == entry.key; };
    const auto known = std::find_if(section->entries.begin(), section->entries.end(), isKey);
    if (known == section->entries.end())
        section->entries.push_back(entry);
    else
        known->value = entry.value;
}

} // namespace

const std::vector<SectionSpec> &experimentSpecs()
{
    static const std::vector<SectionSpec> specs { runSpec(), lengthSpec(), teamSpec(),
                                                  faultSpec() };
    return specs;
}

void applyOverrides(config::IniText &text, const std::string &overrides)
{
    std::istringstream stream(overrides);
    for (std::string one; std::getline(stream, one, ',');) {
        const std::size_t equals = std::min(one.find('='), one.size());
        const std::size_t dot = one.rfind('.', equals);
        if (dot == std::string::npos || equals == one.size())
            throw std::invalid_argument("'" + one + "' is not section.key=value");
        override(text, one.substr(0, dot),
                 { one.substr(dot + 1, equals - dot - 1), one.substr(equals + 1) });
    }
}

tl::expected<Experiment, std::vector<config::Problem>> readExperiment(const config::IniText &text,
                                                                      std::string_view file)
{
    std::vector<config::Problem> problems = config::check(text, experimentSpecs(), file);
    if (!problems.empty())
        return tl::make_unexpected(problems);
    Experiment experiment;
    for (const config::IniSection &section : text.sections) {
        for (const SectionSpec &spec : experimentSpecs()) {
            if (spec.kind == config::kindOfSection(section))
                readSection(section, spec, experiment);
        }
    }
    for (const LengthShare &length : experiment.workload.lengths) {
        if (length.lowTokens > length.highTokens)
            problems.push_back({ std::string(file), "length." + length.name, "highTokens",
                                 std::to_string(length.highTokens), "lowTokens or more" });
    }
    if (experiment.workload.lengths.empty() || experiment.workload.teams.empty()
        || experiment.entryAddresses.empty())
        problems.push_back({ std::string(file), "run", "", "",
                             "an entry address, a [length.*] and a [team.*] section" });
    if (!problems.empty())
        return tl::make_unexpected(problems);
    const auto isEarlier = [](const Fault &a, const Fault &b) { return a.at < b.at; };
    std::stable_sort(experiment.faults.begin(), experiment.faults.end(), isEarlier);
    return experiment;
}

} // namespace egretmount::load

// `egretmount-load`: an open-loop load generator with fault injection, and a demonstration.

#include <fstream>
#include <iostream>
#include <iterator>

#include <gflags/gflags.h>

#include "demo.h"
#include "experiment.h"
#include "fault_script.h"
#include "report.h"
#include "run_file.h"
#include "runner.h"

DEFINE_string(platform, "127.0.0.1:7000", "demo: address of the platform");
DEFINE_string(entry, "127.0.0.1:8001", "demo: address of any entry instance");
DEFINE_string(token, "", "demo: secret token of the team");
DEFINE_string(model, "egret-llm", "demo: service to ask");
DEFINE_string(documents, "docs", "demo: folder with the texts for prompts");
DEFINE_string(settings, "", "run: INI file of the experiment");
DEFINE_string(set, "", "run: section.key=value settings over the file, separated by commas");
DEFINE_string(pids, "", "run: name=pid of processes that faults signal, separated by commas");
DEFINE_string(samples, "", "run: file to write every request to, for compare");
DEFINE_string(json, "", "run, compare: file to write the report to as JSON");
DEFINE_string(html, "", "run, compare: file to write the report to as a page with plots");

namespace {

using namespace egretmount;

constexpr int exitFailed = 1;
constexpr int exitBadUsage = 2;

constexpr const char *usage =
    "Sends requests as callers do.\n\n"
    "  egretmount-load demo              a few requests, whose answers are checked\n"
    "  egretmount-load run --settings=F  arrivals in open loop and scripted faults, a report\n"
    "  egretmount-load compare F...      one report of several runs with the same arrivals\n\n"
    "  egretmount-load run --settings=bench/lanes.ini --set=run.seed=7,run.without=long";

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        throw std::runtime_error(path + ": cannot be read");
    return { std::istreambuf_iterator<char>(stream), {} };
}

int report(const std::vector<load::RunRecord> &runs)
{
    load::writeTable(runs, std::cout);
    if (!FLAGS_json.empty()) {
        std::ofstream stream(FLAGS_json);
        load::writeJson(runs, stream);
    }
    if (!FLAGS_html.empty()) {
        std::ofstream stream(FLAGS_html);
        load::writeHtml(runs, stream);
    }
    return std::cout.flush() ? 0 : exitFailed;
}

int runFromSettings()
{
    tl::expected<config::IniText, config::IniError> text =
        config::readIni(readFile(FLAGS_settings));
    if (!text) {
        std::cerr << FLAGS_settings << ':' << text.error().line << ": " << text.error().message
                  << std::endl;
        return exitBadUsage;
    }
    load::applyOverrides(*text, FLAGS_set);
    const tl::expected<load::Experiment, std::vector<config::Problem>> experiment =
        load::readExperiment(*text, FLAGS_settings);
    if (!experiment) {
        for (const config::Problem &problem : experiment.error())
            std::cerr << config::describe(problem) << std::endl;
        return exitBadUsage;
    }
    const load::ProcessIds processes = load::readProcessIds(FLAGS_pids);
    const std::string failureReason = load::checkFaults(*experiment, processes);
    if (!failureReason.empty()) {
        std::cerr << FLAGS_settings << ": " << failureReason << std::endl;
        return exitBadUsage;
    }
    const load::RunRecord record = load::runExperiment(*experiment, processes);
    if (!FLAGS_samples.empty())
        load::writeRunFile(record, FLAGS_samples);
    return report({ record });
}

int compare(int argc, char **argv)
{
    std::vector<load::RunRecord> runs;
    for (int i = 2; i < argc; ++i)
        runs.push_back(load::readRunFile(argv[i]));
    if (runs.empty()) {
        std::cerr << "egretmount-load: compare needs the files that run --samples wrote"
                  << std::endl;
        return exitBadUsage;
    }
    const std::string failureReason = load::checkComparable(runs);
    if (!failureReason.empty()) {
        std::cerr << "egretmount-load: " << failureReason << std::endl;
        return exitFailed;
    }
    return report(runs);
}

int runCommand(int argc, char **argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "run")
        return runFromSettings();
    if (command == "compare")
        return compare(argc, argv);
    if (command == "demo") {
        const load::DemoOptions options { FLAGS_platform, FLAGS_entry, FLAGS_token, FLAGS_model,
                                          FLAGS_documents };
        return load::runDemo(options) ? 0 : exitFailed;
    }
    std::cerr << "egretmount-load: unknown command '" << command << "'; see --help" << std::endl;
    return exitBadUsage;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return runCommand(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "egretmount-load: " << error.what() << std::endl;
        return exitFailed;
    }
}

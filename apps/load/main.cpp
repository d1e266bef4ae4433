// Callers for demonstrations and experiments.

#include <iostream>

#include <gflags/gflags.h>

#include "demo.h"

DEFINE_string(platform, "127.0.0.1:7000", "address of the platform");
DEFINE_string(entry, "127.0.0.1:8001", "address of any entry instance, to ask for the others");
DEFINE_string(token, "", "demo: secret token of the team");
DEFINE_string(model, "egret-llm", "demo: service to ask");
DEFINE_string(documents, "docs", "folder with the texts for prompts");

namespace {

constexpr int exitFailed = 1;
constexpr int exitBadUsage = 2;

constexpr const char *usage = "Sends requests as callers do.\n\n"
                              "  egretmount-load demo    sends a few requests and checks answers\n";

int runCommand(const std::string &command)
{
    using namespace egretmount;
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
        return runCommand(argc > 1 ? argv[1] : "");
    } catch (const std::exception &error) {
        std::cerr << "egretmount-load: " << error.what() << std::endl;
        return exitFailed;
    }
}

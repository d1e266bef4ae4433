// `egretmount`, the command line tool for operators.

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "command.h"

namespace {

using namespace egretmount::cli;

std::string usage()
{
    std::ostringstream text;
    text << "operators' command line of egretmount\n\n  egretmount COMMAND [ARGUMENTS] [FLAGS]\n\n";
    for (const Command &command : commands()) {
        std::string synopsis = std::string(command.name) + ' ' + command.arguments;
        synopsis.resize(std::max<std::size_t>(synopsis.size(), 24), ' ');
        text << "  " << synopsis << ' ' << command.help << '\n';
    }
    text << "\nExamples:\n"
            "  egretmount check fleet.ini\n"
            "  egretmount drain wien-a fleet.ini > next.ini && egretmount review fleet.ini "
            "next.ini\n"
            "  egretmount status 127.0.0.1:8001 --json\n"
            "  egretmount explain 127.0.0.1:8001 egret-llm 120000\n"
            "  egretmount explain 127.0.0.1:9464 --service=llm --tokens=120000\n"
            "\nExit codes: 0 done, 1 problems or differences found, 2 wrong usage or unreadable "
            "file,\n"
            "3 the instance does not answer.\n";
    return text.str();
}

int run(const std::vector<std::string> &words)
{
    const auto command =
        std::find_if(commands().begin(), commands().end(),
                     [&words](const Command &one) { return words.front() == one.name; });
    if (command == commands().end())
        throw CommandError { exitUsage, "unknown command '" + words.front()
                                            + "'; egretmount --help lists them" };
    const std::vector<std::string> arguments(words.begin() + 1, words.end());
    const bool isArgumentCountValid = command->isVariadic
                                          ? arguments.size() >= command->argumentCount
                                          : arguments.size() == command->argumentCount;
    if (!isArgumentCountValid)
        throw CommandError { exitUsage, std::string("usage: egretmount ") + command->name + ' '
                                            + command->arguments };
    return command->run(arguments);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usage());
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (argc < 2 || !gflags::GetCommandLineFlagInfoOrDie("help").is_default) {
        std::cout << usage();
        return argc < 2 ? exitUsage : exitSuccess;
    }
    gflags::HandleCommandLineHelpFlags();
    try {
        return run(std::vector<std::string>(argv + 1, argv + argc));
    } catch (const CommandError &error) {
        std::cerr << "egretmount: " << error.message << std::endl;
        return error.exitCode;
    }
}

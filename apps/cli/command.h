#pragma once

#include <string>
#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/config/ini.h>

namespace egretmount::cli {

/// @brief Exit codes of the command line; `--help` and docs/OPERATIONS.md list them.
constexpr int exitSuccess = 0;
constexpr int exitFindings = 1; ///< Problems, differences, a refused change, an instance down.
constexpr int exitUsage = 2; ///< Unknown command, missing argument, unreadable file.
constexpr int exitUnreachable = 3; ///< The instance that was asked does not answer.

/// @brief Runs one command. @param arguments What follows the command's name.
using CommandFunction = int (*)(const std::vector<std::string> &arguments);

/// @brief One command of the program.
struct Command
{
    const char *name;
    const char *arguments; ///< As in the usage line.
    const char *help; ///< One sentence.
    std::size_t argumentCount; ///< How many it needs.
    CommandFunction run;
    bool isVariadic = false; ///< Further arguments are files.
};

/// @brief All commands, in the order of the usage text.
const std::vector<Command> &commands();

/// @brief An error that ends the program with a code and a line on standard error.
struct CommandError
{
    int exitCode;
    std::string message;
};

/// @brief Reads a file. @throws CommandError if it cannot be read.
std::string readFile(const std::string &path);

/// @brief Reads a file as INI. @throws CommandError if it is not.
config::IniText readIniFile(const std::string &path);

/// @brief Reads a file as a fleet document; prints every problem. @throws CommandError if invalid.
config::FleetDocument readDocument(const std::string &path);

/// @brief GET of a page of an instance. @throws CommandError if it does not answer with 200.
std::string fetchPage(const std::string &address, const std::string &path);

// The commands, one a file.
int runCheck(const std::vector<std::string> &arguments);
int runDiff(const std::vector<std::string> &arguments);
int runReview(const std::vector<std::string> &arguments);
int runDrain(const std::vector<std::string> &arguments);
int runResume(const std::vector<std::string> &arguments);
int runKeys(const std::vector<std::string> &arguments);
int runSettings(const std::vector<std::string> &arguments);
int runLocate(const std::vector<std::string> &arguments);
int runStatus(const std::vector<std::string> &arguments);
int runExplain(const std::vector<std::string> &arguments);
int runExplainLog(const std::vector<std::string> &arguments);
int runTokenHash(const std::vector<std::string> &arguments);

} // namespace egretmount::cli

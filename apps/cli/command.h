#pragma once

#include <string>
#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/config/ini.h>

namespace egretmount::cli {

/// @brief Exit codes of the command line, as listed by `--help` and docs/OPERATIONS.md.
constexpr int exitSuccess = 0;
constexpr int exitFindings = 1; ///< Problems, differences, an unsafe change or an instance down.
constexpr int exitUsage = 2; ///< Unknown command, wrong arguments or unreadable file.
constexpr int exitUnreachable = 3; ///< The queried instance did not return a valid response.

/// @brief Runs one command and returns the exit code of the program.
/// @param arguments Command line arguments after the command's name, without flags.
using CommandFunction = int (*)(const std::vector<std::string> &arguments);

/// @brief A command of the program and its entry in the usage text.
struct Command
{
    const char *name;
    const char *arguments; ///< Names of the arguments, as shown in the usage text.
    const char *help; ///< One-line description for the usage text.
    std::size_t argumentCount; ///< Required number of arguments.
    CommandFunction run;
    bool isVariadic = false; ///< Accepts further arguments beyond `argumentCount`.
};

/// @brief Returns all commands, in the order of the usage text.
const std::vector<Command> &commands();

/// @brief Thrown by commands to end the program with an exit code and a message on standard error.
struct CommandError
{
    int exitCode;
    std::string message;
};

/// @brief Returns the contents of a file. @throws CommandError if the file cannot be opened.
std::string readFile(const std::string &path);

/// @brief Reads and parses an INI file.
/// @throws CommandError if the file cannot be opened or has a syntax error.
config::IniText readIniFile(const std::string &path);

/// @brief Reads and validates a fleet document. Prints every problem to standard error.
/// @throws CommandError if the file cannot be opened or the document is invalid.
config::FleetDocument readDocument(const std::string &path);

/// @brief Fetches a page of an instance with HTTP GET and returns its body.
/// @param address `IP:port` of the instance. @param path Path and query of the page.
/// @throws CommandError if the instance cannot be reached or returns a status other than 200.
std::string fetchPage(const std::string &address, const std::string &path);

// Entry points of the commands; see `commands()` for their arguments.
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

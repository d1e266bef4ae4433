#include "command.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include <Poco/Exception.h>

#include "http/client.h"

namespace egretmount::cli {

using namespace literals;

namespace {

constexpr Milliseconds pageTimeout = 3'000_ms;

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> all {
        { "check", "FILE", "validates a fleet document and reports every problem", 1, runCheck },
        { "diff", "OLD NEW", "shows what differs between two documents", 2, runDiff },
        { "review", "OLD NEW", "shows what a change would do, refuses unsafe ones", 2, runReview },
        { "drain", "NAME FILE", "prints the next document with a zone or target taken out", 2,
          runDrain },
        { "resume", "NAME FILE", "prints the next document with it brought back", 2, runResume },
        { "keys", "fleet|entry", "prints the reference of all keys as Markdown", 1, runKeys },
        { "settings", "FILE", "prints an instance's effective settings and their origin", 1,
          runSettings },
        { "token-hash", "TOKEN", "prints the tokenHash of a team's secret token", 1, runTokenHash },
        { "locate", "ADDRESS", "prints which instances callers may use", 1, runLocate },
        { "status", "ADDRESS", "prints versions, drains and targets of all instances", 1,
          runStatus },
        { "explain", "ADDRESS [SERVICE TOKENS]", "prints why a request would go where it goes", 1,
          runExplain, true },
        { "explain-log", "ID FILE...", "follows one request through the logs of instances", 2,
          runExplainLog, true },
    };
    return all;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        throw CommandError { exitUsage, "cannot read " + path };
    return { std::istreambuf_iterator<char>(stream), {} };
}

config::IniText readIniFile(const std::string &path)
{
    tl::expected<config::IniText, config::IniError> ini = config::readIni(readFile(path));
    if (!ini)
        throw CommandError { exitFindings, path + ":" + std::to_string(ini.error().line) + ": "
                                               + ini.error().message };
    return *ini;
}

config::FleetDocument readDocument(const std::string &path)
{
    tl::expected<config::FleetDocument, std::vector<config::Problem>> document =
        config::parseFleetDocument(readFile(path), path);
    if (document)
        return *document;
    for (const config::Problem &problem : document.error())
        std::cerr << config::describe(problem) << '\n';
    throw CommandError { exitFindings, path + " has " + std::to_string(document.error().size())
                                           + " problem(s); mend them and check again" };
}

std::string fetchPage(const std::string &address, const std::string &path)
{
    try {
        const std::unique_ptr<http::Reply> reply = http::fetch(address, path, pageTimeout);
        if (reply->status() == Poco::Net::HTTPResponse::HTTP_OK)
            return reply->body;
        throw CommandError { exitUnreachable, address + path + " answered status "
                                                  + std::to_string(reply->status()) };
    } catch (const Poco::Exception &error) {
        throw CommandError { exitUnreachable, address + " does not answer (" + error.displayText()
                                                  + "); is an instance running there?" };
    }
}

} // namespace egretmount::cli

#include "command.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace egretmount::cli {

namespace {

struct LogLine
{
    std::string time; // time of day, sorts as text
    std::string file; // path of the log
    std::string text; // the complete line
};

// Returns the value of `key=` in a line, or an empty string if the line has no such key.
std::string valueOf(const std::string &line, const std::string &key)
{
    const std::size_t start = line.find(' ' + key + '=');
    if (start == std::string::npos)
        return {};
    const std::size_t from = start + key.size() + 2;
    return line.substr(from, line.find(' ', from) - from);
}

std::vector<LogLine> readLog(const std::string &path)
{
    std::vector<LogLine> lines;
    std::istringstream text(readFile(path));
    for (std::string line; std::getline(text, line);) {
        // Every log line starts with a level letter, a space and the time of day (15 characters).
        if (line.size() > 18 && line[1] == ' ')
            lines.push_back({ line.substr(2, 15), path, line });
    }
    return lines;
}

// Returns whether a line reports a change of an instance's state that is not tied to one target:
// its registry data, membership, settings, lifecycle or configuration.
bool isStateChange(const std::string &line)
{
    for (const char *part : { "registry: ", "peers: ", "settings: ", "shutdown: ", "node: ",
                              "fleet: configuration", "fleet: evacuation", "fleet: leases" }) {
        if (line.find(part) != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

// Prints the lines of the request, marked with `*`, and between the first and the last of them the
// lines that explain its course: those about targets that the request was sent to, and changes of
// the state of the instances that handled it.
int runExplainLog(const std::vector<std::string> &arguments)
{
    const std::string &id = arguments.front();
    std::vector<LogLine> all;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        const std::vector<LogLine> lines = readLog(arguments[i]);
        all.insert(all.end(), lines.begin(), lines.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    std::string first;
    std::string last;
    std::vector<std::string> targets;
    std::vector<std::string> files;
    for (const LogLine &line : all) {
        if (valueOf(line.text, "id") != id)
            continue;
        first = first.empty() ? line.time : first;
        last = line.time;
        targets.push_back(valueOf(line.text, "target"));
        files.push_back(line.file);
    }
    if (first.empty()) {
        std::cerr << "no line names the request " << id << '\n';
        return exitFindings;
    }
    const auto has = [](const std::vector<std::string> &list, const std::string &value) {
        return !value.empty() && std::find(list.begin(), list.end(), value) != list.end();
    };
    for (const LogLine &line : all) {
        const bool isRequest = valueOf(line.text, "id") == id;
        const bool isDuringRequest = line.time >= first && line.time <= last;
        const bool isContext = isDuringRequest && valueOf(line.text, "id").empty()
                               && (has(targets, valueOf(line.text, "target"))
                                   || (isStateChange(line.text) && has(files, line.file)));
        if (isRequest || isContext)
            std::cout << (isRequest ? "* " : "  ") << line.file << ": " << line.text << '\n';
    }
    return exitSuccess;
}

} // namespace egretmount::cli

#include "support/history.h"

#include <fstream>
#include <map>
#include <set>

#include <Poco/JSON/Object.h>

namespace egretmount::tests {

using Kind = HistoryEvent::Kind;

void History::add(const HistoryEvent &event)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_events.push_back(event);
}

void History::write(const std::string &path) const
{
    std::ofstream file(path);
    for (const HistoryEvent &event : m_events) {
        Poco::JSON::Object line;
        line.set("kind", static_cast<int>(event.kind));
        line.set("key", event.key);
        line.set("verdict", event.verdict);
        line.set("answer", event.answer);
        line.set("whole", event.isComplete);
        line.set("disturbed", event.isDisturbed);
        line.set("elapsed_ms", event.elapsed.count());
        line.set("deadline_ms", event.deadline.count());
        line.stringify(file);
        file << '\n';
    }
}

std::vector<std::string> History::violations() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> found;
    checkExecutions(found);
    for (const HistoryEvent &event : m_events) {
        const bool isAnswer = event.kind == Kind::Call || event.kind == Kind::Stream;
        if (isAnswer && event.isComplete && event.answer != event.expected)
            found.push_back("not its own whole answer: " + event.key);
        if (isAnswer && !event.isDisturbed && event.elapsed > event.deadline + deadlineSlack)
            found.push_back("late by " + std::to_string((event.elapsed - event.deadline).count())
                            + " ms: " + event.key);
        if (event.kind == Kind::Memory && !event.answer.empty())
            found.push_back("memory is not back: " + event.key + ' ' + event.answer);
    }
    return found;
}

void History::checkExecutions(std::vector<std::string> &found) const
{
    std::map<std::string, int> executions;
    std::set<std::string> denied;
    std::set<std::string> confirmed;
    for (const HistoryEvent &event : m_events) {
        if (event.kind == Kind::Execution)
            ++executions[event.key];
        if (event.kind == Kind::Call && event.verdict == "not run")
            denied.insert(event.key);
        if (event.kind == Kind::Call && event.verdict == "ran")
            confirmed.insert(event.key);
    }
    for (const std::pair<const std::string, int> &entry : executions) {
        if (entry.second > 1)
            found.push_back("executed more than once: " + entry.first);
        if (denied.count(entry.first) > 0)
            found.push_back("executed though 'not run' was said: " + entry.first);
    }
    for (const std::string &key : confirmed) {
        if (executions.count(key) == 0)
            found.push_back("not executed though 'ran' was said: " + key);
    }
}

} // namespace egretmount::tests

#include "scripts.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

namespace egretmount::soak {

namespace {

using tests::Arrival;
using tests::Script;

constexpr int longPromptTokens = 100'000;

int numberOf(const std::string &targetId)
{
    return std::stoi(targetId.substr(targetId.find('-') + 1));
}

std::string resumedAfter(const Arrival &arrival)
{
    return std::string(http::fieldValue(arrival.head.fields, "Last-Event-Id").value_or(""));
}

// Reads the first number of a field; zero if there is none.
int promptTokens(const Arrival &arrival)
{
    const std::string text(http::fieldValue(arrival.head.fields, "Token-Usage").value_or("0"));
    return std::atoi(text.c_str());
}

class Dice
{
public:
    Dice(std::uint64_t seed, const std::string &text)
        : m_random(seed * 1'000'003 + std::hash<std::string>()(text))
    { }

    int below(int bound)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound));
    }
    bool isOneIn(int bound) { return below(bound) == 0; }

private:
    std::mt19937_64 m_random;
};

// A second target that does not continue the stream.
void refuseToContinue(Script &script, Dice &dice, int lastId)
{
    switch (dice.below(8)) {
    case 0:
        script.status = 500;
        script.body = "id: " + std::to_string(lastId + 1) + "\ndata: failure\n\n";
        break;
    case 1:
        script.status = 500;
        script.body.clear();
        break;
    case 2:
        script.status = 504;
        break;
    case 3:
        script.status = 400;
        break;
    case 4:
        script.status = 204;
        script.body.clear();
        break;
    case 5:
        script.contentType = "text/plain";
        break;
    case 6:
        script.events = lastId; // nothing follows
        break;
    default:
        script.ignoresLastEventId = true;
        break;
    }
}

void breakResponse(Script &script, Dice &dice, bool mayBeKilled)
{
    script.resetAfterEvents = script.events > 0 ? dice.below(5) : 0;
    script.resetsInsideEvent = dice.isOneIn(2);
    if (script.events > 0 && dice.isOneIn(4)) {
        script.resetAfterEvents = -1;
        script.endsBeforeLastChunk = true;
    }
    const int kind = dice.below(10);
    // Plain requests come much more often than streams.
    script.isKilled = kind == 0 && mayBeKilled && (script.events > 0 || dice.isOneIn(5));
    // The end of a body without a length is no failure of a living target.
    script.breaksWithFin = kind >= 6 && !script.omitsLength;
}

} // namespace

bool isProxied(int target)
{
    return target % 4 != 1;
}

bool mayHalfClose(int target)
{
    return target % 4 == 0;
}

std::size_t linesOf(std::uint64_t seed, const std::string &requestId)
{
    Dice dice(seed, requestId);
    const int kind = dice.below(10);
    if (kind < 7)
        return 1;
    return kind < 9 ? 2'000 : 15'000;
}

Script scriptOf(std::uint64_t seed, const Arrival &arrival, const std::string &run)
{
    const std::string after = resumedAfter(arrival);
    const int number = numberOf(arrival.target);
    Dice dice(seed, arrival.requestId + arrival.target + (after.empty() ? "" : "resumed"));
    Script script;
    script.events = arrival.head.target.find("/stream/") == 0 ? eventsOfStream : 0;
    script.eventGap = Milliseconds(40);
    script.eventLabel = " of " + run;
    const std::string line = "answer to " + arrival.requestId + " from " + run + '\n';
    script.body.clear();
    for (std::size_t i = linesOf(seed, arrival.requestId); i > 0; --i)
        script.body += line;
    // With few targets left, faults of targets would count as those of the instance that recovers.
    const bool checksRecovery = arrival.requestId.find("after-") == 0;
    if (checksRecovery)
        return script;
    script.omitsLength = !mayHalfClose(number) && dice.isOneIn(4);
    const int kind = dice.below(100);
    script.declines = kind < 4;
    script.sendsExtraResponse = kind >= 4 && kind < 8;
    script.sendsWrongRequestId = kind == 8;
    script.sendsMalformedResponse = kind == 9;
    const bool isBroken = kind >= 10 && kind < (script.events > 0 ? 28 : 16);
    if (isBroken)
        breakResponse(script, dice, arrival.requestId.find("after-") != 0);
    // The failed runs of 408, 429 and 503 must not look like requests that have not run.
    static constexpr std::array<int, 4> failures = { 500, 408, 429, 503 };
    if (kind >= 16 && kind < 20 && script.events == 0)
        script.status = failures[static_cast<std::size_t>(kind - 16)];
    if (promptTokens(arrival) >= longPromptTokens)
        script.firstEventDelay = Milliseconds(300 + dice.below(2'500));
    if (!after.empty() && dice.isOneIn(2))
        refuseToContinue(script, dice, std::stoi(after));
    return script;
}

void recordArrival(const std::string &file, const Arrival &arrival)
{
    const std::string after = resumedAfter(arrival);
    std::ofstream output(file, std::ios::app);
    output << arrival.at.count() << '\t' << arrival.target << '\t' << arrival.requestId << '\t'
           << arrival.ran << '\t' << (after.empty() ? "-" : after) << '\t' << arrival.body << '\n'
           << std::flush;
}

std::vector<Arrival> readArrivals(const std::string &file)
{
    std::vector<Arrival> arrivals;
    std::ifstream input(file);
    for (std::string line; std::getline(input, line);) {
        Arrival arrival;
        std::istringstream words(line);
        std::int64_t at = 0;
        std::string after;
        if (!(words >> at >> arrival.target >> arrival.requestId >> arrival.ran >> after))
            throw std::runtime_error("malformed arrival: " + line);
        arrival.at = Milliseconds(at);
        if (after != "-")
            arrival.head.fields.push_back({ "Last-Event-Id", after });
        words.ignore();
        std::getline(words, arrival.body);
        arrivals.push_back(arrival);
    }
    return arrivals;
}

std::string problemOfStream(const std::string &body, bool isComplete)
{
    std::set<std::string> runs;
    std::string run;
    std::string begin;
    std::size_t at = 0;
    int id = 0;
    for (std::size_t end = 0; (end = body.find("\n\n", at)) != std::string::npos; at = end + 2) {
        const std::string event = body.substr(at, end - at);
        const std::string number = std::to_string(++id);
        begin = "id: ";
        begin.append(number).append("\ndata: event ").append(number).append(" of ");
        if (event.compare(0, begin.size(), begin) != 0)
            return begin.assign("event ").append(number).append(" is ").append(event);
        const std::string name = event.substr(begin.size());
        if (name != run && !runs.insert(name).second)
            return "events of " + name + " around those of another run";
        run = name;
    }
    if (isComplete && (at != body.size() || id != eventsOfStream))
        return "ended as complete after event " + std::to_string(id);
    return id > eventsOfStream ? "too many events" : "";
}

std::string problemOfPlain(const std::string &body, bool isComplete, const std::string &requestId,
                           std::size_t lines)
{
    const std::string begin = "answer to " + requestId + " from ";
    const std::string first = body.substr(0, body.find('\n') + 1);
    if (first.empty())
        return isComplete ? "no line" : "";
    if (first.compare(0, begin.size(), begin) != 0)
        return "begins with " + first;
    for (std::size_t at = 0; at < body.size(); at += first.size()) {
        const std::string line = body.substr(at, first.size());
        if (first.compare(0, line.size(), line) != 0)
            return "differs at byte " + std::to_string(at);
    }
    if (body.size() > lines * first.size() || (isComplete && body.size() < lines * first.size()))
        return std::to_string(body.size()) + " bytes of " + std::to_string(lines * first.size());
    return {};
}

} // namespace egretmount::soak

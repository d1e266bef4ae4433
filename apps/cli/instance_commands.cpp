// Commands that query running instances: locate, status and explain.

#include <cstdio>
#include <iostream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>
#include <gflags/gflags.h>

#include "command.h"
#include "http/client.h"

DEFINE_bool(json, false, "print JSON in place of a table");
DEFINE_string(service, "", "explain: service of model engines that the request is for");
DEFINE_string(tokens, "", "explain: prompt tokens of the request");
DEFINE_string(team, "", "explain: team that sends the request");
DEFINE_string(route, "", "explain: route of the request; empty: the first one to the service");

namespace egretmount::cli {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr parsePage(const std::string &address, const std::string &path)
{
    try {
        return Poco::JSON::Parser().parse(fetchPage(address, path)).extract<Object::Ptr>();
    } catch (const Poco::Exception &error) {
        throw CommandError { exitUnreachable,
                             address + path + " is not JSON (" + error.displayText() + ")" };
    }
}

void printInstance(const Object &status)
{
    std::printf("%-16s %-12s %8lld %-9s %9lld %8lld\n",
                status.getValue<std::string>("instance").c_str(),
                status.getValue<std::string>("zone").c_str(),
                static_cast<long long>(status.getValue<std::int64_t>("config_version")),
                status.getValue<bool>("draining") ? "draining" : "serving",
                static_cast<long long>(status.getValue<std::int64_t>("requests")),
                static_cast<long long>(status.getValue<std::int64_t>("peers_heard")));
}

void printTargets(const Object &status)
{
    std::printf("\ntargets as %s sees them\n%-16s %-16s %-12s %-8s %11s %19s %10s\n",
                status.getValue<std::string>("instance").c_str(), "target", "service", "zone",
                "work", "slots", "tokens", "waiting");
    const Array::Ptr targets = status.getArray("targets");
    for (unsigned i = 0; i < targets->size(); ++i) {
        const Object::Ptr row = targets->getObject(i);
        std::printf("%-16s %-16s %-12s %-8s %5lld/%5lld %9lld/%9lld %10lld\n",
                    row->getValue<std::string>("target").c_str(),
                    row->getValue<std::string>("service").c_str(),
                    row->getValue<std::string>("zone").c_str(),
                    row->getValue<bool>("new_work") ? "new" : "none",
                    static_cast<long long>(row->getValue<std::int64_t>("slots_in_flight")),
                    static_cast<long long>(row->getValue<std::int64_t>("slots_share")),
                    static_cast<long long>(row->getValue<std::int64_t>("tokens_in_flight")),
                    static_cast<long long>(row->getValue<std::int64_t>("tokens_share")),
                    static_cast<long long>(row->getValue<std::int64_t>("waiting_prompt_tokens")));
    }
}

// Fetches the status page of one instance. Reports a failure on standard error and returns null.
Object::Ptr statusOf(const std::string &address)
{
    try {
        return parsePage(address, "/v1/status");
    } catch (const CommandError &error) {
        std::cerr << "egretmount: " << error.message << '\n';
        return nullptr;
    }
}

std::string encoded(const std::string &value)
{
    std::string text;
    Poco::URI::encode(value, "&=+#?/", text);
    return text;
}

// Fetches an explanation from an instance of `egretmount-node`. What it says about a wrong question
// becomes the error message.
std::string fetchExplanation(const std::string &address)
{
    std::string path =
        "/explain?service=" + encoded(FLAGS_service) + "&tokens=" + encoded(FLAGS_tokens);
    if (!FLAGS_team.empty())
        path += "&team=" + encoded(FLAGS_team);
    if (!FLAGS_route.empty())
        path += "&route=" + encoded(FLAGS_route);
    try {
        const std::unique_ptr<http::Reply> reply = http::fetch(address, path, Milliseconds(3'000));
        if (reply->status() == Poco::Net::HTTPResponse::HTTP_OK)
            return reply->body;
        const std::string reason = reply->body.substr(0, reply->body.find('\n'));
        if (reply->status() == Poco::Net::HTTPResponse::HTTP_BAD_REQUEST)
            throw CommandError { exitUsage, reason };
        if (reply->status() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
            throw CommandError { exitUnreachable, address + " cannot answer: " + reason };
        throw CommandError { exitUnreachable, address + " answered status "
                                                  + std::to_string(reply->status())
                                                  + "; is it a metrics port of egretmount-node?" };
    } catch (const Poco::Exception &error) {
        throw CommandError { exitUnreachable, address + " does not answer (" + error.displayText()
                                                  + "); is it a metrics port of egretmount-node?" };
    }
}

double numberOf(const Object &row, const char *name)
{
    return row.getValue<double>(name);
}

// Returns a number with a fixed number of digits, or a dash if there is none.
std::string numberText(const Object &row, const char *name, int digits)
{
    if (!row.has(name))
        return "-";
    char text[32];
    std::snprintf(text, sizeof text, "%.*f", digits, numberOf(row, name));
    return text;
}

void printPlan(const char *label, const Object &plan)
{
    const Array::Ptr engines = plan.getArray("engines");
    std::printf("%s: %s", label, engines->getElement<std::string>(0).c_str());
    if (engines->size() > 1) {
        std::printf(", helpers");
        for (unsigned i = 1; i < engines->size(); ++i)
            std::printf(" %s", engines->getElement<std::string>(i).c_str());
    }
    std::printf("; first event after %.0f ms, cost %.3f", numberOf(plan, "first_event_ms"),
                numberOf(plan, "cost"));
    if (numberOf(plan, "start_delay_ms") > 0)
        std::printf(", starts after %.0f ms", numberOf(plan, "start_delay_ms"));
    std::printf("\n");
}

void printDecision(const Object &answer)
{
    std::printf("%s: %s would be %s", answer.getValue<std::string>("instance").c_str(),
                (answer.getValue<std::string>("tokens") + " tokens on route "
                 + answer.getValue<std::string>("route"))
                    .c_str(),
                answer.getValue<std::string>("decision").c_str());
    const std::string reason = answer.optValue<std::string>("reason", "");
    if (!reason.empty())
        std::printf(", reason %s", reason.c_str());
    if (answer.has("expected_wait_ms"))
        std::printf(", until %s %.0f ms from now", reason == "no-capacity" ? "at most" : "about",
                    numberOf(answer, "expected_wait_ms"));
    if (answer.has("retry_after_ms"))
        std::printf(", retry after %.0f ms", numberOf(answer, "retry_after_ms"));
    std::printf("\nrank %.0f, caller's timeout %.0f ms, load policy %s\n", numberOf(answer, "rank"),
                numberOf(answer, "client_timeout_ms"),
                answer.getValue<bool>("load_policy_on") ? "on" : "off");
    if (answer.has("lane_engines"))
        std::printf("long pool: %.0f engines, backlog %.0f ms, queued ahead %.0f ms, demand %.2f\n",
                    numberOf(answer, "lane_engines"), numberOf(answer, "lane_backlog_ms"),
                    numberOf(answer, "lane_waiting_ms"), numberOf(answer, "lane_demand"));
}

int explainPlacement(const std::string &address)
{
    const std::string page = fetchExplanation(address);
    if (FLAGS_json) {
        std::cout << page;
        return exitSuccess;
    }
    Object::Ptr answer;
    try {
        answer = Poco::JSON::Parser().parse(page).extract<Object::Ptr>();
        printDecision(*answer);
        if (answer->has("chosen"))
            printPlan("chosen", *answer->getObject("chosen"));
        if (answer->has("runner_up"))
            printPlan("runner-up", *answer->getObject("runner_up"));
        std::printf("\n%-16s %-10s %8s %8s %6s %9s %9s %10s %11s %9s %8s  %s\n", "target", "zone",
                    "cost", "first_ms", "shards", "requests", "untracked", "report_ms",
                    "backlog_ms", "slot_wait", "penalty", "obstacle");
        const Array::Ptr rows = answer->getArray("candidates");
        for (unsigned i = 0; i < rows->size(); ++i) {
            const Object &row = *rows->getObject(i);
            std::printf(
                "%-16s %-10s %8s %8s %6s %9s %9s %10s %11s %9s %8s  %s\n",
                row.getValue<std::string>("target").c_str(),
                row.getValue<std::string>("zone").c_str(), numberText(row, "cost", 3).c_str(),
                numberText(row, "first_event_ms", 0).c_str(), numberText(row, "shards", 0).c_str(),
                numberText(row, "requests", 0).c_str(), numberText(row, "untracked", 0).c_str(),
                numberText(row, "report_age_ms", 0).c_str(),
                numberText(row, "backlog_ms", 0).c_str(),
                numberText(row, "slot_wait_ms", 0).c_str(), numberText(row, "penalty", 3).c_str(),
                row.getValue<std::string>("obstacle").c_str());
        }
        const Array::Ptr excluded = answer->getArray("excluded");
        for (unsigned i = 0; i < excluded->size(); ++i) {
            const Object &row = *excluded->getObject(i);
            std::printf("%-16s excluded: %s\n", row.getValue<std::string>("target").c_str(),
                        row.getValue<std::string>("reason").c_str());
        }
    } catch (const Poco::Exception &error) {
        throw CommandError { exitUnreachable, address + " answered something else than an "
                                                  + "explanation (" + error.displayText() + ")" };
    }
    return exitSuccess;
}

} // namespace

int runLocate(const std::vector<std::string> &arguments)
{
    if (FLAGS_json) {
        std::cout << fetchPage(arguments[0], "/v1/locate") << '\n';
        return exitSuccess;
    }
    const Object::Ptr response = parsePage(arguments[0], "/v1/locate");
    const Array::Ptr instances = response->getArray("instances");
    std::printf("%-16s %-12s %-22s %6s\n", "instance", "zone", "address", "weight");
    for (unsigned i = 0; i < instances->size(); ++i) {
        const Object::Ptr row = instances->getObject(i);
        std::printf("%-16s %-12s %-22s %6d\n", row->getValue<std::string>("instance").c_str(),
                    row->getValue<std::string>("zone").c_str(),
                    row->getValue<std::string>("address").c_str(), row->getValue<int>("weight"));
    }
    return exitSuccess;
}

int runStatus(const std::vector<std::string> &arguments)
{
    const Object::Ptr first = parsePage(arguments[0], "/v1/status");
    const Array::Ptr listed = first->getArray("listed");
    Array pages;
    bool isAnyDown = false;
    if (!FLAGS_json)
        std::printf("%-16s %-12s %8s %-9s %9s %8s\n", "instance", "zone", "version", "state",
                    "requests", "peers");
    for (unsigned i = 0; i < listed->size(); ++i) {
        const Object::Ptr page = statusOf(listed->getObject(i)->getValue<std::string>("address"));
        isAnyDown = isAnyDown || !page;
        if (page && FLAGS_json)
            pages.add(page);
        else if (page)
            printInstance(*page);
    }
    if (FLAGS_json) {
        pages.stringify(std::cout);
        std::cout << '\n';
    } else {
        printTargets(*first);
    }
    return isAnyDown ? exitFindings : exitSuccess;
}

int runExplain(const std::vector<std::string> &arguments)
{
    const bool isOfNode = !FLAGS_service.empty() || !FLAGS_tokens.empty();
    if (arguments.size() != (isOfNode ? 1U : 3U)) {
        throw CommandError { exitUsage, "usage: egretmount explain ADDRESS SERVICE TOKENS, or "
                                        "egretmount explain HOST:PORT --service=S --tokens=N "
                                        "[--team=T] [--route=R] [--json]" };
    }
    if (isOfNode)
        return explainPlacement(arguments[0]);
    const std::string path = "/v1/explain?service=" + arguments[1] + "&tokens=" + arguments[2];
    if (FLAGS_json) {
        std::cout << fetchPage(arguments[0], path) << '\n';
        return exitSuccess;
    }
    const Object::Ptr response = parsePage(arguments[0], path);
    const Array::Ptr targets = response->getArray("targets");
    for (unsigned i = 0; i < targets->size(); ++i) {
        const Object::Ptr row = targets->getObject(i);
        std::printf("%-16s %s\n", row->getValue<std::string>("target").c_str(),
                    row->getValue<std::string>("reason").c_str());
    }
    std::cout << response->getValue<std::string>("summary") << '\n';
    return exitSuccess;
}

} // namespace egretmount::cli

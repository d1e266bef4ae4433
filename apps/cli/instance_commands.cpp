// Commands that query running instances: locate, status and explain.

#include <cstdio>
#include <iostream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <gflags/gflags.h>

#include "command.h"

DEFINE_bool(json, false, "print JSON in place of a table");

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

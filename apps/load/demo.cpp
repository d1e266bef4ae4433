#include "demo.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <egretmount/config/document.h>
#include <egretmount/core/length_class.h>

#include "caller.h"
#include "http/client.h"
#include "platform/platform_client.h"

namespace egretmount::load {

using namespace literals;
using Poco::JSON::Object;

namespace {

constexpr Milliseconds callTimeout = 3'000_ms;
constexpr Milliseconds demoDeadline = 60'000_ms;
constexpr std::size_t bytesPerToken = 4;
constexpr int shortRequests = 8;

/// @brief One request of the demonstration and its outcome.
struct DemoRequest
{
    CallerRequest request;
    CallerResult result;
    bool matchesEngineRecord = false;
};

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

std::string readDocuments(const DemoOptions &options)
{
    std::string all;
    for (const char *file : { "/DESIGN.md", "/GLOSSARY.md", "/PROTOCOLS.md", "/OPERATIONS.md" })
        all += readFile(options.documents + file);
    return all;
}

std::string repeatToLength(const std::string &text, std::size_t bytes)
{
    std::string repeated;
    while (!text.empty() && repeated.size() < bytes)
        repeated += text;
    repeated.resize(std::min(bytes, repeated.size()));
    return repeated;
}

std::vector<std::string> locateInstances(const DemoOptions &options)
{
    std::vector<std::string> addresses;
    const std::unique_ptr<http::Reply> reply =
        http::fetch(options.entryAddress, "/v1/locate", callTimeout);
    const Object::Ptr response = Poco::JSON::Parser().parse(reply->body).extract<Object::Ptr>();
    const Poco::JSON::Array::Ptr instances = response->getArray("instances");
    for (std::size_t i = 0; i < instances->size(); ++i) {
        const Object::Ptr row = instances->getObject(static_cast<unsigned>(i));
        addresses.push_back(row->getValue<std::string>("address"));
    }
    return addresses;
}

DemoRequest makeRequest(const DemoOptions &options, const std::string &id,
                        const std::string &address, std::string prompt)
{
    constexpr TokenCount outputTokens = 24;
    DemoRequest row;
    row.request.address = address;
    row.request.token = options.token;
    row.request.id = RequestId(id);
    row.request.model = options.model;
    row.request.prompt = std::move(prompt);
    row.request.maxTokens = outputTokens;
    row.request.deadline = demoDeadline;
    return row;
}

// Compares the received tokens with the record of the engine that served the request.
bool matchesEngineRecord(const config::FleetDocument &document, const CallerResult &result)
{
    const config::Target *target = config::findTarget(document, TargetId(result.target));
    if (!target)
        return false;
    const std::unique_ptr<http::Reply> reply =
        http::fetch(target->address, "/v1/sent/" + result.id.value, callTimeout);
    const Object::Ptr response = Poco::JSON::Parser().parse(reply->body).extract<Object::Ptr>();
    const Poco::JSON::Array::Ptr sent = response->getArray("tokens");
    std::vector<std::string> tokens;
    for (std::size_t i = 0; i < sent->size(); ++i)
        tokens.push_back(sent->getElement<std::string>(static_cast<unsigned>(i)));
    return tokens == result.tokens;
}

std::vector<DemoRequest> makeRequests(const DemoOptions &options,
                                      const std::vector<std::string> &addresses)
{
    constexpr std::size_t questionBytes = 700 * bytesPerToken;
    constexpr std::size_t dossierBytes = 30'000 * bytesPerToken;
    constexpr std::size_t archiveBytes = 240'000 * bytesPerToken;
    const std::string text = readDocuments(options);
    std::vector<DemoRequest> rows;
    const auto address = [&addresses, &rows] { return addresses[rows.size() % addresses.size()]; };
    rows.push_back(makeRequest(options, "archive", address(), repeatToLength(text, archiveBytes)));
    rows.push_back(makeRequest(options, "dossier", address(), repeatToLength(text, dossierBytes)));
    for (int i = 0; i < shortRequests; ++i)
        rows.push_back(makeRequest(options, "question-" + std::to_string(i), address(),
                                   "Question " + std::to_string(i) + ". "
                                       + repeatToLength(text, questionBytes)));
    return rows;
}

void print(const DemoRequest &row)
{
    constexpr double microsPerMilli = 1000.0;
    const TokenCount promptTokens =
        static_cast<TokenCount>(row.request.prompt.size() / bytesPerToken);
    const std::string className(nameOf(lengthClassOf(promptTokens)));
    std::printf("%-12s %-7s %9lld %9.1f %9.1f %6zu  %-10s %-12s %s\n", row.result.id.value.c_str(),
                className.c_str(), static_cast<long long>(promptTokens),
                static_cast<double>(row.result.firstTokenMicros) / microsPerMilli,
                static_cast<double>(row.result.totalMicros) / microsPerMilli,
                row.result.tokens.size(), row.result.target.c_str(), row.result.verdict.c_str(),
                row.matchesEngineRecord && row.result.isComplete ? "whole"
                                                                 : row.result.error.c_str());
}

} // namespace

bool runDemo(const DemoOptions &options)
{
    const std::optional<std::string> text = platform::readFleet(options.platformAddress, 0, 0_ms);
    const tl::expected<config::FleetDocument, std::vector<config::Problem>> document =
        config::parseFleetDocument(text.value_or(""), "fleet");
    const std::vector<std::string> addresses = locateInstances(options);
    if (!document || addresses.empty()) {
        std::cerr << "no fleet document or no instance to call" << std::endl;
        return false;
    }
    std::vector<DemoRequest> rows = makeRequests(options, addresses);
    std::vector<std::thread> callers;
    callers.reserve(rows.size());
    for (DemoRequest &row : rows)
        callers.emplace_back([&row] { row.result = complete(row.request); });
    for (std::thread &caller : callers)
        caller.join();

    std::printf("%-12s %-7s %9s %9s %9s %6s  %-10s %-12s %s\n", "request", "class", "prompt",
                "first-ms", "total-ms", "tokens", "target", "verdict", "answer");
    bool areAllComplete = true;
    for (DemoRequest &row : rows) {
        row.matchesEngineRecord = matchesEngineRecord(*document, row.result);
        areAllComplete = areAllComplete && row.matchesEngineRecord && row.result.isComplete;
        print(row);
    }
    return areAllComplete;
}

} // namespace egretmount::load

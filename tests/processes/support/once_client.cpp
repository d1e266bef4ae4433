#include "support/once_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>

#include "http/headers.h"

namespace egretmount::tests {

using namespace literals;
using Poco::Net::HTTPRequest;

namespace {

constexpr Milliseconds slack = 3'000_ms;
constexpr int witnessField = 6;

HTTPRequest makePost(const std::string &path, const std::string &token)
{
    HTTPRequest request(HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Authorization", "Bearer " + token);
    return request;
}

} // namespace

std::string takeTicket(const Fleet &fleet, int entryIndex)
{
    HTTPRequest request = makePost("/v1/tickets/app", Fleet::token);
    const std::string body = http::fetch(fleet.entryAddress(entryIndex), request, {}, slack)->body;
    const std::string mark = "\"ticket\":\"";
    const std::size_t start = body.find(mark);
    if (start == std::string::npos)
        return {};
    const std::size_t from = start + mark.size();
    return body.substr(from, body.find('"', from) - from);
}

CallReport callOnce(const Fleet &fleet, int entryIndex, const std::string &ticket,
                    const std::string &id, Milliseconds deadline, const std::string &token)
{
    HTTPRequest request = makePost("/v1/calls/app/approve", token);
    request.set(http::requestIdHeader, id);
    request.set(http::deadlineHeader, std::to_string(deadline.count()));
    if (!ticket.empty())
        request.set(http::ticketHeader, ticket);
    CallReport report;
    const Milliseconds start = monotonicNow();
    try {
        const std::unique_ptr<http::Reply> reply =
            http::fetch(fleet.entryAddress(entryIndex), request, "{}", deadline + slack);
        report.status = reply->status();
        report.verdict = reply->response.get(http::verdictHeader, "");
        report.error = reply->response.get(http::errorHeader, "");
        report.body = reply->body;
    } catch (const Poco::Exception &) {
        report.status = 0;
    }
    report.elapsed = monotonicNow() - start;
    return report;
}

int witnessOf(const std::string &ticket)
{
    std::size_t start = 0;
    for (int field = 0; field < witnessField; ++field)
        start = ticket.find(';', start) + 1;
    const std::string name = ticket.substr(start, ticket.find(';', start) - start);
    return name.empty() ? -1 : std::stoi(name.substr(name.rfind('-') + 1));
}

int executionsOf(const Fleet &fleet, int plainTargets, const std::string &id)
{
    int count = 0;
    for (int i = 0; i < plainTargets; ++i) {
        const std::string log = fleet.fetchText(fleet.plainAddress(i), "/v1/executions");
        const std::string mark = "\"key\":\"" + id + "\"";
        for (std::size_t at = log.find(mark); at != std::string::npos; at = log.find(mark, at + 1))
            ++count;
    }
    return count;
}

} // namespace egretmount::tests

#include "parts.h"

#include <algorithm>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>

#include "http/client.h"
#include "http/headers.h"
#include "http/connection_monitor.h"

namespace egretmount::standins {

using namespace literals;
using Poco::Net::HTTPResponse;

namespace {

constexpr const char *jsonType = "application/json";
constexpr Milliseconds useInterval = 500_ms;
constexpr Milliseconds useTimeout = 400_ms;
constexpr Milliseconds waitSlice = 50_ms;

bool isPartThere(const std::string &address, const std::string &id)
{
    try {
        const std::unique_ptr<http::Reply> reply =
            http::fetch(address, "/v1/parts/" + id, useTimeout);
        return reply->status() == HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void writePart(std::ostream &out, std::uint64_t state, TokenCount tokens)
{
    out << "event: part\ndata: {\"state\":\"" << state << "\",\"tokens\":" << tokens << "}\n\n"
        << std::flush;
}

void writeLoss(std::ostream &out)
{
    out << "event: error\ndata: {\"error\":{\"name\":\"stream-interrupted\"}}\n\n" << std::flush;
}

// Waits until the part is held; a comment line every so often shows that the engine is alive.
StreamState awaitPrefill(Engine &engine, http::Exchange &exchange,
                         const std::shared_ptr<Stream> &stream, std::ostream &out)
{
    PartsBefore before(exchange.header(http::kvPartsHeader));
    const http::ConnectionMonitor caller(exchange.request());
    Stream now = engine.waitFor(stream, 0, waitSlice);
    while (now.state < StreamState::Held) {
        out << ": prefilling\n" << std::flush;
        if (caller.isDisconnected() || !out || !before.use(monotonicNow()))
            return StreamState::Cancelled;
        now = engine.waitFor(stream, 0, waitSlice);
    }
    return now.state;
}

void prefill(Engine &engine, http::Exchange &exchange, const StreamRequest &request)
{
    const std::shared_ptr<Stream> stream = engine.open(request);
    if (!stream) {
        return exchange.sendError({ ErrorId::PromptTooLong, Verdict::MayHaveRun,
                                    "the part needs more memory than the engine has",
                                    Milliseconds() });
    }
    std::ostream &out = exchange.startEventStream();
    const StreamState state = awaitPrefill(engine, exchange, stream, out);
    engine.leave(stream);
    if (state == StreamState::Held)
        return writePart(out, request.promptState, request.promptTokens);
    engine.cancel(request.id, request.owner);
    writeLoss(out);
}

} // namespace

PartsBefore::PartsBefore(const std::string &header)
{
    std::istringstream list(header);
    std::string entry;
    while (std::getline(list, entry, ',')) {
        const std::size_t slash = entry.find('/');
        if (slash != std::string::npos)
            m_parts.push_back({ entry.substr(0, slash), entry.substr(slash + 1) });
    }
}

bool PartsBefore::use(Milliseconds now)
{
    if (now - m_lastUse < useInterval)
        return true;
    m_lastUse = now;
    return std::all_of(m_parts.begin(), m_parts.end(),
                       [](const Part &part) { return isPartThere(part.address, part.id); });
}

std::uint64_t importedState(const http::Exchange &exchange)
{
    Poco::UInt64 state = 0;
    const std::string header = exchange.header(http::kvStateHeader);
    return Poco::NumberParser::tryParseUnsigned64(header, state) ? state : emptyPromptState;
}

void addPartRoutes(http::Server &server, Engine &engine,
                   std::function<Result<StreamRequest>(http::Exchange &)> readRequest)
{
    server.route("POST", "/v1/parts",
                 [&engine, readRequest = std::move(readRequest)](http::Exchange &exchange) {
                     Result<StreamRequest> request = readRequest(exchange);
                     if (!request)
                         return exchange.sendError(request.error());
                     request->isPart = true;
                     request->maxTokens = 0;
                     prefill(engine, exchange, *request);
                 });
    server.route("GET", "/v1/parts/", [&engine](http::Exchange &exchange) {
        const bool isThere = engine.touch(RequestId(exchange.pathSuffix()));
        exchange.send(isThere ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_NOT_FOUND, jsonType,
                      "{}");
    });
}

} // namespace egretmount::standins

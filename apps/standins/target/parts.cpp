#include "parts.h"

#include <algorithm>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>

#include "http/client.h"
#include "http/connection_monitor.h"
#include "http/headers.h"

namespace egretmount::standins {

using namespace literals;
using Poco::Net::HTTPResponse;

namespace {

constexpr const char *jsonType = "application/json";
constexpr Milliseconds refreshInterval = 500_ms;
constexpr Milliseconds refreshTimeout = 400_ms;
constexpr Milliseconds pollInterval = 50_ms;

bool isShardHeld(const std::string &address, const std::string &id)
{
    try {
        const std::unique_ptr<http::Reply> reply =
            http::fetch(address, "/v1/parts/" + id, refreshTimeout);
        return reply->status() == HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void writeShard(std::ostream &out, std::uint64_t state, TokenCount tokens)
{
    out << "event: part\ndata: {\"state\":\"" << state << "\",\"tokens\":" << tokens << "}\n\n"
        << std::flush;
}

void writeInterruption(std::ostream &out)
{
    out << "event: error\ndata: {\"error\":{\"name\":\"stream-interrupted\"}}\n\n" << std::flush;
}

// Waits until the prefill of the shard is done and its KV cache is held. Sends a comment line after
// each poll, so that the caller sees that the engine is alive.
StreamState waitForPrefill(Engine &engine, http::Exchange &exchange,
                           const std::shared_ptr<Stream> &stream, std::ostream &out)
{
    PrecedingShards precedingShards(exchange.header(http::kvPartsHeader));
    const http::ConnectionMonitor caller(exchange.request());
    Stream snapshot = engine.waitFor(stream, 0, pollInterval);
    while (snapshot.state < StreamState::Held) {
        out << ": prefilling\n" << std::flush;
        if (caller.isDisconnected() || !out || !precedingShards.refresh(monotonicNow()))
            return StreamState::Cancelled;
        snapshot = engine.waitFor(stream, 0, pollInterval);
    }
    return snapshot.state;
}

void prefillShard(Engine &engine, http::Exchange &exchange, const StreamRequest &request)
{
    const std::shared_ptr<Stream> stream = engine.open(request);
    if (!stream) {
        return exchange.sendError({ ErrorId::PromptTooLong, Verdict::MayHaveRun,
                                    "the part needs more memory than the engine has",
                                    Milliseconds() });
    }
    std::ostream &out = exchange.startEventStream();
    const StreamState state = waitForPrefill(engine, exchange, stream, out);
    engine.detachReader(stream);
    if (state == StreamState::Held) {
        writeShard(out, request.promptState, request.promptTokens);
        return exchange.finishEventStream();
    }
    engine.cancel(request.id, request.owner);
    writeInterruption(out);
}

} // namespace

PrecedingShards::PrecedingShards(const std::string &header)
{
    std::istringstream list(header);
    std::string entry;
    while (std::getline(list, entry, ',')) {
        const std::size_t slash = entry.find('/');
        if (slash != std::string::npos)
            m_shards.push_back({ entry.substr(0, slash), entry.substr(slash + 1) });
    }
}

bool PrecedingShards::refresh(Milliseconds now)
{
    if (now - m_lastRefresh < refreshInterval)
        return true;
    m_lastRefresh = now;
    return std::all_of(m_shards.begin(), m_shards.end(),
                       [](const Shard &shard) { return isShardHeld(shard.address, shard.id); });
}

std::uint64_t importedPromptState(const http::Exchange &exchange)
{
    Poco::UInt64 state = 0;
    const std::string header = exchange.header(http::kvStateHeader);
    return Poco::NumberParser::tryParseUnsigned64(header, state) ? state : emptyPromptState;
}

void addShardRoutes(http::Server &server, Engine &engine,
                    std::function<Result<StreamRequest>(http::Exchange &)> parseRequest)
{
    server.route("POST", "/v1/parts",
                 [&engine, parseRequest = std::move(parseRequest)](http::Exchange &exchange) {
                     Result<StreamRequest> request = parseRequest(exchange);
                     if (!request)
                         return exchange.sendError(request.error());
                     request->isShard = true;
                     request->maxTokens = 0;
                     prefillShard(engine, exchange, *request);
                 });
    server.route("GET", "/v1/parts/", [&engine](http::Exchange &exchange) {
        const bool isHeld = engine.touch(RequestId(exchange.pathSuffix()));
        exchange.send(isHeld ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_NOT_FOUND, jsonType,
                      "{}");
    });
}

} // namespace egretmount::standins

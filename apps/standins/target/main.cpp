// Simulates a target. The setting `mode` selects a model engine or a plain service.

#include <atomic>
#include <chrono>
#include <thread>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <glog/logging.h>

#include <egretmount/core/digest.h>

#include "engine.h"
#include "http/connection_monitor.h"
#include "http/headers.h"
#include "http/load_report.h"
#include "http/server.h"
#include "kernel/daemon.h"
#include "kernel/settings.h"
#include "orders.h"
#include "parts.h"
#include "plain.h"

namespace {

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::standins;
using Poco::Net::HTTPResponse;

constexpr const char *jsonType = "application/json";
constexpr std::size_t maxBodyBytes = 64U << 20U;
constexpr Milliseconds pollInterval = 50_ms;
constexpr Milliseconds defaultDeadline = 60'000_ms;
constexpr TokenCount defaultMaxTokens = 16;
constexpr std::int64_t maxSettingValue = 1'000'000'000;
constexpr std::int64_t maxCallMilliseconds = 3'600'000;

std::vector<config::SectionSpec> makeSpecs()
{
    using config::KeySpec;
    using config::ValueKind;
    const auto integer = [](std::string_view key, std::string_view unit, std::string_view value,
                            std::string_view help) {
        return KeySpec {
            key, ValueKind::Integer, unit, value, 0, maxSettingValue, "", false, help
        };
    };
    return {
        { "target",
          false,
          {
              { "address", ValueKind::Address, "", "127.0.0.1:9000", 0, 0, "", false,
                "Address of the HTTP server." },
              { "mode", ValueKind::Choice, "", "engine", 0, 0, "engine|plain", false,
                "Kind of target to simulate." },
          } },
        { "engine",
          false,
          {
              integer("memoryTokens", "tokens", "200000", "Memory."),
              integer("slots", "streams", "64", "Maximum number of streams in the batch."),
              integer("prefillTokensPerSecond", "tokens/s", "400000",
                      "Prefill rate of all prompts together."),
              integer("decodeTokensPerSecond", "tokens/s", "20000",
                      "Decode rate of all streams together."),
              integer("streamTokensPerSecond", "tokens/s", "200",
                      "Maximum decode rate of one stream."),
              integer("coldSlots", "streams", "2", "Streams at full rate while cold."),
              integer("warmAfterTokens", "tokens", "0", "Prompt tokens until the engine is warm."),
              integer("coldSlowdown", "", "20",
                      "Slowdown factor of a cold engine above coldSlots."),
              integer("reportLagMs", "ms", "0", "Age of the reported load."),
              integer("scrambleTokens", "tokens", "0",
                      "Tokens per group sent in reverse and twice; 0: in order."),
              integer("resumeWindowMs", "ms", "3000",
                      "How long a stream without a reader is kept."),
              { "checksFence", ValueKind::Choice, "", "no", 0, 0, "yes|no", false,
                "Reject orders with an outdated fencing token." },
              { "senderToken", ValueKind::Text, "", "", 0, 0, "", false,
                "Reject orders without this token; empty: accept all." },
          } },
        { "plain",
          false,
          {
              { "callMs", ValueKind::Integer, "ms", "20", 0, maxCallMilliseconds, "", false,
                "Duration of a call." },
          } },
    };
}

const std::vector<config::SectionSpec> &settingsSpecs()
{
    static const std::vector<config::SectionSpec> specs = makeSpecs();
    return specs;
}

EngineSettings readEngineSettings(const config::SectionReader &reader)
{
    EngineSettings settings;
    settings.memoryTokens = reader.integer("memoryTokens");
    settings.slots = reader.integer("slots");
    settings.prefillTokensPerSecond = reader.integer("prefillTokensPerSecond");
    settings.decodeTokensPerSecond = reader.integer("decodeTokensPerSecond");
    settings.streamTokensPerSecond = reader.integer("streamTokensPerSecond");
    settings.coldSlots = reader.integer("coldSlots");
    settings.warmAfterTokens = reader.integer("warmAfterTokens");
    settings.coldSlowdown = reader.integer("coldSlowdown");
    settings.scrambleTokens = reader.integer("scrambleTokens");
    settings.reportLag = Milliseconds(reader.integer("reportLagMs"));
    settings.resumeWindow = Milliseconds(reader.integer("resumeWindowMs"));
    return settings;
}

std::string stringify(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

Poco::JSON::Object loadJson(const routing::LoadReport &load)
{
    Poco::JSON::Object object;
    object.set("boot", load.bootId);
    object.set("tokens", load.usedTokens);
    object.set("slots", load.usedSlots);
    object.set("waiting", load.waitingPromptTokens);
    object.set("warm", load.isWarm);
    return object;
}

/// @brief Stalls the streams that were open when the fault was set: their connections stay open,
///        but nothing more is sent on them.
class StallFault
{
public:
    void set() { m_since = monotonicNow().count(); }
    bool appliesTo(Milliseconds opened) const { return opened.count() <= m_since; }

private:
    std::atomic<std::int64_t> m_since { -1 };
};

/// @brief The fields of a completion request that the engine uses.
struct Prompt
{
    std::string text;
    TokenCount maxTokens = defaultMaxTokens;
};

Result<Prompt> parsePrompt(const std::string &body)
{
    try {
        Poco::JSON::Parser parser;
        const Poco::JSON::Object::Ptr object =
            parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        Prompt prompt;
        prompt.text = object->getValue<std::string>("prompt");
        prompt.maxTokens = object->optValue<TokenCount>("max_tokens", defaultMaxTokens);
        return prompt;
    } catch (const Poco::Exception &) {
        return fail(ErrorId::MalformedRequest, Verdict::NotRun, "the body is not a completion");
    }
}

TokenCount numberOr(const std::string &text, TokenCount fallback)
{
    Poco::Int64 number = 0;
    return Poco::NumberParser::tryParse64(text, number) ? number : fallback;
}

StreamRequest makeStreamRequest(const http::Exchange &exchange, const Prompt &prompt)
{
    StreamRequest request;
    request.id = RequestId(exchange.header(http::requestIdHeader, "unnamed"));
    request.promptState = extendPrompt(importedPromptState(exchange), prompt.text);
    request.promptHash = promptHashOf(request.promptState);
    request.promptTokens = countTokens(prompt.text);
    request.maxTokens = prompt.maxTokens;
    request.firstToken = numberOr(exchange.header(http::lastEventIdHeader), -1) + 1;
    request.priority = static_cast<int>(numberOr(exchange.header(http::priorityHeader), 0));
    request.owner = exchange.header(http::ownerHeader);
    const std::int64_t remainingMs =
        numberOr(exchange.header(http::deadlineHeader), defaultDeadline.count());
    request.deadline = monotonicNow() + Milliseconds(remainingMs);
    return request;
}

Result<StreamRequest> parseStreamRequest(http::Exchange &exchange)
{
    const Result<std::string> body = exchange.readBody(maxBodyBytes);
    if (!body)
        return tl::make_unexpected(body.error());
    const Result<Prompt> prompt = parsePrompt(*body);
    if (!prompt)
        return tl::make_unexpected(prompt.error());
    return makeStreamRequest(exchange, *prompt);
}

void writeToken(std::ostream &out, const StreamRequest &request, TokenCount index)
{
    out << "id: " << index << "\ndata: {\"id\":\"" << request.id.value
        << "\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\""
        << tokenAt(request.promptHash, index) << "\",\"finish_reason\":null}]}\n\n";
}

void writeEnd(std::ostream &out, const StreamRequest &request, TokenCount count)
{
    out << "id: " << count << "\ndata: {\"id\":\"" << request.id.value
        << "\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"\","
           "\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":"
        << request.promptTokens << ",\"completion_tokens\":" << count << "}}\n\ndata: [DONE]\n\n"
        << std::flush;
}

class EngineService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "engine";

    EngineService(std::string address, const EngineSettings &settings,
                  const OrderSettings &orderSettings)
        : m_address(std::move(address))
        , m_scrambleTokens(settings.scrambleTokens)
        , m_engine(settings)
        , m_orderEndpoint(orderSettings, [this] { return m_engine.report().usedSlots > 0; })
        , m_server(serverLimits())
    { }

    std::string_view name() const override { return serviceName; }

    void start() override
    {
        m_server.route("POST", "/v1/completions", [this](http::Exchange &e) { complete(e); });
        m_server.route("DELETE", "/v1/streams/", [this](http::Exchange &e) { cancel(e); });
        m_server.route("GET", "/v1/load", [this](http::Exchange &e) { sendLoad(e); });
        m_server.route("GET", "/v1/sent/", [this](http::Exchange &e) { sendSent(e); });
        m_server.route("GET", "/v1/stats", [this](http::Exchange &e) { sendStats(e); });
        m_server.route("POST", "/v1/fault", [this](http::Exchange &e) { setFault(e); });
        addShardRoutes(m_server, m_engine, parseStreamRequest);
        m_orderEndpoint.addRoutes(m_server);
        m_server.start(m_address);
        LOG(INFO) << "target: listening address=" << m_address << " mode=engine";
    }

    void stop() override
    {
        m_isStopping = true;
        m_server.stop();
    }

    static http::ServerLimits serverLimits()
    {
        http::ServerLimits limits;
        limits.maxThreads = 1024;
        return limits;
    }

private:
    void complete(http::Exchange &exchange)
    {
        const Milliseconds opened = monotonicNow();
        const Result<StreamRequest> request = parseStreamRequest(exchange);
        if (!request)
            return exchange.sendError(request.error());
        const std::shared_ptr<Stream> stream = m_engine.open(*request);
        if (!stream) {
            return exchange.sendError({ ErrorId::PromptTooLong, Verdict::NotRun,
                                        "the request needs more memory than the engine has",
                                        Milliseconds() });
        }
        const TokenCount first = numberOr(exchange.header(http::lastEventIdHeader), -1) + 1;
        exchange.response().set(http::loadHeader, http::writeLoadReport(m_engine.report()));
        try {
            sendStream(exchange, stream, first, opened);
        } catch (...) {
            m_engine.detachReader(stream);
            throw;
        }
        m_engine.detachReader(stream);
    }

    void sendStream(http::Exchange &exchange, const std::shared_ptr<Stream> &stream,
                    TokenCount first, Milliseconds opened)
    {
        std::ostream &out = exchange.startEventStream();
        out << std::flush;
        TokenCount sent = first;
        const http::ConnectionMonitor caller(exchange.request());
        PrecedingShards precedingShards(exchange.header(http::kvPartsHeader));
        for (;;) {
            const Stream snapshot = m_engine.waitFor(
                stream, sent + std::max<TokenCount>(m_scrambleTokens, 1) - 1, pollInterval);
            if (caller.isDisconnected() || m_isStopping)
                return;
            if (m_stallFault.appliesTo(opened)) {
                std::this_thread::sleep_for(std::chrono::milliseconds(pollInterval.count()));
                continue;
            }
            if (!precedingShards.refresh(monotonicNow())) {
                m_engine.suspend(stream);
                return sendInterruption(out);
            }
            writeTokens(out, snapshot.request, sent, snapshot.generated);
            sent = snapshot.generated;
            if (!out)
                return;
            if (snapshot.state == StreamState::Finished) {
                writeEnd(out, snapshot.request, sent);
                return exchange.finishEventStream();
            }
            if (snapshot.isOver())
                return sendInterruption(out);
        }
    }

    static void sendInterruption(std::ostream &out)
    {
        out << "event: error\ndata: {\"error\":{\"name\":\"stream-interrupted\"}}\n\n"
            << std::flush;
    }

    // Writes tokens that became ready together. With `scrambleTokens` above 0, writes them in
    // reverse order and each one twice.
    void writeTokens(std::ostream &out, const StreamRequest &request, TokenCount first,
                     TokenCount end) const
    {
        for (TokenCount index = first; index < end && m_scrambleTokens == 0; ++index)
            writeToken(out, request, index);
        for (TokenCount index = end - 1; index >= first && m_scrambleTokens > 0; --index) {
            writeToken(out, request, index);
            writeToken(out, request, index);
        }
        out << std::flush;
    }

    void cancel(http::Exchange &exchange)
    {
        m_engine.cancel(RequestId(exchange.pathSuffix()), exchange.header(http::ownerHeader));
        exchange.send(HTTPResponse::HTTP_OK, jsonType, "{}");
    }

    void sendLoad(http::Exchange &exchange)
    {
        const routing::LoadReport report = m_engine.report();
        exchange.response().set(http::loadHeader, http::writeLoadReport(report));
        exchange.send(HTTPResponse::HTTP_OK, jsonType, stringify(loadJson(report)));
    }

    void sendSent(http::Exchange &exchange)
    {
        Poco::JSON::Array tokens;
        for (const std::string &token : m_engine.generatedFor(RequestId(exchange.pathSuffix())))
            tokens.add(token);
        Poco::JSON::Object object;
        object.set("tokens", tokens);
        exchange.send(HTTPResponse::HTTP_OK, jsonType, stringify(object));
    }

    void sendStats(http::Exchange &exchange)
    {
        Poco::JSON::Object object = loadJson(m_engine.currentLoad());
        const EnginePeaks peaks = m_engine.peaks();
        object.set("peak_slots", peaks.slots);
        object.set("peak_cold_slots", peaks.coldSlots);
        object.set("peak_tokens", peaks.tokens);
        exchange.send(HTTPResponse::HTTP_OK, jsonType, stringify(object));
    }

    void setFault(http::Exchange &exchange)
    {
        const std::string kind = exchange.query("kind");
        if (kind == "silence")
            m_stallFault.set();
        else if (kind == "cold")
            m_engine.resetWarmUp();
        exchange.send(HTTPResponse::HTTP_OK, jsonType, "{}");
    }

    std::string m_address;
    TokenCount m_scrambleTokens;
    Engine m_engine;
    OrderEndpoint m_orderEndpoint;
    StallFault m_stallFault;
    std::atomic<bool> m_isStopping { false };
    http::Server m_server;
};

class PlainTarget : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "plain";

    PlainTarget(std::string address, Milliseconds callTime)
        : m_address(std::move(address))
        , m_service(callTime)
        , m_server(EngineService::serverLimits())
    { }

    std::string_view name() const override { return serviceName; }

    void start() override
    {
        m_server.route("POST", "/v1/calls/", [this](http::Exchange &e) { call(e); });
        m_server.route("GET", "/v1/load", [this](http::Exchange &e) { sendLoad(e); });
        m_server.route("GET", "/v1/executions", [this](http::Exchange &e) { sendExecutions(e); });
        m_server.route("GET", "/v1/stats", [this](http::Exchange &e) { sendLoad(e); });
        m_server.start(m_address);
        LOG(INFO) << "target: listening address=" << m_address << " mode=plain";
    }

    void stop() override { m_server.stop(); }

private:
    void call(http::Exchange &exchange)
    {
        const Result<std::string> body = exchange.readBody(maxBodyBytes);
        if (!body)
            return exchange.sendError(body.error());
        const std::string key = exchange.header(http::requestIdHeader, "unnamed");
        m_service.execute(key, exchange.pathSuffix());
        exchange.response().set(http::loadHeader, http::writeLoadReport(m_service.report()));
        Poco::JSON::Object responseBody;
        responseBody.set("request", key);
        responseBody.set("call", exchange.pathSuffix());
        responseBody.set("bytes", body->size());
        exchange.send(HTTPResponse::HTTP_OK, jsonType, stringify(responseBody));
    }

    void sendLoad(http::Exchange &exchange)
    {
        const routing::LoadReport report = m_service.report();
        Poco::JSON::Object object = loadJson(report);
        object.set("peak_slots", m_service.peakCalls());
        exchange.response().set(http::loadHeader, http::writeLoadReport(report));
        exchange.send(HTTPResponse::HTTP_OK, jsonType, stringify(object));
    }

    void sendExecutions(http::Exchange &exchange)
    {
        std::string lines;
        for (const Execution &execution : m_service.executions()) {
            Poco::JSON::Object line;
            line.set("key", execution.key);
            line.set("call", execution.call);
            line.set("at_ms", execution.at.count());
            lines += stringify(line) + '\n';
        }
        exchange.send(HTTPResponse::HTTP_OK, "application/x-ndjson", lines);
    }

    std::string m_address;
    PlainService m_service;
    http::Server m_server;
};

} // namespace

int main(int argc, char **argv)
{
    kernel::captureStopSignals();
    const kernel::Settings settings =
        kernel::Settings::loadOrExit(argc, argv, "Simulates a target.", settingsSpecs());
    const config::SectionReader target = settings.section("target");
    const std::string address = target.text("address");
    kernel::Loop loop;
    kernel::ServiceRegistry registry;
    if (target.text("mode") == "plain") {
        const Milliseconds callTime(settings.section("plain").integer("callMs"));
        registry.add(std::make_unique<PlainTarget>(address, callTime));
    } else {
        const config::SectionReader engine = settings.section("engine");
        registry.add(std::make_unique<EngineService>(
            address, readEngineSettings(engine),
            OrderSettings { engine.text("checksFence") == "yes", engine.text("senderToken") }));
    }
    return kernel::runDaemon(loop, registry);
}

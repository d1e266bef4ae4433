#include "caller.h"

#include <algorithm>
#include <chrono>
#include <istream>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/NumberParser.h>

#include "http/client.h"
#include "http/headers.h"

namespace egretmount::load {

using namespace literals;
using Poco::JSON::Object;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr Milliseconds connectTimeout = 2'000_ms;
constexpr Milliseconds deadlineSlack = 2'000_ms; // receive timeout beyond the request's deadline
constexpr std::string_view dataField = "data: ";
constexpr std::string_view idField = "id: ";
constexpr std::string_view eventField = "event: ";
constexpr std::string_view doneMarker = "[DONE]";

std::int64_t microsNow()
{
    const std::chrono::steady_clock::duration elapsed =
        std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
}

// Returns the JSON body up to the shared part of the prompt. The string literal stays open, so that
// the shared part can be sent after it without a copy.
std::string makeBodyStart(const CallerRequest &request)
{
    std::string quoted = Poco::toJSON(request.prompt);
    quoted.pop_back();
    return "{\"max_tokens\":" + std::to_string(request.maxTokens)
           + ",\"stream\":true,\"model\":" + Poco::toJSON(request.model) + ",\"prompt\":" + quoted;
}

void readError(const std::string &json, CallerResult &result)
{
    const Object::Ptr outer = Poco::JSON::Parser().parse(json).extract<Object::Ptr>();
    const Object::Ptr error = outer->getObject("error");
    result.error = error->optValue<std::string>("name", "unnamed");
    result.verdict = error->optValue<std::string>("verdict", "");
    result.retryAfterMs = error->optValue<std::int64_t>("retry_after_ms", 0);
}

/// @brief Reads a stream of server-sent events into a `CallerResult`.
class EventStreamReader
{
public:
    /// @param start Time of sending, in microseconds.
    EventStreamReader(CallerResult &result, std::int64_t start)
        : m_result(result)
        , m_start(start)
        , m_lastTokenAt(start)
    { }

    void read(std::istream &stream)
    {
        std::string line;
        std::string event;
        std::int64_t offset = -1;
        while (std::getline(stream, line)) {
            if (line.compare(0, eventField.size(), eventField) == 0)
                event = line.substr(eventField.size());
            else if (line.compare(0, idField.size(), idField) == 0)
                offset = Poco::NumberParser::parse64(line.substr(idField.size()));
            else if (line.compare(0, dataField.size(), dataField) == 0)
                onEvent(event, offset, line.substr(dataField.size()));
            else
                event.clear();
        }
    }

private:
    void onEvent(const std::string &event, std::int64_t offset, const std::string &data)
    {
        if (event == "error")
            return readError(data, m_result);
        if (event == "verdict") {
            m_result.verdict =
                Poco::JSON::Parser().parse(data).extract<Object::Ptr>()->getValue<std::string>(
                    "verdict");
            return;
        }
        if (data == doneMarker) {
            m_result.isComplete = m_isInOrder && m_isEnded;
            m_result.totalMicros = microsNow() - m_start;
            return;
        }
        onToken(offset, data);
    }

    void onToken(std::int64_t offset, const std::string &data)
    {
        m_isInOrder = m_isInOrder && !m_isEnded
                      && offset == static_cast<std::int64_t>(m_result.tokens.size());
        const Object::Ptr object = Poco::JSON::Parser().parse(data).extract<Object::Ptr>();
        const Object::Ptr choice = object->getArray("choices")->getObject(0);
        m_isEnded = !choice->isNull("finish_reason");
        if (m_isEnded)
            return;
        m_result.tokens.push_back(choice->getValue<std::string>("text"));
        const std::int64_t now = microsNow();
        if (m_result.firstTokenMicros < 0)
            m_result.firstTokenMicros = now - m_start;
        else
            m_result.longestGapMicros = std::max(m_result.longestGapMicros, now - m_lastTokenAt);
        m_lastTokenAt = now;
    }

    CallerResult &m_result;
    std::int64_t m_start;
    std::int64_t m_lastTokenAt;
    bool m_isInOrder = true;
    bool m_isEnded = false;
};

void sendAndReceive(const CallerRequest &request, CallerResult &result, std::int64_t start)
{
    http::ClientCall call(request.address);
    call.connect(connectTimeout, request.deadline + deadlineSlack);
    result.isConnected = true;
    HTTPRequest httpRequest(HTTPRequest::HTTP_POST, "/v1/completions",
                            Poco::Net::HTTPMessage::HTTP_1_1);
    httpRequest.setContentType("application/json");
    httpRequest.set("Authorization", "Bearer " + request.token);
    httpRequest.set(http::requestIdHeader, request.id.value);
    httpRequest.set(http::deadlineHeader, std::to_string(request.deadline.count()));
    const std::string bodyStart = makeBodyStart(request);
    call.send(httpRequest, { bodyStart, request.sharedPrompt, "\"}" });
    HTTPResponse response;
    std::istream &stream = call.receive(response);
    result.status = static_cast<int>(response.getStatus());
    result.target = response.get(http::targetHeader, "");
    if (response.getStatus() != HTTPResponse::HTTP_OK)
        return readError(call.readBody(), result);
    EventStreamReader(result, start).read(stream);
    if (stream.bad()) {
        result.isComplete = false;
        result.error = result.error.empty() ? "the stream broke off" : result.error;
    }
}

} // namespace

CallerResult complete(const CallerRequest &request)
{
    CallerResult result;
    result.id = request.id;
    const std::int64_t start = microsNow();
    try {
        sendAndReceive(request, result, start);
    } catch (const std::exception &error) {
        result.error = result.error.empty() ? error.what() : result.error;
    }
    if (result.totalMicros < 0)
        result.totalMicros = microsNow() - start;
    return result;
}

} // namespace egretmount::load

#include "span_part.h"

#include <cctype>
#include <numeric>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPResponse.h>

#include "http/headers.h"
#include "target_call.h"

namespace egretmount::entry {

using namespace literals;
using Poco::JSON::Object;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr Milliseconds shortCallTimeout = 500_ms;
constexpr std::string_view partEvent = "event: part";
constexpr std::string_view errorEvent = "event: error";
constexpr std::string_view dataField = "data: ";

std::optional<std::string> readPartEvent(std::istream &stream)
{
    std::string line;
    while (std::getline(stream, line)) {
        if (line == errorEvent)
            return std::nullopt;
        if (line != partEvent || !std::getline(stream, line))
            continue;
        const Object::Ptr data =
            Poco::JSON::Parser().parse(line.substr(dataField.size())).extract<Object::Ptr>();
        return data->getValue<std::string>("state");
    }
    return std::nullopt;
}

} // namespace

std::vector<std::string> cutPrompt(const std::string &prompt, const std::vector<TokenCount> &sizes)
{
    const double total =
        static_cast<double>(std::accumulate(sizes.begin(), sizes.end(), TokenCount(0)));
    std::vector<std::string> texts;
    std::size_t begin = 0;
    double tokens = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        tokens += static_cast<double>(sizes[i]);
        std::size_t end =
            static_cast<std::size_t>(static_cast<double>(prompt.size()) * tokens / total);
        end = i + 1 == sizes.size() ? prompt.size() : std::max(begin, end);
        while (end < prompt.size() && !std::isspace(static_cast<unsigned char>(prompt[end])))
            ++end;
        texts.push_back(prompt.substr(begin, end - begin));
        begin = end;
    }
    return texts;
}

std::string completionBody(const std::string &text, TokenCount maxTokens)
{
    Object body;
    body.set("prompt", text);
    body.set("max_tokens", maxTokens);
    body.set("stream", true);
    std::ostringstream stream;
    body.stringify(stream);
    return stream.str();
}

std::optional<std::string> exchangePart(http::ClientCall &call, HTTPRequest &request,
                                        const std::string &body, Milliseconds silence)
{
    try {
        call.connect(connectTimeout, silence);
        call.send(request, body);
        HTTPResponse response;
        std::istream &stream = call.receive(response);
        if (response.getStatus() != HTTPResponse::HTTP_OK)
            return std::nullopt;
        return readPartEvent(stream);
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

bool isPartHeld(const std::string &address, const RequestId &part)
{
    try {
        const std::unique_ptr<http::Reply> reply =
            http::fetch(address, "/v1/parts/" + part.value, shortCallTimeout);
        return reply->status() == HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void cancelPart(const std::string &address, const RequestId &part, const std::string &owner)
{
    try {
        HTTPRequest request(HTTPRequest::HTTP_DELETE, "/v1/streams/" + part.value,
                            Poco::Net::HTTPMessage::HTTP_1_1);
        request.set(http::ownerHeader, owner);
        http::fetch(address, request, {}, shortCallTimeout);
    } catch (const Poco::Exception &) {
        // A part that nobody reads expires at its engine.
        return;
    }
}

} // namespace egretmount::entry

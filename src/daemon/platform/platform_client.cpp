#include "platform/platform_client.h"

#include <stdexcept>

namespace egretmount::platform {

using namespace literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr Milliseconds connectTimeout = 1'000_ms;
constexpr Milliseconds readTimeout = 3'000_ms;

void requireStatus(const http::Reply &reply, const char *what)
{
    if (reply.status() != HTTPResponse::HTTP_OK)
        throw std::runtime_error(std::string(what) + " request failed with HTTP status "
                                 + std::to_string(reply.status()));
}

} // namespace

Client::Client(std::string address)
    : m_address(std::move(address))
{ }

std::optional<std::string> Client::readFleet(ConfigVersion above, Milliseconds wait)
{
    const std::string path =
        "/v1/fleet?above=" + std::to_string(above) + "&wait=" + std::to_string(wait.count());
    const std::unique_ptr<http::Reply> reply = fetch(path, readTimeout + wait);
    if (reply->status() == HTTPResponse::HTTP_NOT_MODIFIED)
        return std::nullopt;
    requireStatus(*reply, "fleet document");
    return reply->body;
}

std::string Client::readInstances()
{
    const std::unique_ptr<http::Reply> reply = fetch("/v1/instances", readTimeout);
    requireStatus(*reply, "instance list");
    return reply->body;
}

void Client::abort()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isAborted = true;
    if (m_call)
        m_call->abort();
}

std::unique_ptr<http::Reply> Client::fetch(const std::string &path, Milliseconds ioTimeout)
{
    std::shared_ptr<http::ClientCall> call = std::make_shared<http::ClientCall>(m_address);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isAborted)
            throw std::runtime_error("the client was stopped");
        m_call = call;
    }
    HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
    std::unique_ptr<http::Reply> reply = std::make_unique<http::Reply>();
    call->connect(connectTimeout, ioTimeout);
    call->send(request, std::string());
    call->receive(reply->response);
    reply->body = call->readBody();
    return reply;
}

std::optional<std::string> readFleet(const std::string &address, ConfigVersion above,
                                     Milliseconds wait)
{
    return Client(address).readFleet(above, wait);
}

} // namespace egretmount::platform

#include "platform/platform_client.h"

#include <stdexcept>

#include "http/client.h"

namespace egretmount::platform {

using namespace literals;

namespace {

constexpr Milliseconds readTimeout = 3'000_ms;

void requireStatus(const http::Reply &reply, const char *what)
{
    if (reply.status() != Poco::Net::HTTPResponse::HTTP_OK)
        throw std::runtime_error(std::string(what) + " answered status "
                                 + std::to_string(reply.status()));
}

} // namespace

std::optional<std::string> readFleet(const std::string &address, ConfigVersion above,
                                     Milliseconds wait)
{
    const std::string path =
        "/v1/fleet?above=" + std::to_string(above) + "&wait=" + std::to_string(wait.count());
    const std::unique_ptr<http::Reply> reply = http::fetch(address, path, readTimeout + wait);
    if (reply->status() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED)
        return std::nullopt;
    requireStatus(*reply, "the fleet document");
    return reply->body;
}

std::string readInstances(const std::string &address)
{
    const std::unique_ptr<http::Reply> reply = http::fetch(address, "/v1/instances", readTimeout);
    requireStatus(*reply, "the instance list");
    return reply->body;
}

} // namespace egretmount::platform

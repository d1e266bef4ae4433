#include "locator.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "http/client.h"

namespace egretmount::load {

using namespace literals;
using Poco::JSON::Object;

namespace {

constexpr Milliseconds locateTimeout = 1'000_ms;
constexpr Milliseconds retryInterval = 200_ms;

} // namespace

LocateResponse fetchLocate(const std::string &entryAddress)
{
    const std::unique_ptr<http::Reply> reply =
        http::fetch(entryAddress, "/v1/locate", locateTimeout);
    const Object::Ptr object = Poco::JSON::Parser().parse(reply->body).extract<Object::Ptr>();
    LocateResponse response;
    response.maxAge = Milliseconds(object->getValue<std::int64_t>("max_age_ms"));
    const Poco::JSON::Array::Ptr rows = object->getArray("instances");
    for (std::size_t i = 0; i < rows->size(); ++i) {
        const Object::Ptr row = rows->getObject(static_cast<unsigned>(i));
        response.instances.push_back(
            { row->getValue<std::string>("address"), row->getValue<std::int64_t>("weight") });
    }
    return response;
}

std::string drawAddress(const std::vector<LocatedInstance> &instances, Random &random)
{
    std::int64_t total = 0;
    for (const LocatedInstance &instance : instances)
        total += instance.weight;
    if (total <= 0)
        return {};
    std::int64_t drawn = static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(total)));
    for (const LocatedInstance &instance : instances) {
        drawn -= instance.weight;
        if (drawn < 0)
            return instance.address;
    }
    return {};
}

Locator::Locator(std::vector<std::string> bootstrapAddresses, std::uint64_t seed)
    : m_bootstrapAddresses(std::move(bootstrapAddresses))
    , m_random(seed)
{ }

std::string Locator::next()
{
    // Only one thread refreshes the response. The others use the cached one or a bootstrap address.
    std::unique_lock<std::mutex> lock(m_mutex);
    const bool hasNoInstances = m_response.instances.empty();
    if (!m_isRefreshing && monotonicNow() >= m_validUntil) {
        m_isRefreshing = true;
        lock.unlock();
        refresh();
        lock.lock();
    } else if (hasNoInstances) {
        return m_bootstrapAddresses[m_random.below(m_bootstrapAddresses.size())];
    }
    const std::string address = drawAddress(m_response.instances, m_random);
    return address.empty() ? m_bootstrapAddresses[m_random.below(m_bootstrapAddresses.size())]
                           : address;
}

void Locator::refresh()
{
    std::vector<std::string> addresses;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        addresses.push_back(drawAddress(m_response.instances, m_random));
        const std::size_t first = m_random.below(m_bootstrapAddresses.size());
        for (std::size_t i = 0; i < m_bootstrapAddresses.size(); ++i)
            addresses.push_back(m_bootstrapAddresses[(first + i) % m_bootstrapAddresses.size()]);
    }
    LocateResponse response = queryFirstReachable(addresses);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isRefreshing = false;
    if (response.instances.empty()) {
        m_validUntil = monotonicNow() + retryInterval;
        return;
    }
    m_validUntil = monotonicNow() + response.maxAge;
    m_response = std::move(response);
}

LocateResponse Locator::queryFirstReachable(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        try {
            if (!address.empty())
                return fetchLocate(address);
        } catch (const std::exception &) {
            continue; // the next address may respond
        }
    }
    return {};
}

} // namespace egretmount::load

#include "config_service.h"

#include <chrono>

#include <glog/logging.h>

#include "platform/platform_client.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds watchTime = 2'000_ms;
constexpr Milliseconds listInterval = 500_ms;
constexpr Milliseconds retryInterval = 500_ms;

void pause(Milliseconds duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count()));
}

} // namespace

ConfigService::ConfigService(kernel::Loop &loop, const EntrySettings &settings)
    : m_loop(loop)
    , m_platformAddress(settings.platformAddress)
{ }

ConfigService::~ConfigService()
{
    ConfigService::stop();
}

void ConfigService::start()
{
    m_fleetThread = std::thread([this] { watchFleet(); });
    m_listThread = std::thread([this] { watchInstances(); });
}

void ConfigService::stop()
{
    m_isStopping = true;
    if (m_fleetThread.joinable())
        m_fleetThread.join();
    if (m_listThread.joinable())
        m_listThread.join();
}

std::shared_ptr<const config::FleetDocument> ConfigService::document() const
{
    return std::atomic_load(&m_published);
}

void ConfigService::offerText(const std::string &text, std::string_view source)
{
    const config::OfferResult result = config::offer(m_state, text, monotonicNow());
    if (result.adoption == config::Adoption::Invalid) {
        LOG_EVERY_N(WARNING, 20) << "config: refused a document source=" << source << " problem=\""
                                 << config::describe(result.problems.front()) << '"';
    }
    if (result.adoption != config::Adoption::Adopted)
        return;
    LOG(INFO) << "config: adopted a document version=" << m_state.document->version
              << " source=" << source;
    std::atomic_store(&m_published, m_state.document);
    for (const DocumentListener &listener : m_onDocument)
        listener(*m_state.document);
}

void ConfigService::watchFleet()
{
    while (!m_isStopping) {
        const std::shared_ptr<const config::FleetDocument> known = document();
        const ConfigVersion version = known ? known->version : 0;
        try {
            const std::optional<std::string> text =
                platform::readFleet(m_platformAddress, version, watchTime);
            if (text)
                m_loop.post([this, text] { offerText(*text, "platform"); });
        } catch (const std::exception &error) {
            LOG_EVERY_N(WARNING, 20)
                << "config: the platform cannot be read reason=\"" << error.what() << '"';
            pause(retryInterval);
        }
    }
}

void ConfigService::watchInstances()
{
    while (!m_isStopping) {
        try {
            const std::string text = platform::readInstances(m_platformAddress);
            m_loop.post([this, text] { takeList(text); });
        } catch (const std::exception &) {
            // The other thread logs an outage; the list in hand stays in use.
            pause(retryInterval);
        }
        pause(listInterval);
    }
}

void ConfigService::takeList(const std::string &text)
{
    if (text == m_listText)
        return;
    const tl::expected<membership::InstanceList, std::vector<config::Problem>> list =
        membership::parseInstanceList(text);
    if (!list) {
        LOG(WARNING) << "config: refused an instance list problem=\""
                     << config::describe(list.error().front()) << '"';
        return;
    }
    m_listText = text;
    LOG(INFO) << "config: read an instance list instances=" << list->size();
    for (const ListListener &listener : m_onList)
        listener(*list);
}

} // namespace egretmount::entry

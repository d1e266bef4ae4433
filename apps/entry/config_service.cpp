#include "config_service.h"

#include <glog/logging.h>

#include <egretmount/membership/selection.h>

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds watchTime = 2'000_ms;
constexpr Milliseconds stepInterval = 250_ms;
constexpr Milliseconds retryInterval = 500_ms;
constexpr Milliseconds refusedInterval = 1'000_ms;

} // namespace

ConfigService::ConfigService(kernel::Loop &loop, const EntrySettings &settings)
    : m_loop(loop)
    , m_self(settings.id)
    , m_fleetClient(settings.platformAddress)
    , m_listClient(settings.platformAddress)
    , m_random(digestHash(settings.id.value, static_cast<std::uint64_t>(monotonicNow().count())))
    , m_fleetWorker(loop)
    , m_listWorker(loop)
{ }

ConfigService::~ConfigService()
{
    ConfigService::stop();
}

void ConfigService::start()
{
    m_fleetWorker.start([this] { watchFleet(); });
    m_listWorker.start([this] { watchInstances(); });
}

void ConfigService::stop()
{
    m_fleetClient.abort();
    m_listClient.abort();
    m_fleetWorker.stop();
    m_listWorker.stop();
}

std::shared_ptr<const config::FleetDocument> ConfigService::document() const
{
    return std::atomic_load(&m_published);
}

void ConfigService::release()
{
    if (m_isReleased)
        return;
    m_isReleased = true;
    if (m_state.document)
        putInForce();
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
    if (m_isReleased)
        putInForce();
    for (const std::function<void()> &listener : m_onKnown)
        listener();
}

void ConfigService::putInForce()
{
    std::atomic_store(&m_published, m_state.document);
    for (const DocumentListener &listener : m_onDocument)
        listener(*m_state.document);
}

void ConfigService::watchFleet()
{
    while (!m_fleetWorker.isStopping()) {
        Milliseconds delay = stepInterval;
        try {
            const Step step = m_fleetWorker.onLoop<Step>([this] { return nextStep(); });
            if (step.step != config::PollStep::Wait && !readOnce(step))
                delay = refusedInterval;
        } catch (const std::exception &error) {
            if (m_fleetWorker.isStopping())
                return;
            LOG_EVERY_N(WARNING, 20)
                << "config: the platform cannot be read reason=\"" << error.what() << '"';
            m_loop.post([this] { config::recordFailedRead(m_reading, monotonicNow(), m_random); });
            delay = retryInterval;
        }
        m_fleetWorker.pause(delay);
    }
}

ConfigService::Step ConfigService::nextStep() const
{
    const bool isWatcher = membership::isPlatformWatcher(m_list, m_self);
    return { config::nextStep(m_reading, isWatcher, monotonicNow()),
             m_state.document ? m_state.document->version : 0 };
}

// False: the platform's document is of no use, and the next watch would return it at once.
bool ConfigService::readOnce(const Step &step)
{
    const Milliseconds wait = step.step == config::PollStep::Watch ? watchTime : 0_ms;
    const std::optional<std::string> text = m_fleetClient.readFleet(step.known, wait);
    const Milliseconds now = monotonicNow();
    return m_fleetWorker.onLoop<bool>([this, text, now] {
        config::recordRead(m_reading, now, m_random);
        if (!text)
            return true;
        offerText(*text, "platform");
        return m_state.text == *text;
    });
}

void ConfigService::watchInstances()
{
    while (!m_listWorker.isStopping()) {
        Milliseconds delay = retryInterval;
        try {
            const std::string text = m_listClient.readInstances();
            delay = m_listWorker.onLoop<Milliseconds>([this, text] {
                takeList(text);
                const Milliseconds interval = config::listInterval(m_list.size());
                return m_random.between(interval / 2, interval);
            });
        } catch (const std::exception &) {
            // The other thread logs an outage; the list in hand stays in use.
        }
        m_listWorker.pause(delay);
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
    m_list = *list;
    LOG(INFO) << "config: read an instance list instances=" << list->size();
    for (const ListListener &listener : m_onList)
        listener(*list);
}

} // namespace egretmount::entry

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <egretmount/config/adoption.h>
#include <egretmount/config/polling.h>
#include <egretmount/core/random.h>
#include <egretmount/membership/instance_list.h>

#include "entry_settings.h"
#include "kernel/loop.h"
#include "kernel/service.h"
#include "platform/platform_client.h"
#include "worker.h"

namespace egretmount::entry {

/// @brief Keeps the fleet document and the instance list up to date.
///
/// Threads of its own read and watch the platform; what they read is taken in on the loop. A
/// document is known as soon as it is adopted, and in force once `release` has been called.
class ConfigService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "config";

    using DocumentListener = std::function<void(const config::FleetDocument &)>;
    using ListListener = std::function<void(const membership::InstanceList &)>;

    ConfigService(kernel::Loop &loop, const EntrySettings &settings);
    ~ConfigService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    /// @brief The document in force. Null before the first one. Any thread.
    std::shared_ptr<const config::FleetDocument> document() const;

    /// @brief The document and text with the highest version known. Loop thread only.
    const config::ConfigState &known() const { return m_state; }

    /// @brief Puts what is known in force, now and from now on. Loop thread only.
    void release();

    /// @brief Offers a document from any source. Loop thread only.
    void offerText(const std::string &text, std::string_view source);

    /// @brief When the platform was last read by any instance. Loop thread only.
    const config::PollState &reading() const { return m_reading; }

    /// @brief Notes that some instance read the platform at a time. Loop thread only.
    void noteReadByPeer(Milliseconds at) { config::recordRead(m_reading, at, m_random); }

    /// @brief Adds listeners, called on the loop's thread. Loop thread only.
    ///
    /// A known listener hears of every adoption, a document listener of what comes in force.
    void onKnown(std::function<void()> listener) { m_onKnown.push_back(std::move(listener)); }
    void onDocument(DocumentListener listener) { m_onDocument.push_back(std::move(listener)); }
    void onList(ListListener listener) { m_onList.push_back(std::move(listener)); }

private:
    /// What the reading thread does next.
    struct Step
    {
        config::PollStep step = config::PollStep::Wait;
        ConfigVersion known = 0;
    };

    void watchFleet();
    void watchInstances();
    Step nextStep() const;
    bool readOnce(const Step &step);
    void putInForce();
    void takeList(const std::string &text);

    kernel::Loop &m_loop;
    InstanceId m_self;
    platform::Client m_fleetClient;
    platform::Client m_listClient;
    Random m_random;
    config::ConfigState m_state;
    config::PollState m_reading;
    membership::InstanceList m_list;
    bool m_isReleased = false;
    std::shared_ptr<const config::FleetDocument> m_published; // atomic access only
    std::string m_listText;
    std::vector<std::function<void()>> m_onKnown;
    std::vector<DocumentListener> m_onDocument;
    std::vector<ListListener> m_onList;
    Worker m_fleetWorker;
    Worker m_listWorker;
};

} // namespace egretmount::entry

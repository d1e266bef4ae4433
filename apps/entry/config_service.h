#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <egretmount/config/adoption.h>
#include <egretmount/membership/instance_list.h>

#include "entry_settings.h"
#include "kernel/loop.h"
#include "kernel/service.h"

namespace egretmount::entry {

/// @brief Keeps the fleet document and the instance list up to date.
///
/// A thread of its own reads and watches the platform; what it reads is taken in on the loop.
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

    /// @brief Its text, for peers. Loop thread only.
    const std::string &text() const { return m_state.text; }

    /// @brief Offers a document from any source. Loop thread only.
    void offerText(const std::string &text, std::string_view source);

    /// @brief Adds listeners, called on the loop's thread. Loop thread only.
    void onDocument(DocumentListener listener) { m_onDocument.push_back(std::move(listener)); }
    void onList(ListListener listener) { m_onList.push_back(std::move(listener)); }

private:
    void watchFleet();
    void watchInstances();
    void takeList(const std::string &text);

    kernel::Loop &m_loop;
    std::string m_platformAddress;
    config::ConfigState m_state;
    std::shared_ptr<const config::FleetDocument> m_published; // atomic access only
    std::string m_listText;
    std::vector<DocumentListener> m_onDocument;
    std::vector<ListListener> m_onList;
    std::atomic<bool> m_isStopping { false };
    std::thread m_fleetThread;
    std::thread m_listThread;
};

} // namespace egretmount::entry

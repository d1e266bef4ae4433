#pragma once

#include <functional>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>

#include "caller.h"
#include "http/client.h"
#include "support/process.h"

namespace egretmount::tests {

/// @brief What a test fleet consists of.
struct FleetOptions
{
    int instances = 3; ///< Entry instances, spread over the zones.
    int engines = 2;
    int plainTargets = 0;
    std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    std::vector<std::string> engineFlags; ///< For every engine stand-in.
    std::vector<std::string> plainFlags; ///< For every plain stand-in.
    std::vector<std::string> platformFlags;
    std::string entrySettings; ///< Further INI sections for every instance.
    std::string serviceKeys; ///< Further keys of the engine service.
    std::string plainServiceKeys; ///< Further keys of the plain service.
    std::string targetKeys = "tokens=200000\nslots=64\ncoldTokens=200000\ncoldSlots=64\n";
    std::string plainTargetKeys = "slots=32\ncoldSlots=32\n";
};

/// @brief A platform, targets and entry instances as real processes on a loopback address of its
/// own.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// @brief Waits until every instance is ready and knows all others. Fails the test otherwise.
    void waitReady();

    std::string platformAddress() const { return address(7000); }
    std::string entryAddress(int index) const { return address(8000 + index); }
    std::string rpcAddress(int index) const { return address(8100 + index); }
    std::string engineAddress(int index) const { return address(9000 + index); }
    std::string plainAddress(int index) const { return address(9100 + index); }
    const std::string &folder() const { return m_folder; }

    Process &platform() { return m_platform; }
    Process &entry(int index) { return m_entries.at(static_cast<std::size_t>(index)); }
    Process &engine(int index) { return m_engines.at(static_cast<std::size_t>(index)); }
    Process &plain(int index) { return m_plains.at(static_cast<std::size_t>(index)); }

    void startPlatform();
    void startEntry(int index);
    void startEngine(int index);
    void startPlain(int index);

    /// @brief The fleet document with a version. `change` may edit the text before it is returned.
    std::string document(std::uint64_t version) const;

    /// @brief Publishes a document at the platform as an operator who saw version `seen`.
    /// @return The HTTP status.
    int publish(const std::string &text, std::uint64_t seen) const;

    /// @brief The instance list, without the instances named in `left`.
    std::string instanceList(const std::vector<int> &left = {}) const;
    void publishInstances(const std::string &text) const;

    /// @brief Sets a fault of the platform: none, down, stale or slow.
    void setPlatformFault(const std::string &kind) const;

    /// @brief A request of the test team with a prompt of about `promptTokens` tokens.
    load::CallerRequest request(int entryIndex, const std::string &id,
                                TokenCount promptTokens = 500, TokenCount maxTokens = 20) const;

    /// @brief GET of a path as text.
    std::string fetchText(const std::string &address, const std::string &path) const;

    static constexpr const char *token = "test-team-token";

private:
    std::string address(int port) const { return m_host + ":" + std::to_string(port); }
    std::string write(const std::string &name, const std::string &text) const;
    std::string log(const std::string &name) const { return m_folder + "/" + name + ".log"; }
    std::string zone(int index) const;

    FleetOptions m_options;
    std::string m_host;
    std::string m_folder;
    Process m_platform;
    std::vector<Process> m_engines;
    std::vector<Process> m_plains;
    std::vector<Process> m_entries;
};

/// @brief Waits until a condition holds. @return False if it does not within the time.
bool waitUntil(const std::function<bool()> &condition, Milliseconds timeout);

} // namespace egretmount::tests

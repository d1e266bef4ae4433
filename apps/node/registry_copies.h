#pragma once

#include <functional>
#include <memory>

#include "kernel/service.h"
#include "net/reactor.h"
#include "net/server_connection.h"
#include "net/tcp_stream.h"
#include "platform/registry_copy.h"
#include "platform/store_client.h"

namespace egretmount::node {

class FleetService;

/// @brief Hands this instance's copy of the store's contents to other instances, and reads theirs.
///
/// Serves starts while the store does not answer: whoever has no configuration yet takes the copy
/// of another instance and follows the store from there.
class RegistryCopies
    : public kernel::Service
    , private net::RequestHandler
{
public:
    static constexpr std::string_view serviceName = "copies";

    RegistryCopies(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    platform::RegistryCopy &own() { return m_own; }

    /// @brief Asks another instance for its copy, unless one has just been asked.
    /// @param done Hears of a copy; of a failure only the log does.
    void ask(const std::string &host, std::function<void(platform::RegistryPage)> done);

private:
    void onRequest(const std::shared_ptr<net::ServerConnection> &connection, http::RequestHead head,
                   std::string body) override;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    std::shared_ptr<net::Listener> m_listener;
    platform::RegistryCopy m_own;
    std::unique_ptr<platform::StoreClient> m_client;
    Milliseconds m_askedAt;
    Milliseconds m_servedSince;
    int m_served = 0; ///< Copies handed out since `m_servedSince`.
};

} // namespace egretmount::node

#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace egretmount::kernel {

/// @brief A component of a daemon with a managed start and stop.
class Service
{
public:
    Service() = default;
    Service(const Service &) = delete;
    Service &operator=(const Service &) = delete;
    virtual ~Service() = default;

    /// @brief Returns the constant name under which `ServiceRegistry::find` finds this service.
    virtual std::string_view name() const = 0;

    /// @brief Starts the service. Called on the loop's thread after all services are registered.
    /// @throws std::runtime_error if the service cannot start; the message is meant for operators.
    virtual void start() = 0;

    /// @brief Stops the service. Called on the loop's thread, in the reverse order of the starts.
    virtual void stop() { }
};

/// @brief Owns the services of one daemon and finds them by name.
class ServiceRegistry
{
public:
    ServiceRegistry() = default;

    /// @brief Destroys the services in the reverse order of `add`, so that a service can use those
    ///        added before it for as long as it exists.
    ~ServiceRegistry();

    ServiceRegistry(const ServiceRegistry &) = delete;
    ServiceRegistry &operator=(const ServiceRegistry &) = delete;

    /// @brief Adds a service. Services are started in the order in which they were added.
    template<typename Kind>
    Kind &add(std::unique_ptr<Kind> service)
    {
        Kind &reference = *service;
        m_services.push_back(std::move(service));
        return reference;
    }

    /// @brief Returns the service whose name is `Kind::serviceName`.
    /// @throws std::logic_error if no service has that name and type.
    template<typename Kind>
    Kind &find() const
    {
        for (const std::unique_ptr<Service> &service : m_services) {
            if (service->name() != Kind::serviceName)
                continue;
            if (Kind *found = dynamic_cast<Kind *>(service.get()))
                return *found;
        }
        throw std::logic_error("no service named " + std::string(Kind::serviceName));
    }

    /// @brief Starts all services in order. Stops at the first exception and passes it on.
    void startAll();

    /// @brief Stops the services that have been started, in reverse order.
    void stopAll();

private:
    std::vector<std::unique_ptr<Service>> m_services;
    std::size_t m_started = 0;
};

} // namespace egretmount::kernel

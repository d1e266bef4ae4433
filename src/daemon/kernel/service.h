#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace egretmount::kernel {

/// @brief A part of a daemon that the kernel starts and stops.
class Service
{
public:
    Service() = default;
    Service(const Service &) = delete;
    Service &operator=(const Service &) = delete;
    virtual ~Service() = default;

    /// @brief Name under which other services find this one; a constant.
    virtual std::string_view name() const = 0;

    /// @brief Called on the loop's thread once every service is registered.
    /// @throws std::runtime_error if it cannot start; the message is for the operator.
    virtual void start() = 0;

    /// @brief Called on the loop's thread, in the reverse order of starting.
    virtual void stop() { }
};

/// @brief The services of one daemon, found by name.
class ServiceRegistry
{
public:
    /// @brief Adds a service; services start in the order in which they are added.
    template<typename Kind>
    Kind &add(std::unique_ptr<Kind> service)
    {
        Kind &reference = *service;
        m_services.push_back(std::move(service));
        return reference;
    }

    /// @brief The service with the name that `Kind::serviceName` states.
    /// @throws std::logic_error if there is none of that name and type.
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

    /// @brief Starts all services in order. @throws What a service throws.
    void startAll();

    /// @brief Stops the started services in reverse order.
    void stopAll();

private:
    std::vector<std::unique_ptr<Service>> m_services;
    std::size_t m_started = 0;
};

} // namespace egretmount::kernel

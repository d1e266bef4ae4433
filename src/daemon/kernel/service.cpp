#include "kernel/service.h"

namespace egretmount::kernel {

ServiceRegistry::~ServiceRegistry()
{
    while (!m_services.empty())
        m_services.pop_back();
}

void ServiceRegistry::startAll()
{
    for (const std::unique_ptr<Service> &service : m_services) {
        service->start();
        ++m_started;
    }
}

void ServiceRegistry::stopAll()
{
    while (m_started > 0) {
        --m_started;
        m_services[m_started]->stop();
    }
}

} // namespace egretmount::kernel

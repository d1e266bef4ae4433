#include "credit_service.h"

#include "config_service.h"

namespace egretmount::entry {

CreditService::CreditService(kernel::Loop &, kernel::Registry &registry, const EntrySettings &)
    : m_registry(registry)
{ }

void CreditService::start()
{
    m_registry.find<ConfigService>().onDocument([this](const config::FleetDocument &document) {
        m_shares.clear();
        for (const config::Target &target : document.targets)
            m_shares[target.id] = target.capacity;
        for (const std::function<void()> &listener : m_onChange)
            listener();
    });
}

config::Capacity CreditService::share(const TargetId &target) const
{
    const auto found = m_shares.find(target);
    return found == m_shares.end() ? config::Capacity() : found->second;
}

bool CreditService::isCold(const TargetId &) const
{
    return false;
}

void CreditService::take(const TargetId &, const Request &) { }

void CreditService::release(const RequestId &, Ending) { }

bool CreditService::mayBorrow(const TargetId &, const Request &) const
{
    return false;
}

void CreditService::borrow(const TargetId &, const Request &,
                           const std::function<void(bool)> &granted)
{
    granted(false);
}

void CreditService::noteReport(const TargetId &, const TargetLoad &, Milliseconds) { }

void CreditService::noteFirstToken(const TargetId &, TokenCount, Milliseconds) { }

} // namespace egretmount::entry

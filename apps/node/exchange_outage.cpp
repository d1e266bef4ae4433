#include "exchange.h"

#include <egretmount/core/hash.h>
#include <egretmount/limits/retry_after.h>

namespace egretmount::node {

void Exchange::waitForConfiguration()
{
    m_awaitsConfiguration = true;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_deadlineTimer =
        m_services.reactor.after(limits::configurationWait(m_caller.deadline), [weak] {
            if (const std::shared_ptr<Exchange> self = weak.lock()) {
                self->m_deadlineTimer = 0;
                self->refuse("no-configuration", self->outageRetryDelay());
            }
        });
}

void Exchange::onConfigured()
{
    if (!m_awaitsConfiguration || m_isOver)
        return;
    m_awaitsConfiguration = false;
    m_services.reactor.cancel(m_deadlineTimer);
    const std::shared_ptr<Exchange> self = shared_from_this();
    begin();
}

Milliseconds Exchange::outageRetryDelay() const
{
    return limits::outageRetryDelay(m_caller.deadline, stableHash(m_caller.requestId));
}

} // namespace egretmount::node

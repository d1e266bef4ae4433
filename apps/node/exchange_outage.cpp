#include "exchange.h"

#include <egretmount/core/hash.h>
#include <egretmount/limits/retry_after.h>

namespace egretmount::node {

void Exchange::waitForConfiguration()
{
    m_isUnconfigured = true;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    m_endTimer = m_services.reactor.after(limits::configurationWait(m_caller.deadline), [weak] {
        if (const std::shared_ptr<Exchange> self = weak.lock()) {
            self->m_endTimer = 0;
            self->answerNotRun("no-configuration", self->outageRetryDelay());
        }
    });
}

void Exchange::noteConfigured()
{
    if (!m_isUnconfigured || m_isOver)
        return;
    m_isUnconfigured = false;
    m_services.reactor.cancel(m_endTimer);
    const std::shared_ptr<Exchange> self = shared_from_this();
    begin();
}

Milliseconds Exchange::outageRetryDelay() const
{
    return limits::outageRetryDelay(m_caller.deadline, stableHash(m_caller.requestId));
}

} // namespace egretmount::node

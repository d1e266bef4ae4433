#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

#include "net/http_client.h"
#include "net/reactor.h"

namespace egretmount::node {

/// @brief Memory to set aside at one engine.
struct MemoryTicket
{
    std::string address; ///< Of the engine.
    std::string name; ///< Unique over all instances and time.
    TokenCount tokens = 0;
};

/// @brief The memory that engines set aside for one request.
///
/// Holds are short: if this instance dies, its memory is free again within the bound for memory
/// that nobody uses. A request that lasts longer renews them.
class MemoryTickets : public std::enable_shared_from_this<MemoryTickets>
{
public:
    using Done = std::function<void(bool isReserved)>;

    MemoryTickets(net::Reactor &reactor, std::vector<MemoryTicket> tickets);

    /// @brief Asks all engines at once. `done` is called once, never during the call.
    void reserve(Done done);

    /// @brief Gives everything back; the object lives on until the engines have answered.
    void release();

private:
    struct Order;

    void order(std::size_t index, bool isRelease);
    void onReserved(std::size_t index, bool isDone);
    void onReleased(std::size_t index, bool isDone);
    void scheduleRenewal();

    net::Reactor &m_reactor;
    std::vector<MemoryTicket> m_tickets;
    std::vector<std::unique_ptr<net::HttpClient>> m_callers;
    std::vector<int> m_releaseAttempts;
    std::shared_ptr<MemoryTickets> m_self; ///< Kept while releases are under way.
    Done m_done;
    std::size_t m_answers = 0;
    std::size_t m_releases = 0;
    bool m_hasFailed = false;
    bool m_isReleased = false;
    net::TimerId m_renewal = 0;
};

} // namespace egretmount::node

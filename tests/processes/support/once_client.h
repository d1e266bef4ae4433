#pragma once

#include <string>

#include <egretmount/core/clock.h>

#include "support/fleet.h"

namespace egretmount::tests {

/// @brief What a caller saw of one call; `status` zero: no answer came.
struct CallReport
{
    int status = 0;
    std::string verdict;
    std::string error;
    std::string body;
    Milliseconds elapsed;
};

/// @brief Takes a ticket for the plain service. @return Its text; empty if none was given.
std::string takeTicket(const Fleet &fleet, int entryIndex);

/// @brief One call of the plain service that may not be repeated, with or without a ticket.
CallReport callOnce(const Fleet &fleet, int entryIndex, const std::string &ticket,
                    const std::string &id, Milliseconds deadline = Milliseconds(6'000),
                    const std::string &token = Fleet::token);

/// @brief The index of the instance that a ticket names as its witness; -1: none.
int witnessOf(const std::string &ticket);

/// @brief How often all plain targets together have executed a request.
int executionsOf(const Fleet &fleet, int plainTargets, const std::string &id);

} // namespace egretmount::tests

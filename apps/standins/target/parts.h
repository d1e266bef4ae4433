#pragma once

#include <string>
#include <vector>

#include <egretmount/core/clock.h>

#include "engine.h"
#include "http/server.h"

namespace egretmount::standins {

/// @brief The parts of a prompt that other engines hold for a request.
///
/// An engine reads their KV while it works, which also keeps them from expiring.
class PartsBefore
{
public:
    /// @param header Value of the header that names them, `IP:port/id` separated by commas.
    explicit PartsBefore(const std::string &header);

    /// @brief Reads all parts if the last time is long enough ago. @return False if one is lost.
    bool use(Milliseconds now);

private:
    struct Part
    {
        std::string address;
        std::string id;
    };

    std::vector<Part> m_parts;
    Milliseconds m_lastUse;
};

/// @brief The state that a request imports from the part before; the empty state if it has none.
std::uint64_t importedState(const http::Exchange &exchange);

/// @brief Adds the routes for parts: `POST /v1/parts`, and `GET /v1/parts/<id>` to read one.
/// @param readRequest Makes a stream request of an exchange and its body.
void addPartRoutes(http::Server &server, Engine &engine,
                   std::function<Result<StreamRequest>(http::Exchange &)> readRequest);

} // namespace egretmount::standins

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
class PrecedingShards
{
public:
    /// @param header Value of the header that names them, `IP:port/id` separated by commas.
    explicit PrecedingShards(const std::string &header);

    /// @brief Reads all parts if the last time is long enough ago. @return False if one is lost.
    bool refresh(Milliseconds now);

private:
    struct Shard
    {
        std::string address;
        std::string id;
    };

    std::vector<Shard> m_shards;
    Milliseconds m_lastRefresh;
};

/// @brief The state that a request imports from the part before; the empty state if it has none.
std::uint64_t importedPromptState(const http::Exchange &exchange);

/// @brief Adds the routes for parts: `POST /v1/parts`, and `GET /v1/parts/<id>` to read one.
/// @param readRequest Makes a stream request of an exchange and its body.
void addShardRoutes(http::Server &server, Engine &engine,
                   std::function<Result<StreamRequest>(http::Exchange &)> parseRequest);

} // namespace egretmount::standins

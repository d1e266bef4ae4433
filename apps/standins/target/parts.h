#pragma once

#include <string>
#include <vector>

#include <egretmount/core/clock.h>

#include "engine.h"
#include "http/server.h"

namespace egretmount::standins {

/// @brief The preceding shards of a prompt, whose KV cache other engines hold for a request.
///
/// An engine reads this KV cache while it works on its own shard. Each read also keeps the shards
/// from expiring on the engines that hold them.
class PrecedingShards
{
public:
    /// @param header Value of the request header: comma-separated entries `IP:port/id`.
    explicit PrecedingShards(const std::string &header);

    /// @brief Reads all shards, at most once per refresh interval.
    /// @return False if a shard is no longer held or its engine does not respond.
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

/// @brief Returns the prompt state that a request imports from the preceding shard, or
///        `emptyPromptState` if it imports none.
std::uint64_t importedPromptState(const http::Exchange &exchange);

/// @brief Adds the routes for shards: `POST /v1/parts` prefills one, `GET /v1/parts/<id>` reads it.
/// @param parseRequest Parses a stream request from an exchange and its body.
void addShardRoutes(http::Server &server, Engine &engine,
                    std::function<Result<StreamRequest>(http::Exchange &)> parseRequest);

} // namespace egretmount::standins

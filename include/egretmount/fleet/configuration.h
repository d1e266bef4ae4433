#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>

namespace egretmount::fleet {

/// @brief How often the requests of a route may be executed; decides whether a retry is safe.
enum class RetrySemantics {
    Idempotent, ///< May be executed any number of times.
    AtMostOnce, ///< May be executed once or not at all.
    Stream, ///< Responds with events. Another target may continue it only on a resumable route.
};

/// @brief A service that receives a share of the requests of a route.
struct RouteShare
{
    ServiceId service;
    int weight = 0; ///< Its share is this weight divided by the sum over the route.
};

/// @brief How to serve the requests of one host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Starts and ends with a slash.
    std::vector<RouteShare> shares; ///< Never empty; all weights are above zero.
    RetrySemantics retrySemantics = RetrySemantics::AtMostOnce;
    Milliseconds timeout; ///< The caller receives the final response within this time.
    Milliseconds latencyTarget; ///< Until the first byte or event of the response.
    Milliseconds eventGapTarget; ///< Longest gap between two events; zero: no target.
    int maxTargets = 1; ///< Most targets that may execute one request.
    int priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Requests need no key.
    bool isResumable = false; ///< Another target may continue a stream after its last event.
    bool carriesPrompt = false; ///< Requests carry a prompt and state its size.
};

/// @brief The published speed and capacity of a service's model engines. Times are milliseconds.
struct EngineSpeed
{
    int slots = 1; ///< Streams that an engine decodes concurrently.
    TokenCount memoryTokens = 0; ///< Prompt and output tokens that fit into the engine's memory.
    double stepMs = 0; ///< Fixed time of a step, which decodes one token of every stream.
    double stepPerStreamMs = 0; ///< Additional time of a step for each stream.
    double stepPerContextMs = 0; ///< Additional time for each 1,000 context tokens of the streams.
    double prefillTokensPerMs = 1; ///< Prefill rate without the cost of attention.
    double attentionMsPerMillionPairs = 0; ///< Per million pairs of a token and an earlier one.
    int chunkTokens = 1; ///< Most prompt tokens that one step prefills.
    int stepsPerEvent = 1; ///< Steps between two events of a stream.
    TokenCount typicalPromptTokens = 0; ///< Typical prompt length of the service.
    TokenCount typicalOutputTokens = 0; ///< Typical output length of the service.
};

/// @brief A service: a group of targets that serve the same requests.
struct ServiceSpec
{
    ServiceId id;
    double coldRequestsPerSecond = 0; ///< Limit of a cold target over all instances; zero: none.
    std::optional<EngineSpeed> engine; ///< Empty for a service without model engines.
};

/// @brief Size and time limits of a caller's connection. The defaults apply until a configuration
///        is loaded.
struct CallerLimits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 4UL * 1024 * 1024;
    Milliseconds headerTime = Milliseconds(3'000); ///< Until the request header is complete.
    Milliseconds idleTime = Milliseconds(15'000); ///< Longest idle time between two requests.
};

/// @brief A team that may send requests.
struct Team
{
    TeamId id;
    std::optional<int> priority; ///< 0 is the most urgent; goes before that of the route.
};

/// @brief Highest rank, and the least urgent one: targets know the ranks 0 to 9.
constexpr int maxRank = 9;

/// @brief Priority of a team that states none, and of requests without a team.
constexpr int defaultTeamPriority = 1;

/// @brief Priorities of routes that ranks tell apart; higher ones count as the highest of them.
constexpr int routePriorities = 3;

/// @brief Returns the rank of a team's request on a route, from 0 to `maxRank`: the order is that
///        of the team's priority and, for equal ones, that of the route's.
///
/// Nearly all teams have the same priority, so the kinds of requests would not differ if it
/// replaced that of the route.
/// @param team Null for a request without a team.
int rankOf(const Route &route, const Team *team);

/// @brief One version of the operators' configuration.
struct Configuration
{
    ConfigVersion version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, ServiceSpec> services; ///< Keyed by service id.
    CallerLimits limits;
    std::unordered_map<std::string, Team> teamsByKey; ///< Keyed by API key.
    bool hasTeams = false; ///< If false, no route requires a key.
    std::unordered_map<std::string, std::vector<std::size_t>>
        routesByHost; ///< Indexes into `routes`, longest prefix first.
};

/// @brief The version of the configuration in force and that of the one in the registry.
///
/// They differ while a registry that was restored from an older copy lacks the latest one. The
/// configuration in force never goes back to an older version.
struct ConfigurationStatus
{
    ConfigVersion inForce = 0;
    ConfigVersion inRegistry = 0;
    std::optional<Milliseconds> missingSince; ///< When the registry was found to lack `inForce`.
};

/// @brief Records the version that the registry holds; zero: it holds none.
/// @return True if that version is newer and has to be put in force.
bool recordRegistryVersion(ConfigurationStatus &status, ConfigVersion version, Milliseconds now);

/// @brief Returns the version to report as in force: zero if the registry has lacked it for
///        `limit`, the time within which operators write it again.
ConfigVersion confirmedVersion(const ConfigurationStatus &status, Milliseconds limit,
                               Milliseconds now);

/// @brief Builds `routesByHost`. Call this once the routes are set.
/// @complexity O(n log n) in the routes.
void indexRoutes(Configuration &configuration);

/// @brief Finds the route of a host whose prefix is the longest that matches the path.
/// @param host Host name, with or without a port; upper and lower case are the same.
/// @param target Path and query of the request.
/// @return Null if no route matches.
/// @complexity Linear in the routes of the host.
const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view target);

/// @brief Chooses the service of one request on a route at random, by weight.
/// @param draw Uniform in [0, 1).
const ServiceId &chooseService(const Route &route, double draw);

/// @brief Finds the specification of a service. @return Null if the configuration has none.
const ServiceSpec *findService(const Configuration &configuration, const ServiceId &id);

/// @brief Finds the team that owns an API key. @return Null for an unknown key.
const Team *findTeam(const Configuration &configuration, std::string_view key);

} // namespace egretmount::fleet

template<>
struct egretmount::NameTable<egretmount::fleet::RetrySemantics>
{
    using RetrySemantics = egretmount::fleet::RetrySemantics;
    static constexpr std::array<NameEntry<RetrySemantics>, 3> entries { {
        { RetrySemantics::Idempotent, "idempotent" },
        { RetrySemantics::AtMostOnce, "at-most-once" },
        { RetrySemantics::Stream, "stream" },
    } };
};

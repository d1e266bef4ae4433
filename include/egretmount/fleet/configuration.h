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

/// @brief What may be repeated of a request.
enum class RetrySemantics {
    Idempotent, ///< May be executed more than once.
    AtMostOnce, ///< May be executed once, or not at all.
    Stream, ///< Answers with events; may go on elsewhere only if the route allows resuming.
};

/// @brief A service that gets a share of a route's requests.
struct RouteShare
{
    ServiceId service;
    int weight = 0;
};

/// @brief How requests of one host and path prefix are served.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<RouteShare> shares; ///< Never empty; weights above zero.
    RetrySemantics retrySemantics = RetrySemantics::AtMostOnce;
    Milliseconds timeout; ///< A caller gets its final answer by then.
    Milliseconds latencyTarget; ///< To the first byte or event of the answer.
    Milliseconds eventGapTarget; ///< Longest pause between two events; zero: none stated.
    int maxTargets = 1; ///< Targets that may execute one request.
    int priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Needs no key.
    bool isResumable = false; ///< A stream may go on at another target behind its last event.
    bool carriesPrompt = false; ///< Requests state the size of a prompt.
};

/// @brief The published speed of a service's model engines. Times are milliseconds.
struct EngineSpeed
{
    int slots = 1; ///< Requests that write at once.
    TokenCount memoryTokens = 0; ///< Prompt and answer tokens that fit an engine's memory.
    double stepMs = 0; ///< One token for every writer.
    double stepPerStreamMs = 0;
    double stepPerContextMs = 0; ///< For each 1,000 tokens of a writer's context.
    double prefillTokensPerMs = 1;
    double attentionMsPerMillionPairs = 0; ///< For each million pairs of a token and an earlier one.
    int chunkTokens = 1; ///< Prompt tokens read in one step at most.
    int stepsPerEvent = 1; ///< Steps between two events of a writer.
    TokenCount typicalPromptTokens = 0;
    TokenCount typicalOutputTokens = 0;
};

/// @brief One service of targets.
struct ServiceSpec
{
    ServiceId id;
    double coldRequestsPerSecond = 0; ///< A cold target's, from all instances; zero: no bound.
    std::optional<EngineSpeed> engine; ///< Nothing: a plain service.
};

/// @brief What a caller's connection may send, and how long it may take.
struct CallerLimits
{
    std::size_t headerBytes = 16UL * 1024; // in force until a configuration states others
    std::size_t bodyBytes = 4UL * 1024 * 1024;
    Milliseconds headerTime = Milliseconds(3'000);
    Milliseconds idleTime = Milliseconds(15'000);
};

/// @brief A team that may call.
struct Team
{
    TeamId id;
    std::optional<int> priority; ///< Goes before the route's rank.
};

/// @brief One version of all that operators decide.
struct Configuration
{
    ConfigVersion version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, ServiceSpec> services; ///< By service id.
    CallerLimits limits;
    std::unordered_map<std::string, Team> teamsByKey;
    bool hasTeams = false; ///< False: no route asks for a key.
    std::unordered_map<std::string, std::vector<std::size_t>>
        routesByHost; ///< Longest prefix first.
};

/// @brief Fills `routesByHost`. Call once after the routes are set.
/// @complexity n log n in the routes.
void indexRoutes(Configuration &configuration);

/// @brief The route with the longest prefix that begins the path. @return Null if there is none.
/// @param host May carry a port. @param target Path and query.
/// @complexity Linear in the routes of the host.
const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view target);

/// @brief The service of one request on a route, drawn by weight.
/// @param draw Uniform in [0, 1).
const ServiceId &chooseService(const Route &route, double draw);

/// @brief The service's specification. @return Null if the configuration has none.
const ServiceSpec *findService(const Configuration &configuration, const ServiceId &id);

/// @brief The team that holds a key. @return Null if nobody does.
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

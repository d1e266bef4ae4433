#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <egretmount/config/schema.h>
#include <egretmount/core/clock.h>
#include <egretmount/core/digest.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>

namespace egretmount::config {

/// @brief State of an availability zone, set by operators.
enum class ZoneState {
    Active,
    Out, ///< The zone's targets receive no new requests.
};

/// @brief State of a target, set by operators.
enum class TargetState {
    Active,
    Leaving, ///< Receives no new requests; requests in flight finish.
};

/// @brief Kind of a service's targets.
enum class ServiceKind {
    Engine, ///< Model engines with continuous batching.
    Plain, ///< Targets that return one response per call.
};

/// @brief Whether calls of a service may be executed more than once.
enum class CallPolicy {
    Repeatable,
    Once, ///< Executed at most once; a call needs a ticket.
};

/// @brief Limits on the requests that a target holds at the same time.
struct Capacity
{
    TokenCount tokens = 0; ///< Memory in tokens; zero and unused for plain targets.
    std::int64_t slots = 0; ///< Concurrent requests.
};

struct Zone
{
    ZoneId id;
    ZoneState state = ZoneState::Active;
};

struct Service
{
    ServiceId id;
    ServiceKind kind = ServiceKind::Engine;
    CallPolicy calls = CallPolicy::Repeatable; ///< Plain services only.
    std::string model; ///< Engines only: model to serve.
    std::string modelVersion; ///< Engines only: version of the model.
    std::vector<std::string> adapters; ///< Engines only: adapters to load.
    /// Key `silenceTimeoutMs`: a connection that delivers no byte for this long is considered dead.
    Milliseconds idleTimeout;
};

struct Target
{
    TargetId id;
    ServiceId service;
    ZoneId zone;
    std::string address; ///< `IP:port` of its HTTP server.
    TargetState state = TargetState::Active;
    Capacity capacity; ///< Limits while the target is warm.
    Capacity
        coldCapacity; ///< Limits after a start, until the target's reports show that it is warm.
    bool checksFence = false; ///< Refuses orders with an outdated fencing token.
    bool checksSender = false; ///< Refuses orders without the fleet's sender token.
};

struct Priority
{
    std::string name;
    int level = 0; ///< Requests of a higher level run first.
};

struct Team
{
    TeamId id;
    std::string tokenHash; ///< SHA-256 of the team's secret token, in hexadecimal.
    std::string priority; ///< Name of a priority.
    std::int64_t weight = 1; ///< Relative share of tokens among busy teams.
    TokenCount tokenLimit = 0; ///< Maximum tokens in flight over all instances; zero for no limit.
};

/// @brief The fleet document: all settings that operators make for the fleet.
///
/// Every list is sorted by id, `priorities` by name.
struct FleetDocument
{
    ConfigVersion version = 0;
    Digest digest {}; ///< SHA-256 of the text that the document was parsed from.
    std::string fleetName;
    std::vector<Zone> zones;
    std::vector<Service> services;
    std::vector<Target> targets;
    std::vector<Priority> priorities;
    std::vector<Team> teams;
};

/// @brief Maximum size of a fleet document in bytes; the platform stores no larger value.
constexpr std::size_t maxDocumentBytes = 1'000'000;

/// @brief Returns the schema of a fleet document.
const std::vector<SectionSpec> &fleetSpecs();

/// @brief Parses and validates a fleet document.
/// @param text INI text.
/// @param file File name shown in problems.
/// @return The document, or all problems found: unknown keys, invalid values, references to
///         undefined names, two teams with the same token, two targets with the same address, a
///         cold capacity above the warm one.
/// @complexity N log N in the length of the text.
tl::expected<FleetDocument, std::vector<Problem>> parseFleetDocument(std::string_view text,
                                                                     std::string_view file);

/// @brief Look up an item by its id, a priority by its name. @return Null if there is none.
/// @complexity Logarithmic.
const Zone *findZone(const FleetDocument &document, const ZoneId &id);
const Service *findService(const FleetDocument &document, const ServiceId &id);
const Target *findTarget(const FleetDocument &document, const TargetId &id);
const Team *findTeam(const FleetDocument &document, const TeamId &id);
const Priority *findPriority(const FleetDocument &document, std::string_view name);

/// @brief Finds the team that a secret token belongs to. @return Null for an unknown token.
/// @complexity Linear in the number of teams, plus one SHA-256; use an index for frequent look-ups.
const Team *findTeamByToken(const FleetDocument &document, std::string_view token);

/// @brief Returns true if a target may receive new requests: it and its zone are active.
bool acceptsNewWork(const FleetDocument &document, const Target &target);

} // namespace egretmount::config

namespace egretmount {

template<>
struct NameTable<config::ZoneState>
{
    static constexpr std::array<NameEntry<config::ZoneState>, 2> entries { {
        { config::ZoneState::Active, "active" },
        { config::ZoneState::Out, "out" },
    } };
};

template<>
struct NameTable<config::TargetState>
{
    static constexpr std::array<NameEntry<config::TargetState>, 2> entries { {
        { config::TargetState::Active, "active" },
        { config::TargetState::Leaving, "leaving" },
    } };
};

template<>
struct NameTable<config::ServiceKind>
{
    static constexpr std::array<NameEntry<config::ServiceKind>, 2> entries { {
        { config::ServiceKind::Engine, "engine" },
        { config::ServiceKind::Plain, "plain" },
    } };
};

template<>
struct NameTable<config::CallPolicy>
{
    static constexpr std::array<NameEntry<config::CallPolicy>, 2> entries { {
        { config::CallPolicy::Repeatable, "repeatable" },
        { config::CallPolicy::Once, "once" },
    } };
};

} // namespace egretmount

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

/// @brief What operators say of an availability zone.
enum class ZoneState {
    Active,
    Out, ///< Receives no new work.
};

/// @brief What operators say of a target.
enum class TargetState {
    Active,
    Leaving, ///< Receives no new work; what runs there finishes.
};

/// @brief Kind of the targets of a service.
enum class ServiceKind {
    Engine, ///< Model engines that batch continuously.
    Plain, ///< Targets that answer one call with one response.
};

/// @brief Whether calls of a service may be executed more than once.
enum class CallPolicy {
    Repeatable,
    Once, ///< Needs a ticket; executed at most once.
};

/// @brief How much a target may hold at one time.
struct Capacity
{
    TokenCount tokens = 0; ///< Tokens of memory; zero and unused for plain targets.
    std::int64_t slots = 0; ///< Requests at the same time.
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
    std::string model; ///< Engines: model to serve.
    std::string modelVersion; ///< Engines: version of the model.
    std::vector<std::string> adapters; ///< Engines: adapters to load.
    Milliseconds idleTimeout; ///< No byte for this long: the connection counts as dead.
};

struct Target
{
    TargetId id;
    ServiceId service;
    ZoneId zone;
    std::string address; ///< `IP:port` of its HTTP server.
    TargetState state = TargetState::Active;
    Capacity capacity; ///< Bound when warm.
    Capacity coldCapacity; ///< Bound after a start, until its reports show that it is warm.
    bool checksFence = false; ///< Refuses orders that carry an old fencing number.
    bool checksSender = false; ///< Refuses orders that lack the fleet's sender token.
};

struct Priority
{
    std::string name;
    int level = 0; ///< Higher runs first.
};

struct Team
{
    TeamId id;
    std::string tokenHash; ///< SHA-256 of the team's secret token, in hexadecimal.
    std::string priority; ///< Name of a priority.
    std::int64_t weight = 1; ///< Share of tokens among busy teams.
    TokenCount tokenLimit = 0; ///< Tokens in flight over all instances; zero: none.
};

/// @brief The fleet document: everything that operators decide.
///
/// Every list is sorted by id.
struct FleetDocument
{
    ConfigVersion version = 0;
    Digest digest {}; ///< SHA-256 of the text that it was read from.
    std::string fleetName;
    std::vector<Zone> zones;
    std::vector<Service> services;
    std::vector<Target> targets;
    std::vector<Priority> priorities;
    std::vector<Team> teams;
};

/// @brief Greatest size of a fleet document in bytes, as the platform holds no larger value.
constexpr std::size_t maxDocumentBytes = 1'000'000;

/// @brief Specification of every section and key of a fleet document.
const std::vector<SectionSpec> &fleetSpecs();

/// @brief Reads and validates a fleet document.
/// @param text INI text.
/// @param file Name used in problems.
/// @return The document, or every problem found: unknown or bad keys, names that refer to nothing,
///         two teams with one token, a cold capacity above the warm one.
/// @complexity N log N in the length of the text.
tl::expected<FleetDocument, std::vector<Problem>> parseFleetDocument(std::string_view text,
                                                                     std::string_view file);

/// @brief Look-ups by id. @return Null if the document has no such thing.
/// @complexity Logarithmic.
const Zone *findZone(const FleetDocument &document, const ZoneId &id);
const Service *findService(const FleetDocument &document, const ServiceId &id);
const Target *findTarget(const FleetDocument &document, const TargetId &id);
const Team *findTeam(const FleetDocument &document, const TeamId &id);
const Priority *findPriority(const FleetDocument &document, std::string_view name);

/// @brief The team that a secret token belongs to. @return Null for an unknown token.
/// @complexity Linear in the number of teams, with one SHA-256; index it where that matters.
const Team *findTeamByToken(const FleetDocument &document, std::string_view token);

/// @brief True if a target may receive new work: it and its zone are active.
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

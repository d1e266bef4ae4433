#pragma once

#include <string>
#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/core/names.h>

namespace egretmount::config {

/// @brief Severity of a finding.
enum class Severity {
    Warning, ///< The operator should look at it.
    Refusal, ///< The change must not be published.
};

/// @brief One effect of a change that the operator should know of.
struct Finding
{
    Severity severity = Severity::Warning;
    std::string message;
};

/// @brief Capacity of a service for new requests, before and after a change.
struct ServiceCapacity
{
    ServiceId service;
    Capacity before;
    Capacity after;
    int targetsBefore = 0;
    int targetsAfter = 0;
};

/// @brief Effects of a change on the fleet.
struct Review
{
    std::vector<ServiceCapacity> services; ///< Every service of either document, sorted by id.
    std::vector<Finding> findings;

    /// @brief Returns true if no finding refuses the change.
    bool isSafe() const;
};

/// @brief Loss of a service's slots, in percent, from which the review warns.
constexpr int capacityLossWarningPercent = 40;

/// @brief Compares the document in force with its proposed replacement.
///
/// A change is refused if its version is not higher, or if a service would lose its last target
/// that accepts new requests.
/// @complexity Linear in the number of targets times the logarithm of the number of services.
Review review(const FleetDocument &inForce, const FleetDocument &proposed);

} // namespace egretmount::config

namespace egretmount {

template<>
struct NameTable<config::Severity>
{
    static constexpr std::array<NameEntry<config::Severity>, 2> entries { {
        { config::Severity::Warning, "warning" },
        { config::Severity::Refusal, "refused" },
    } };
};

} // namespace egretmount

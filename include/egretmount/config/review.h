#pragma once

#include <string>
#include <vector>

#include <egretmount/config/document.h>
#include <egretmount/core/names.h>

namespace egretmount::config {

/// @brief How grave a finding of a review is.
enum class Severity {
    Warning, ///< The operator should look at it.
    Refusal, ///< The change must not be published.
};

/// @brief One thing that a change would do.
struct Finding
{
    Severity severity = Severity::Warning;
    std::string message;
};

/// @brief Capacity that a service has for new work, before and after a change.
struct ServiceCapacity
{
    ServiceId service;
    Capacity before;
    Capacity after;
    int targetsBefore = 0;
    int targetsAfter = 0;
};

/// @brief What a change would do to the fleet.
struct Review
{
    std::vector<ServiceCapacity> services; ///< Every service of either document, sorted by id.
    std::vector<Finding> findings;

    /// @brief True if no finding forbids the change.
    bool isSafe() const;
};

/// @brief Share of a service's slots whose loss is a warning, in percent.
constexpr int capacityLossWarningPercent = 40;

/// @brief Compares the document in force with the one that would take its place.
///
/// A change is refused if its version is not higher, or if a service that has targets for new work
/// would have none left.
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

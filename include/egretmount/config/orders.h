#pragma once

#include <optional>

#include <egretmount/config/document.h>

namespace egretmount::config {

/// @brief The model and adapters that an engine serves.
struct ServedModel
{
    std::string model;
    std::string modelVersion;
    std::vector<std::string> adapters; ///< Sorted.

    friend bool operator==(const ServedModel &a, const ServedModel &b)
    {
        return a.model == b.model && a.modelVersion == b.modelVersion && a.adapters == b.adapters;
    }
    friend bool operator!=(const ServedModel &a, const ServedModel &b) { return !(a == b); }
};

/// @brief Order to an engine; it depends only on the fleet document.
struct EngineOrder
{
    /// Fencing token: the version of the document. An engine may refuse orders with a lower one.
    ConfigVersion fence = 0;
    ServedModel servedModel;
};

/// @brief State of an engine, as reported by the engine.
struct EngineReport
{
    ConfigVersion fence = 0; ///< Fencing token of the last order that the engine executed.
    ServedModel servedModel;
    bool isBusy = false; ///< True while requests run on the engine.
};

/// @brief Returns what a target must serve according to the document.
ServedModel desiredModel(const FleetDocument &document, const Target &target);

/// @brief Returns the order that an engine needs to match the document.
///
/// An engine that checks fences also gets an order for each new fence, so that it refuses late
/// orders from a sender with an older document. A change of the model or its version waits until
/// the engine is idle.
/// @return Nothing if the engine already matches the document, has executed an order of a newer
///         document, or is busy with another model.
/// @complexity Linear in the number of adapters.
std::optional<EngineOrder> orderFor(const FleetDocument &document, const Target &target,
                                    const EngineReport &report);

} // namespace egretmount::config

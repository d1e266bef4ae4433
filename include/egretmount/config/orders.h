#pragma once

#include <optional>

#include <egretmount/config/document.h>

namespace egretmount::config {

/// @brief What an engine is to serve.
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

/// @brief An order to an engine: a function of the fleet document alone.
struct EngineOrder
{
    ConfigVersion fence = 0; ///< Version of the document; an engine may refuse lower ones.
    ServedModel servedModel;
};

/// @brief What an engine says of itself.
struct EngineReport
{
    ConfigVersion fence = 0; ///< Of the last order that it obeyed.
    ServedModel servedModel;
    bool isBusy = false; ///< Requests run on it.
};

/// @brief What a target is to serve, by the document.
ServedModel desiredModel(const FleetDocument &document, const Target &target);

/// @brief The order that an engine needs now.
///
/// An engine that checks fences also gets each new fence, so that it refuses what a sender with an
/// older document may still send. Another model or version waits until the engine is idle.
/// @return Nothing if the engine is as the document wants it, or is busy with another model.
/// @complexity Linear in the number of adapters.
std::optional<EngineOrder> orderFor(const FleetDocument &document, const Target &target,
                                    const EngineReport &report);

} // namespace egretmount::config

#pragma once

#include <string>

namespace egretmount::load {

/// @brief Addresses and inputs of a demonstration.
struct DemoOptions
{
    std::string platformAddress;
    std::string entryAddress; ///< Any entry instance; its `/v1/locate` lists the others.
    std::string token; ///< The team's secret token.
    std::string model; ///< Service that the requests name.
    std::string documents; ///< Folder with the documents that prompts are made of.
};

/// @brief Sends one very long prompt (`archive`), one long prompt (`dossier`) and several short
/// questions concurrently, prints a table of the results, and compares every response with the
/// tokens that the engine has recorded as sent.
/// @return True if every response is complete and equal to the engine's record.
/// @throws std::exception if the fleet cannot be reached.
bool runDemo(const DemoOptions &options);

} // namespace egretmount::load

#pragma once

#include <string>

namespace egretmount::load {

/// @brief What a demonstration talks to.
struct DemoOptions
{
    std::string platformAddress;
    std::string entryAddress; ///< Any entry instance; it names the others.
    std::string token; ///< Secret of the team.
    std::string model; ///< Service to ask.
    std::string documents; ///< Folder with the texts for prompts.
};

/// @brief Sends an archive, a dossier and short questions at once, and checks every answer against
///        what the engine says it sent.
/// @return True if every answer came whole.
/// @throws std::exception if the fleet cannot be reached.
bool runDemo(const DemoOptions &options);

} // namespace egretmount::load

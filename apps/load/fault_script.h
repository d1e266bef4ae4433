#pragma once

#include <map>
#include <string>

#include "experiment.h"

namespace egretmount::load {

/// @brief Process ids by the names that faults refer to.
using ProcessIds = std::map<std::string, int>;

/// @brief Parses `name=pid` pairs separated by commas.
/// @throws std::invalid_argument if an entry has another form.
ProcessIds readProcessIds(const std::string &text);

/// @brief Checks before a run that every fault can be injected: that its process, signal, file and
/// platform address are known.
/// @return An empty string, or a description of the first problem.
std::string checkFaults(const Experiment &experiment, const ProcessIds &processes);

/// @brief Injects one fault.
/// @throws std::exception if the platform or the target stand-in cannot be reached, or the
/// platform rejects the document.
void injectFault(const Fault &fault, const std::string &platformAddress,
                 const ProcessIds &processes);

} // namespace egretmount::load

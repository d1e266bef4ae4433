#pragma once

#include <map>
#include <string>

#include "experiment.h"

namespace egretmount::load {

/// @brief Process ids by the names that faults use.
using ProcessIds = std::map<std::string, int>;

/// @brief Reads `name=pid` pairs separated by commas. @throws std::invalid_argument on others.
ProcessIds readProcessIds(const std::string &text);

/// @brief Checks that every fault can be carried out. @return Empty, or what is wrong.
std::string checkFaults(const Experiment &experiment, const ProcessIds &processes);

/// @brief Carries out one fault. @throws std::exception if a stand-in cannot be reached.
void injectFault(const Fault &fault, const std::string &platformAddress,
                 const ProcessIds &processes);

} // namespace egretmount::load

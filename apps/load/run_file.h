#pragma once

#include <string>

#include "runner.h"

namespace egretmount::load {

/// @brief Writes a run as lines of JSON: its head, then one line a sample.
/// @throws std::runtime_error if the file cannot be written.
void writeRunFile(const RunRecord &record, const std::string &path);

/// @brief Reads what `writeRunFile` wrote. @throws std::exception if it is not such a file.
RunRecord readRunFile(const std::string &path);

} // namespace egretmount::load

#pragma once

#include <string>

#include "runner.h"

namespace egretmount::load {

/// @brief Writes a run as JSON lines: a header, then one line for each sample.
/// @throws std::runtime_error if the file cannot be written.
void writeRunFile(const RunRecord &record, const std::string &path);

/// @brief Reads a file written by `writeRunFile`.
/// @throws std::exception if the file cannot be read or has another format.
RunRecord readRunFile(const std::string &path);

} // namespace egretmount::load

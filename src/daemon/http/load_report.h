#pragma once

#include <string>

#include <egretmount/core/ids.h>
#include <egretmount/routing/load_report.h>

namespace egretmount::http {

/// @brief Writes a load report as the value of the load header: `key=value` pairs.
std::string writeLoadReport(const routing::LoadReport &report);

/// @brief Reads a load report. @return False if the text is not one; `report` is then unchanged.
bool readLoadReport(const std::string &text, routing::LoadReport &report);

} // namespace egretmount::http

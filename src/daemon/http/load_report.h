#pragma once

#include <string>

#include <egretmount/core/ids.h>
#include <egretmount/routing/load_report.h>

namespace egretmount::http {

/// @brief Serializes a load report as the value of the `Egretmount-Load` header: `key=value` pairs
///        separated by semicolons.
std::string writeLoadReport(const routing::LoadReport &report);

/// @brief Parses a load report.
/// @return False if the text is malformed; `report` is then unchanged.
bool readLoadReport(const std::string &text, routing::LoadReport &report);

} // namespace egretmount::http

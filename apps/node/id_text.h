#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

#include <egretmount/limits/crash_causes.h>

namespace egretmount::node {

/// @brief Returns a 64-bit id in hexadecimal, as log lines contain it.
inline std::string idText(std::uint64_t id)
{
    char digits[20];
    std::snprintf(digits, sizeof digits, "%llx", static_cast<unsigned long long>(id));
    return digits;
}

/// @brief Returns the kind and the id of a cause for a log line.
inline std::string causeText(const limits::Cause &cause)
{
    return std::string(nameOf(cause.kind)) + ':' + idText(cause.id);
}

/// @brief Returns causes for a log line; the first eight if there are more.
template<typename Causes>
std::string joinCauses(const Causes &causes)
{
    constexpr std::size_t maxLogged = 8;
    std::string text;
    std::size_t count = 0;
    for (const limits::Cause &cause : causes) {
        if (++count > maxLogged)
            break;
        text.append(text.empty() ? "" : ",").append(causeText(cause));
    }
    return text.empty() ? "none" : text;
}

} // namespace egretmount::node

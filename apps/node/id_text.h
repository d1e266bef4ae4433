#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace egretmount::node {

/// @brief Returns 64-bit ids in hexadecimal for a log line; the first eight if there are more.
template<typename Ids>
std::string joinIds(const Ids &ids)
{
    constexpr std::size_t maxLogged = 8;
    std::string text;
    std::size_t count = 0;
    for (const std::uint64_t id : ids) {
        if (++count > maxLogged)
            break;
        char digits[20];
        std::snprintf(digits, sizeof digits, "%llx", static_cast<unsigned long long>(id));
        text.append(text.empty() ? "" : ",").append(digits);
    }
    return text.empty() ? "none" : text;
}

} // namespace egretmount::node

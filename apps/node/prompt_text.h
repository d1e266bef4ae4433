#pragma once

#include <cstdio>
#include <string>

#include <egretmount/core/ids.h>

namespace egretmount::node {

/// @brief Returns the ids of prompt parts for a log line; the first eight if there are more.
template<typename Parts>
std::string joinParts(const Parts &parts)
{
    constexpr std::size_t maxLogged = 8;
    std::string text;
    std::size_t count = 0;
    for (const PromptPartId part : parts) {
        if (++count > maxLogged)
            break;
        char id[20];
        std::snprintf(id, sizeof id, "%llx", static_cast<unsigned long long>(part));
        text.append(text.empty() ? "" : ",").append(id);
    }
    return text.empty() ? "none" : text;
}

} // namespace egretmount::node

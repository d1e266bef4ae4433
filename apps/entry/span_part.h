#pragma once

#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/HTTPRequest.h>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

#include "http/client.h"

namespace egretmount::entry {

/// @brief Cuts a prompt into texts whose lengths are in proportion to `sizes`, at white space.
/// @return As many texts as sizes; together they are the prompt.
std::vector<std::string> cutPrompt(const std::string &prompt, const std::vector<TokenCount> &sizes);

/// @brief The body of a completion of a text.
std::string completionBody(const std::string &text, TokenCount maxTokens);

/// @brief Sends a part and waits until its engine holds it.
/// @param silence No byte for this long: the engine counts as lost.
/// @return The state that the engine exports; nothing on failure.
std::optional<std::string> exchangePart(http::ClientCall &call, Poco::Net::HTTPRequest &request,
                                        const std::string &body, Milliseconds silence);

/// @brief True if an engine still holds a part; asking also keeps it from expiring.
bool isPartHeld(const std::string &address, const RequestId &part);

/// @brief Ends a part at its engine; a lost call is made up for by the part's expiry.
/// @param owner Only a part of this owner is ended.
void cancelPart(const std::string &address, const RequestId &part, const std::string &owner);

} // namespace egretmount::entry

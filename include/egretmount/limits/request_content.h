#pragma once

#include <cstdint>
#include <string_view>

#include <egretmount/core/digest.h>

namespace egretmount::limits {

/// @brief What two requests have in common if a target cannot distinguish them.
///
/// The caller's request id, its deadline and its connection are new in each attempt.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view team; ///< Empty on a public route.
    Digest bodyDigest {}; ///< SHA-256.
};

/// @brief Returns an id of the content, the same at all instances.
///
/// It is taken from a cryptographic digest, so a caller cannot find a request whose id is that of
/// another caller's request.
/// @complexity Linear in the length of the texts.
std::uint64_t contentId(const RequestContent &content);

} // namespace egretmount::limits

#pragma once

#include <string_view>

namespace egretmount::http {

// Headers that callers, instances and targets exchange beside the standard ones.
constexpr const char *requestIdHeader = "Egretmount-Request-Id";
constexpr const char *deadlineHeader = "Egretmount-Deadline-Ms"; ///< Time left, in milliseconds.
constexpr const char *verdictHeader = "Egretmount-Verdict";
constexpr const char *errorHeader = "Egretmount-Error";
constexpr const char *retryAfterHeader = "Egretmount-Retry-After-Ms";
constexpr const char *targetHeader = "Egretmount-Target";
constexpr const char *priorityHeader = "Egretmount-Priority";
constexpr const char *ownerHeader = "Egretmount-Owner"; ///< `instance/incarnation` of the sender.
constexpr const char *loadHeader = "Egretmount-Load";
constexpr const char *ticketHeader = "Egretmount-Ticket";
constexpr const char *forwardedHeader = "Egretmount-Forwarded"; ///< Set between instances.
constexpr const char *fenceHeader = "Egretmount-Fence";
constexpr const char *versionHeader = "Egretmount-Version";
constexpr const char *kvStateHeader = "Egretmount-Kv-State"; ///< Exported by the part before.
constexpr const char *kvPartsHeader = "Egretmount-Kv-Parts"; ///< `IP:port/id` of parts before.
constexpr const char *lastEventIdHeader = "Last-Event-ID"; ///< Resumes a stream behind this offset.

} // namespace egretmount::http

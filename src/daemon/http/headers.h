#pragma once

#include <string_view>

namespace egretmount::http {

// Non-standard headers that callers, instances and targets exchange.
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
/// Set on requests that one instance forwards to another.
constexpr const char *forwardedHeader = "Egretmount-Forwarded";
constexpr const char *fenceHeader = "Egretmount-Fence";
constexpr const char *versionHeader = "Egretmount-Version";
/// KV state that the engine of the preceding prefill shard has exported.
constexpr const char *kvStateHeader = "Egretmount-Kv-State";
/// `IP:port/id` of each preceding prefill shard.
constexpr const char *kvPartsHeader = "Egretmount-Kv-Parts";
constexpr const char *lastEventIdHeader = "Last-Event-ID"; ///< A stream resumes after this offset.

} // namespace egretmount::http

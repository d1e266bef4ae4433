#pragma once

#include <string>
#include <vector>

#include <egretmount/routing/span.h>

#include "relay.h"

namespace egretmount::entry {

/// @brief Serves a completion whose prompt needs the memory of several engines.
///
/// All parts are reserved or none. They are prefilled in order, each importing the state that the
/// one before exported; the last engine generates. A lost engine costs its part only. All memory is
/// given back when the request ends.
class SpanRelay
{
public:
    /// @param body JSON body of the caller's request.
    /// @param nextOffset The first token that the caller lacks.
    SpanRelay(kernel::ServiceRegistry &registry, http::Exchange &exchange, const Request &request,
              const std::string &body, TokenCount nextOffset);
    ~SpanRelay();

    SpanRelay(const SpanRelay &) = delete;
    SpanRelay &operator=(const SpanRelay &) = delete;

    /// @brief Serves the request to its end; always answers unless the caller has left.
    void run();

private:
    /// What is known of one part.
    struct Part
    {
        Request request; // counted at its target
        std::string text;
        std::string address;
        std::string state; // exported once it is prefilled
        bool isReserved = false;
        bool isPrefilled = false;
    };

    Result<Assignment> acquire();
    Result<void> reserveAll();
    Result<void> reservePart(std::size_t index);
    Result<void> prefillMissing();
    Result<void> prefillPart(std::size_t index);
    Result<void> movePart(std::size_t index);
    void makeParts();
    void releasePart(Part &part, Outcome outcome);
    void releaseAll();
    void findLostParts();
    bool isLastToBlame();
    const std::string &prepareLast(Poco::Net::HTTPRequest &request);
    void addKvHeaders(Poco::Net::HTTPRequest &request, std::size_t index) const;
    Error failure(const std::string &detail) const;

    kernel::ServiceRegistry &m_registry;
    DispatchService &m_dispatch;
    Request m_request;
    std::string m_prompt;
    std::string m_lastBody;
    routing::SpanPlan m_plan;
    std::vector<Part> m_parts;
    Milliseconds m_silenceTimeout;
    bool m_isPlanned = false;
    bool m_isSent = false; // some part may have reached an engine
    CompletionSource m_source;
    CompletionRelay m_relay;
};

} // namespace egretmount::entry

#include "span_relay.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <glog/logging.h>

#include "http/headers.h"
#include "peer_service.h"
#include "span_part.h"
#include "target_call.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPRequest;

namespace {

constexpr int reserveAttempts = 12;
constexpr std::size_t mostExtraParts = 3; // wanted by later attempts, so that parts are smaller
constexpr Milliseconds leastPause = 40_ms;
constexpr Milliseconds mostPause = 250_ms;
constexpr Milliseconds leastRetryAfter = 1'000_ms;
constexpr Milliseconds mostRetryAfter = 4'000_ms;

std::string promptOf(const std::string &body)
{
    const Poco::JSON::Object::Ptr object =
        Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
    return object->getValue<std::string>("prompt");
}

// The last part has an id that does not change with the number of parts.
Request lastRequest(const Request &request)
{
    Request last = request;
    last.id = RequestId(request.id.value + ".last");
    return last;
}

Result<Assignment> waitForRoom(DispatchService &dispatch, const Request &part,
                               const TargetId &target)
{
    using Decision = std::promise<Result<Assignment>>;
    std::shared_ptr<Decision> promise = std::make_shared<Decision>();
    std::future<Result<Assignment>> decision = promise->get_future();
    dispatch.reserve(part, target, [promise = std::move(promise)](Result<Assignment> result) {
        promise->set_value(std::move(result));
    });
    return decision.get();
}

void pause(Milliseconds duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count()));
}

} // namespace

SpanRelay::SpanRelay(kernel::ServiceRegistry &registry, http::Exchange &exchange,
                     const Request &request, const std::string &body, TokenCount nextOffset)
    : m_registry(registry)
    , m_dispatch(registry.find<DispatchService>())
    , m_request(withUniqueId(request))
    , m_prompt(promptOf(body))
    , m_source { [this] { return acquire(); },
                 [this](HTTPRequest &http) -> const std::string & { return prepareLast(http); },
                 [this] { return isLastToBlame(); }, request.id }
    , m_relay(registry, exchange, lastRequest(m_request), m_lastBody, nextOffset, &m_source)
{ }

SpanRelay::~SpanRelay()
{
    releaseAll();
}

void SpanRelay::run()
{
    m_relay.run();
}

Result<Assignment> SpanRelay::acquire()
{
    Result<void> done = m_isPlanned ? Result<void>() : reserveAll();
    if (done && m_isPlanned)
        findLostParts();
    if (done)
        done = prefillMissing();
    if (!done)
        return tl::make_unexpected(done.error());
    const Part &last = m_parts.back();
    return Assignment { m_plan.shards.back().target, last.address, m_silenceTimeout,
                        last.request.priority };
}

Result<void> SpanRelay::reserveAll()
{
    Random random(digestHash(m_request.id.value));
    for (int i = 0; i < reserveAttempts && monotonicNow() < m_request.deadline
                    && m_relay.watch().interruption() == Interruption::None;
         ++i) {
        const std::size_t least = 1 + static_cast<std::size_t>(i) % (mostExtraParts + 1);
        const std::optional<routing::SpanPlan> plan = m_dispatch.plan(m_request, least);
        if (plan) {
            m_plan = *plan;
            makeParts();
            Result<void> done;
            for (std::size_t part = 0; done && part < m_parts.size(); ++part)
                done = reservePart(part);
            m_isPlanned = done.has_value();
            if (m_isPlanned)
                return done;
            releaseAll();
        }
        pause(random.between(leastPause, mostPause));
    }
    return fail(ErrorId::Overloaded, Verdict::NotRun,
                "no availability zone has the memory for the prompt now",
                random.between(leastRetryAfter, mostRetryAfter));
}

void SpanRelay::makeParts()
{
    std::vector<TokenCount> sizes;
    for (const routing::SpanShard &part : m_plan.shards)
        sizes.push_back(part.tokens);
    const std::vector<std::string> texts = cutPrompt(m_prompt, sizes);
    m_parts.clear();
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        const bool isLast = i + 1 == sizes.size();
        Part part;
        part.request = routing::shardRequest(m_request, i, sizes[i],
                                             isLast ? m_request.maxTokens : TokenCount(0));
        if (isLast)
            part.request.id = lastRequest(m_request).id;
        part.text = texts[i];
        m_parts.push_back(std::move(part));
    }
    m_lastBody = completionBody(m_parts.back().text, m_request.maxTokens);
}

Result<void> SpanRelay::reservePart(std::size_t index)
{
    Part &part = m_parts.at(index);
    const Result<Assignment> assignment =
        waitForRoom(m_dispatch, part.request, m_plan.shards.at(index).target);
    if (!assignment)
        return tl::make_unexpected(assignment.error());
    part.address = assignment->address;
    part.isReserved = true;
    part.isPrefilled = false;
    m_silenceTimeout = assignment->silenceTimeout;
    return {};
}

Result<void> SpanRelay::prefillMissing()
{
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        const bool isLast = i + 1 == m_parts.size();
        Result<void> done;
        if (!m_parts[i].isReserved)
            done = movePart(i);
        if (done && !isLast && !m_parts[i].isPrefilled)
            done = prefillPart(i);
        if (!done)
            return done;
    }
    return {};
}

Result<void> SpanRelay::prefillPart(std::size_t index)
{
    Part &part = m_parts.at(index);
    HTTPRequest http = makeTargetRequest("/v1/parts", part.request, m_registry.find<PeerService>());
    addKvHeaders(http, index);
    m_isSent = true;
    const std::shared_ptr<http::ClientCall> call = std::make_shared<http::ClientCall>(part.address);
    m_relay.watch().setCall(call);
    const std::optional<std::string> state =
        exchangePart(*call, http, completionBody(part.text, 1), m_silenceTimeout);
    m_relay.watch().setCall(nullptr);
    if (state) {
        part.state = *state;
        part.isPrefilled = true;
        m_dispatch.onFirstToken(part.request.id);
        return {};
    }
    LOG(INFO) << "spans: a part failed request=" << m_request.id.value << " part=" << index;
    // A part before may be the one that is lost; the next attempt finds out which.
    findLostParts();
    const bool areOthersThere =
        std::all_of(m_parts.begin(), m_parts.begin() + static_cast<std::ptrdiff_t>(index),
                    [](const Part &other) { return other.isReserved; });
    if (areOthersThere)
        releasePart(part, Outcome::Failed);
    return tl::make_unexpected(failure("an engine of the span failed"));
}

Result<void> SpanRelay::movePart(std::size_t index)
{
    const std::optional<TargetId> target =
        m_dispatch.replacement(m_plan, index, m_parts.at(index).request);
    if (!target)
        return tl::make_unexpected(failure("no engine of the zone can take over a lost part"));
    m_plan.shards.at(index).target = *target;
    return reservePart(index);
}

void SpanRelay::releasePart(Part &part, Outcome outcome)
{
    if (!part.isReserved)
        return;
    if (m_isSent)
        cancelPart(part.address, part.request.id, ownerText(m_registry.find<PeerService>()));
    m_dispatch.finish(part.request.id, outcome);
    part.isReserved = false;
    part.isPrefilled = false;
}

void SpanRelay::releaseAll()
{
    for (Part &part : m_parts)
        releasePart(part, Outcome::Completed);
    m_isPlanned = false;
}

void SpanRelay::findLostParts()
{
    for (Part &part : m_parts) {
        if (part.isPrefilled && !isPartHeld(part.address, part.request.id))
            releasePart(part, Outcome::Failed);
    }
}

bool SpanRelay::isLastToBlame()
{
    findLostParts();
    const bool areOthersThere = std::all_of(m_parts.begin(), m_parts.end() - 1,
                                            [](const Part &part) { return part.isReserved; });
    if (areOthersThere && !m_parts.empty())
        m_parts.back().isReserved = false; // the relay gives it back
    return areOthersThere;
}

const std::string &SpanRelay::prepareLast(HTTPRequest &request)
{
    m_isSent = true;
    addKvHeaders(request, m_parts.size() - 1);
    return m_lastBody;
}

void SpanRelay::addKvHeaders(HTTPRequest &request, std::size_t index) const
{
    if (index == 0)
        return;
    std::string before;
    for (std::size_t i = 0; i < index; ++i)
        before += (i == 0 ? "" : ",") + m_parts[i].address + '/' + m_parts[i].request.id.value;
    request.set(http::kvPartsHeader, before);
    request.set(http::kvStateHeader, m_parts[index - 1].state);
}

Error SpanRelay::failure(const std::string &detail) const
{
    const Verdict verdict = m_isSent ? Verdict::MayHaveRun : Verdict::NotRun;
    return { ErrorId::TargetFailed, verdict, detail, retryAfterFailure };
}

} // namespace egretmount::entry

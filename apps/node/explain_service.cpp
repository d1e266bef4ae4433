#include "explain_service.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <egretmount/core/hash.h>
#include <egretmount/limits/stall_detection.h>

#include "fleet_service.h"
#include "relay_service.h"

namespace egretmount::node {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// More than any engine holds; keeps the prefill time, which grows with the square, meaningful.
constexpr TokenCount maxPromptTokens = 10'000'000;
// The time limit of requests on routes without one, unless the caller states another.
constexpr Milliseconds defaultTimeout = Milliseconds(10'000);

// Joins names for an error text; large configurations are cut off.
std::string joinNames(const std::set<std::string> &names)
{
    constexpr std::size_t maxNames = 20;
    std::string text;
    std::size_t count = 0;
    for (const std::string &name : names) {
        if (++count > maxNames)
            return text + ", and " + std::to_string(names.size() - maxNames) + " more";
        text.append(text.empty() ? "" : ", ").append(name);
    }
    return text.empty() ? "none" : text;
}

std::set<std::string> teamNames(const fleet::Configuration &configuration)
{
    std::set<std::string> names;
    for (const auto &[key, team] : configuration.teamsByKey)
        names.insert(team.id.value);
    return names;
}

bool leadsTo(const fleet::Route &route, const ServiceId &service)
{
    return route.carriesPrompt
           && std::any_of(route.shares.begin(), route.shares.end(),
                          [&](const fleet::RouteShare &share) { return share.service == service; });
}

Milliseconds timeoutOf(const fleet::Route &route)
{
    return route.timeout > Milliseconds() ? route.timeout : defaultTimeout;
}

// Returns null if there is no team of this name.
const fleet::Team *findTeamNamed(const fleet::Configuration &configuration, const std::string &name)
{
    for (const auto &[key, team] : configuration.teamsByKey) {
        if (team.id.value == name)
            return &team;
    }
    return nullptr;
}

// Returns the demand of a request that has just arrived; see `Exchange::place`.
placement::Demand demandOf(const fleet::ServiceSpec &service, const fleet::Route &route,
                           const fleet::Team *team, TokenCount promptTokens)
{
    placement::Demand demand;
    demand.promptTokens = promptTokens;
    demand.maxOutputTokens = service.engine->typicalOutputTokens;
    demand.weight = placement::weightOf(*service.engine, promptTokens);
    demand.latencyTarget = route.latencyTarget;
    demand.eventGapTarget = route.eventGapTarget;
    demand.clientTimeout = std::min(timeoutOf(route), limits::clientTimeout(route));
    demand.rank = fleet::rankOf(route, team);
    demand.team = team != nullptr ? stableHash(team->id.value) : 0;
    return demand;
}

Object::Ptr planObject(const placement::Plan &plan,
                       const std::map<placement::EngineKey, std::string> &names)
{
    Array engines;
    for (const placement::EngineKey engine : plan.engines) {
        const auto found = names.find(engine);
        engines.add(found != names.end() ? found->second : std::to_string(engine));
    }
    Object::Ptr object = new Object;
    object->set("engines", engines);
    object->set("cost", plan.cost);
    object->set("first_event_ms", plan.firstEventMs);
    object->set("start_delay_ms", plan.startDelayMs);
    object->set("shard_prefill_ms", plan.shardPrefillMs);
    return object;
}

Object::Ptr candidateObject(const fleet::Target &target,
                            const placement::CandidateExplanation &candidate)
{
    Object::Ptr row = new Object;
    row->set("target", target.entry.id.value);
    row->set("zone", target.entry.zone.value);
    row->set("requests", candidate.trackedRequests);
    row->set("helper_shards", candidate.helperShards);
    row->set("untracked", candidate.untrackedRequests);
    if (candidate.reportAge)
        row->set("report_age_ms", candidate.reportAge->count());
    row->set("backlog_ms", candidate.backlogMs);
    row->set("slot_wait_ms", candidate.slotWaitMs);
    row->set("slowdown", candidate.prefillSlowdown);
    row->set("penalty", candidate.penalty);
    row->set("obstacle", std::string(nameOf(candidate.obstacle)));
    if (candidate.plan) {
        row->set("cost", candidate.plan->cost);
        row->set("first_event_ms", candidate.plan->firstEventMs);
        row->set("start_delay_ms", candidate.plan->startDelayMs);
        row->set("shards", candidate.plan->engines.size());
    }
    return row;
}

// Adds what happens to the request, why, and until when.
void setDecision(Object &answer, const PromptExplanation &explanation, bool isRelayed)
{
    if (isRelayed) {
        answer.set("decision", "relayed");
        answer.set("reason", "this instance reaches no target");
    } else if (const QueueReason *queued = std::get_if<QueueReason>(&explanation.decision)) {
        answer.set("decision", "queued");
        answer.set("reason", std::string(nameOf(*queued)));
        if (explanation.expectedWait)
            answer.set("expected_wait_ms", explanation.expectedWait->count());
    } else if (const Deferral *deferral = std::get_if<Deferral>(&explanation.decision)) {
        answer.set("decision", "deferred");
        answer.set("reason",
                   "late at any engine now, or free slots are left to more urgent requests");
        answer.set("expected_wait_ms", deferral->admission.waitMs);
    } else if (const Refusal *refusal = std::get_if<Refusal>(&explanation.decision)) {
        answer.set("decision", "refused");
        answer.set("reason", std::string(nameOf(refusal->reason)));
        answer.set("retry_after_ms", refusal->retryAfter.count());
        if (refusal->reason == RefusalReason::Overloaded) {
            answer.set("lane_engines", refusal->longPool.engines);
            answer.set("lane_backlog_ms", refusal->longPool.backlogMs);
            answer.set("lane_waiting_ms", refusal->longPool.queuedMs);
            answer.set("lane_demand", refusal->longPool.demand);
        }
    } else {
        answer.set("decision", "placed");
    }
}

} // namespace

ExplainService::ExplainService(kernel::ServiceRegistry &registry)
    : m_registry(registry)
{ }

void ExplainService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_placement = &m_registry.find<PlacementService>();
    m_relay = &m_registry.find<RelayService>();
    m_registry.find<MetricsService>().addPage(
        "/explain", [this](const std::string &query) { return answer(query); });
}

MetricsPage ExplainService::answer(const std::string &query) const
{
    const std::shared_ptr<const fleet::Configuration> configuration = m_fleet->configuration();
    if (!configuration)
        return { 503, "text/plain", "this instance has no configuration yet\n" };
    const tl::expected<Question, std::string> question = parse(*configuration, query);
    if (!question)
        return { 400, "text/plain", question.error() + '\n' };
    return { 200, "application/json", explanationOf(*question) + '\n' };
}

tl::expected<ExplainService::Question, std::string>
ExplainService::parse(const fleet::Configuration &configuration, const std::string &query) const
{
    std::map<std::string, std::string> values;
    try {
        Poco::URI uri("/explain");
        uri.setRawQuery(query);
        for (const auto &[name, value] : uri.getQueryParameters())
            values[name] = value;
    } catch (const Poco::Exception &) {
        return tl::unexpected(std::string("the query is not a valid URL query"));
    }
    for (const auto &[name, value] : values) {
        if (name != "service" && name != "tokens" && name != "team" && name != "route")
            return tl::unexpected("unknown parameter \"" + name
                                  + "\"; allowed are service, tokens, team and route");
    }
    Question question;
    question.service = fleet::findService(configuration, ServiceId(values["service"]));
    if (question.service == nullptr || !question.service->engine) {
        std::set<std::string> names;
        for (const auto &[name, service] : configuration.services) {
            if (service.engine)
                names.insert(name);
        }
        return tl::unexpected("service \"" + values["service"]
                              + "\" is not a service with model engines; these are: "
                              + joinNames(names));
    }
    Poco::Int64 tokens = 0;
    if (!Poco::NumberParser::tryParse64(values["tokens"], tokens) || tokens < 1
        || tokens > maxPromptTokens)
        return tl::unexpected("tokens is \"" + values["tokens"]
                              + "\"; it must be an integer from 1 to "
                              + std::to_string(maxPromptTokens));
    question.promptTokens = tokens;
    const std::string &routeName = values["route"];
    std::set<std::string> routeNames;
    for (const fleet::Route &route : configuration.routes) {
        if (!leadsTo(route, question.service->id))
            continue;
        routeNames.insert(route.name);
        if (question.route == nullptr && (routeName.empty() || route.name == routeName))
            question.route = &route;
    }
    if (question.route == nullptr)
        return tl::unexpected("route \"" + routeName + "\" carries no prompts to the service; "
                              + "these do: " + joinNames(routeNames));
    question.team = values["team"];
    const std::set<std::string> teams = teamNames(configuration);
    if (!question.team.empty() && teams.count(question.team) == 0)
        return tl::unexpected("team \"" + question.team
                              + "\" is unknown; teams are: " + joinNames(teams));
    return question;
}

std::string ExplainService::explanationOf(const Question &question) const
{
    const fleet::ServiceSpec &service = *question.service;
    const std::shared_ptr<const fleet::Configuration> configuration = m_fleet->configuration();
    const fleet::Team *team = findTeamNamed(*configuration, question.team);
    const placement::Demand demand =
        demandOf(service, *question.route, team, question.promptTokens);
    const PromptExplanation explanation =
        m_placement->explainPrompt(service, demand, timeoutOf(*question.route));
    std::map<placement::EngineKey, std::string> names;
    std::set<TargetId> candidates;
    Array rows;
    for (std::size_t i = 0; i < explanation.targets.size(); ++i) {
        const fleet::Target &target = *explanation.targets[i];
        const placement::CandidateExplanation &candidate = explanation.placement.candidates[i];
        names[candidate.key] = target.entry.id.value;
        candidates.insert(target.entry.id);
        rows.add(candidateObject(target, candidate));
    }
    Array excluded;
    for (const auto &[id, target] : m_fleet->table().targets) {
        if (target.entry.service != service.id || candidates.count(id) > 0)
            continue;
        const bool isColdLimited =
            std::find(explanation.coldLimited.begin(), explanation.coldLimited.end(), id)
            != explanation.coldLimited.end();
        Object::Ptr row = new Object;
        row->set("target", id.value);
        row->set("reason", isColdLimited ? std::string("cold-limit")
                                         : std::string(m_placement->exclusionOf(target)));
        excluded.add(row);
    }
    Object answer;
    answer.set("instance", m_fleet->settings().name);
    answer.set("service", service.id.value);
    answer.set("route", question.route->name);
    answer.set("team", question.team);
    answer.set("tokens", question.promptTokens);
    answer.set("rank", demand.rank);
    answer.set("client_timeout_ms", demand.clientTimeout.count());
    answer.set("load_policy_on", m_placement->loadPolicy().isOn);
    setDecision(answer, explanation, m_relay->isNeeded() && m_relay->hasReceiver());
    if (explanation.placement.chosen)
        answer.set("chosen", planObject(*explanation.placement.chosen, names));
    if (explanation.placement.runnerUp)
        answer.set("runner_up", planObject(*explanation.placement.runnerUp, names));
    answer.set("candidates", rows);
    answer.set("excluded", excluded);
    std::ostringstream text;
    answer.stringify(text);
    return text.str();
}

} // namespace egretmount::node

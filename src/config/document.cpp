#include <egretmount/config/document.h>

#include <algorithm>
#include <iterator>

namespace egretmount::config {

namespace {

constexpr std::int64_t maxVersion = INT64_MAX;
constexpr std::int64_t maxTokens = 1'000'000'000;
constexpr std::int64_t maxSlots = 100'000;
constexpr std::int64_t maxIdleTimeoutMs = 600'000;
constexpr std::int64_t maxPriorityLevel = 100;
constexpr std::int64_t maxWeight = 10'000;

constexpr std::string_view yes = "yes";

struct Builder
{
    std::string file;
    FleetDocument document;
    std::vector<Problem> problems;
};

const SectionSpec &specNamed(std::string_view kind)
{
    const std::vector<SectionSpec> &specs = fleetSpecs();
    return *std::find_if(specs.begin(), specs.end(),
                         [kind](const SectionSpec &spec) { return spec.kind == kind; });
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> words;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t comma = std::min(text.find(',', begin), text.size());
        if (comma > begin)
            words.push_back(text.substr(begin, comma - begin));
        begin = comma + 1;
    }
    return words;
}

template<typename Enum>
Enum choice(const SectionReader &reader, std::string_view key)
{
    return *valueNamed<Enum>(reader.text(key));
}

Zone readZone(const IniSection &section)
{
    const SectionReader reader(&section, specNamed("zone"));
    return { ZoneId(nameInSection(section)), choice<ZoneState>(reader, "state") };
}

Service readService(const IniSection &section)
{
    const SectionReader reader(&section, specNamed("service"));
    Service service;
    service.id = ServiceId(nameInSection(section));
    service.kind = choice<ServiceKind>(reader, "kind");
    service.calls = choice<CallPolicy>(reader, "calls");
    service.model = reader.text("model");
    service.modelVersion = reader.text("modelVersion");
    service.adapters = splitList(reader.text("adapters"));
    service.idleTimeout = Milliseconds(reader.integer("silenceTimeoutMs"));
    return service;
}

Target readTarget(const IniSection &section)
{
    const SectionReader reader(&section, specNamed("target"));
    Target target;
    target.id = TargetId(nameInSection(section));
    target.service = ServiceId(reader.text("service"));
    target.zone = ZoneId(reader.text("zone"));
    target.address = reader.text("address");
    target.state = choice<TargetState>(reader, "state");
    target.capacity = { reader.integer("tokens"), reader.integer("slots") };
    target.coldCapacity = { reader.integer("coldTokens"), reader.integer("coldSlots") };
    target.checksFence = reader.text("checksFence") == yes;
    target.checksSender = reader.text("checksSender") == yes;
    return target;
}

Priority readPriority(const IniSection &section)
{
    const SectionReader reader(&section, specNamed("priority"));
    return { nameInSection(section), static_cast<int>(reader.integer("level")) };
}

Team readTeam(const IniSection &section)
{
    const SectionReader reader(&section, specNamed("team"));
    Team team;
    team.id = TeamId(nameInSection(section));
    team.tokenHash = reader.text("tokenHash");
    team.priority = reader.text("priority");
    team.weight = reader.integer("weight");
    team.tokenLimit = reader.integer("tokenLimit");
    return team;
}

void readFleet(const IniSection &section, FleetDocument &document)
{
    const SectionReader reader(&section, specNamed("fleet"));
    document.version = static_cast<ConfigVersion>(reader.integer("version"));
    document.fleetName = reader.text("name");
}

void readSection(const IniSection &section, FleetDocument &document)
{
    const std::string_view kind = kindOfSection(section);
    if (kind == "fleet")
        readFleet(section, document);
    else if (kind == "zone")
        document.zones.push_back(readZone(section));
    else if (kind == "service")
        document.services.push_back(readService(section));
    else if (kind == "target")
        document.targets.push_back(readTarget(section));
    else if (kind == "priority")
        document.priorities.push_back(readPriority(section));
    else if (kind == "team")
        document.teams.push_back(readTeam(section));
}

template<typename Item, typename Key>
void sortBy(std::vector<Item> &items, Key Item::*key)
{
    std::sort(items.begin(), items.end(),
              [key](const Item &a, const Item &b) { return a.*key < b.*key; });
}

template<typename Item, typename Key, typename Wanted>
const Item *findBy(const std::vector<Item> &items, Key Item::*key, const Wanted &wanted)
{
    const auto found = std::lower_bound(
        items.begin(), items.end(), wanted,
        [key](const Item &item, const Wanted &value) { return item.*key < value; });
    const bool isFound = found != items.end() && (*found).*key == wanted;
    return isFound ? &*found : nullptr;
}

void addProblem(Builder &builder, const std::string &section, const std::string &key,
                const std::string &value, const std::string &expected)
{
    builder.problems.push_back({ builder.file, section, key, value, expected });
}

void checkCapacity(Builder &builder, const Target &target, ServiceKind kind)
{
    const std::string section = "target." + target.id.value;
    if (kind == ServiceKind::Engine && target.capacity.tokens == 0)
        addProblem(builder, section, "tokens", "0", "at least 1 token for the target of an engine");
    if (target.coldCapacity.tokens > target.capacity.tokens)
        addProblem(builder, section, "coldTokens", std::to_string(target.coldCapacity.tokens),
                   "at most the value of tokens");
    if (target.coldCapacity.slots > target.capacity.slots)
        addProblem(builder, section, "coldSlots", std::to_string(target.coldCapacity.slots),
                   "at most the value of slots");
}

void checkTargets(Builder &builder)
{
    const FleetDocument &document = builder.document;
    for (const Target &target : document.targets) {
        const std::string section = "target." + target.id.value;
        const Service *service = findService(document, target.service);
        if (!service)
            addProblem(builder, section, "service", target.service.value, "a service of this file");
        else
            checkCapacity(builder, target, service->kind);
        if (!findZone(document, target.zone))
            addProblem(builder, section, "zone", target.zone.value, "a zone of this file");
    }
}

void checkTeams(Builder &builder)
{
    std::vector<const Team *> byToken;
    for (const Team &team : builder.document.teams) {
        byToken.push_back(&team);
        if (!findPriority(builder.document, team.priority))
            addProblem(builder, "team." + team.id.value, "priority", team.priority,
                       "a priority of this file");
    }
    std::sort(byToken.begin(), byToken.end(),
              [](const Team *a, const Team *b) { return a->tokenHash < b->tokenHash; });
    for (std::size_t i = 1; i < byToken.size(); ++i) {
        if (byToken[i]->tokenHash == byToken[i - 1]->tokenHash)
            addProblem(builder, "team." + byToken[i]->id.value, "tokenHash", byToken[i]->tokenHash,
                       "another token than that of team " + byToken[i - 1]->id.value);
    }
}

void checkAddresses(Builder &builder)
{
    std::vector<const Target *> byAddress;
    for (const Target &target : builder.document.targets)
        byAddress.push_back(&target);
    std::sort(byAddress.begin(), byAddress.end(),
              [](const Target *a, const Target *b) { return a->address < b->address; });
    for (std::size_t i = 1; i < byAddress.size(); ++i) {
        if (byAddress[i]->address == byAddress[i - 1]->address)
            addProblem(builder, "target." + byAddress[i]->id.value, "address",
                       byAddress[i]->address,
                       "another address than that of target " + byAddress[i - 1]->id.value);
    }
}

void sortDocument(FleetDocument &document)
{
    sortBy(document.zones, &Zone::id);
    sortBy(document.services, &Service::id);
    sortBy(document.targets, &Target::id);
    sortBy(document.priorities, &Priority::name);
    sortBy(document.teams, &Team::id);
}

std::vector<SectionSpec> makeSpecs()
{
    return {
        { "fleet",
          false,
          {
              { "version", ValueKind::Integer, "", "", 1, maxVersion, "", true,
                "Version of this document; the highest one wins everywhere." },
              { "name", ValueKind::Text, "", "fleet", 0, 0, "", false,
                "Name of the fleet in logs and reports." },
          } },
        { "zone",
          true,
          {
              { "state", ValueKind::Choice, "", "active", 0, 0, "active|out", false,
                "'out': the availability zone receives no new work." },
          } },
        { "service",
          true,
          {
              { "kind", ValueKind::Choice, "", "engine", 0, 0, "engine|plain", false,
                "Kind of the service's targets." },
              { "calls", ValueKind::Choice, "", "repeatable", 0, 0, "repeatable|once", false,
                "'once': a call needs a ticket and is executed at most once." },
              { "model", ValueKind::Text, "", "", 0, 0, "", false, "Model to serve." },
              { "modelVersion", ValueKind::Text, "", "", 0, 0, "", false, "Version of the model." },
              { "adapters", ValueKind::Text, "", "", 0, 0, "", false,
                "Adapters to load, separated by commas." },
              { "silenceTimeoutMs", ValueKind::Integer, "ms", "2000", 10, maxIdleTimeoutMs, "",
                false, "No byte of an answer for this long: its connection counts as dead." },
          } },
        { "target",
          true,
          {
              { "service", ValueKind::Text, "", "", 0, 0, "", true, "Service it belongs to." },
              { "zone", ValueKind::Text, "", "", 0, 0, "", true,
                "Availability zone it stands in." },
              { "address", ValueKind::Address, "", "", 0, 0, "", true,
                "Address of its HTTP server." },
              { "state", ValueKind::Choice, "", "active", 0, 0, "active|leaving", false,
                "'leaving': receives no new work; what runs there finishes." },
              { "tokens", ValueKind::Integer, "tokens", "0", 0, maxTokens, "", false,
                "Memory of an engine." },
              { "slots", ValueKind::Integer, "requests", "16", 1, maxSlots, "", false,
                "Requests it may hold at one time when warm." },
              { "coldTokens", ValueKind::Integer, "tokens", "0", 0, maxTokens, "", false,
                "Memory that may be used while it is cold." },
              { "coldSlots", ValueKind::Integer, "requests", "1", 1, maxSlots, "", false,
                "Requests it may hold at one time while it is cold." },
              { "checksFence", ValueKind::Choice, "", "no", 0, 0, "yes|no", false,
                "'yes': it refuses orders that carry an old fencing number." },
              { "checksSender", ValueKind::Choice, "", "no", 0, 0, "yes|no", false,
                "'yes': it refuses orders without the fleet's sender token." },
          } },
        { "priority",
          true,
          {
              { "level", ValueKind::Integer, "", "", 0, maxPriorityLevel, "", true,
                "Requests of a higher level run first." },
          } },
        { "team",
          true,
          {
              { "tokenHash", ValueKind::Digest, "", "", 0, 0, "", true,
                "SHA-256 of the team's secret token." },
              { "priority", ValueKind::Text, "", "", 0, 0, "", true,
                "Priority of the team's requests." },
              { "weight", ValueKind::Integer, "", "1", 1, maxWeight, "", false,
                "Share of tokens among busy teams." },
              { "tokenLimit", ValueKind::Integer, "tokens", "0", 0, maxTokens, "", false,
                "Tokens in flight over all instances; 0: no limit." },
          } },
    };
}

} // namespace

const std::vector<SectionSpec> &fleetSpecs()
{
    static const std::vector<SectionSpec> specs = makeSpecs();
    return specs;
}

tl::expected<FleetDocument, std::vector<Problem>> parseFleetDocument(std::string_view text,
                                                                     std::string_view file)
{
    Builder builder;
    builder.file = std::string(file);
    if (text.size() > maxDocumentBytes) {
        addProblem(builder, "fleet", "", "",
                   "at most " + std::to_string(maxDocumentBytes) + " bytes, found "
                       + std::to_string(text.size()));
        return tl::make_unexpected(builder.problems);
    }
    const tl::expected<IniText, IniError> ini = readIni(text);
    if (!ini) {
        addProblem(builder, "line " + std::to_string(ini.error().line), "", "",
                   "INI text: " + ini.error().message);
        return tl::make_unexpected(builder.problems);
    }
    builder.problems = check(*ini, fleetSpecs(), file);
    if (!ini->find("fleet"))
        addProblem(builder, "fleet", "", "", "this section, which has no default");
    if (!builder.problems.empty())
        return tl::make_unexpected(builder.problems);

    for (const IniSection &section : ini->sections)
        readSection(section, builder.document);
    sortDocument(builder.document);
    checkTargets(builder);
    checkTeams(builder);
    checkAddresses(builder);
    if (!builder.problems.empty())
        return tl::make_unexpected(builder.problems);
    builder.document.digest = sha256(text);
    return builder.document;
}

const Zone *findZone(const FleetDocument &document, const ZoneId &id)
{
    return findBy(document.zones, &Zone::id, id);
}

const Service *findService(const FleetDocument &document, const ServiceId &id)
{
    return findBy(document.services, &Service::id, id);
}

const Target *findTarget(const FleetDocument &document, const TargetId &id)
{
    return findBy(document.targets, &Target::id, id);
}

const Team *findTeam(const FleetDocument &document, const TeamId &id)
{
    return findBy(document.teams, &Team::id, id);
}

const Priority *findPriority(const FleetDocument &document, std::string_view name)
{
    return findBy(document.priorities, &Priority::name, name);
}

const Team *findTeamByToken(const FleetDocument &document, std::string_view token)
{
    const std::string hash = toHex(sha256(token));
    const Team *match = nullptr;
    // Compares every hash, so that the duration does not reveal the position of a match.
    for (const Team &team : document.teams) {
        if (isEqualConstantTime(team.tokenHash, hash))
            match = &team;
    }
    return match;
}

bool acceptsNewWork(const FleetDocument &document, const Target &target)
{
    const Zone *zone = findZone(document, target.zone);
    return target.state == TargetState::Active && zone && zone->state == ZoneState::Active;
}

} // namespace egretmount::config

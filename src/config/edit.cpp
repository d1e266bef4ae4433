#include <egretmount/config/edit.h>

#include <algorithm>
#include <iterator>

#include <egretmount/config/schema.h>

namespace egretmount::config {

namespace {

constexpr const char *fleetSection = "fleet";
constexpr const char *versionKey = "version";
constexpr const char *stateKey = "state";

template<typename Enum>
std::string nameText(Enum value)
{
    return std::string(nameOf(value));
}

} // namespace

void setValue(IniText &text, const std::string &section, const std::string &key,
              const std::string &value)
{
    auto place = std::find_if(text.sections.begin(), text.sections.end(),
                              [&section](const IniSection &one) { return one.name == section; });
    if (place == text.sections.end()) {
        text.sections.push_back({ section, {} });
        place = std::prev(text.sections.end());
    }
    const auto entry = std::find_if(place->entries.begin(), place->entries.end(),
                                    [&key](const IniEntry &one) { return one.key == key; });
    if (entry == place->entries.end())
        place->entries.push_back({ key, value });
    else
        entry->value = value;
}

bool removeSection(IniText &text, std::string_view section)
{
    const auto place =
        std::find_if(text.sections.begin(), text.sections.end(),
                     [section](const IniSection &one) { return one.name == section; });
    if (place == text.sections.end())
        return false;
    text.sections.erase(place);
    return true;
}

ConfigVersion incrementVersion(IniText &text)
{
    const SectionReader reader(text.find(fleetSection), fleetSpecs().front());
    const ConfigVersion version = static_cast<ConfigVersion>(reader.integer(versionKey)) + 1;
    setValue(text, fleetSection, versionKey, std::to_string(version));
    return version;
}

tl::expected<std::string, Problem> withState(const std::string &text, const std::string &name,
                                             bool isOut)
{
    tl::expected<IniText, IniError> ini = readIni(text);
    if (!ini)
        return tl::make_unexpected(Problem { "document", "line " + std::to_string(ini.error().line),
                                             "", "", "INI text: " + ini.error().message });
    const std::string zone = "zone." + name;
    const std::string target = "target." + name;
    if (ini->find(zone))
        setValue(*ini, zone, stateKey, nameText(isOut ? ZoneState::Out : ZoneState::Active));
    else if (ini->find(target))
        setValue(*ini, target, stateKey,
                 nameText(isOut ? TargetState::Leaving : TargetState::Active));
    else
        return tl::make_unexpected(
            Problem { "document", zone, "", "", "an availability zone or target named " + name });
    incrementVersion(*ini);
    return writeIni(*ini);
}

} // namespace egretmount::config

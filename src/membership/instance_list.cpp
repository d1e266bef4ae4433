#include <egretmount/membership/instance_list.h>

#include <algorithm>

namespace egretmount::membership {

namespace {

ListedInstance readInstance(const config::IniSection &section)
{
    const config::SectionReader reader(&section, instanceListSpecs().front());
    ListedInstance instance;
    instance.id = InstanceId(config::nameInSection(section));
    instance.zone = ZoneId(reader.text("zone"));
    instance.httpAddress = reader.text("httpAddress");
    instance.rpcAddress = reader.text("rpcAddress");
    instance.state = *valueNamed<ListedState>(reader.text("state"));
    return instance;
}

} // namespace

const std::vector<config::SectionSpec> &instanceListSpecs()
{
    using config::ValueKind;
    static const std::vector<config::SectionSpec> specs {
        { "instance",
          true,
          {
              { "zone", ValueKind::Text, "", "", 0, 0, "", true,
                "Availability zone of the instance." },
              { "httpAddress", ValueKind::Address, "", "", 0, 0, "", true, "Address for callers." },
              { "rpcAddress", ValueKind::Address, "", "", 0, 0, "", true,
                "Address for other instances." },
              { "state", ValueKind::Choice, "", "live", 0, 0, "live|leaving", false,
                "'leaving': the instance ends soon." },
          } },
    };
    return specs;
}

tl::expected<InstanceList, std::vector<config::Problem>> parseInstanceList(std::string_view text)
{
    constexpr std::string_view file = "instance list";
    const tl::expected<config::IniText, config::IniError> ini = config::readIni(text);
    if (!ini) {
        const std::string section = "line " + std::to_string(ini.error().line);
        return tl::make_unexpected(std::vector<config::Problem> {
            { std::string(file), section, "", "", "INI text: " + ini.error().message } });
    }
    std::vector<config::Problem> problems = config::check(*ini, instanceListSpecs(), file);
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    InstanceList list;
    for (const config::IniSection &section : ini->sections)
        list.push_back(readInstance(section));
    std::sort(list.begin(), list.end(),
              [](const ListedInstance &a, const ListedInstance &b) { return a.id < b.id; });
    return list;
}

std::string writeInstanceList(const InstanceList &list)
{
    config::IniText text;
    for (const ListedInstance &instance : list) {
        text.sections.push_back({ "instance." + instance.id.value,
                                  { { "zone", instance.zone.value },
                                    { "httpAddress", instance.httpAddress },
                                    { "rpcAddress", instance.rpcAddress },
                                    { "state", std::string(nameOf(instance.state)) } } });
    }
    return config::writeIni(text);
}

const ListedInstance *findListed(const InstanceList &list, const InstanceId &id)
{
    const auto found = std::lower_bound(
        list.begin(), list.end(), id,
        [](const ListedInstance &row, const InstanceId &wanted) { return row.id < wanted; });
    return found != list.end() && found->id == id ? &*found : nullptr;
}

} // namespace egretmount::membership

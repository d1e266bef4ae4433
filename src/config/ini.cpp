#include <egretmount/config/ini.h>

#include <algorithm>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace egretmount::config {

namespace {

using boost::property_tree::ptree;

// The library drops sections without keys, so each section gets a key that `sectionFrom` removes.
constexpr const char *markerKey = "\x01";

IniSection sectionFrom(const std::string &name, const ptree &tree)
{
    IniSection section;
    section.name = name;
    section.entries.reserve(tree.size());
    for (const ptree::value_type &child : tree) {
        if (child.first != markerKey)
            section.entries.push_back({ child.first, child.second.data() });
    }
    return section;
}

// Adds the marker key to each section.
std::string addMarkers(std::string_view text)
{
    std::string marked;
    marked.reserve(text.size() + text.size() / 8);
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string_view line = text.substr(begin, end - begin);
        marked += line;
        marked += '\n';
        if (!line.empty() && line.front() == '[')
            marked += std::string(markerKey) + "=\n";
        begin = end + 1;
    }
    return marked;
}

// Converts a line number of the text with markers to one of the original text.
int originalLine(const std::string &marked, int line)
{
    std::istringstream stream(marked);
    std::string text;
    int markers = 0;
    for (int i = 0; i < line && std::getline(stream, text); ++i)
        markers += text.compare(0, 1, markerKey) == 0 ? 1 : 0;
    return line - markers;
}

// The library stores a key that precedes all sections at the same level as the sections.
bool isStrayKey(const ptree::value_type &child)
{
    return child.second.empty() && !child.second.data().empty();
}

} // namespace

const std::string *IniSection::find(std::string_view key) const
{
    for (const IniEntry &entry : entries) {
        if (entry.key == key)
            return &entry.value;
    }
    return nullptr;
}

const IniSection *IniText::find(std::string_view name) const
{
    for (const IniSection &section : sections) {
        if (section.name == name)
            return &section;
    }
    return nullptr;
}

tl::expected<IniText, IniError> readIni(std::string_view text)
{
    const std::string marked = addMarkers(text);
    std::istringstream stream(marked);
    ptree tree;
    try {
        boost::property_tree::ini_parser::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return tl::make_unexpected(
            IniError { originalLine(marked, static_cast<int>(error.line())), error.message() });
    }
    IniText result;
    result.sections.reserve(tree.size());
    for (const ptree::value_type &child : tree) {
        if (isStrayKey(child))
            return tl::make_unexpected(IniError { 1, "key before the first section" });
        result.sections.push_back(sectionFrom(child.first, child.second));
    }
    return result;
}

std::string writeIni(const IniText &text)
{
    std::string out;
    for (const IniSection &section : text.sections) {
        if (!out.empty())
            out += '\n';
        out += '[' + section.name + "]\n";
        for (const IniEntry &entry : section.entries)
            out += entry.key + '=' + entry.value + '\n';
    }
    return out;
}

} // namespace egretmount::config

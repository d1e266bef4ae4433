#include <egretmount/config/diff.h>

#include <algorithm>

namespace egretmount::config {

namespace {

constexpr std::string_view hashKey = "tokenHash";

std::vector<const IniSection *> sortedSections(const IniText &text)
{
    std::vector<const IniSection *> sections;
    sections.reserve(text.sections.size());
    for (const IniSection &section : text.sections)
        sections.push_back(&section);
    std::sort(sections.begin(), sections.end(),
              [](const IniSection *a, const IniSection *b) { return a->name < b->name; });
    return sections;
}

void diffKeys(const IniSection &before, const IniSection &after, std::vector<Change> &changes)
{
    for (const IniEntry &entry : before.entries) {
        const std::string *value = after.find(entry.key);
        if (!value)
            changes.push_back(
                { ChangeKind::Removed, before.name, entry.key, entry.value, std::string() });
        else if (*value != entry.value)
            changes.push_back({ ChangeKind::Changed, before.name, entry.key, entry.value, *value });
    }
    for (const IniEntry &entry : after.entries) {
        if (!before.find(entry.key))
            changes.push_back(
                { ChangeKind::Added, after.name, entry.key, std::string(), entry.value });
    }
}

std::string shown(const Change &change, const std::string &value)
{
    return change.key == hashKey ? "(hash)" : value;
}

} // namespace

std::vector<Change> diff(const IniText &before, const IniText &after)
{
    std::vector<Change> changes;
    const std::vector<const IniSection *> olds = sortedSections(before);
    const std::vector<const IniSection *> news = sortedSections(after);
    auto oldSection = olds.begin();
    auto newSection = news.begin();
    while (oldSection != olds.end() || newSection != news.end()) {
        const bool isRemoved =
            newSection == news.end()
            || (oldSection != olds.end() && (*oldSection)->name < (*newSection)->name);
        const bool isAdded =
            !isRemoved && (oldSection == olds.end() || (*newSection)->name < (*oldSection)->name);
        if (isRemoved) {
            changes.push_back({ ChangeKind::Removed, (*oldSection)->name, "", "", "" });
            ++oldSection;
        } else if (isAdded) {
            changes.push_back({ ChangeKind::Added, (*newSection)->name, "", "", "" });
            ++newSection;
        } else {
            diffKeys(**oldSection, **newSection, changes);
            ++oldSection;
            ++newSection;
        }
    }
    return changes;
}

std::string describe(const Change &change)
{
    std::string place = '[' + change.section + ']' + (change.key.empty() ? "" : " " + change.key);
    const std::string after = shown(change, change.after);
    const std::string before = shown(change, change.before);
    switch (change.kind) {
    case ChangeKind::Added:
        return "+ " + place + (change.key.empty() ? "" : "=" + after);
    case ChangeKind::Removed:
        return "- " + place + (change.key.empty() ? "" : "=" + before);
    case ChangeKind::Changed:
        return "~ " + place + ": " + before + " -> " + after;
    }
    return place;
}

} // namespace egretmount::config

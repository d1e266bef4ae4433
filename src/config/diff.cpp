#include <egretmount/config/diff.h>

#include <algorithm>

namespace egretmount::config {

namespace {

constexpr std::string_view tokenHashKey = "tokenHash";

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

std::string redactedValue(const Change &change, const std::string &value)
{
    return change.key == tokenHashKey ? "(hash)" : value;
}

} // namespace

std::vector<Change> diff(const IniText &before, const IniText &after)
{
    std::vector<Change> changes;
    const std::vector<const IniSection *> oldSections = sortedSections(before);
    const std::vector<const IniSection *> newSections = sortedSections(after);
    auto oldSection = oldSections.begin();
    auto newSection = newSections.begin();
    while (oldSection != oldSections.end() || newSection != newSections.end()) {
        const bool isRemoved =
            newSection == newSections.end()
            || (oldSection != oldSections.end() && (*oldSection)->name < (*newSection)->name);
        const bool isAdded =
            !isRemoved
            && (oldSection == oldSections.end() || (*newSection)->name < (*oldSection)->name);
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
    std::string location =
        '[' + change.section + ']' + (change.key.empty() ? "" : " " + change.key);
    const std::string after = redactedValue(change, change.after);
    const std::string before = redactedValue(change, change.before);
    switch (change.kind) {
    case ChangeKind::Added:
        return "+ " + location + (change.key.empty() ? "" : "=" + after);
    case ChangeKind::Removed:
        return "- " + location + (change.key.empty() ? "" : "=" + before);
    case ChangeKind::Changed:
        return "~ " + location + ": " + before + " -> " + after;
    }
    return location;
}

} // namespace egretmount::config

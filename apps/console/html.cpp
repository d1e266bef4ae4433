#include "html.h"

#include <cctype>
#include <sstream>

#include <egretmount/config/diff.h>

namespace egretmount::console {

namespace {

constexpr const char *styleSheet = R"(
body { font: 16px/1.5 system-ui, sans-serif; max-width: 70rem; margin: 0 auto; padding: 1rem;
       color: #1b1f24; background: #fff; }
a, button { color: #0b4a8f; }
button { font: inherit; padding: .3rem .8rem; border: 1px solid #0b4a8f; border-radius: 4px;
         background: #eef4fb; cursor: pointer; }
:focus-visible { outline: 3px solid #d9822b; outline-offset: 2px; }
table { border-collapse: collapse; width: 100%; margin: .5rem 0 1.5rem; }
th, td { text-align: left; padding: .3rem .6rem; border-bottom: 1px solid #d0d7de; }
td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
form.inline { display: inline; }
label { display: block; margin: .6rem 0; }
label span { display: block; font-weight: 600; }
label small { display: block; color: #57606a; }
input, select { font: inherit; padding: .25rem; min-width: 20rem; }
textarea { width: 100%; font: 14px/1.4 monospace; }
.notice { padding: .6rem 1rem; background: #eef4fb; border-left: 4px solid #0b4a8f; }
.alert { background: #fdecea; border-left-color: #b42318; }
.out { color: #b42318; font-weight: 600; }
)";

std::string hiddenDraft(const std::string &draft)
{
    return "<input type=\"hidden\" name=\"draft\" value=\"" + escape(draft) + "\">";
}

std::string hidden(const std::string &name, const std::string &value)
{
    return "<input type=\"hidden\" name=\"" + name + "\" value=\"" + escape(value) + "\">";
}

std::string button(const std::string &action, const std::string &fields, const std::string &label,
                   const std::string &draft)
{
    return "<form class=\"inline\" method=\"post\" action=\"" + action + "\">" + hiddenDraft(draft)
           + fields + "<button>" + escape(label) + "</button></form>";
}

// A button of the overview's one form; the draft is in the form once, however many buttons it has.
std::string rowButton(const std::string &action, const std::string &field, const std::string &value,
                      const std::string &label)
{
    return "<button formaction=\"" + action + "\" name=\"" + field + "\" value=\"" + escape(value)
           + "\">" + escape(label) + "</button> ";
}

std::string stateButton(const std::string &name, bool isOut)
{
    return rowButton("/state", isOut ? "back" : "out", name,
                     (isOut ? "Bring back " : "Take out ") + name);
}

std::string headingOf(const std::string &kind)
{
    return kind == "priority" ? "Priorities"
                              : std::string(1, static_cast<char>(std::toupper(kind.front())))
                                    + kind.substr(1) + "s";
}

bool hasState(std::string_view kind)
{
    return kind == "zone" || kind == "target";
}

std::string stateOf(const config::IniSection &section)
{
    const std::string *state = section.find("state");
    return state ? *state : "active";
}

std::string shownValue(const config::IniEntry &entry)
{
    return entry.key == "tokenHash" ? "(hash)" : entry.value;
}

void writeRow(std::ostream &out, const config::IniSection &section)
{
    const std::string kind(config::kindOfSection(section));
    const std::string name = config::nameInSection(section);
    out << "<tr><th scope=\"row\">" << escape(name) << "</th><td>";
    for (const config::IniEntry &entry : section.entries) {
        if (entry.key != "state")
            out << escape(entry.key) << "=" << escape(shownValue(entry)) << " ";
    }
    out << "</td><td>";
    if (hasState(kind)) {
        const bool isOut = stateOf(section) != "active";
        out << "<span class=\"" << (isOut ? "out" : "in") << "\">" << escape(stateOf(section))
            << "</span> " << stateButton(name, isOut);
    }
    out << rowButton("/edit", "section", section.name, "Edit " + name) << "</td></tr>\n";
}

std::string inputFor(const config::KeySpec &key, const std::string &value)
{
    const std::string name = "key." + std::string(key.key);
    std::ostringstream out;
    if (key.kind == config::ValueKind::Choice) {
        out << "<select name=\"" << name << "\">";
        std::istringstream choices { std::string(key.choices) };
        std::string choice;
        while (std::getline(choices, choice, '|'))
            out << "<option" << (choice == value ? " selected" : "") << '>' << escape(choice)
                << "</option>";
        out << "</select>";
        return out.str();
    }
    out << "<input name=\"" << name << "\" value=\"" << escape(value) << '"';
    if (key.kind == config::ValueKind::Integer)
        out << " type=\"number\" min=\"" << key.low << "\" max=\"" << key.high << '"';
    out << (key.isRequired ? " required>" : ">");
    return out.str();
}

std::string capacityTable(const config::Review &review)
{
    std::ostringstream out;
    out << "<h2>Capacity for new work</h2><table><thead><tr><th>Service</th>"
           "<th class=\"number\">Targets</th><th class=\"number\">Slots</th>"
           "<th class=\"number\">Tokens</th></tr></thead><tbody>";
    for (const config::ServiceCapacity &row : review.services)
        out << "<tr><th scope=\"row\">" << escape(row.service.value) << "</th><td class=\"number\">"
            << row.targetsBefore << " → " << row.targetsAfter << "</td><td class=\"number\">"
            << row.before.slots << " → " << row.after.slots << "</td><td class=\"number\">"
            << row.before.tokens << " → " << row.after.tokens << "</td></tr>";
    out << "</tbody></table>";
    return out.str();
}

std::string findingList(const config::Review &review)
{
    std::string out;
    for (const config::Finding &finding : review.findings) {
        const bool isRefusal = finding.severity == config::Severity::Refusal;
        out += std::string("<p role=\"alert\" class=\"notice") + (isRefusal ? " alert" : "") + "\">"
               + (isRefusal ? "Refused: " : "Warning: ") + escape(finding.message) + "</p>";
    }
    return out;
}

} // namespace

std::string escape(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        case '\'':
            out += "&#39;";
            break;
        case '\n':
            out += "&#10;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string page(const PageHead &head, const std::string &content)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\"><title>"
        << escape(head.title) << " – egretmount console</title><style>" << styleSheet
        << "</style></head><body><header><p><a href=\"/\">egretmount console</a></p></header>"
           "<main><h1>"
        << escape(head.title) << "</h1>\n";
    if (!head.notice.empty())
        out << "<p role=\"status\" class=\"notice" << (head.isAlert ? " alert" : "") << "\">"
            << escape(head.notice) << "</p>";
    out << content << "</main></body></html>\n";
    return out.str();
}

std::string overview(const config::IniText &ini, const std::string &draft)
{
    std::ostringstream out;
    out << "<form method=\"post\" action=\"/review\">" << hiddenDraft(draft);
    for (const config::SectionSpec &spec : config::fleetSpecs()) {
        if (!spec.isNamed)
            continue;
        const std::string kind(spec.kind);
        out << "<section><h2 id=\"" << kind << "\">" << headingOf(kind)
            << "</h2><table><thead><tr><th>Name</th><th>Keys</th><th>Actions</th></tr></thead>"
               "<tbody>\n";
        for (const config::IniSection &section : ini.sections) {
            if (config::kindOfSection(section) == spec.kind)
                writeRow(out, section);
        }
        out << "</tbody></table>" << rowButton("/edit", "section", kind + ".", "New " + kind)
            << "</section>\n";
    }
    out << "<h2>Review</h2><button>Review all changes</button></form>";
    return out.str();
}

std::string sectionForm(const config::SectionSpec &spec, const config::IniSection *section,
                        const std::string &draft)
{
    const config::SectionReader reader(section, spec);
    std::ostringstream out;
    out << "<form method=\"post\" action=\"/set\">" << hiddenDraft(draft)
        << hidden("kind", std::string(spec.kind)) << "<label><span>Name</span><input name=\"name\" "
        << "required pattern=\"[A-Za-z0-9_.\\-]+\" value=\""
        << escape(section ? config::nameInSection(*section) : "") << "\"></label>\n";
    for (const config::KeySpec &key : spec.keys) {
        out << "<label><span>" << key.key << "</span><small>" << escape(key.help)
            << (key.unit.empty() ? "" : " Unit: " + std::string(key.unit) + ".") << "</small>"
            << inputFor(key, reader.text(key.key)) << "</label>\n";
    }
    out << "<button>Review this change</button></form>";
    if (section)
        out << "<p>"
            << button("/remove", hidden("section", section->name), "Remove " + section->name, draft)
            << "</p>";
    return out.str();
}

std::string reviewContent(const std::string &inForce, const std::string &draft,
                          const config::Review &review)
{
    std::ostringstream out;
    const tl::expected<config::IniText, config::IniError> before = config::readIni(inForce);
    const tl::expected<config::IniText, config::IniError> after = config::readIni(draft);
    out << findingList(review) << "<h2>Changes</h2><ul>";
    if (before && after) {
        for (const config::Change &change : config::diff(*before, *after))
            out << "<li><code>" << escape(config::describe(change)) << "</code></li>";
    }
    out << "</ul>" << capacityTable(review);
    if (review.isSafe()) {
        out << "<h2>Document to publish</h2>"
            << button("/download", "", "Download the document", draft)
            << "<label><span>Text</span><textarea readonly rows=\"16\">" << escape(draft)
            << "</textarea></label>";
    }
    out << "<p>" << button("/continue", "", "Go on changing", draft) << "</p>";
    return out.str();
}

std::string problemList(const std::vector<config::Problem> &problems)
{
    std::string out = "<ul>";
    for (const config::Problem &problem : problems)
        out += "<li role=\"alert\">" + escape(config::describe(problem)) + "</li>";
    return out + "</ul>";
}

} // namespace egretmount::console

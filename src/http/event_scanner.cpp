#include <egretmount/http/event_scanner.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace egretmount::http {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

struct EventFields
{
    std::string_view id; ///< Empty if there is none.
    bool hasData = false;
    bool hasOther = false; ///< A line is neither a comment nor a field that needs no data.
};

EventFields fieldsOf(std::string_view event)
{
    EventFields fields;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        fields.hasData = fields.hasData || line == "data" || line.substr(0, 5) == "data:";
        if (line.substr(0, 3) != "id:") {
            const bool isEmptyOrComment = line.empty() || line.front() == ':';
            fields.hasOther =
                fields.hasOther || !(isEmptyOrComment || line.substr(0, 6) == "retry:");
            continue;
        }
        line.remove_prefix(3);
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        fields.id = line;
    }
    return fields;
}

bool followsId(std::string_view id, std::string_view lastId)
{
    const std::optional<std::uint64_t> number = parseNumber(id);
    const std::optional<std::uint64_t> lastNumber = parseNumber(lastId);
    return number && lastNumber && *number > *lastNumber;
}

// Returns false if the event must not follow the earlier ones.
bool recordEvent(EventScanner &scanner, std::string_view event)
{
    const EventFields fields = fieldsOf(event);
    const bool isComment = !fields.hasData && fields.id.empty();
    // The text of an error may look like an event without data.
    if (isComment && !(scanner.isResumed && fields.hasOther)) {
        ++scanner.count;
        return true;
    }
    if (scanner.isResumed && !followsId(fields.id, scanner.lastId)) {
        scanner.isOutOfOrder = true;
        return false;
    }
    ++scanner.count;
    scanner.hasEvents = true;
    scanner.hasContinued = scanner.isResumed;
    scanner.lastId = fields.id;
    return true;
}

// Returns the position after the blank line that ends the first event, or npos.
std::size_t endOfEvent(const std::string &text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n')
            return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
            return at + 3;
    }
    return std::string::npos;
}

} // namespace

bool canResume(const EventScanner &scanner)
{
    return !scanner.hasEvents || parseNumber(scanner.lastId).has_value();
}

void continueAfter(EventScanner &scanner, std::string_view lastId)
{
    if (!parseNumber(lastId))
        return;
    scanner.lastId = lastId;
    scanner.hasEvents = true;
}

void beginNextResponse(EventScanner &scanner)
{
    scanner.partial.clear();
    scanner.isResumed = scanner.hasEvents;
    scanner.hasContinued = false;
    scanner.isOutOfOrder = false;
    scanner.isTooLong = false;
}

std::string extractEvents(EventScanner &scanner, std::string_view bytes)
{
    if (scanner.isOutOfOrder || scanner.isTooLong)
        return {};
    // The earlier bytes contain no end of an event, but may end with two of its three bytes.
    const std::size_t searched =
        scanner.partial.size() - std::min<std::size_t>(scanner.partial.size(), 2);
    scanner.partial += bytes;
    std::size_t extracted = 0;
    for (std::size_t end = endOfEvent(scanner.partial, searched); end != std::string::npos;
         end = endOfEvent(scanner.partial, extracted)) {
        if (!recordEvent(scanner,
                         std::string_view(scanner.partial).substr(extracted, end - extracted)))
            break;
        extracted = end;
    }
    std::string complete = scanner.partial.substr(0, extracted);
    scanner.partial.erase(0, extracted);
    scanner.isTooLong = scanner.partial.size() > maxEventBytes;
    if (scanner.isTooLong)
        scanner.partial.clear();
    return complete;
}

} // namespace egretmount::http

#include <egretmount/http/event_scanner.h>

#include <algorithm>

namespace egretmount::http {

namespace {

void recordEvent(EventScanner &scanner, std::string_view event)
{
    ++scanner.count;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        scanner.lastId = line;
    }
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

std::string extractEvents(EventScanner &scanner, std::string_view bytes)
{
    scanner.partial += bytes;
    std::size_t extracted = 0;
    for (std::size_t end = endOfEvent(scanner.partial, 0); end != std::string::npos;
         end = endOfEvent(scanner.partial, extracted)) {
        recordEvent(scanner, std::string_view(scanner.partial).substr(extracted, end - extracted));
        extracted = end;
    }
    std::string complete = scanner.partial.substr(0, extracted);
    scanner.partial.erase(0, extracted);
    return complete;
}

} // namespace egretmount::http

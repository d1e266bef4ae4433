#include <egretmount/http/head.h>

#include <algorithm>
#include <charconv>

namespace egretmount::http {

namespace {

// Other codes are invalid, and have no class from which a caller could tell success or failure.
constexpr std::uint64_t minStatus = 100;
constexpr std::uint64_t maxStatus = 599;

bool isTokenChar(char c)
{
    static constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
           || punctuation.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

bool hasControlChar(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        const unsigned char byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

// Extracts the next line; the last line has no line end. Returns false for a bare CR or LF.
bool extractLine(std::string_view &text, std::string_view &line)
{
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) {
        line = text;
        text = {};
        return line.find('\r') == std::string_view::npos;
    }
    if (end == 0 || text[end - 1] != '\r')
        return false;
    line = text.substr(0, end - 1);
    text.remove_prefix(end + 1);
    return line.find('\r') == std::string_view::npos;
}

bool parseFields(std::string_view text, Fields &fields)
{
    std::string_view line;
    while (!text.empty()) {
        if (!extractLine(text, line))
            return false;
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
            return false;
        const std::string_view value = trim(line.substr(colon + 1));
        if (hasControlChar(value))
            return false;
        fields.push_back({ std::string(line.substr(0, colon)), std::string(value) });
    }
    return true;
}

// Returns the minor version of "HTTP/1.x", or a negative number for any other text.
int parseMinorVersion(std::string_view text)
{
    if (text.size() != 8 || text.substr(0, 7) != "HTTP/1." || text[7] < '0' || text[7] > '9')
        return -1;
    return text[7] - '0';
}

bool isVersion(std::string_view text)
{
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    return text.size() == 8 && text.substr(0, 5) == "HTTP/" && isDigit(text[5]) && text[6] == '.'
           && isDigit(text[7]);
}

std::optional<std::uint64_t> parseDecimal(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

struct FramingFields
{
    int contentLengthCount = 0;
    std::uint64_t length = 0;
    int transferEncodingCount = 0;
    bool isChunked = false;
    bool isInvalid = false;
};

FramingFields framingFields(const Fields &fields)
{
    FramingFields found;
    for (const Field &field : fields) {
        if (equalsIgnoreCase(field.name, "Content-Length")) {
            const std::optional<std::uint64_t> length = parseDecimal(field.value);
            found.isInvalid = found.isInvalid || !length;
            found.length = length.value_or(0);
            ++found.contentLengthCount;
        } else if (equalsIgnoreCase(field.name, "Transfer-Encoding")) {
            found.isChunked = equalsIgnoreCase(field.value, "chunked");
            found.isInvalid = found.isInvalid || !found.isChunked;
            ++found.transferEncodingCount;
        }
    }
    found.isInvalid = found.isInvalid || found.contentLengthCount > 1
                      || found.transferEncodingCount > 1
                      || (found.contentLengthCount > 0 && found.transferEncodingCount > 0);
    return found;
}

} // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return toLower(x) == toLower(y);
           });
}

std::optional<std::string_view> fieldValue(const Fields &fields, std::string_view name)
{
    for (const Field &field : fields) {
        if (equalsIgnoreCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool hasToken(const Fields &fields, std::string_view name, std::string_view token)
{
    for (const Field &field : fields) {
        if (!equalsIgnoreCase(field.name, name))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            if (equalsIgnoreCase(trim(rest.substr(0, comma)), token))
                return true;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

tl::expected<RequestHead, HeadProblem> parseRequestHead(std::string_view text)
{
    RequestHead head;
    std::string_view line;
    if (!extractLine(text, line) || hasControlChar(line))
        return tl::unexpected(HeadProblem::Malformed);
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return tl::unexpected(HeadProblem::Malformed);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    if (!isToken(line.substr(0, first)) || target.empty() || target.front() != '/'
        || target.find_first_of(" \t") != std::string_view::npos)
        return tl::unexpected(HeadProblem::Malformed);
    head.method = line.substr(0, first);
    head.target = target;
    head.minorVersion = parseMinorVersion(line.substr(last + 1));
    if (head.minorVersion < 0) {
        return tl::unexpected(isVersion(line.substr(last + 1)) ? HeadProblem::VersionNotSupported
                                                               : HeadProblem::Malformed);
    }
    if (!parseFields(text, head.fields))
        return tl::unexpected(HeadProblem::Malformed);
    return head;
}

tl::expected<ResponseHead, HeadProblem> parseResponseHead(std::string_view text)
{
    ResponseHead head;
    std::string_view line;
    if (!extractLine(text, line) || line.size() < 12 || hasControlChar(line))
        return tl::unexpected(HeadProblem::Malformed);
    head.minorVersion = parseMinorVersion(line.substr(0, 8));
    const std::optional<std::uint64_t> status = parseDecimal(line.substr(9, 3));
    if (head.minorVersion < 0 || line[8] != ' ' || !status || *status < minStatus
        || *status > maxStatus || (line.size() > 12 && line[12] != ' '))
        return tl::unexpected(HeadProblem::Malformed);
    head.status = static_cast<int>(*status);
    if (line.size() > 13)
        head.reason = line.substr(13);
    if (!parseFields(text, head.fields))
        return tl::unexpected(HeadProblem::Malformed);
    return head;
}

tl::expected<BodyFraming, HeadProblem> requestFraming(const RequestHead &head)
{
    const FramingFields found = framingFields(head.fields);
    if (found.isInvalid || (found.transferEncodingCount > 0 && head.minorVersion == 0))
        return tl::unexpected(HeadProblem::Malformed);
    if (found.isChunked)
        return BodyFraming { Framing::Chunked, 0 };
    if (found.contentLengthCount > 0 && found.length > 0)
        return BodyFraming { Framing::Length, found.length };
    return BodyFraming {};
}

tl::expected<BodyFraming, HeadProblem> responseFraming(const ResponseHead &head,
                                                       std::string_view method)
{
    if (method == "HEAD" || head.status < 200 || head.status == 204 || head.status == 304)
        return BodyFraming {};
    const FramingFields found = framingFields(head.fields);
    if (found.isInvalid)
        return tl::unexpected(HeadProblem::Malformed);
    if (found.isChunked)
        return BodyFraming { Framing::Chunked, 0 };
    if (found.contentLengthCount > 0)
        return BodyFraming { found.length > 0 ? Framing::Length : Framing::None, found.length };
    return BodyFraming { Framing::UntilClose, 0 };
}

bool keepsConnection(const Fields &fields, int minorVersion)
{
    if (hasToken(fields, "Connection", "close"))
        return false;
    return minorVersion >= 1 || hasToken(fields, "Connection", "keep-alive");
}

Fields endToEndFields(const Fields &fields)
{
    static constexpr std::string_view hopByHop[] = { "Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade",
                                                     "Expect",
                                                     "Content-Length" };
    Fields forwarded;
    forwarded.reserve(fields.size() + 4);
    for (const Field &field : fields) {
        const bool isHopByHop =
            std::any_of(std::begin(hopByHop), std::end(hopByHop),
                        [&](std::string_view name) { return equalsIgnoreCase(field.name, name); });
        if (!isHopByHop && !hasToken(fields, "Connection", field.name))
            forwarded.push_back(field);
    }
    return forwarded;
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return {};
    }
}

} // namespace egretmount::http

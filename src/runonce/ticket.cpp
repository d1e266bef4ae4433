#include <egretmount/runonce/ticket.h>

#include <charconv>
#include <optional>
#include <vector>

#include <egretmount/core/digest.h>

namespace egretmount::runonce {

namespace {

constexpr char separator = ';';
constexpr std::string_view format = "v1";
constexpr std::string_view macDomain = "egretmount ticket\n";
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::size_t fieldCount = 11;

// Positions of the fields in an encoded ticket.
enum Field : std::size_t {
    FormatField,
    IssuerField,
    IssuerIncarnationField,
    SequenceField,
    TeamField,
    ServiceField,
    WitnessField,
    WitnessIncarnationField,
    ExpiryField,
    LifetimeField,
    MacField,
};

// Returns true for characters that are not percent-encoded. The separator is not among them.
bool isUnreserved(unsigned char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-'
           || c == '_' || c == '.';
}

std::string escape(const std::string &name)
{
    std::string text;
    for (const char c : name) {
        const unsigned char byte = static_cast<unsigned char>(c);
        if (isUnreserved(byte)) {
            text += c;
            continue;
        }
        text += '%';
        text += hexDigits[byte >> 4U];
        text += hexDigits[byte & 15U];
    }
    return text;
}

std::optional<std::string> unescape(std::string_view text)
{
    std::string name;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            name += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        const std::size_t high = hexDigits.find(text[i + 1]);
        const std::size_t low = hexDigits.find(text[i + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        name += static_cast<char>(high * hexDigits.size() + low);
        i += 2;
    }
    return name;
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> fields;
    std::size_t start = 0;
    for (std::size_t i = 0; i <= text.size(); ++i) {
        if (i < text.size() && text[i] != separator)
            continue;
        fields.push_back(text.substr(start, i - start));
        start = i + 1;
    }
    return fields;
}

template<typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end;
}

bool parseDuration(std::string_view text, Milliseconds &duration)
{
    std::int64_t count = 0;
    const bool isValid = parseNumber(text, count);
    duration = Milliseconds(count);
    return isValid;
}

template<typename Name>
bool parseName(std::string_view text, Name &name)
{
    const std::optional<std::string> value = unescape(text);
    name = Name(value.value_or(""));
    return value.has_value();
}

std::string computeMac(std::string_view fields, std::string_view fleetKey)
{
    return toHex(hmacSha256(fleetKey, std::string(macDomain) + std::string(fields)));
}

bool parseFields(const std::vector<std::string_view> &fields, Ticket &ticket)
{
    return parseName(fields[IssuerField], ticket.issuer.instance)
           && parseNumber(fields[IssuerIncarnationField], ticket.issuer.incarnation)
           && parseNumber(fields[SequenceField], ticket.sequence)
           && parseName(fields[TeamField], ticket.team)
           && parseName(fields[ServiceField], ticket.service)
           && parseName(fields[WitnessField], ticket.witness.instance)
           && parseNumber(fields[WitnessIncarnationField], ticket.witness.incarnation)
           && parseDuration(fields[ExpiryField], ticket.expiry)
           && parseDuration(fields[LifetimeField], ticket.lifetime);
}

} // namespace

TicketKey keyOf(const Ticket &ticket)
{
    return { ticket.issuer, ticket.sequence };
}

std::string encodeTicket(const Ticket &ticket, std::string_view fleetKey)
{
    std::string text(format);
    const auto add = [&text](const std::string &field) { text += separator + field; };
    add(escape(ticket.issuer.instance.value));
    add(std::to_string(ticket.issuer.incarnation));
    add(std::to_string(ticket.sequence));
    add(escape(ticket.team.value));
    add(escape(ticket.service.value));
    add(escape(ticket.witness.instance.value));
    add(std::to_string(ticket.witness.incarnation));
    add(std::to_string(ticket.expiry.count()));
    add(std::to_string(ticket.lifetime.count()));
    add(computeMac(text, fleetKey));
    return text;
}

Result<Ticket> decodeTicket(std::string_view text, std::string_view fleetKey)
{
    const tl::unexpected<Error> invalid =
        fail(ErrorId::TicketInvalid, Verdict::NotRun, "the ticket is not one of this fleet");
    if (text.size() > maxTicketBytes)
        return invalid;
    const std::vector<std::string_view> fields = split(text);
    if (fields.size() != fieldCount || fields[FormatField] != format)
        return invalid;
    const std::string_view signedText = text.substr(0, text.size() - fields[MacField].size() - 1);
    if (!isEqualConstantTime(fields[MacField], computeMac(signedText, fleetKey)))
        return invalid;
    Ticket ticket;
    if (!parseFields(fields, ticket))
        return invalid;
    return ticket;
}

} // namespace egretmount::runonce

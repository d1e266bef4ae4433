#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <egretmount/core/names.h>

namespace egretmount::http {

/// @brief One header field as received; field names are case-insensitive.
struct Field
{
    std::string name;
    std::string value; ///< Without leading and trailing white space.
};

using Fields = std::vector<Field>;

/// @brief The head of a request.
struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query, byte for byte.
    int minorVersion = 1;
    Fields fields;
};

/// @brief The head of a response.
struct ResponseHead
{
    int status = 0;
    std::string reason;
    int minorVersion = 1;
    Fields fields;
};

/// @brief Why a message is rejected; the value is the status code of the response.
enum class HeadProblem {
    Malformed = 400,
    VersionNotSupported = 505,
};

/// @brief How the length of a body is determined.
enum class Framing {
    None,
    Length,
    Chunked,
    UntilClose, ///< Responses only: the body ends when the connection closes.
};

/// @brief The framing of one message's body.
struct BodyFraming
{
    Framing framing = Framing::None;
    std::uint64_t length = 0; ///< Body length in bytes, with `Framing::Length`.
};

/// @brief Compares ASCII text without regard to case, as for header field names.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// @brief Returns the value of the first field of that name, or nothing if there is none.
std::optional<std::string_view> fieldValue(const Fields &fields, std::string_view name);

/// @brief Returns true if a comma-separated field of that name lists the token, ignoring case.
bool hasToken(const Fields &fields, std::string_view name, std::string_view token);

/// @brief Parses a message head, without the blank line that ends it.
///
/// Rejects folded lines, spaces before a colon, control characters, and line ends other than CRLF.
/// @complexity Linear in its length.
tl::expected<RequestHead, HeadProblem> parseRequestHead(std::string_view text);
tl::expected<ResponseHead, HeadProblem> parseResponseHead(std::string_view text);

/// @brief Determines the framing of a request's body.
///
/// Rejects framing that two parsers could interpret differently, which would allow request
/// smuggling: `Content-Length` together with `Transfer-Encoding`, more than one of either field, or
/// a transfer coding other than `chunked`.
tl::expected<BodyFraming, HeadProblem> requestFraming(const RequestHead &head);

/// @brief Determines the framing of a response's body. @param method The request's method.
tl::expected<BodyFraming, HeadProblem> responseFraming(const ResponseHead &head,
                                                       std::string_view method);

/// @brief Returns true if the sender keeps the connection open after this message.
bool keepsConnection(const Fields &fields, int minorVersion);

/// @brief Copies the end-to-end fields.
///
/// Omits the standard hop-by-hop fields, the fields that `Connection` lists, `Expect`, and the
/// fields that describe the framing.
Fields endToEndFields(const Fields &fields);

/// @brief Appends `name: value` and CRLF.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// @brief Returns the standard reason phrase of a status code; empty for unknown codes.
std::string_view reasonPhrase(int status);

} // namespace egretmount::http

template<>
struct egretmount::NameTable<egretmount::http::Framing>
{
    using Framing = egretmount::http::Framing;
    static constexpr std::array<NameEntry<Framing>, 4> entries { {
        { Framing::None, "none" },
        { Framing::Length, "length" },
        { Framing::Chunked, "chunked" },
        { Framing::UntilClose, "until-close" },
    } };
};

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace egretmount::http {

/// @brief One header field as received; names compare without regard to case.
struct Field
{
    std::string name;
    std::string value; ///< Without surrounding white space.
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

/// @brief Why a message is refused; the value is the status to answer with.
enum class HeadProblem {
    Malformed = 400,
    VersionNotSupported = 505,
};

/// @brief How the length of a body is told.
enum class Framing {
    None,
    Length,
    Chunked,
    UntilClose, ///< Responses only: the body ends with the connection.
};

/// @brief The framing of one message's body.
struct BodyFraming
{
    Framing framing = Framing::None;
    std::uint64_t length = 0; ///< With `Framing::Length`.
};

/// @brief True if two header field names are the same.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// @brief The value of the first field of that name. @return Nothing if there is none.
std::optional<std::string_view> fieldValue(const Fields &fields, std::string_view name);

/// @brief True if a comma-separated field of that name has the token; case does not matter.
bool hasToken(const Fields &fields, std::string_view name, std::string_view token);

/// @brief Parses a head without its closing blank line.
///
/// Strict: no folded lines, no space before a colon, no control characters, CRLF line ends only.
/// @complexity Linear in its length.
tl::expected<RequestHead, HeadProblem> parseRequestHead(std::string_view text);
tl::expected<ResponseHead, HeadProblem> parseResponseHead(std::string_view text);

/// @brief The framing of a request's body.
///
/// Refuses what two readers could understand differently: a length beside chunks, more than one
/// length, a transfer coding other than `chunked`.
tl::expected<BodyFraming, HeadProblem> requestFraming(const RequestHead &head);

/// @brief The framing of a response's body. @param method The request's method.
tl::expected<BodyFraming, HeadProblem> responseFraming(const ResponseHead &head,
                                                       std::string_view method);

/// @brief True if the sender keeps the connection after this message.
bool keepsConnection(const Fields &fields, int minorVersion);

/// @brief Copies the fields that concern the message; leaves out those of one connection: the
///        standard hop-by-hop fields, those that `Connection` names, and the framing.
Fields endToEndFields(const Fields &fields);

/// @brief Appends `name: value` and a line end.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// @brief The usual reason phrase of a status; empty for unknown ones.
std::string_view reasonPhrase(int status);

} // namespace egretmount::http

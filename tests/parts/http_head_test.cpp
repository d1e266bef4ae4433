#include <doctest/doctest.h>

#include <egretmount/http/head.h>

using namespace egretmount;
using http::Framing;
using http::HeadProblem;

namespace {

http::RequestHead requestWith(const std::string &fields)
{
    const tl::expected<http::RequestHead, HeadProblem> head =
        http::parseRequestHead("POST /a/b?c HTTP/1.1\r\nHost: x.example" + fields);
    REQUIRE(head.has_value());
    return *head;
}

http::ResponseHead responseWith(const std::string &text)
{
    const tl::expected<http::ResponseHead, HeadProblem> head = http::parseResponseHead(text);
    REQUIRE(head.has_value());
    return *head;
}

} // namespace

TEST_CASE("parsing a request head preserves method, target and field values")
{
    const http::RequestHead head = requestWith("\r\nX-Odd:  two words \r\nx-odd: again");
    CHECK(head.method == "POST");
    CHECK(head.target == "/a/b?c");
    CHECK(head.minorVersion == 1);
    REQUIRE(head.fields.size() == 3);
    CHECK(head.fields[1].value == "two words");
    CHECK(http::fieldValue(head.fields, "X-ODD") == std::string_view("two words"));
    CHECK_FALSE(http::fieldValue(head.fields, "Missing").has_value());
}

TEST_CASE("a head that two parsers could interpret differently is rejected")
{
    for (const char *text : {
             "GET / HTTP/1.1\r\nHost : x", // space before the colon
             "GET / HTTP/1.1\r\nHost: x\r\n folded", // continuation line
             "GET / HTTP/1.1\r\nno colon",
             "GET / HTTP/1.1\nHost: x", // bare line feed
             "GET / HTTP/1.1\r\nHost: a\rb",
             "GET  / HTTP/1.1", // two spaces
             "GET /a b HTTP/1.1",
             "GET x HTTP/1.1", // no path
             "GET / HTTP/1.1x",
             "GE(T / HTTP/1.1",
         }) {
        CAPTURE(text);
        const tl::expected<http::RequestHead, HeadProblem> head = http::parseRequestHead(text);
        REQUIRE_FALSE(head.has_value());
        CHECK(head.error() == HeadProblem::Malformed);
    }
    const tl::expected<http::RequestHead, HeadProblem> later =
        http::parseRequestHead("GET / HTTP/2.0");
    REQUIRE_FALSE(later.has_value());
    CHECK(later.error() == HeadProblem::VersionNotSupported);
}

// Guards against a request that a target reads as one for another path: some parsers take a tab for
// the end of the path. Found by the fuzz target `head`.
TEST_CASE("a request target with a tab is rejected")
{
    for (const char *text :
         { "GET /\t HTTP/1.1", "GET /a\tb HTTP/1.1", "GET /a\tHTTP/1.0 HTTP/1.1" }) {
        CAPTURE(text);
        CHECK_FALSE(http::parseRequestHead(text).has_value());
    }
}

// Guards against control characters that reach a caller in the status line of a target. Found by
// the fuzz target `head`.
TEST_CASE("a response whose reason has control characters is rejected")
{
    using namespace std::string_view_literals;
    for (const std::string_view text :
         { "HTTP/1.1 200 O\0K"sv, "HTTP/1.1 200 \x1b[2J"sv, "HTTP/1.1 200 \x7f"sv }) {
        CAPTURE(text);
        CHECK_FALSE(http::parseResponseHead(text).has_value());
    }
    CHECK(http::parseResponseHead("HTTP/1.1 200 Fine\tand well").has_value());
}

TEST_CASE("the framing of a request is a length, chunks or none")
{
    CHECK(http::requestFraming(requestWith(""))->framing == Framing::None);
    CHECK(http::requestFraming(requestWith("\r\nContent-Length: 0"))->framing == Framing::None);
    const tl::expected<http::BodyFraming, HeadProblem> length =
        http::requestFraming(requestWith("\r\nContent-Length: 12"));
    CHECK(length->framing == Framing::Length);
    CHECK(length->length == 12);
    CHECK(http::requestFraming(requestWith("\r\nTransfer-Encoding: Chunked"))->framing
          == Framing::Chunked);
}

TEST_CASE("ambiguous framing of a request is rejected")
{
    for (const char *fields : {
             "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked",
             "\r\nContent-Length: 3\r\nContent-Length: 3",
             "\r\nContent-Length: +3",
             "\r\nContent-Length: 3, 3",
             "\r\nContent-Length: 0x3",
             "\r\nTransfer-Encoding: gzip, chunked",
             "\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
         }) {
        CAPTURE(fields);
        CHECK_FALSE(http::requestFraming(requestWith(fields)).has_value());
    }
}

TEST_CASE("the framing of a response depends on status and method")
{
    CHECK(http::responseFraming(responseWith("HTTP/1.1 200 OK"), "GET")->framing
          == Framing::UntilClose);
    CHECK(http::responseFraming(responseWith("HTTP/1.1 204 No Content"), "GET")->framing
          == Framing::None);
    CHECK(
        http::responseFraming(responseWith("HTTP/1.1 200 OK\r\nContent-Length: 5"), "HEAD")->framing
        == Framing::None);
    CHECK(http::responseFraming(responseWith("HTTP/1.1 200\r\nContent-Length: 5"), "GET")->length
          == 5);
    CHECK_FALSE(http::parseResponseHead("HTTP/1.1 2x0 OK").has_value());
    for (const char *status : { "000", "099", "600", "999" })
        CHECK_FALSE(http::parseResponseHead(std::string("HTTP/1.1 ") + status + " X").has_value());
    CHECK_FALSE(http::parseResponseHead("garbage bytes here").has_value());
}

TEST_CASE("hop-by-hop fields are not forwarded")
{
    const http::RequestHead head =
        requestWith("\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: timeout=5"
                    "\r\nTransfer-Encoding: chunked\r\nX-Theirs: 2");
    const http::Fields forwarded = http::endToEndFields(head.fields);
    REQUIRE(forwarded.size() == 2);
    CHECK(forwarded[0].name == "Host");
    CHECK(forwarded[1].name == "X-Theirs");
}

TEST_CASE("a connection persists by default in HTTP/1.1, on request in HTTP/1.0, never after close")
{
    CHECK(http::keepsConnection({}, 1));
    CHECK_FALSE(http::keepsConnection({}, 0));
    CHECK(http::keepsConnection({ { "Connection", "Keep-Alive" } }, 0));
    CHECK_FALSE(http::keepsConnection({ { "connection", "upgrade, Close" } }, 1));
}

#include <algorithm>
#include <ctime>

#include <doctest/doctest.h>

#include <egretmount/http/body.h>
#include <egretmount/http/event_scanner.h>

using namespace egretmount;
using http::BodyReader;
using http::BodyState;
using http::Framing;

namespace {

// Feeds a text byte by byte, as from a slow peer. Returns the body; `rest` receives the bytes after
// it.
std::string readByteByByte(BodyReader &reader, const std::string &text, std::string &rest)
{
    std::string input;
    std::string output;
    for (const char c : text) {
        input.push_back(c);
        http::readBody(reader, input, output);
    }
    rest = input;
    return output;
}

// Returns the CPU time for events of this size that arrive byte by byte, least of three attempts.
double cpuSecondsOfEvents(std::size_t eventBytes, std::size_t totalBytes)
{
    std::string event = "data: ";
    event.append(eventBytes - event.size() - 2, 'x').append("\n\n");
    double least = 1e9;
    for (int attempt = 0; attempt < 3; ++attempt) {
        http::EventScanner scanner;
        std::size_t extracted = 0;
        const std::clock_t start = std::clock();
        for (std::size_t i = 0; i < totalBytes; ++i)
            extracted += http::extractEvents(scanner, event.substr(i % eventBytes, 1)).size();
        least = std::min(least, static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC);
        REQUIRE(extracted == totalBytes);
    }
    return least;
}

} // namespace

TEST_CASE("reading a body with a length leaves the bytes after it in the input")
{
    BodyReader reader = http::makeBodyReader({ Framing::Length, 5 });
    std::string input = "helloGET / HTTP/1.1";
    std::string output;
    CHECK(http::readBody(reader, input, output) == BodyState::Complete);
    CHECK(output == "hello");
    CHECK(input == "GET / HTTP/1.1");
}

TEST_CASE("a chunked body that arrives byte by byte is read completely")
{
    BodyReader reader = http::makeBodyReader({ Framing::Chunked, 0 });
    std::string rest;
    CHECK(readByteByByte(reader, "4;x=y\r\nwiki\r\n5\r\npedia\r\n0\r\nTrailer: 1\r\n\r\nnext", rest)
          == "wikipedia");
    CHECK(reader.state == BodyState::Complete);
    CHECK(rest == "next");
}

TEST_CASE("malformed chunks are detected")
{
    for (const char *text :
         { "zz\r\n", "-1\r\n", "4\r\nwikiXX", "\r\n", "fffffffffffffffff\r\n" }) {
        CAPTURE(text);
        BodyReader reader = http::makeBodyReader({ Framing::Chunked, 0 });
        std::string rest;
        readByteByByte(reader, text, rest);
        CHECK(reader.state == BodyState::Malformed);
    }
}

// Guards against a body that is complete or malformed depending on how the network splits it. Found
// by the fuzz target `body`.
TEST_CASE("the greatest length of a chunk's first line does not depend on how it arrives")
{
    for (const std::size_t bytes : { 1'023, 1'024, 1'025, 1'026, 3'000 }) {
        CAPTURE(bytes);
        const std::string text = "1;" + std::string(bytes - 2, 'x') + "\r\na\r\n0\r\n\r\n";
        const BodyState expected = bytes <= 1'024 ? BodyState::Complete : BodyState::Malformed;
        BodyReader whole = http::makeBodyReader({ Framing::Chunked, 0 });
        std::string input = text;
        std::string output;
        CHECK(http::readBody(whole, input, output) == expected);
        BodyReader byByte = http::makeBodyReader({ Framing::Chunked, 0 });
        std::string rest;
        CHECK(readByteByByte(byByte, text, rest) == output);
        CHECK(byByte.state == expected);
    }
}

TEST_CASE("closing the connection completes only a body that has neither a length nor chunks")
{
    BodyReader untilClose = http::makeBodyReader({ Framing::UntilClose, 0 });
    std::string input = "abc";
    std::string output;
    CHECK(http::readBody(untilClose, input, output) == BodyState::Reading);
    CHECK(http::onEndOfInput(untilClose));

    BodyReader truncated = http::makeBodyReader({ Framing::Length, 5 });
    input = "abc";
    http::readBody(truncated, input, output);
    CHECK_FALSE(http::onEndOfInput(truncated));

    BodyReader chunked = http::makeBodyReader({ Framing::Chunked, 0 });
    input = "3\r\nabc\r\n";
    http::readBody(chunked, input, output);
    CHECK_FALSE(http::onEndOfInput(chunked));
}

TEST_CASE("chunks written by appendChunk are read back unchanged")
{
    std::string text;
    http::appendChunk(text, std::string(300, 'a'));
    http::appendChunk(text, "b");
    text += http::lastChunk;
    BodyReader reader = http::makeBodyReader({ Framing::Chunked, 0 });
    std::string output;
    CHECK(http::readBody(reader, text, output) == BodyState::Complete);
    CHECK(output == std::string(300, 'a') + "b");
    CHECK(text.empty());
}

TEST_CASE("only complete events are extracted from a stream")
{
    http::EventScanner scanner;
    CHECK(http::extractEvents(scanner, "id: 1\ndata: a\n").empty());
    CHECK(http::extractEvents(scanner, "\nid: 2\r\ndata: b\r\n\r\nid: 3\nda")
          == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(scanner.count == 2);
    CHECK(scanner.lastId == "2");
    CHECK(scanner.partial == "id: 3\nda");
}

TEST_CASE("an event without an id leaves the last id unchanged")
{
    http::EventScanner scanner;
    http::extractEvents(scanner, "id:7\ndata: x\n\n: comment\n\n");
    CHECK(scanner.lastId == "7");
    CHECK(scanner.count == 2);
}

// Guards against a stream whose parts come from two runs, or that goes back: an event of the second
// target must follow the last one of the first.
TEST_CASE("events of a resuming response are returned only while their ids increase")
{
    http::EventScanner scanner;
    http::extractEvents(scanner, "id: 9\ndata: a\n\nid: 1");
    http::beginNextResponse(scanner);
    CHECK(http::extractEvents(scanner, ": comment\n\n") == ": comment\n\n");
    CHECK_FALSE(scanner.hasContinued);
    CHECK(http::extractEvents(scanner, "id: 10\ndata: b\n\n") == "id: 10\ndata: b\n\n");
    CHECK(scanner.hasContinued);
    CHECK_FALSE(scanner.isOutOfOrder);
    CHECK(http::extractEvents(scanner, "id: 11\ndata: c\n\nid: 11\ndata: d\n\nid: 12\ndata\n\n")
          == "id: 11\ndata: c\n\n");
    CHECK(scanner.isOutOfOrder);
    CHECK(scanner.lastId == "11");
    CHECK(http::extractEvents(scanner, "id: 13\ndata: e\n\n").empty());

    for (const char *first : { "id: 9\ndata: x\n\n", "id: 1\ndata: x\n\n", "data: x\n\n",
                               "error: x\n\n", "x\n\n", ": x\nx\r\n\r\n" }) {
        CAPTURE(first);
        http::EventScanner resumed;
        http::extractEvents(resumed, "id: 9\ndata: a\n\n");
        http::beginNextResponse(resumed);
        CHECK(http::extractEvents(resumed, first).empty());
        CHECK(resumed.isOutOfOrder);
    }
}

// Guards against a stream that starts anew within one response.
TEST_CASE("a stream can be resumed only after an event with an id, or before the first")
{
    http::EventScanner scanner;
    CHECK(http::canResume(scanner));
    http::extractEvents(scanner, ": comment\n\n");
    CHECK(http::canResume(scanner));
    http::extractEvents(scanner, "data: a\n\n");
    CHECK_FALSE(http::canResume(scanner));
    http::extractEvents(scanner, "id: 4\ndata: b\n\n");
    CHECK(http::canResume(scanner));
    http::extractEvents(scanner, "data: c\n\n");
    CHECK_FALSE(http::canResume(scanner));
    for (const char *id : { "a1", "-4", "4.5", "99999999999999999999" }) {
        CAPTURE(id);
        http::extractEvents(scanner, "id: " + std::string(id) + "\ndata: d\n\n");
        CHECK_FALSE(http::canResume(scanner));
    }
}

// Guards against an instance that is busy with one large event: the work for a byte must not grow
// with the bytes that have arrived before it.
TEST_CASE("extracting an event in small pieces takes as long as many small events of that size")
{
    constexpr std::size_t totalBytes = 128UL * 1024;
    const double small = cpuSecondsOfEvents(4UL * 1024, totalBytes);
    const double large = cpuSecondsOfEvents(totalBytes, totalBytes);
    CAPTURE(small);
    CAPTURE(large);
    CHECK(large < 4 * small);
}

#include <egretmount/http/body.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace egretmount::http {

namespace {

// Chunk extensions are not used, so a longer line is malformed.
constexpr std::size_t maxChunkLineBytes = 1024;
// Trailer fields are not used.
constexpr std::size_t maxTrailerBytes = 16UL * 1024;
// Prevents overflow in sums of sizes.
constexpr std::uint64_t maxChunkBytes = std::uint64_t(1) << 40;

BodyState markMalformed(BodyReader &reader)
{
    return reader.state = BodyState::Malformed;
}

// Extracts the next line of the chunked coding. Returns false if the line is incomplete; marks the
// body as malformed if the line is too long, also if the input contains all of it.
bool extractLine(BodyReader &reader, std::string &input, std::size_t &position, std::string &line)
{
    const std::size_t end = input.find("\r\n", position);
    const bool isIncomplete = end == std::string::npos;
    std::size_t bytes = std::min(end, input.size()) - position;
    if (isIncomplete && bytes > 0 && input.back() == '\r')
        --bytes; // may be the start of the line end
    if (bytes > maxChunkLineBytes)
        markMalformed(reader);
    if (isIncomplete || reader.state == BodyState::Malformed)
        return false;
    line = input.substr(position, end - position);
    position = end + 2;
    return true;
}

// Parses a chunk's first line. Chunk extensions after a semicolon are ignored.
bool parseChunkSize(BodyReader &reader, const std::string &line)
{
    const std::size_t digits = std::min(line.find(';'), line.size());
    const std::from_chars_result result =
        std::from_chars(line.data(), line.data() + digits, reader.remainingBytes, 16);
    if (digits == 0 || result.ec != std::errc() || result.ptr != line.data() + digits
        || reader.remainingBytes > maxChunkBytes) {
        markMalformed(reader);
        return false;
    }
    reader.expectsChunkSize = false;
    reader.isInTrailer = reader.remainingBytes == 0;
    return true;
}

BodyState readChunked(BodyReader &reader, std::string &input, std::string &output)
{
    std::size_t position = 0;
    std::string line;
    while (reader.state == BodyState::Reading) {
        if (reader.isInTrailer) {
            if (!extractLine(reader, input, position, line))
                break;
            reader.trailerBytes += line.size();
            if (line.empty())
                reader.state = BodyState::Complete;
            else if (reader.trailerBytes > maxTrailerBytes)
                markMalformed(reader);
        } else if (reader.expectsChunkEnd) {
            if (input.size() - position < 2)
                break;
            if (input.compare(position, 2, "\r\n") != 0)
                markMalformed(reader);
            position += 2;
            reader.expectsChunkEnd = false;
            reader.expectsChunkSize = true;
        } else if (reader.expectsChunkSize) {
            if (!extractLine(reader, input, position, line) || !parseChunkSize(reader, line))
                break;
        } else {
            const std::size_t count =
                std::min<std::uint64_t>(reader.remainingBytes, input.size() - position);
            if (count == 0)
                break;
            output.append(input, position, count);
            position += count;
            reader.remainingBytes -= count;
            reader.expectsChunkEnd = reader.remainingBytes == 0;
        }
    }
    input.erase(0, std::min(position, input.size()));
    return reader.state;
}

} // namespace

BodyReader makeBodyReader(const BodyFraming &framing)
{
    BodyReader reader;
    reader.framing = framing;
    reader.remainingBytes = framing.length;
    if (framing.framing == Framing::None)
        reader.state = BodyState::Complete;
    return reader;
}

BodyState readBody(BodyReader &reader, std::string &input, std::string &output)
{
    if (reader.state != BodyState::Reading)
        return reader.state;
    switch (reader.framing.framing) {
    case Framing::None:
        reader.state = BodyState::Complete;
        break;
    case Framing::Length: {
        const std::size_t count = std::min<std::uint64_t>(reader.remainingBytes, input.size());
        output.append(input, 0, count);
        input.erase(0, count);
        reader.remainingBytes -= count;
        if (reader.remainingBytes == 0)
            reader.state = BodyState::Complete;
        break;
    }
    case Framing::Chunked:
        return readChunked(reader, input, output);
    case Framing::UntilClose:
        output += input;
        input.clear();
        break;
    }
    return reader.state;
}

bool onEndOfInput(BodyReader &reader)
{
    if (reader.state == BodyState::Reading && reader.framing.framing == Framing::UntilClose)
        reader.state = BodyState::Complete;
    return reader.state == BodyState::Complete;
}

void appendChunk(std::string &out, std::string_view piece)
{
    std::array<char, 16> digits {};
    const std::to_chars_result result =
        std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), 16);
    out.append(digits.data(), result.ptr).append("\r\n").append(piece).append("\r\n");
}

} // namespace egretmount::http

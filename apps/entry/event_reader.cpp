#include "event_reader.h"

#include <string>

#include <Poco/NumberParser.h>

namespace egretmount::entry {

namespace {

constexpr std::string_view idField = "id: ";
constexpr std::string_view errorEvent = "event: error";
constexpr std::string_view finishMark = "\"finish_reason\":\"";
constexpr std::size_t maxEventBytes = 1U << 20U;

bool startsWith(const std::string &text, std::string_view start)
{
    return text.compare(0, start.size(), start) == 0;
}

} // namespace

std::optional<stream::Chunk> EventReader::next()
{
    stream::Chunk chunk;
    bool hasOffset = false;
    std::string line;
    while (readLine(line)) {
        m_hasError = m_hasError || startsWith(line, errorEvent);
        if (m_hasError || chunk.payload.size() + line.size() > maxEventBytes)
            return std::nullopt;
        if (line.empty()) {
            if (hasOffset)
                return chunk;
            chunk = stream::Chunk();
            continue;
        }
        if (startsWith(line, idField)) {
            Poco::Int64 offset = 0;
            hasOffset = Poco::NumberParser::tryParse64(line.substr(idField.size()), offset);
            chunk.offset = offset;
            continue;
        }
        chunk.isLast = chunk.isLast || line.find(finishMark) != std::string::npos;
        chunk.payload += line + '\n';
    }
    return std::nullopt;
}

// A line over the bound ends the stream before it fills the memory.
bool EventReader::readLine(std::string &line)
{
    line.clear();
    for (int c = m_stream.get(); c != std::istream::traits_type::eof(); c = m_stream.get()) {
        if (c == '\n')
            return true;
        line += static_cast<char>(c);
        if (line.size() > maxEventBytes)
            return false;
    }
    return false;
}

} // namespace egretmount::entry

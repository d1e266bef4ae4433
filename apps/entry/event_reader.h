#pragma once

#include <istream>
#include <optional>

#include <egretmount/stream/reassembly.h>

namespace egretmount::entry {

/// @brief Reads an engine's server-sent events as chunks.
class EventReader
{
public:
    explicit EventReader(std::istream &stream)
        : m_stream(stream)
    { }

    /// @brief The next chunk. @return Nothing when the stream ends, fails or reports an error.
    std::optional<stream::Chunk> next();

    /// @brief True if the target itself has reported an error.
    bool hasError() const { return m_hasError; }

private:
    bool readLine(std::string &line);

    std::istream &m_stream;
    bool m_hasError = false;
};

} // namespace egretmount::entry

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

private:
    std::istream &m_stream;
};

} // namespace egretmount::entry

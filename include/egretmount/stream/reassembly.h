#pragma once

#include <map>
#include <string>
#include <vector>

#include <egretmount/core/ids.h>

namespace egretmount::stream {

/// @brief One event of a response: the token at index `offset`, or the end after the last token.
struct Chunk
{
    TokenCount offset = 0;
    std::string payload;
    bool isLast = false;
};

/// @brief Reorders the chunks of one response and drops duplicates.
struct Reassembly
{
    TokenCount nextOffset = 0; ///< Offset of the next chunk to deliver.
    bool isComplete = false; ///< The last chunk and all before it were delivered.
    bool hasOverflowed = false; ///< The buffer was full: the stream is broken.
    std::map<TokenCount, Chunk> buffered; ///< Chunks received out of order, by offset.
};

/// @brief Maximum number of buffered chunks. A stream that needs more is broken.
constexpr std::size_t maxBufferedChunks = 1024;

/// @brief Accepts a chunk.
/// @return The chunks that can now be delivered, in order; empty for a duplicate.
/// @complexity Logarithmic in the number of buffered chunks for each chunk returned.
std::vector<Chunk> accept(Reassembly &state, Chunk chunk);

/// @brief Prepares for the chunks of a new connection, which resumes at `nextOffset`.
///
/// Buffered chunks are dropped, as another target may generate different tokens.
void resume(Reassembly &state);

} // namespace egretmount::stream

#pragma once

#include <map>
#include <string>
#include <vector>

#include <egretmount/core/ids.h>

namespace egretmount::stream {

/// @brief One event of an answer: the token with the number `offset`, or the end behind the last.
struct Chunk
{
    TokenCount offset = 0;
    std::string payload;
    bool isLast = false;
};

/// @brief Puts the chunks of one answer in order and drops repeats.
struct Reassembly
{
    TokenCount nextOffset = 0; ///< The next chunk that the caller lacks.
    bool isComplete = false; ///< The last chunk and all before it were handed out.
    bool hasOverflowed = false; ///< A chunk came too far before its turn: the stream is broken.
    std::map<TokenCount, Chunk> buffered; ///< Chunks that came before their turn, by offset.
};

/// @brief Chunks held out of order at most; a stream that needs more is broken.
constexpr std::size_t maxBufferedChunks = 1024;

/// @brief Takes in a chunk. @return The chunks that are now in turn, in order; empty for a repeat.
/// @complexity Logarithmic in the number of waiting chunks.
std::vector<Chunk> accept(Reassembly &state, Chunk chunk);

/// @brief Prepares for the chunks of another connection, which resumes at `nextOffset`.
///
/// Chunks that wait are dropped, as another target may generate others in their place.
void resume(Reassembly &state);

} // namespace egretmount::stream

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egretmount/core/digest.h>

namespace egretmount::config {

/// @brief A contiguous run of sections of a document's text, the unit of delta encoding.
struct Chunk
{
    std::uint64_t hash = 0; ///< `digestHash` of `text`.
    std::string_view text; ///< Points into the document's text.
};

/// @brief Splits a document's text into chunks at section boundaries.
///
/// Whether a chunk starts at a section depends only on the section's header line, so a change in
/// one section leaves all other chunks unchanged. A chunk holds `sectionsPerChunk` sections on
/// average.
/// @complexity Linear in the length of the text.
std::vector<Chunk> splitIntoChunks(std::string_view text);

/// @brief Average number of sections in a chunk.
constexpr std::uint64_t sectionsPerChunk = 32;

/// @brief Delta from which another instance rebuilds a document.
struct DocumentDelta
{
    std::vector<std::uint64_t> chunkHashes; ///< Hashes of all chunks, in document order.
    std::vector<std::string> missingChunks; ///< Texts of the chunks that the receiver lacks.
};

/// @brief Computes the delta that a receiver needs to rebuild a document.
/// @param text Text of the document.
/// @param receiverHashes Hashes of the chunks that the receiver has.
/// @complexity N log N in the number of chunks.
DocumentDelta makeDelta(std::string_view text, std::vector<std::uint64_t> receiverHashes);

/// @brief Rebuilds a document from the receiver's own text and a delta.
/// @param digest Expected SHA-256 of the rebuilt text.
/// @return The rebuilt text, or nothing if a chunk is missing or the digest differs; the receiver
///         must then request the full document.
/// @complexity N log N in the number of chunks, and linear in the length of the text.
std::optional<std::string> applyDelta(std::string_view ownText, const DocumentDelta &delta,
                                      const Digest &digest);

} // namespace egretmount::config

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egretmount/core/digest.h>

namespace egretmount::config {

/// @brief A run of neighbouring sections of a document's text.
struct Chunk
{
    std::uint64_t hash = 0; ///< `stableHash` of its text.
    std::string_view text; ///< Points into the document's text.
};

/// @brief Cuts a document's text into chunks at section boundaries.
///
/// A section's header line alone decides whether a chunk begins there, so a change in one section
/// leaves the chunks of all others as they are. On average a chunk holds `sectionsPerChunk`.
/// @complexity Linear in the length of the text.
std::vector<Chunk> splitIntoChunks(std::string_view text);

/// @brief Average number of sections in a chunk.
constexpr std::uint64_t sectionsPerChunk = 32;

/// @brief What one instance sends another so that it can rebuild a document.
struct DocumentDelta
{
    std::vector<std::uint64_t> chunkHashes; ///< Hashes of all chunks of the document, in order.
    std::vector<std::string> missingChunks; ///< Texts of the chunks that the receiver lacks.
};

/// @brief The update from any document to this one.
/// @param have Hashes of the receiver's chunks.
/// @complexity N log N in the number of chunks.
DocumentDelta makeDelta(std::string_view text, std::vector<std::uint64_t> receiverHashes);

/// @brief Rebuilds a document from the receiver's own text and an update.
/// @param digest SHA-256 of the text that must come out.
/// @return Nothing if a chunk is missing or the digest differs; ask for a whole copy then.
/// @complexity N log N in the number of chunks, and linear in the length of the text.
std::optional<std::string> applyDelta(std::string_view ownText, const DocumentDelta &delta,
                                       const Digest &digest);

} // namespace egretmount::config

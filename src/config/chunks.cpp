#include <egretmount/config/chunks.h>

#include <algorithm>
#include <map>

namespace egretmount::config {

namespace {

bool startsChunk(std::string_view headerLine)
{
    return digestHash(headerLine) % sectionsPerChunk == 0;
}

std::string_view lineAt(std::string_view text, std::size_t begin)
{
    return text.substr(begin, text.find('\n', begin) - begin);
}

Chunk makeChunk(std::string_view text)
{
    return { digestHash(text), text };
}

} // namespace

std::vector<Chunk> splitIntoChunks(std::string_view text)
{
    std::vector<Chunk> chunks;
    std::size_t begin = 0;
    for (std::size_t at = text.find("\n["); at != std::string_view::npos;
         at = text.find("\n[", at + 1)) {
        const std::size_t header = at + 1;
        // The first section holds the version and changes in every document, so it is a chunk by
        // itself.
        const bool isSecondSection = chunks.empty();
        if (!isSecondSection && !startsChunk(lineAt(text, header)))
            continue;
        chunks.push_back(makeChunk(text.substr(begin, header - begin)));
        begin = header;
    }
    if (begin < text.size())
        chunks.push_back(makeChunk(text.substr(begin)));
    return chunks;
}

DocumentDelta makeDelta(std::string_view text, std::vector<std::uint64_t> receiverHashes)
{
    std::sort(receiverHashes.begin(), receiverHashes.end());
    DocumentDelta delta;
    for (const Chunk &chunk : splitIntoChunks(text)) {
        delta.chunkHashes.push_back(chunk.hash);
        if (!std::binary_search(receiverHashes.begin(), receiverHashes.end(), chunk.hash))
            delta.missingChunks.emplace_back(chunk.text);
    }
    return delta;
}

std::optional<std::string> applyDelta(std::string_view ownText, const DocumentDelta &delta,
                                      const Digest &digest)
{
    std::map<std::uint64_t, std::string_view> known;
    for (const Chunk &chunk : splitIntoChunks(ownText))
        known[chunk.hash] = chunk.text;
    for (const std::string &text : delta.missingChunks)
        known[digestHash(text)] = text;
    std::string rebuilt;
    for (const std::uint64_t hash : delta.chunkHashes) {
        const auto found = known.find(hash);
        if (found == known.end())
            return std::nullopt;
        rebuilt += found->second;
    }
    if (sha256(rebuilt) != digest)
        return std::nullopt;
    return rebuilt;
}

} // namespace egretmount::config

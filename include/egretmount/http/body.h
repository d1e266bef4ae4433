#pragma once

#include <cstdint>
#include <string>

#include <egretmount/http/head.h>

namespace egretmount::http {

/// @brief State of reading the body of one message.
enum class BodyState {
    Reading,
    Complete,
    Malformed, ///< The bytes violate the framing; the connection cannot be reused.
};

/// @brief Incremental parser of one message body, for input that arrives in pieces.
///
/// Holds the parser state for `readBody` and `onEndOfInput`.
struct BodyReader
{
    BodyFraming framing;
    std::uint64_t remainingBytes = 0; ///< Bytes still to read of the body or of the current chunk.
    bool expectsChunkSize = true; ///< The next line starts a chunk with its size.
    bool isInTrailer = false; ///< The last chunk has been read; trailer fields may follow.
    std::size_t trailerBytes = 0; ///< Received so far.
    bool expectsChunkEnd = false; ///< The chunk's data has been read; CRLF must follow.
    BodyState state = BodyState::Reading;
};

/// @brief Creates a reader for a body; it is complete at once with `Framing::None`.
BodyReader makeBodyReader(const BodyFraming &framing);

/// @brief Moves body data from `input` to `output`; bytes after the body stay in `input`.
/// @complexity Linear in the length of `input`.
BodyState readBody(BodyReader &reader, std::string &input, std::string &output);

/// @brief Notifies the reader that the peer has closed its side of the connection cleanly.
/// @return True if the body is complete. Of bodies still being read, this completes only those with
///         `Framing::UntilClose`; others are truncated.
bool onEndOfInput(BodyReader &reader);

/// @brief Appends one chunk of the chunked transfer coding. @pre The piece is not empty.
void appendChunk(std::string &out, std::string_view piece);

/// @brief The last chunk, which ends a chunked body.
constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace egretmount::http

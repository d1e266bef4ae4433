#pragma once

#include <cstdint>
#include <string>

#include <egretmount/http/head.h>

namespace egretmount::http {

/// @brief How far the body of one message has been read.
enum class BodyState {
    Reading,
    Complete,
    Malformed, ///< The bytes are no body of this framing; the connection is of no further use.
};

/// @brief Takes the body of one message off a byte stream, in pieces as they arrive.
///
/// Plain state for `readBody` and `onEndOfInput`.
struct BodyReader
{
    BodyFraming framing;
    std::uint64_t remainingBytes = 0; ///< Bytes still due of the length or of the chunk in hand.
    bool expectsChunkSize = true;
    bool isInTrailer = false;
    bool expectsChunkEnd = false;
    BodyState state = BodyState::Reading;
};

/// @brief A reader for a body of that framing; complete at once if there is none.
BodyReader makeBodyReader(const BodyFraming &framing);

/// @brief Moves body bytes from `input` to `output`; bytes behind the body stay in `input`.
/// @complexity Linear in the bytes moved.
BodyState readBody(BodyReader &reader, std::string &input, std::string &output);

/// @brief Tells the reader that the peer has closed its side in order.
/// @return True if the body is complete: only a body that ends with the connection is.
bool onEndOfInput(BodyReader &reader);

/// @brief Appends one chunk of the chunked coding. @pre The piece is not empty.
void appendChunk(std::string &out, std::string_view piece);

/// @brief The last chunk, which makes a chunked body complete.
constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace egretmount::http

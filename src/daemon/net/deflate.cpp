#include "net/deflate.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <sstream>

#include <Poco/Checksum.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

namespace egretmount::net {

namespace {

constexpr int fastestLevel = 1;
constexpr std::size_t blockBytes = 16UL * 1024;
constexpr std::size_t checksumBytes = 4;

// POCO's stream ends alike for whole data and for data that break off, and the whole data end with
// the checksum of the original.
bool endsWithChecksumOf(const std::string &original, const std::string &compressed)
{
    Poco::Checksum checksum(Poco::Checksum::TYPE_ADLER32);
    for (std::size_t begin = 0; begin < original.size(); begin += blockBytes)
        checksum.update(original.data() + begin,
                        static_cast<unsigned int>(std::min(blockBytes, original.size() - begin)));
    std::uint32_t stored = 0;
    for (std::size_t i = compressed.size() - std::min(checksumBytes, compressed.size());
         i < compressed.size(); ++i)
        stored = stored << 8U | static_cast<unsigned char>(compressed[i]);
    return stored == checksum.checksum();
}

} // namespace

std::string deflate(const std::string &bytes)
{
    std::ostringstream compressed;
    Poco::DeflatingOutputStream stream(compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                       fastestLevel);
    stream << bytes;
    stream.close();
    return compressed.str();
}

std::optional<std::string> inflate(const std::string &bytes, std::size_t maxBytes)
{
    std::istringstream compressed(bytes);
    std::string result;
    try {
        Poco::InflatingInputStream stream(compressed, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::array<char, blockBytes> block {};
        while (stream.read(block.data(), static_cast<std::streamsize>(block.size()))
               || stream.gcount() > 0) {
            result.append(block.data(), static_cast<std::size_t>(stream.gcount()));
            if (result.size() > maxBytes)
                return std::nullopt;
        }
        // The end of the data differs from an error, which also ends the loop.
        if (!stream.eof())
            return std::nullopt;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    if (!endsWithChecksumOf(result, bytes))
        return std::nullopt;
    return result;
}

} // namespace egretmount::net

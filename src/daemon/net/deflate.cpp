#include "net/deflate.h"

#include <array>
#include <sstream>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

namespace egretmount::net {

namespace {

constexpr int fastestLevel = 1;
constexpr std::size_t blockBytes = 16UL * 1024;

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
    return result;
}

} // namespace egretmount::net

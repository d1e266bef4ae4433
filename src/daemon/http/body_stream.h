#pragma once

#include <array>
#include <istream>
#include <streambuf>
#include <string>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSession.h>

#include <egretmount/http/body.h>

namespace egretmount::http {

/// @brief Determines the framing of a message's body, by the same rules as the pure parts.
/// @throws Poco::Net::MessageException if two parsers could read it differently.
BodyFraming framingOf(const Poco::Net::HTTPRequest &request);

/// @brief Same as above for a response. @param method Method of its request.
BodyFraming framingOf(const Poco::Net::HTTPResponse &response, const std::string &method);

/// @brief Reads the body of one message from the connection of a session whose head has been read.
///
/// POCO's own streams end alike for a whole body and for one that breaks off; this one throws
/// unless the framing proves that the body is whole. Within a `std::istream` that sets `badbit`.
class BodyBuffer : public std::streambuf
{
public:
    BodyBuffer(Poco::Net::HTTPSession &session, const BodyFraming &framing);

    /// @brief Returns true once the end of the body has arrived as its framing demands. A body that
    ///        only the end of the connection delimits is never proven whole.
    bool isWhole() const { return m_reader.state == BodyState::Complete; }

    /// @brief Returns true if bytes after the body were received; the connection is then unusable.
    bool hasExcess() const { return !m_input.empty(); }

protected:
    int_type underflow() override;

private:
    static constexpr std::size_t blockBytes = 16UL * 1024;

    Poco::Net::HTTPSession &m_session;
    BodyReader m_reader;
    std::array<char, blockBytes> m_block {};
    std::string m_input; // received, not decoded yet
    std::string m_decoded; // the get area
};

/// @brief A body as a stream.
class BodyStream : public std::istream
{
public:
    BodyStream(Poco::Net::HTTPSession &session, const BodyFraming &framing)
        : std::istream(nullptr)
        , m_buffer(session, framing)
    {
        rdbuf(&m_buffer);
    }

    const BodyBuffer &buffer() const { return m_buffer; }

private:
    BodyBuffer m_buffer;
};

} // namespace egretmount::http

#include "http/body_stream.h"

#include <Poco/Buffer.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace egretmount::http {

namespace {

Fields fieldsOf(const Poco::Net::MessageHeader &header)
{
    Fields fields;
    for (const auto &field : header)
        fields.push_back({ field.first, field.second });
    return fields;
}

int minorVersionOf(const Poco::Net::HTTPMessage &message)
{
    return message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0 ? 0 : 1;
}

BodyFraming require(const tl::expected<BodyFraming, HeadProblem> &framing)
{
    if (!framing)
        throw Poco::Net::MessageException("the length of the body is ambiguous");
    return *framing;
}

} // namespace

BodyFraming framingOf(const Poco::Net::HTTPRequest &request)
{
    RequestHead head;
    head.minorVersion = minorVersionOf(request);
    head.fields = fieldsOf(request);
    return require(requestFraming(head));
}

BodyFraming framingOf(const Poco::Net::HTTPResponse &response, const std::string &method)
{
    ResponseHead head;
    head.status = static_cast<int>(response.getStatus());
    head.minorVersion = minorVersionOf(response);
    head.fields = fieldsOf(response);
    return require(responseFraming(head, method));
}

BodyBuffer::BodyBuffer(Poco::Net::HTTPSession &session, const BodyFraming &framing)
    : m_session(session)
    , m_reader(makeBodyReader(framing))
{
    // The session reads ahead of the head.
    Poco::Buffer<char> ahead(0);
    session.drainBuffer(ahead);
    m_input.append(ahead.begin(), ahead.end());
}

BodyBuffer::int_type BodyBuffer::underflow()
{
    m_decoded.clear();
    for (;;) {
        const BodyState state = readBody(m_reader, m_input, m_decoded);
        if (!m_decoded.empty()) {
            setg(m_decoded.data(), m_decoded.data(), m_decoded.data() + m_decoded.size());
            return traits_type::to_int_type(m_decoded.front());
        }
        if (state == BodyState::Complete)
            return traits_type::eof();
        if (state == BodyState::Malformed)
            throw Poco::Net::MessageException("the body violates its framing");
        const int count = m_session.socket().receiveBytes(m_block.data(), blockBytes);
        if (count <= 0)
            throw Poco::Net::ConnectionAbortedException("the body broke off");
        m_input.append(m_block.data(), static_cast<std::size_t>(count));
    }
}

} // namespace egretmount::http

#include <egretmount/limits/request_content.h>

#include <cstring>
#include <string>

namespace egretmount::limits {

std::uint64_t contentId(const RequestContent &content)
{
    std::string text;
    for (const std::string_view part :
         { content.method, content.host, content.target, content.team }) {
        // The length in front keeps the parts apart.
        text.append(std::to_string(part.size())).append(1, ':').append(part);
    }
    text.append(bytesOf(content.bodyDigest));
    const Digest digest = sha256(text);
    std::uint64_t id = 0;
    static_assert(sizeof id <= sizeof digest);
    std::memcpy(&id, digest.data(), sizeof id);
    return id;
}

} // namespace egretmount::limits

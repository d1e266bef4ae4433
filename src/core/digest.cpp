#include <egretmount/core/digest.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <egretmount/core/random.h>

namespace egretmount {

namespace {

const unsigned char *bytePointer(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

} // namespace

struct DigestStream::Context
{
    EVP_MD_CTX *context = EVP_MD_CTX_new();

    Context() { EVP_DigestInit_ex(context, EVP_sha256(), nullptr); }
    Context(const Context &) = delete;
    Context &operator=(const Context &) = delete;
    ~Context() { EVP_MD_CTX_free(context); }
};

DigestStream::DigestStream() = default;
DigestStream::~DigestStream() = default;
DigestStream::DigestStream(DigestStream &&other) noexcept = default;
DigestStream &DigestStream::operator=(DigestStream &&other) noexcept = default;

void DigestStream::add(std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (!m_context)
        m_context = std::make_unique<Context>();
    EVP_DigestUpdate(m_context->context, bytes.data(), bytes.size());
}

Digest DigestStream::finish()
{
    if (!m_context)
        return sha256({});
    Digest digest {};
    unsigned int length = 0;
    EVP_DigestFinal_ex(m_context->context, digest.data(), &length);
    m_context.reset();
    return digest;
}

Digest sha256(std::string_view bytes)
{
    Digest digest {};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return digest;
}

Digest hmacSha256(std::string_view key, std::string_view bytes)
{
    Digest digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytePointer(bytes), bytes.size(),
         digest.data(), &length);
    return digest;
}

bool isEqualConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string toHex(const Digest &digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (std::uint8_t byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

std::string_view bytesOf(const Digest &digest)
{
    return { reinterpret_cast<const char *>(digest.data()), digest.size() };
}

std::uint64_t digestHash(std::string_view bytes, std::uint64_t seed)
{
    // FNV-1a, then one round of SplitMix64, so that similar inputs give unrelated hashes.
    std::uint64_t hash = 0xcbf29ce484222325U ^ seed;
    for (char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= 0x100000001b3U;
    }
    return Random(hash).next();
}

} // namespace egretmount

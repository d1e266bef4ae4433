#include <doctest/doctest.h>

#include <string>

#include <egretmount/core/digest.h>
#include <egretmount/limits/request_content.h>

using namespace egretmount;
using namespace egretmount::limits;

namespace {

RequestContent lookup(const Digest &body = sha256(""))
{
    return { "GET", "shop.example", "/orders/7?page=2", "team-a", body };
}

} // namespace

TEST_CASE("requests with the same content have the same id")
{
    CHECK(contentId(lookup()) == contentId(lookup()));
    DigestStream pieces;
    pieces.add("first, ");
    pieces.add("second");
    CHECK(contentId(lookup(pieces.finish())) == contentId(lookup(sha256("first, second"))));
}

TEST_CASE("each part of the content changes the id")
{
    const std::uint64_t id = contentId(lookup());
    RequestContent other = lookup(sha256("x"));
    CHECK(contentId(other) != id);
    other = lookup();
    other.method = "HEAD";
    CHECK(contentId(other) != id);
    other = lookup();
    other.team = "team-b";
    CHECK(contentId(other) != id);
    other = lookup();
    other.target = "/orders/7?page=3";
    CHECK(contentId(other) != id);
    // The same text, divided otherwise.
    other = lookup();
    other.host = "shop.example/orders";
    other.target = "/7?page=2";
    CHECK(contentId(other) != id);
}

TEST_CASE("a digest of pieces starts anew after each result")
{
    DigestStream stream;
    CHECK(stream.finish() == sha256(""));
    stream.add("a");
    CHECK(stream.finish() == sha256("a"));
    CHECK(stream.finish() == sha256(""));
    stream.add("b");
    CHECK(stream.finish() == sha256("b"));
}

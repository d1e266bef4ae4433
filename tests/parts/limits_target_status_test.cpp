#include <doctest/doctest.h>

#include <vector>

#include <egretmount/limits/target_status.h>

using namespace egretmount;
using fleet::RetrySemantics;
using limits::ResponseUse;

namespace {

fleet::Route route(RetrySemantics semantics, bool isResumable = false)
{
    fleet::Route made;
    made.retrySemantics = semantics;
    made.isResumable = isResumable;
    return made;
}

std::vector<fleet::Route> routesToRunOnce()
{
    return { route(RetrySemantics::AtMostOnce), route(RetrySemantics::Stream) };
}

std::vector<fleet::Route> repeatableRoutes()
{
    return { route(RetrySemantics::Idempotent), route(RetrySemantics::Stream, true) };
}

constexpr int lastStatus = 999;

} // namespace

// Guards against a table that promises "not run" for a status that proves nothing.
TEST_CASE("a status alone proves that a request was not run only if it is 421")
{
    for (int status = 200; status <= lastStatus; ++status) {
        CAPTURE(status);
        CHECK(limits::verdictOf(status, true) == Verdict::NotRun);
        CHECK((limits::verdictOf(status, false) == Verdict::NotRun) == (status == 421));
        CHECK(limits::promisesNotRun(status)
              == (status == 408 || status == 421 || status == 429 || status == 503));
    }
    for (const int status : { 408, 429, 503 })
        CHECK(limits::verdictOf(status, false) == Verdict::MayHaveRun);
    for (const int status : { 200, 400, 404, 500, 502, 504 })
        CHECK(limits::verdictOf(status, false) == Verdict::Ran);
}

// Guards against callers who repeat a request that has run, because the status promises otherwise.
TEST_CASE("a 408, 429 or 503 that proves nothing is passed on only for repeatable requests")
{
    for (const int status : { 408, 429, 503 }) {
        CAPTURE(status);
        for (const fleet::Route &once : routesToRunOnce())
            CHECK(limits::useOf(once, status) == ResponseUse::RetryOrReplace);
        for (const fleet::Route &repeatable : repeatableRoutes())
            CHECK(limits::useOf(repeatable, status) == ResponseUse::RetryOrDeliver);
    }
    for (const std::vector<fleet::Route> &routes : { routesToRunOnce(), repeatableRoutes() }) {
        for (const fleet::Route &any : routes) {
            for (const int status : { 500, 502, 504 })
                CHECK(limits::useOf(any, status) == ResponseUse::RetryOrDeliver);
            for (const int status : { 200, 204, 301, 400, 404, 409, 422 })
                CHECK(limits::useOf(any, status) == ResponseUse::Deliver);
        }
    }
}

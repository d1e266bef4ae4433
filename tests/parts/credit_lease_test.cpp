#include <doctest/doctest.h>

#include <egretmount/credit/lease.h>
#include <egretmount/credit/warmth.h>

using namespace egretmount;
using namespace egretmount::credit;
using namespace egretmount::literals;

namespace {

const TargetId target("engine");
const ListedInstances both({ InstanceId("a"), InstanceId("b") });

LeaseState makeInstance(const std::string &name, Milliseconds startedAt = 0_ms)
{
    LeaseState state;
    state.self = { InstanceId(name), static_cast<Incarnation>(startedAt.count() + 1) };
    state.startedAt = startedAt;
    setLeaseInstances(state, { target }, both, startedAt);
    return state;
}

} // namespace

TEST_CASE("leases: a lease ends for the holder before it ends for the granter")
{
    LeaseState a = makeInstance("a");
    LeaseState b = makeInstance("b");
    LeaseRequest request;
    REQUIRE(beginRound(a, target, request, 5'000_ms));
    const LeaseReply reply = answerLease(b, request, 5'300_ms);
    REQUIRE(reply.isGranted);
    CHECK(onLeaseReply(a, reply, 5'600_ms));
    CHECK(holdsLease(a, target, 6'999_ms));
    CHECK_FALSE(holdsLease(a, target, 7'000_ms));
    CHECK(leaseHolder(b, target, 7'299_ms) == InstanceId("a"));
    LeaseRequest own;
    CHECK_FALSE(beginRound(b, target, own, 7'299_ms));
    CHECK(beginRound(b, target, own, 7'300_ms));
}

TEST_CASE("leases: a reply to an earlier round is ignored")
{
    LeaseState a = makeInstance("a");
    LeaseState b = makeInstance("b");
    LeaseRequest first;
    LeaseRequest second;
    REQUIRE(beginRound(a, target, first, 5'000_ms));
    const LeaseReply late = answerLease(b, first, 5'000_ms);
    REQUIRE(beginRound(a, target, second, 6'500_ms));
    CHECK_FALSE(onLeaseReply(a, late, 6'600_ms));
}

TEST_CASE("leases: an instance that has just restarted or is leaving grants no lease")
{
    LeaseState a = makeInstance("a");
    LeaseRequest request;
    REQUIRE(beginRound(a, target, request, 9'000_ms));
    LeaseState restarted = makeInstance("b", 8'000_ms);
    CHECK_FALSE(answerLease(restarted, request, 10'999_ms).isGranted);
    CHECK(answerLease(restarted, request, 11'000_ms).isGranted);
    LeaseState leaving = makeInstance("b");
    leaving.isLeaving = true;
    CHECK_FALSE(answerLease(leaving, request, 9'000_ms).isGranted);
}

TEST_CASE("leases: a delayed release does not cancel a newer promise")
{
    LeaseState a = makeInstance("a");
    LeaseState b = makeInstance("b");
    LeaseRequest first;
    LeaseRequest second;
    REQUIRE(beginRound(a, target, first, 5'000_ms));
    answerLease(b, first, 5'000_ms);
    const LeaseRequest release = releaseLease(a, target, 5'100_ms);
    REQUIRE(beginRound(a, target, second, 5'200_ms));
    CHECK(answerLease(b, second, 5'200_ms).isGranted);
    answerLease(b, release, 5'300_ms);
    CHECK(leaseHolder(b, target, 5'400_ms) == InstanceId("a"));
}

TEST_CASE("leases: after a list change the former candidates are kept")
{
    LeaseState c;
    c.self = { InstanceId("i9"), 1 };
    std::vector<InstanceId> listed;
    listed.reserve(200);
    for (int i = 0; i < 30; ++i)
        listed.emplace_back("i" + std::to_string(i));
    setLeaseInstances(c, { target }, ListedInstances(listed), 0_ms);
    const std::vector<InstanceId> before = findLease(c, target)->candidates;
    for (const InstanceId &id : before)
        CHECK(ListedInstances(listed).contains(id));
    for (int i = 30; i < 200; ++i)
        listed.emplace_back("i" + std::to_string(i));
    setLeaseInstances(c, { target }, ListedInstances(listed), 100_ms);
    CHECK(findLease(c, target)->candidates != before);
    CHECK_FALSE(findLease(c, target)->formerCandidates.empty());
}

TEST_CASE("warmth: slow first tokens make a target cold, only a later report makes it warm again")
{
    WarmupState warmup;
    const WarmupSettings settings;
    CHECK_FALSE(warmup.isWarm);
    CHECK_FALSE(recordWarmupReport(warmup, 1, true, 10_ms));
    CHECK(warmup.isWarm);
    CHECK(recordWarmupReport(warmup, 2, false, 20_ms));
    CHECK_FALSE(warmup.isWarm);
    recordWarmupReport(warmup, 2, true, 30_ms);
    for (int i = 0; i < 20; ++i)
        recordFirstTokenTime(warmup, settings, 1'000, 50_ms, 40_ms);
    CHECK_FALSE(recordFirstTokenTime(warmup, settings, 200'000, 5'000_ms, 50_ms));
    CHECK_FALSE(recordFirstTokenTime(warmup, settings, 1'000, 2'000_ms, 60_ms));
    CHECK_FALSE(recordFirstTokenTime(warmup, settings, 1'000, 2'000_ms, 60_ms));
    CHECK(recordFirstTokenTime(warmup, settings, 1'000, 2'000_ms, 60_ms));
    // This report may have been made before the slowdown, so it is ignored.
    recordWarmupReport(warmup, 2, true, 100_ms);
    CHECK_FALSE(warmup.isWarm);
    recordWarmupReport(warmup, 2, true, 500_ms);
    CHECK(warmup.isWarm);
}

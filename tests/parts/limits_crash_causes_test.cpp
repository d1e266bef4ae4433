#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <egretmount/limits/crash_causes.h>

using namespace egretmount;
using namespace egretmount::limits;
using namespace egretmount::literals;

namespace {

constexpr Cause first { CauseKind::PromptPart, 1 }; // common to all prompts of the route
constexpr Cause bad { CauseKind::PromptPart, 2 };
constexpr Cause rare { CauseKind::PromptPart, 3 };
constexpr Cause badContent { CauseKind::Request, 4 };
constexpr Cause otherContent { CauseKind::Request, 5 };
constexpr std::uint64_t route = 7;

Cause partOf(std::uint64_t id)
{
    return { CauseKind::PromptPart, id };
}

Cause anyPart(std::mt19937_64 &random)
{
    return partOf(1'000 + random() % 50);
}

// The state of an instance that has received prompts with a common first part.
CrashCauses usedState(Milliseconds now, int prompts = 20)
{
    CrashCauses suspects;
    suspects.decayedAt = now;
    for (int i = 0; i < prompts; ++i)
        recordRequest(suspects, route, { first }, now);
    return suspects;
}

bool isBlocked(const CrashCauses &suspects, const Cause &part, Milliseconds now)
{
    return blockedFor(suspects, { part }, now).has_value();
}

} // namespace

// Guards against prompts that crash one engine after the other.
TEST_CASE("a part is blocked once it has crashed three engines one after the other")
{
    CrashCauses suspects = usedState(0_ms);
    recordRequest(suspects, route, { first, bad }, 0_ms);
    CHECK(recordCrash(suspects, 101, { first, bad }, 1'000_ms, 1'000_ms).empty());
    CHECK(isSuspected(suspects, { bad }));
    CHECK(recordCrash(suspects, 102, { first, bad }, 1'400_ms, 1'400_ms).empty());
    CHECK(recordCrash(suspects, 103, { bad }, 1'800_ms, 1'800_ms) == std::vector { bad });
    CHECK(isBlocked(suspects, bad, 1'800_ms));
    CHECK_FALSE(isBlocked(suspects, first, 1'800_ms)); // nearly all prompts hold it
    CHECK(isBlocked(suspects, bad, 1'799_ms + causeBlockTime));
    CHECK_FALSE(isBlocked(suspects, bad, 1'800_ms + causeBlockTime));
}

// Guards against blame for prompts whose engines fail together, as those of a zone do.
TEST_CASE("engines that crash at the same moment block no part")
{
    CrashCauses suspects = usedState(0_ms);
    recordRequest(suspects, route, { first, rare }, 0_ms);
    for (std::uint64_t target = 1; target <= 20; ++target) {
        const Milliseconds at = 1'000_ms + Milliseconds(static_cast<std::int64_t>(target * 20));
        CHECK(recordCrash(suspects, target, { rare }, at, at).empty());
    }
    CHECK_FALSE(isBlocked(suspects, rare, 1'400_ms));
}

TEST_CASE("the reports of several instances of one crash count once")
{
    CrashCauses suspects = usedState(0_ms);
    recordRequest(suspects, route, { bad }, 0_ms);
    for (int report = 0; report < 10; ++report) {
        const Milliseconds at = 1'000_ms + Milliseconds(std::int64_t(report) * 20);
        CHECK(recordCrash(suspects, 101, { bad }, at, at).empty());
    }
    CHECK(crashCount(suspects, bad) == 1);
    // The same target in a later incarnation.
    recordCrash(suspects, 101, { bad }, 5'000_ms, 5'000_ms);
    CHECK(crashCount(suspects, bad) == 2);
}

// Guards against a refusal of sound prompts that shared an engine with one that crashes it.
TEST_CASE("a part that an engine has gone on writing on is never blocked")
{
    CrashCauses suspects = usedState(0_ms);
    recordRequest(suspects, route, { rare }, 0_ms);
    CHECK(recordSound(suspects, { rare }, 500_ms).empty());
    for (std::uint64_t target = 1; target <= 10; ++target) {
        const Milliseconds at(static_cast<std::int64_t>(target) * 1'000);
        CHECK(recordCrash(suspects, target, { rare }, at, at).empty());
    }
    CHECK_FALSE(isSuspected(suspects, { rare }));
    CHECK_FALSE(recordBlock(suspects, rare, { 10'000_ms, 900'000_ms }, 10'000_ms));
}

TEST_CASE("proof that a part is sound ends its block")
{
    CrashCauses suspects = usedState(0_ms);
    CHECK(recordBlock(suspects, rare, { 0_ms, 900'000_ms }, 1'000_ms)); // not received here yet
    CHECK_FALSE(recordBlock(suspects, rare, { 0_ms, 900'000_ms }, 1'000_ms));
    CHECK(isBlocked(suspects, rare, 1'000_ms));
    CHECK(recordSound(suspects, { rare }, 1'100_ms) == std::vector { rare });
    CHECK_FALSE(isBlocked(suspects, rare, 1'100_ms));
}

// Guards against blame for the neighbours of a prompt that is known to crash engines.
TEST_CASE("a crash that a blocked part explains implicates no other part")
{
    CrashCauses suspects = usedState(0_ms);
    recordRequest(suspects, route, { bad }, 0_ms);
    recordRequest(suspects, route, { rare }, 0_ms);
    for (std::uint64_t target = 1; target <= 3; ++target) {
        const Milliseconds at(static_cast<std::int64_t>(target) * 1'000);
        recordCrash(suspects, target, { bad }, at, at);
        if (target > 1) // the neighbour was there twice
            recordCrash(suspects, target, { rare }, at + 10_ms, at + 10_ms);
    }
    CHECK(isBlocked(suspects, bad, 4'000_ms));
    CHECK(crashCount(suspects, rare) == 0);
    CHECK_FALSE(isSuspected(suspects, { rare }));
    recordCrash(suspects, 9, { bad, rare }, 5'000_ms, 5'000_ms);
    CHECK_FALSE(isBlocked(suspects, rare, 5'000_ms));
}

TEST_CASE("one crash after the end of a block blocks the part again, for longer")
{
    CrashCauses suspects = usedState(0_ms);
    recordRequest(suspects, route, { bad }, 0_ms);
    for (std::uint64_t target = 1; target <= 3; ++target) {
        const Milliseconds at(static_cast<std::int64_t>(target) * 1'000);
        recordCrash(suspects, target, { bad }, at, at);
    }
    const Milliseconds later = 3'000_ms + causeBlockTime + 60'000_ms;
    removeExpired(suspects, later);
    CHECK_FALSE(isBlocked(suspects, bad, later));
    CHECK(recordCrash(suspects, 4, { bad }, later, later) == std::vector { bad });
    CHECK(isBlocked(suspects, bad, later + causeBlockTime * 2 - 1_ms));
    const Milliseconds end = later + causeBlockTime * 4;
    removeExpired(suspects, end);
    CHECK(suspects.blocked.empty());
    CHECK(suspects.crashes.empty());
}

TEST_CASE("a request is blocked at its third crash, for a short time if all came at once")
{
    CrashCauses state;
    recordCrash(state, 101, { badContent }, 1'000_ms, 1'000_ms);
    recordCrash(state, 102, { badContent }, 1'060_ms, 1'060_ms);
    CHECK(recordCrash(state, 103, { badContent }, 1'250_ms, 1'250_ms)
          == std::vector { badContent });
    CHECK(isBlocked(state, badContent, 1'249_ms + shortBlockTime));
    CHECK_FALSE(isBlocked(state, badContent, 1'250_ms + shortBlockTime));
    // One crash more.
    const Milliseconds later = 1'300_ms + shortBlockTime;
    removeExpired(state, later);
    CHECK(recordCrash(state, 101, { badContent }, later, later) == std::vector { badContent });
    CHECK(isBlocked(state, badContent, later + causeBlockTime - 1_ms));
}

TEST_CASE("a request whose crashes are apart is blocked for the whole time")
{
    CrashCauses state;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        const Milliseconds at(static_cast<std::int64_t>(target) * 1'000);
        recordCrash(state, target, { badContent }, at, at);
    }
    CHECK(isBlocked(state, badContent, 2'999_ms + causeBlockTime));
}

// Guards against the block of a part that sound prompts hold, too.
TEST_CASE("a request is blocked rather than the part of its prompt that fell with it")
{
    CrashCauses state = usedState(0_ms);
    recordRequest(state, route, { badContent, rare }, 0_ms);
    for (std::uint64_t target = 1; target <= 3; ++target) {
        const Milliseconds at(static_cast<std::int64_t>(target) * 1'000);
        recordCrash(state, target, { badContent, rare }, at, at);
    }
    CHECK(isBlocked(state, badContent, 3'000_ms));
    CHECK_FALSE(isBlocked(state, rare, 3'000_ms));
    // Prompts that share nothing but the part.
    CrashCauses other = usedState(0_ms);
    recordRequest(other, route, { badContent, rare }, 0_ms);
    recordCrash(other, 1, { badContent, rare }, 1'000_ms, 1'000_ms);
    recordCrash(other, 2, { badContent, rare }, 2'000_ms, 2'000_ms);
    CHECK(recordCrash(other, 3, { otherContent, rare }, 3'000_ms, 3'000_ms)
          == std::vector { rare });
}

TEST_CASE("a request that was answered once is never blocked")
{
    CrashCauses state;
    recordSound(state, { badContent }, 0_ms);
    for (std::uint64_t target = 1; target <= 10; ++target) {
        const Milliseconds at(static_cast<std::int64_t>(target) * 1'000);
        CHECK(recordCrash(state, target, { badContent }, at, at).empty());
    }
    CHECK_FALSE(isSuspected(state, { badContent }));
}

// Guards against callers whose many requests displace what is known of prompts.
TEST_CASE("requests that come once displace no parts of prompts")
{
    CrashCauses state = usedState(0_ms);
    recordSound(state, { rare }, 0_ms);
    for (std::uint64_t i = 0; i < 60'000; ++i)
        recordSound(state, { { CauseKind::Request, 1'000 + i } },
                    Milliseconds(static_cast<std::int64_t>(i / 12)));
    removeExpired(state, 5'000_ms);
    CHECK(isSound(state, rare));
    CHECK(state.uses.size() <= maxKnownRequests + 2);
}

TEST_CASE("the state stays within its bounds whatever parts callers invent")
{
    CrashCauses suspects;
    std::mt19937_64 random(1);
    for (int i = 0; i < 60'000; ++i)
        recordRequest(suspects, random(), { partOf(random()), partOf(random()) }, Milliseconds(i));
    for (std::uint64_t target = 0; target < 2'000; ++target) {
        std::vector<Cause> parts(100);
        std::generate(parts.begin(), parts.end(), [&random] { return partOf(random()); });
        recordCrash(suspects, target, parts, 60'000_ms, 60'000_ms);
    }
    for (int i = 0; i < 500; ++i)
        recordBlock(suspects, partOf(random()), { 60'000_ms, 90'000_ms }, 60'000_ms);
    removeExpired(suspects, 60'000_ms);
    CHECK(suspects.uses.size() <= maxKnownParts);
    CHECK(suspects.crashes.size() <= maxTargetCrashes);
    CHECK(suspects.blocked.size() <= maxBlockedCauses);
    CHECK(suspects.receivedByRoute.size() <= maxCauseRoutes);
    for (const TargetCrash &crash : suspects.crashes)
        CHECK(crash.causes.size() <= maxCausesPerCrash);
}

namespace {

// Instances that tell each other of crashes, with delays and losses, beside engines that one part
// crashes. In memory, in steps of a millisecond.
struct FleetModel
{
    struct Message
    {
        Milliseconds at;
        std::size_t from = 0;
        std::size_t to = 0;
        TargetCrash crash;
        std::vector<BlockedCause> blocked;
        std::vector<Cause> sound;
    };

    std::vector<CrashCauses> instances;
    std::vector<std::set<Cause>> accused; ///< By each instance.
    std::vector<Message> network;
    std::mt19937_64 random { 1 };
    Milliseconds now;
    double lossRate = 0;
    std::vector<Milliseconds> crashes;
    std::vector<Milliseconds> badArrivals;
    int soundSent = 0;
    int soundRefused = 0;

    explicit FleetModel(std::size_t count, std::uint64_t seed)
        : instances(count)
        , accused(count)
        , random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            instances[i].instance = 1'000 + i;
    }

    bool occurs(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }

    void broadcast(std::size_t from, const TargetCrash &crash,
                   const std::vector<BlockedCause> &blocked, const std::vector<Cause> &sound)
    {
        for (std::size_t to = 0; to < instances.size(); ++to) {
            if (to != from)
                send({ {}, from, to, crash, blocked, sound });
        }
    }

    void send(Message message)
    {
        message.at = now + Milliseconds(2 + static_cast<std::int64_t>(random() % 30));
        if (!occurs(lossRate))
            network.push_back(std::move(message));
    }

    // An instance that accused a part which others know to be sound passes that on.
    void clear(const Message &message)
    {
        const std::vector<Cause> cleared = recordSound(instances[message.to], message.sound, now);
        std::vector<Cause> withdrawn;
        for (const Cause &part : cleared) {
            if (accused[message.to].erase(part) > 0)
                withdrawn.push_back(part);
        }
        if (!withdrawn.empty())
            broadcast(message.to, {}, {}, withdrawn);
    }

    void replyTo(const Message &message)
    {
        Message reply { {}, message.to, message.from, {}, {}, {} };
        for (const Cause &part : message.crash.causes) {
            if (isSound(instances[message.to], part))
                reply.sound.push_back(part);
        }
        for (const BlockedCause &blocked : message.blocked) {
            if (isSound(instances[message.to], blocked.cause))
                reply.sound.push_back(blocked.cause);
        }
        if (!reply.sound.empty())
            send(reply);
    }

    void applyCrash(std::size_t at, const TargetCrash &crash, bool isOwn)
    {
        std::vector<BlockedCause> announced;
        for (const Cause &cause :
             recordCrash(instances[at], crash.target, { crash.causes.begin(), crash.causes.end() },
                         crash.at, now)) {
            if (!isOwn && cause.kind == CauseKind::Request)
                continue;
            accused[at].insert(cause);
            announced.push_back({ cause, instances[at].blocked.at(cause) });
        }
        if (!announced.empty())
            broadcast(at, {}, announced, {});
    }

    // Every instance repeats its blocks once a second, in case a message was lost.
    void sendSnapshots()
    {
        for (std::size_t from = 0; from < instances.size(); ++from) {
            if (now.count() % 1'000 != static_cast<std::int64_t>(from * 997 % 1'000))
                continue;
            std::vector<BlockedCause> active;
            for (const auto &[cause, block] : instances[from].blocked) {
                if (now < block.until)
                    active.push_back({ cause, block });
            }
            if (!active.empty())
                broadcast(from, {}, active, {});
        }
    }

    void deliver()
    {
        sendSnapshots();
        std::vector<Message> due;
        const auto isDue = [&](const Message &message) { return message.at <= now; };
        std::copy_if(network.begin(), network.end(), std::back_inserter(due), isDue);
        network.erase(std::remove_if(network.begin(), network.end(), isDue), network.end());
        for (const Message &message : due) {
            clear(message);
            replyTo(message);
            for (const BlockedCause &blocked : message.blocked)
                recordBlock(instances[message.to], blocked.cause, blocked.block, now);
            if (!message.crash.causes.empty())
                applyCrash(message.to, message.crash, false);
        }
    }

    // An engine crashes 120 ms after a prompt with the bad part has arrived there, and takes
    // neighbours with it whose answers have not begun.
    void runBadPrompt(std::size_t at, std::uint64_t engine, const std::vector<Cause> &parts)
    {
        badArrivals.push_back(now);
        pending.push_back({ now + 120_ms, at, engine, parts });
    }

    struct Crash
    {
        Milliseconds at;
        std::size_t instance = 0;
        std::uint64_t engine = 0;
        std::vector<Cause> parts;
    };
    std::vector<Crash> pending;

    void crashEngines(double neighbourRate)
    {
        for (auto position = pending.begin(); position != pending.end();) {
            if (position->at > now) {
                ++position;
                continue;
            }
            const Crash crash = *position;
            position = pending.erase(position);
            crashes.push_back(now);
            report(crash.instance, crash.engine, crash.parts);
            for (std::size_t i = 0; i < instances.size(); ++i) {
                if (occurs(neighbourRate))
                    report(i, crash.engine, { first, anyPart(random) });
            }
        }
    }

    void report(std::size_t instance, std::uint64_t engine, const std::vector<Cause> &parts)
    {
        const std::vector<Cause> unproven = unprovenCauses(instances[instance], parts);
        if (unproven.empty())
            return;
        const TargetCrash crash { engine, now, { unproven.begin(), unproven.end() } };
        accused[instance].insert(unproven.begin(), unproven.end());
        broadcast(instance, crash, {}, {});
        applyCrash(instance, crash, true);
    }

    void run(Milliseconds duration, double promptsPerMs, double badPerMs, double neighbourRate,
             Milliseconds badFrom)
    {
        std::vector<std::pair<Milliseconds, std::pair<std::size_t, std::vector<Cause>>>> served;
        for (; now < duration; now += 1_ms) {
            deliver();
            crashEngines(neighbourRate);
            while (!served.empty() && served.front().first <= now) {
                const auto [instance, parts] = served.front().second;
                served.erase(served.begin());
                const std::vector<Cause> cleared = recordSound(instances[instance], parts, now);
                if (!cleared.empty())
                    broadcast(instance, {}, {}, cleared);
            }
            if (occurs(promptsPerMs)) {
                const std::size_t instance = random() % instances.size();
                const std::vector<Cause> parts { first, anyPart(random) };
                recordRequest(instances[instance], route, parts, now);
                ++soundSent;
                if (blockedFor(instances[instance], parts, now))
                    ++soundRefused;
                else if (!occurs(now < badFrom ? 0.05 : 0.3)) // the others break with their engine
                    served.push_back({ now + 800_ms, { instance, parts } });
            }
            if (now >= badFrom && occurs(badPerMs)) {
                const std::size_t instance = random() % instances.size();
                const std::vector<Cause> parts { first, bad, anyPart(random) };
                recordRequest(instances[instance], route, parts, now);
                if (!blockedFor(instances[instance], parts, now))
                    runBadPrompt(instance, random() % 100'000, parts);
            }
        }
    }

    std::size_t lateArrivals() const
    {
        if (crashes.size() < 5)
            return 0;
        return static_cast<std::size_t>(
            std::count_if(badArrivals.begin(), badArrivals.end(),
                          [&](Milliseconds at) { return at > crashes[4] + 3'000_ms; }));
    }
};

// The same instances beside a service with few targets, which are back some seconds after a crash.
// One request crashes each target that runs it, and comes again and again at any instance; sound
// requests, no two alike, run beside it and are lost with their targets.
struct RepeatModel
{
    struct Request
    {
        Cause content;
        int sends = 0;
        int attempts = 0; ///< Of the caller.
        bool isBad = false;
    };

    struct Run
    {
        Request request;
        std::size_t instance = 0;
        std::size_t target = 0;
        Milliseconds endsAt;
    };

    struct Retry
    {
        Milliseconds at;
        Request request;
    };

    static constexpr Milliseconds restartTime { 3'200 };
    static constexpr int maxSends = 2;
    static constexpr int maxAttempts = 2;

    FleetModel fleet;
    std::vector<Milliseconds> upAt; ///< Of each target.
    std::vector<Run> runs;
    std::vector<Retry> retries;
    std::uint64_t lastContent = 100;

    RepeatModel(std::size_t instances, std::size_t targets, std::uint64_t seed)
        : fleet(instances, seed)
        , upAt(targets)
    { }

    void arrive(Request request)
    {
        ++request.attempts;
        request.sends = 0;
        if (!request.isBad)
            ++fleet.soundSent;
        place(fleet.random() % fleet.instances.size(), request);
    }

    void place(std::size_t instance, Request request)
    {
        if (blockedFor(fleet.instances[instance], { request.content }, fleet.now)) {
            fleet.soundRefused += request.isBad ? 0 : 1;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t target = 0; target < upAt.size(); ++target) {
            if (upAt[target] <= fleet.now)
                up.push_back(target);
        }
        if (up.empty()) {
            retry(request);
            return;
        }
        const std::vector<BlockedCause> heldBack =
            recordSend(fleet.instances[instance], { request.content }, fleet.now);
        if (!heldBack.empty())
            fleet.broadcast(instance, {}, heldBack, {});
        ++request.sends;
        if (request.isBad)
            fleet.badArrivals.push_back(fleet.now);
        const Milliseconds duration(request.isBad ? 80 : 20 + fleet.random() % 80);
        runs.push_back({ request, instance, up[fleet.random() % up.size()], fleet.now + duration });
    }

    // The caller tries again soon at any instance.
    void retry(const Request &request)
    {
        if (request.attempts < maxAttempts)
            retries.push_back({ fleet.now + 50_ms, request });
    }

    void crash(std::size_t target)
    {
        upAt[target] = fleet.now + restartTime;
        fleet.crashes.push_back(fleet.now);
        std::vector<Run> lost;
        std::copy_if(runs.begin(), runs.end(), std::back_inserter(lost),
                     [target](const Run &run) { return run.target == target; });
        runs.erase(std::remove_if(runs.begin(), runs.end(),
                                  [target](const Run &run) { return run.target == target; }),
                   runs.end());
        for (const Run &run : lost) {
            const bool wasSuspected =
                isSuspected(fleet.instances[run.instance], { run.request.content });
            fleet.report(run.instance, target, { run.request.content });
            if (run.request.sends < maxSends && !wasSuspected)
                place(run.instance, run.request);
            else
                retry(run.request);
        }
    }

    void endRuns()
    {
        for (std::size_t i = 0; i < runs.size();) {
            const Run run = runs[i];
            if (run.endsAt > fleet.now) {
                ++i;
            } else if (run.request.isBad) {
                crash(run.target);
                i = 0;
            } else {
                runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(i));
                const std::vector<Cause> cleared =
                    recordSound(fleet.instances[run.instance], { run.request.content }, fleet.now);
                if (!cleared.empty())
                    fleet.broadcast(run.instance, {}, {}, cleared);
            }
        }
    }

    // The bad request comes `copies` times at once.
    void run(Milliseconds duration, double soundPerMs, double badPerMs, int copies)
    {
        for (; fleet.now < duration; fleet.now += 1_ms) {
            fleet.deliver();
            endRuns();
            std::vector<Retry> due;
            const auto isDue = [&](const Retry &one) { return one.at <= fleet.now; };
            std::copy_if(retries.begin(), retries.end(), std::back_inserter(due), isDue);
            retries.erase(std::remove_if(retries.begin(), retries.end(), isDue), retries.end());
            for (const Retry &one : due)
                arrive(one.request);
            if (fleet.occurs(soundPerMs))
                arrive({ { CauseKind::Request, ++lastContent } });
            if (fleet.now >= 2'000_ms && fleet.occurs(badPerMs)) {
                for (int i = 0; i < copies; ++i)
                    arrive({ badContent, 0, 0, true });
            }
        }
    }

    std::size_t lateArrivals() const
    {
        if (fleet.crashes.size() < 3)
            return 0;
        return static_cast<std::size_t>(
            std::count_if(fleet.badArrivals.begin(), fleet.badArrivals.end(),
                          [&](Milliseconds at) { return at > fleet.crashes[2] + 3'000_ms; }));
    }
};

} // namespace

// Guards against a request that comes again at any instance and crashes the targets as often as
// they return.
TEST_CASE("a fleet stops sending a request that crashes its targets")
{
    struct Case
    {
        std::size_t instances;
        std::size_t targets;
        double soundPerMs;
        double badPerMs;
        int copies;
    };
    for (const Case &load : { Case { 6, 3, 0.02, 0.001, 1 }, Case { 6, 3, 0.02, 0.01, 1 },
                              Case { 8, 23, 0.1, 0.003, 1 }, Case { 8, 3, 0.05, 0.003, 3 },
                              Case { 295, 20, 0.3, 0.003, 2 } }) {
        for (std::uint64_t seed = 1; seed <= (load.instances > 100 ? 3U : 20U); ++seed) {
            CAPTURE(load.instances);
            CAPTURE(load.copies);
            CAPTURE(seed);
            RepeatModel model(load.instances, load.targets, seed);
            model.fleet.lossRate = seed % 2 == 0 ? 0.05 : 0;
            model.run(40'000_ms, load.soundPerMs, load.badPerMs, load.copies);
            CHECK(model.fleet.crashes.size() >= 3);
            CHECK(model.lateArrivals() <= 3);
            CHECK(model.fleet.soundRefused * 500 <= model.fleet.soundSent); // one in 500
        }
    }
}

// Guards against blame for the requests of a service whose targets fail without any request's
// fault.
TEST_CASE("targets that fail one after the other block no request that is answered in the end")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        RepeatModel model(8, 3, seed);
        for (int failure = 1; failure <= 12; ++failure) {
            model.run(Milliseconds(1'000) * failure, 0.05, 0, 1);
            model.crash(static_cast<std::size_t>(failure) % 3);
        }
        model.run(16'000_ms, 0.05, 0, 1);
        CHECK(model.fleet.soundRefused == 0);
    }
}

// Guards against instances that each learn for themselves, at the cost of engines each.
TEST_CASE("a fleet stops sending a prompt that crashes engines within the time of contact")
{
    struct Case
    {
        std::size_t instances;
        double promptsPerMs;
        double badPerMs;
    };
    for (const Case &load : { Case { 6, 0.03, 0.005 }, Case { 8, 0.05, 0.002 },
                              Case { 8, 0.05, 0.02 }, Case { 295, 0.3, 0.03 } }) {
        for (std::uint64_t seed = 1; seed <= (load.instances > 100 ? 3U : 20U); ++seed) {
            CAPTURE(load.instances);
            CAPTURE(seed);
            FleetModel model(load.instances, seed);
            model.lossRate = seed % 2 == 0 ? 0.05 : 0;
            model.run(15'000_ms, load.promptsPerMs, load.badPerMs, 0.3 / load.instances * 6,
                      5'000_ms);
            CHECK(model.crashes.size() >= 3);
            CHECK(model.lateArrivals() <= 3);
            CHECK(model.soundRefused * 50 <= model.soundSent); // at most two in a hundred
        }
    }
}

// Guards against a sound prompt that is blocked because an availability zone was lost.
TEST_CASE("a lost zone beside sound prompts blocks nothing")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        FleetModel model(8, seed);
        model.run(5'000_ms, 0.05, 0, 0, 100'000_ms);
        for (std::uint64_t engine = 0; engine < 60; ++engine) {
            // Five waves of engines that fail together, 0.9 s apart.
            if (engine % 12 == 0)
                model.run(model.now + 900_ms, 0.05, 0, 0, 100'000_ms);
            model.report(model.random() % 8, engine, { first, anyPart(model.random) });
        }
        model.run(model.now + 3'000_ms, 0.05, 0, 0, 100'000_ms);
        CHECK(model.soundRefused == 0);
    }
}

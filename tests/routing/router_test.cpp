/**
 * The choice of an endpoint, the index of cached prompt blocks, and rendezvous hashing.
 */
#include "cacheindex.h"
#include "promptblocks.h"
#include "rendezvous.h"
#include "router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class RouterTest : public testing::Test
{
protected:
    RouterTest()
    {
        for (const char *name : {"chat-1", "chat-2", "chat-3"}) {
            EndpointEntry entry;
            entry.name = name;
            entry.dataCentre = "dc-1";
            entry.serves = "chat-vi";
            router_.putEndpoint(entry);
            report(name, 0, 0);
        }
    }

    void report(const std::string &name, std::uint64_t running, double queuedSeconds, bool healthy = true)
    {
        EndpointLoad load;
        load.running = running;
        load.slots = 4;
        load.queued = queuedSeconds > 0 ? 1 : 0;
        load.queuedSeconds = queuedSeconds;
        load.healthy = healthy;
        router_.updateLoad(name, load, 0, now_);
    }

    void reportPrefill(const std::string &name, std::uint64_t running, double prefillSeconds)
    {
        EndpointLoad load;
        load.running = running;
        load.slots = 4;
        load.prefillSeconds = prefillSeconds;
        load.healthy = true;
        router_.updateLoad(name, load, 0, now_);
    }

    RouteQuery query(std::vector<std::uint64_t> blocks = {}) const
    {
        return {"chat-vi", 1000, 100, std::move(blocks), {}};
    }

    TimePoint now_{1h};
    Router router_{{.dataCentre = "dc-1"}};
};

TEST_F(RouterTest, OneHasShortestPredictedTime_IsChosen)
{
    report("chat-1", 4, 3);
    report("chat-3", 4, 2);
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "chat-2");
}

TEST_F(RouterTest, ReportsLag_OwnDispatchesSpread)
{
    std::map<std::string, int> chosen;
    for (int i = 0; i < 30; ++i) {
        const auto choice = router_.choose(query(), now_);
        ++chosen[choice->endpoint];
        router_.recordDispatch(choice->endpoint, query(), now_);
    }
    for (const auto &[name, count] : chosen) {
        EXPECT_EQ(count, 10) << name;
    }
}

// Guards against requests that wait for other prompts at an endpoint, because it has free slots, while another endpoint reads none.
TEST_F(RouterTest, EmptiestEndpointReadsPrompts_Request_GoesToOneThatReadsNone)
{
    reportPrefill("chat-1", 1, 0.5);
    reportPrefill("chat-2", 3, 0);
    reportPrefill("chat-3", 2, 0.2);
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "chat-2");
    now_ += 400ms;
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "chat-3");
    now_ += 400ms;
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "chat-1");
}

TEST_F(RouterTest, LongPromptIsDispatched_NoReportSince_CountsUntilItIsRead)
{
    reportPrefill("chat-2", 1, 0);
    reportPrefill("chat-3", 2, 0);
    RouteQuery longPrompt = query();
    longPrompt.promptTokens = 8000;
    const std::string first = router_.choose(longPrompt, now_)->endpoint;
    EXPECT_EQ(first, "chat-1");
    router_.recordDispatch(first, longPrompt, now_);
    router_.recordDispatch(first, query(), now_);
    router_.recordDispatch("chat-2", query(), now_);
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "chat-3");
    router_.recordDispatch("chat-3", query(), now_);
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "chat-2");
    now_ += 1200ms;
    EXPECT_NE(router_.choose(query(), now_)->endpoint, "chat-3");
}

TEST_F(RouterTest, PrefixIsCached_ItsEndpointIsPreferredUntilLoaded)
{
    router_.updateCachedBlocks("chat-3", false, {11, 12, 13}, {});
    EXPECT_EQ(router_.choose(query({11, 12, 13, 14}), now_)->endpoint, "chat-3");
    report("chat-3", 4, 30);
    EXPECT_NE(router_.choose(query({11, 12, 13, 14}), now_)->endpoint, "chat-3");
}

TEST_F(RouterTest, UnhealthyStaleDrainingOrExcluded_IsNoCandidate)
{
    report("chat-1", 0, 0, false);
    EndpointEntry drained;
    drained.name = "chat-2";
    drained.dataCentre = "dc-1";
    drained.serves = "chat-vi";
    drained.draining = true;
    router_.putEndpoint(drained);
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "chat-3");
    RouteQuery excluding = query();
    excluding.excluded = {"chat-3"};
    EXPECT_FALSE(router_.choose(excluding, now_).has_value());
    EXPECT_FALSE(router_.choose(query(), now_ + 2s).has_value());
}

TEST_F(RouterTest, ConsecutiveFailures_EjectedThenOneFailureEjectsAgain)
{
    for (int i = 0; i < 3; ++i) {
        router_.recordFailure("chat-1", now_);
    }
    EXPECT_EQ(router_.candidateCount("chat-vi", now_), 2U);
    now_ += 3s;
    for (const char *name : {"chat-1", "chat-2", "chat-3"}) {
        report(name, 0, 0);
    }
    EXPECT_EQ(router_.candidateCount("chat-vi", now_), 3U);
    router_.recordFailure("chat-1", now_);
    EXPECT_EQ(router_.candidateCount("chat-vi", now_), 2U);
}

TEST_F(RouterTest, OtherDataCentre_IsChosenOnlyWhenItsTimeIsClearlyShorter)
{
    EndpointEntry far;
    far.name = "far";
    far.dataCentre = "dc-2";
    far.serves = "chat-vi";
    router_.putEndpoint(far);
    report("far", 0, 0);
    EXPECT_NE(router_.choose(query(), now_)->endpoint, "far");
    for (const char *name : {"chat-1", "chat-2", "chat-3"}) {
        report(name, 4, 5);
    }
    EXPECT_EQ(router_.choose(query(), now_)->endpoint, "far");
}

TEST(PromptBlocks, PrefixesAreEqual_HashesAreEqualUpToThere)
{
    const std::string shared(BlockBytes * 3, 'a');
    const auto left = promptBlocks(shared + std::string(BlockBytes, 'b'));
    const auto right = promptBlocks(shared + std::string(BlockBytes, 'c'));
    ASSERT_EQ(left.size(), 4U);
    EXPECT_TRUE(std::equal(left.begin(), left.begin() + 3, right.begin()));
    EXPECT_NE(left[3], right[3]);
    EXPECT_NE(left[0], left[1]);
}

RC_GTEST_PROP(CacheIndex, EventsWithGapsAndRepeats_ReceiverEndsWithTheSameBlocks, ())
{
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint64_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange<std::uint64_t>(0, 12)));
    CacheIndex index;
    std::vector<CacheEvent> log;
    std::set<std::uint64_t> truth;
    std::set<std::uint64_t> receiver;
    std::uint64_t cursor = 0;
    const auto read = [&](std::size_t first) {
        if (!index.apply(first, {log.begin() + static_cast<std::ptrdiff_t>(first), log.end()})) {
            index.reset(log.size(), {truth.begin(), truth.end()});
        }
    };
    const auto receive = [&](std::size_t limit) {
        const CacheDifference difference = index.difference(cursor, limit);
        if (difference.reset) {
            receiver.clear();
        }
        receiver.insert(difference.stored.begin(), difference.stored.end());
        for (const std::uint64_t block : difference.evicted) {
            receiver.erase(block);
        }
        cursor = difference.cursor;
    };
    for (const auto &[kind, block] : steps) {
        if (kind == 0) {
            read(std::min<std::size_t>(block, log.size()));
        } else if (kind == 1) {
            receive(3);
        } else {
            const bool stored = kind % 2 == 0;
            log.push_back({stored, block});
            stored ? (void)truth.insert(block) : (void)truth.erase(block);
        }
    }
    read(std::min<std::size_t>(index.nextEvent(), log.size()));
    for (std::size_t i = 0; i <= steps.size(); ++i) {
        receive(100);
    }
    RC_ASSERT(receiver == truth);
}

TEST(Rendezvous, CandidateLeaves_OnlyItsKeysMove)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    for (int key = 0; key < 200; ++key) {
        const std::string text = std::to_string(key);
        const std::string before = rendezvous(text, all, 1).front();
        const std::string after = rendezvous(text, {"a", "b", "c"}, 1).front();
        EXPECT_TRUE(before == "d" || before == after);
    }
}

}

}

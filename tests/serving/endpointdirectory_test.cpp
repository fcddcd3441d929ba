/**
 * EndpointDirectory: who gets work when entries change, vanish with the store, or come back as another run.
 */
#include "endpointdirectory.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class EndpointDirectoryTest : public testing::Test
{
protected:
    static EndpointRecord record(const std::string &id, std::uint64_t startedAt = 1)
    {
        EndpointRecord result;
        result.id = id;
        result.service = "lm";
        result.address = {"10.0.0.1", 80};
        result.startedAt = startedAt;
        result.stage = EngineStage::Decode;
        return result;
    }

    std::size_t usable()
    {
        directory_.takeEnded(now_);
        return directory_.usable("lm", now_).size();
    }

    EndpointDirectory directory_{EndpointDirectoryOptions{}};
    TimePoint now_{100s};
};

TEST_F(EndpointDirectoryTest, EndpointDrains_NextRequest_IsNotSentThere)
{
    EndpointRecord leaving = record("a");
    directory_.announced(leaving);
    EXPECT_EQ(usable(), 1U);
    leaving.draining = true;
    directory_.announced(leaving);
    EXPECT_EQ(usable(), 0U);
    EXPECT_FALSE(directory_.isUsable(leaving));
}

TEST_F(EndpointDirectoryTest, EntryVanishesWhileStoreIsThere_NextRequest_IsNotSentThere)
{
    directory_.announced(record("a"));
    directory_.announced(record("b"));
    directory_.announced(record("c"));
    directory_.replaceAll({record("a"), record("b")}, now_);
    EXPECT_EQ(usable(), 2U);
}

TEST_F(EndpointDirectoryTest, EntriesLapseWithTheStore_BackInTime_NothingIsLost)
{
    directory_.replaceAll({record("a"), record("b")}, now_);
    directory_.storeLost();
    now_ += 10s;
    directory_.storeRegained(now_);
    directory_.replaceAll({}, now_);
    EXPECT_EQ(usable(), 2U);
    now_ += 1s;
    directory_.announced(record("a"));
    now_ += 2s;
    EXPECT_EQ(usable(), 1U) << "what did not come back is gone";
}

TEST_F(EndpointDirectoryTest, AllEntriesMissingAtOnce_NoOutageSeen_AreKeptUntilTheyCouldBeBack)
{
    directory_.replaceAll({record("a"), record("b"), record("c")}, now_);
    now_ += 1s;
    directory_.replaceAll({}, now_);
    EXPECT_EQ(usable(), 3U);
    now_ += 3s;
    EXPECT_EQ(usable(), 0U);
}

TEST_F(EndpointDirectoryTest, SameIdStartsAgain_Announced_TheFormerRunHasEnded)
{
    directory_.announced(record("a", 1));
    directory_.announced(record("a", 2));
    const auto ended = directory_.takeEnded(now_);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().startedAt, 1U);
    EXPECT_FALSE(directory_.isUsable(record("a", 1)));
    EXPECT_TRUE(directory_.isUsable(record("a", 2)));
}

TEST_F(EndpointDirectoryTest, StageChangeAnnounced_UntilItIsDone_EngineGetsNoWork)
{
    directory_.announced(record("a"));
    directory_.stageChangeAnnounced("a", EngineStage::Prefill, now_ + 7s);
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(directory_.staying("lm").size(), 1U);
    EndpointRecord changed = record("a");
    changed.stage = EngineStage::Prefill;
    directory_.announced(changed);
    EXPECT_EQ(usable(), 1U);
}

TEST_F(EndpointDirectoryTest, StageChangeNeverHappens_TimeIsOver_EngineGetsWorkAgain)
{
    directory_.announced(record("a"));
    directory_.stageChangeAnnounced("a", EngineStage::Prefill, now_ + 7s);
    now_ += 8s;
    EXPECT_EQ(usable(), 1U);
}

}

}

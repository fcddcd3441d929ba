/**
 * Tests of EndpointDirectory: which endpoints are usable when entries change, go missing in a store outage, or return as another run.
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

    std::size_t usableCount()
    {
        directory_.takeEndedRuns(now_);
        return directory_.usableEndpoints("lm", now_).size();
    }

    EndpointDirectory directory_{EndpointDirectoryOptions{}};
    TimePoint now_{100s};
};

TEST_F(EndpointDirectoryTest, EndpointDrains_EntryUpdated_IsNotUsable)
{
    EndpointRecord leaving = record("a");
    directory_.onRegistered(leaving);
    EXPECT_EQ(usableCount(), 1U);
    leaving.draining = true;
    directory_.onRegistered(leaving);
    EXPECT_EQ(usableCount(), 0U);
    EXPECT_FALSE(directory_.isUsable(leaving, now_));
}

// Guards against planned ends of endpoints that count as crashes, and against crashes that count as planned.
TEST_F(EndpointDirectoryTest, RunsEnd_ThoseThatDrainOrLeft_AreLeavingAndACrashedOneIsNot)
{
    EndpointRecord draining = record("draining");
    draining.draining = true;
    directory_.onRegistered(draining);
    directory_.onRegistered(record("gone"));
    directory_.onEntriesMissing({"gone"}, now_);
    directory_.onRegistered(record("crashed"));
    EXPECT_TRUE(directory_.isLeaving(draining));
    EXPECT_TRUE(directory_.isLeaving(record("gone")));
    EXPECT_FALSE(directory_.isLeaving(record("crashed")));
    directory_.onRegistered(record("crashed", 2));
    EXPECT_FALSE(directory_.isLeaving(record("crashed", 1)));
}

// Guards against requests to an endpoint that said it is leaving only in its answers.
TEST_F(EndpointDirectoryTest, EndpointStatesInAnswerThatItLeaves_EntryStaysReady_IsNotUsableUntilItsNextRun)
{
    directory_.onRegistered(record("a"));
    directory_.onLeaving(record("a"));
    EXPECT_EQ(usableCount(), 0U);
    EXPECT_TRUE(directory_.nonDrainingEndpoints("lm").empty());
    directory_.onRegistered(record("a"));
    EXPECT_EQ(usableCount(), 0U);
    EXPECT_FALSE(directory_.isUsable(record("a"), now_));
    directory_.onRegistered(record("a", 2));
    EXPECT_EQ(usableCount(), 1U);
}

// Guards against requests to an endpoint in the time for which it wants none.
TEST_F(EndpointDirectoryTest, EndpointTurnsRequestsAway_IsNotUsableForTheStatedTime)
{
    directory_.onRegistered(record("a"));
    directory_.onTurnedAway(record("a"), now_ + 2s);
    directory_.onTurnedAway(record("a"), now_ + 1s);
    directory_.onRegistered(record("a"));
    now_ += 1500ms;
    EXPECT_EQ(usableCount(), 0U);
    EXPECT_FALSE(directory_.isUsable(record("a"), now_));
    EXPECT_EQ(directory_.nonDrainingEndpoints("lm").size(), 1U);
    now_ += 500ms;
    EXPECT_EQ(usableCount(), 1U);
}

TEST_F(EndpointDirectoryTest, AnswerOfFormerRun_SaysItLeaves_NextRunIsUsable)
{
    directory_.onRegistered(record("a", 2));
    directory_.onLeaving(record("a", 1));
    directory_.onTurnedAway(record("a", 1), now_ + 2s);
    EXPECT_EQ(usableCount(), 1U);
}

TEST_F(EndpointDirectoryTest, EntryMissing_StoreAvailable_IsNotUsable)
{
    directory_.onRegistered(record("a"));
    directory_.onRegistered(record("b"));
    directory_.onRegistered(record("c"));
    directory_.replaceAll({record("a"), record("b")}, now_);
    EXPECT_EQ(usableCount(), 2U);
}

TEST_F(EndpointDirectoryTest, EntriesExpireInStoreOutage_StoreRecovers_AreRetainedUntilReregistrationTime)
{
    directory_.replaceAll({record("a"), record("b")}, now_);
    directory_.onStoreLost();
    now_ += 10s;
    directory_.onStoreRecovered(now_);
    directory_.replaceAll({}, now_);
    EXPECT_EQ(usableCount(), 2U);
    now_ += 1s;
    directory_.onRegistered(record("a"));
    now_ += 2s;
    EXPECT_EQ(usableCount(), 1U) << "endpoints that did not register again are removed";
}

TEST_F(EndpointDirectoryTest, AllEntriesMissingAtOnce_NoOutageSeen_AreRetainedAndMayRegisterAgain)
{
    directory_.replaceAll({record("a"), record("b"), record("c")}, now_);
    now_ += 1s;
    directory_.replaceAll({}, now_);
    EXPECT_EQ(usableCount(), 3U);
    now_ += 1s;
    directory_.onRegistered(record("a"));
    now_ += 2s;
    EXPECT_EQ(usableCount(), 1U);
}

// Guards against requests to endpoints that left together and end after the drain time, because their leaving is taken for an outage
// (DRAIN).
TEST_F(EndpointDirectoryTest, HalfOfAllEndpointsLeaveAtOnce_DrainTimeEnds_AreNotUsableAnyMore)
{
    constexpr Duration LongestDelivery = 250ms;
    directory_.replaceAll({record("a"), record("b"), record("c"), record("d")}, now_);
    now_ += 1s;
    directory_.onEntriesMissing({"a", "b"}, now_);
    now_ += 700ms;
    directory_.onEntriesMissing({"c"}, now_);
    now_ += EndpointDirectoryOptions{}.drainTime - 700ms - LongestDelivery;
    EXPECT_EQ(usableCount(), 1U);
    EXPECT_TRUE(directory_.isUsable(record("d"), now_));
}

TEST_F(EndpointDirectoryTest, EndpointRestartsWithSameId_Registered_FormerRunHasEnded)
{
    directory_.onRegistered(record("a", 1));
    directory_.onRegistered(record("a", 2));
    const auto ended = directory_.takeEndedRuns(now_);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().startedAt, 1U);
    EXPECT_FALSE(directory_.isUsable(record("a", 1), now_));
    EXPECT_TRUE(directory_.isUsable(record("a", 2), now_));
}

TEST_F(EndpointDirectoryTest, StageChangeAnnounced_UntilItIsDone_EngineIsNotUsable)
{
    directory_.onRegistered(record("a"));
    directory_.onStageChangeAnnounced("a", EngineStage::Prefill, now_ + 7s);
    EXPECT_EQ(usableCount(), 0U);
    EXPECT_EQ(directory_.nonDrainingEndpoints("lm").size(), 1U);
    EndpointRecord changed = record("a");
    changed.stage = EngineStage::Prefill;
    directory_.onRegistered(changed);
    EXPECT_EQ(usableCount(), 1U);
}

TEST_F(EndpointDirectoryTest, StageChangeAnnouncedButNotMade_TimeExpires_EngineIsUsableAgain)
{
    directory_.onRegistered(record("a"));
    directory_.onStageChangeAnnounced("a", EngineStage::Prefill, now_ + 7s);
    now_ += 8s;
    EXPECT_EQ(usableCount(), 1U);
}

// Guards against requests to an endpoint that has said that it leaves, or is gone, and that an older copy of the store shows as ready.
TEST_F(EndpointDirectoryTest, StoreComesBackFromOlderCopy_EndpointsThatLeftOrLeave_StayOut)
{
    const EndpointRecord gone = record("gone");
    const EndpointRecord leaving = record("leaving");
    const EndpointRecord staying = record("staying");
    directory_.replaceAll({gone, leaving, staying}, now_);
    directory_.onEntriesMissing({"gone"}, now_);
    EndpointRecord says = leaving;
    says.draining = true;
    directory_.onRegistered(says);
    EXPECT_EQ(usableCount(), 1U);
    now_ += 3s;
    directory_.onStoreRestored(now_);
    directory_.replaceAll({gone, leaving, staying}, now_);
    EXPECT_EQ(usableCount(), 1U);
    // An endpoint whose entry is written after the return is there.
    directory_.onRegistered(gone);
    EXPECT_EQ(usableCount(), 2U);
}

TEST_F(EndpointDirectoryTest, StoreComesBackFromOlderCopy_OlderEntryOfSameRun_ChangesNothing)
{
    EndpointRecord entry = record("a");
    entry.sequence = 5;
    entry.stage = EngineStage::Prefill;
    directory_.onRegistered(entry);
    entry.sequence = 3;
    entry.stage = EngineStage::Decode;
    directory_.onRegistered(entry);
    EXPECT_EQ(directory_.allEndpoints().front().stage, EngineStage::Prefill);
    EndpointRecord restarted = record("a", 2);
    restarted.sequence = 1;
    directory_.onRegistered(restarted);
    EXPECT_EQ(directory_.allEndpoints().front().startedAt, 2U);
}

}

}

/**
 * Tests of Evacuations with EndpointDirectory and StagePlanner: which data centres are evacuated when rows come and go, when the store is
 * away or comes back from an older copy, and which endpoints and engines are left meanwhile.
 */
#include "endpointdirectory.h"
#include "evacuations.h"
#include "stageplanner.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

using Names = std::set<std::string>;

class EvacuationsTest : public testing::Test
{
protected:
    static EndpointRecord engine(const std::string &id, const std::string &dataCentre, EngineStage stage = EngineStage::Decode)
    {
        EndpointRecord result;
        result.id = id;
        result.service = "lm";
        result.address = {"10.0.0.1", 80};
        result.dataCentre = dataCentre;
        result.stage = stage;
        return result;
    }

    /** Ids of the endpoints that accept requests now. */
    Names usable()
    {
        directory_.setEvacuated(evacuations_.dataCentres());
        Names result;
        for (const auto &record : directory_.usableEndpoints("lm", now_)) {
            result.insert(record.id);
        }
        return result;
    }

    std::vector<std::string> released_;
    std::vector<Duration> lasted_;
    Evacuations evacuations_{EvacuationOptions{}, [this](const std::string &dataCentre, TimePoint, Duration lasted) {
                                 released_.push_back(dataCentre);
                                 lasted_.push_back(lasted);
                             }};
    EndpointDirectory directory_{EndpointDirectoryOptions{}};
    TimePoint now_{100s};
};

// Guards against endpoints of an evacuated data centre that get first attempts, retries or orders.
TEST_F(EvacuationsTest, RowWritten_EndpointsThere_AreLeftOutUntilItIsRemoved)
{
    const EndpointRecord there = engine("a", "dc-1");
    directory_.replaceAll({there, engine("b", "dc-2")}, now_);
    EXPECT_EQ(usable(), (Names{"a", "b"}));
    evacuations_.onRowWritten("dc-1", now_);
    EXPECT_EQ(usable(), Names{"b"});
    EXPECT_FALSE(directory_.isUsable(there, now_));
    ASSERT_EQ(directory_.nonDrainingEndpoints("lm").size(), 1U);
    EXPECT_EQ(directory_.nonDrainingEndpoints("lm").front().id, "b");
    EXPECT_EQ(directory_.allEndpoints().size(), 2U);
    evacuations_.onRowRemoved("dc-1", now_ + 7s);
    EXPECT_EQ(usable(), (Names{"a", "b"}));
    EXPECT_TRUE(directory_.isUsable(there, now_));
}

// Guards against a data centre that is taken back without the notice by which its endpoints count as cold, or with two.
TEST_F(EvacuationsTest, RowRemovedOrMissingInFullRead_Release_IsToldOnceWithTheTimeSinceTheRowWasRead)
{
    evacuations_.onRowWritten("dc-1", now_);
    evacuations_.replaceAll({"dc-1", "dc-2"}, now_ + 1s);
    EXPECT_TRUE(released_.empty());
    evacuations_.onRowRemoved("dc-1", now_ + 3s);
    evacuations_.onRowRemoved("dc-1", now_ + 4s);
    evacuations_.replaceAll({}, now_ + 5s);
    EXPECT_EQ(released_, (std::vector<std::string>{"dc-1", "dc-2"}));
    EXPECT_EQ(lasted_, (std::vector<Duration>{3s, 4s}));
}

// Guards against a handler that is needed to use the class.
TEST_F(EvacuationsTest, NoHandler_RowRemoved_EvacuationEnds)
{
    Evacuations evacuations{EvacuationOptions{}};
    evacuations.onRowWritten("dc-1", now_);
    evacuations.onRowRemoved("dc-1", now_);
    EXPECT_TRUE(evacuations.dataCentres().empty());
}

// Guards against an evacuation that ends with a store outage: nothing is read then, and the row is still there afterwards.
TEST_F(EvacuationsTest, StoreIsAwayBetweenCallAndRead_Evacuation_BeginsWithTheReadAndLasts)
{
    directory_.replaceAll({engine("a", "dc-1")}, now_);
    directory_.onStoreLost();
    now_ += 60s;
    evacuations_.releaseExpired(now_);
    EXPECT_EQ(usable(), Names{"a"});
    directory_.onStoreRecovered(now_);
    evacuations_.replaceAll({"dc-1"}, now_);
    EXPECT_TRUE(usable().empty());
    directory_.onStoreLost();
    now_ += 600s;
    evacuations_.releaseExpired(now_);
    EXPECT_TRUE(usable().empty());
    EXPECT_TRUE(released_.empty());
}

// Guards against requests to an evacuated data centre while the store holds an older copy.
TEST_F(EvacuationsTest, StoreComesBackFromCopyWithoutRow_OperatorWritesItAgain_EvacuationGoesOn)
{
    evacuations_.onRowWritten("dc-1", now_);
    now_ += 60s;
    evacuations_.onStoreRestored(now_);
    evacuations_.replaceAll({}, now_);
    evacuations_.replaceAll({}, now_ + 1s);
    EXPECT_EQ(evacuations_.dataCentres(), Names{"dc-1"});
    evacuations_.onRowWritten("dc-1", now_ + 2s);
    evacuations_.releaseExpired(now_ + 10s);
    EXPECT_EQ(evacuations_.dataCentres(), Names{"dc-1"});
    EXPECT_TRUE(released_.empty());
    evacuations_.onRowRemoved("dc-1", now_ + 20s);
    EXPECT_EQ(lasted_, std::vector<Duration>{80s});
}

// Guards against an evacuation that stays for ever after a store's return, since its row was removed while the store was away.
TEST_F(EvacuationsTest, StoreComesBackFromCopyWithoutRow_NobodyWritesItAgain_EndsAfterTheRewriteTime)
{
    evacuations_.onRowWritten("dc-1", now_);
    evacuations_.onStoreRestored(now_);
    evacuations_.replaceAll({}, now_);
    evacuations_.releaseExpired(now_ + 2199ms);
    EXPECT_EQ(evacuations_.dataCentres(), Names{"dc-1"});
    evacuations_.releaseExpired(now_ + 2200ms);
    EXPECT_TRUE(evacuations_.dataCentres().empty());
    EXPECT_EQ(released_, std::vector<std::string>{"dc-1"});
}

// Guards against a second return of the store that cuts the operator's time to write the row again.
TEST_F(EvacuationsTest, StoreComesBackTwice_Evacuation_IsKeptFromTheSecondReturn)
{
    evacuations_.onRowWritten("dc-1", now_);
    evacuations_.onStoreRestored(now_);
    evacuations_.replaceAll({}, now_);
    evacuations_.onStoreRestored(now_ + 2s);
    evacuations_.replaceAll({}, now_ + 2s);
    evacuations_.releaseExpired(now_ + 4s);
    EXPECT_EQ(evacuations_.dataCentres(), Names{"dc-1"});
    evacuations_.releaseExpired(now_ + 4200ms);
    EXPECT_TRUE(evacuations_.dataCentres().empty());
}

// Guards against a data centre that stays evacuated although the operator removes its row right after the store's return.
TEST_F(EvacuationsTest, StoreComesBackFromOlderCopy_OperatorRemovesRow_EndsAtOnce)
{
    evacuations_.onRowWritten("dc-1", now_);
    evacuations_.onStoreRestored(now_);
    evacuations_.replaceAll({}, now_);
    evacuations_.onRowRemoved("dc-1", now_ + 1s);
    EXPECT_TRUE(evacuations_.dataCentres().empty());
}

// Guards against the end of one evacuation that ends another, and against an endpoint that is left where all are evacuated.
TEST_F(EvacuationsTest, EvacuationsOverlap_EachDataCentre_IsUsableOnlyOutsideItsOwn)
{
    directory_.replaceAll({engine("a", "dc-1"), engine("b", "dc-2")}, now_);
    evacuations_.onRowWritten("dc-1", now_);
    evacuations_.onRowWritten("dc-2", now_ + 1s);
    EXPECT_TRUE(usable().empty());
    evacuations_.onRowRemoved("dc-1", now_ + 2s);
    EXPECT_EQ(usable(), Names{"a"});
    evacuations_.onRowRemoved("dc-2", now_ + 3s);
    EXPECT_EQ(usable(), (Names{"a", "b"}));
}

// Guards against endpoints that are used because they registered, or moved, after the evacuation began.
TEST_F(EvacuationsTest, EndpointsAreReplacedWhileEvacuated_NewIdsAndRuns_AreLeftOutAtOnce)
{
    directory_.replaceAll({engine("a", "dc-1"), engine("b", "dc-2")}, now_);
    evacuations_.onRowWritten("dc-1", now_);
    EXPECT_EQ(usable(), Names{"b"});
    EndpointRecord restarted = engine("a", "dc-1");
    restarted.startedAt = 5;
    directory_.replaceAll({restarted, engine("c", "dc-1"), engine("d", "dc-1", EngineStage::Prefill)}, now_);
    EXPECT_FALSE(directory_.isUsable(restarted, now_));
    EXPECT_FALSE(directory_.isUsable(engine("c", "dc-1"), now_));
    EXPECT_TRUE(usable().empty());
}

// Guards against a name that belongs to no data centre and takes others with it.
TEST_F(EvacuationsTest, UnknownDataCentre_Evacuated_ChangesNothing)
{
    directory_.replaceAll({engine("a", "dc-1"), engine("b", "dc-10")}, now_);
    evacuations_.onRowWritten("dc", now_);
    evacuations_.onRowWritten("dc-2", now_);
    EXPECT_EQ(usable(), (Names{"a", "b"}));
}

/** An evacuation before the stage planner. */
class EvacuatedEnginesTest : public EvacuationsTest
{
protected:
    static EngineTraits traits()
    {
        EngineTraits result;
        result.slots = 32;
        result.kvCacheTokens = 1400000;
        result.kvBytesPerToken = 327680;
        result.linkMegabitsPerSecond = 22000000;
        result.stageChangeTime = 3s;
        return result;
    }

    /** Plans once a second and applies the changes. @return the data centres of the engines that were to change. */
    Names planFor(int seconds)
    {
        Names result;
        for (int second = 0; second < seconds; ++second) {
            now_ += 1s;
            directory_.setEvacuated(evacuations_.dataCentres());
            for (const auto &change : planner_.plan(directory_.nonDrainingEndpoints("lm"), 0, traits(), std::nullopt, now_)) {
                EndpointRecord changed = change.engine;
                changed.stage = change.stage;
                directory_.onRegistered(changed);
                result.insert(change.engine.dataCentre);
            }
        }
        return result;
    }

    std::ptrdiff_t remaining(EngineStage stage) const
    {
        const auto engines = directory_.nonDrainingEndpoints("lm");
        return std::count_if(engines.begin(), engines.end(), [stage](const auto &each) { return each.stage == stage; });
    }

    StagePlanner planner_{StagePlannerOptions{}};
};

// Guards against a service that has lost all prefill engines to an evacuation, or none left to decode, and orders to evacuated engines.
TEST_F(EvacuatedEnginesTest, DataCentreWithAllPrefillEnginesIsEvacuated_Planner_ReassignsOnlyRemainingEngines)
{
    for (int i = 0; i < 12; ++i) {
        const bool isFirst = i < 4;
        directory_.onRegistered(
            engine("e" + std::to_string(i), isFirst ? "dc-1" : "dc-2", isFirst ? EngineStage::Prefill : EngineStage::Decode));
    }
    planFor(10);
    for (int i = 0; i < 4; ++i) {
        EndpointRecord prefill = engine("e" + std::to_string(i), "dc-1", EngineStage::Prefill);
        directory_.onRegistered(prefill);
    }
    evacuations_.onRowWritten("dc-1", now_);
    EXPECT_EQ(planFor(60), Names{"dc-2"});
    EXPECT_GE(remaining(EngineStage::Prefill), 2);
    EXPECT_GE(remaining(EngineStage::Decode), 2);
}

}

}

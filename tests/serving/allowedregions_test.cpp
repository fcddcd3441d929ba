/**
 * Tests of AllowedRegions: which endpoints a request may use whose route or customer is confined to regions.
 */
#include "allowedregions.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

class AllowedRegionsTest : public testing::Test
{
protected:
    bool permits(const std::string &dataCentre) const
    {
        return allowed_.permits(dataCentre, regions_);
    }

    RegionsByDataCentre regions_{{"dc-1", "north"}, {"dc-2", "south"}, {"dc-3", "north"}};
    AllowedRegions allowed_;
};

// Guards against a deployment that states no regions and is served differently than before.
TEST_F(AllowedRegionsTest, NoListOrEmptyList_AnyDataCentre_IsPermitted)
{
    EXPECT_TRUE(permits("dc-1"));
    EXPECT_TRUE(permits("unknown"));
    allowed_.restrictTo({});
    EXPECT_TRUE(permits("unknown"));
}

// Guards against prompts that reach a data centre of which nobody knows where it is.
TEST_F(AllowedRegionsTest, OneList_DataCentreElsewhereOrUnknown_IsNotPermitted)
{
    allowed_.restrictTo({"north"});
    EXPECT_TRUE(permits("dc-1"));
    EXPECT_TRUE(permits("dc-3"));
    EXPECT_FALSE(permits("dc-2"));
    EXPECT_FALSE(permits("unknown"));
    EXPECT_FALSE(permits(""));
}

// Guards against a route's list that takes the place of the customer's, or the other way round.
TEST_F(AllowedRegionsTest, RouteAndCustomerHaveLists_OnlyRegionsInBoth_ArePermitted)
{
    allowed_.restrictTo({"north", "south"});
    allowed_.restrictTo({"south", "east"});
    EXPECT_FALSE(permits("dc-1"));
    EXPECT_TRUE(permits("dc-2"));
}

// Guards against lists without a common region that are taken for no restriction.
TEST_F(AllowedRegionsTest, ListsHaveNoRegionInCommon_AnyDataCentre_IsNotPermitted)
{
    allowed_.restrictTo({"north"});
    allowed_.restrictTo({"south"});
    allowed_.restrictTo({});
    EXPECT_FALSE(permits("dc-1"));
    EXPECT_FALSE(permits("dc-2"));
}

// Guards against a prefill engine that is used although only the run's endpoint was checked.
TEST_F(AllowedRegionsTest, EnginesOfBothStages_Filtered_OnlyThoseInTheRegionStay)
{
    std::vector<EndpointRecord> engines;
    for (const char *dataCentre : {"dc-1", "dc-2", "dc-3"}) {
        for (const EngineStage stage : {EngineStage::Prefill, EngineStage::Decode}) {
            EndpointRecord engine;
            engine.dataCentre = dataCentre;
            engine.stage = stage;
            engines.push_back(engine);
        }
    }
    allowed_.restrictTo({"south"});
    const auto left = allowed_.permitted(engines, regions_);
    ASSERT_EQ(left.size(), 2U);
    EXPECT_EQ(left[0].dataCentre, "dc-2");
    EXPECT_EQ(left[1].dataCentre, "dc-2");
}

}

}

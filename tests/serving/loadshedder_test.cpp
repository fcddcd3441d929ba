/**
 * Tests which requests a late gateway refuses. They guard against refusals while there is processor time, and against a gateway that goes
 * on accepting everything while it is late.
 */
#include "loadshedder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class LoadShedderTest : public testing::Test
{
protected:
    int refusedOf(int requests, Duration lateness) const
    {
        int refused = 0;
        for (int i = 0; i < requests; ++i) {
            refused += shedder_.mustRefuse(lateness, "request-" + std::to_string(i)) ? 1 : 0;
        }
        return refused;
    }

    LoadShedder shedder_{LoadShedderOptions{}};
};

TEST_F(LoadShedderTest, LoopInTime_Requests_AreAllAccepted)
{
    EXPECT_EQ(refusedOf(1000, 0ms), 0);
    EXPECT_EQ(refusedOf(1000, 100ms), 0);
}

TEST_F(LoadShedderTest, LoopLate_Requests_AreRefusedInTheStatedFraction)
{
    EXPECT_NEAR(refusedOf(10000, 250ms), 4500, 200);
    EXPECT_NEAR(refusedOf(10000, 5s), 9000, 200);
}

RC_GTEST_FIXTURE_PROP(LoadShedderTest, LoopLater_RequestThatIsRefused_StaysRefused, (const std::string &id))
{
    const auto less = std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
    const auto more = less + std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
    RC_ASSERT(!shedder_.mustRefuse(less, id) || shedder_.mustRefuse(more, id));
}

}

}

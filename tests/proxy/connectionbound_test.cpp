/**
 * Tests the bound on open connections. They guard against callers that take all descriptors of the process, and against a connection with
 * a request in progress that is closed for one without.
 */
#include "callerbudget.h"
#include "connectionbound.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

namespace Chestnutcove {

namespace {

class ConnectionBoundTest : public testing::Test
{
protected:
    struct Connection
    {
        explicit Connection(ConnectionBound &bound)
            : member(bound, [this] { isEvicted = true; })
        {
        }
        bool isEvicted = false;
        ConnectionBound::Member member;
    };

    ConnectionBound bound_{3};
    Connection first_{bound_};
    Connection second_{bound_};
    Connection third_{bound_};
};

// Guards against an idle connection that is kept in place of one whose request arrives.
TEST_F(ConnectionBoundTest, OneIsIdle_RoomIsNeeded_ItIsEvictedBeforeOthers)
{
    first_.member.setUse(ConnectionUse::Reading);
    third_.member.setUse(ConnectionUse::Closing);
    EXPECT_TRUE(bound_.makeRoom(1));
    EXPECT_FALSE(first_.isEvicted);
    EXPECT_TRUE(second_.isEvicted);
    EXPECT_FALSE(third_.isEvicted);
}

// Guards against a connection that has just been used and is evicted before one that never was.
TEST_F(ConnectionBoundTest, AllAreIdle_RoomIsNeeded_LongestIdleIsEvicted)
{
    first_.member.setUse(ConnectionUse::Idle);
    EXPECT_TRUE(bound_.makeRoom(1));
    EXPECT_FALSE(first_.isEvicted);
    EXPECT_TRUE(second_.isEvicted);
    EXPECT_FALSE(third_.isEvicted);
}

// Guards against a request in progress that is broken off for a new connection.
TEST_F(ConnectionBoundTest, AllHaveRequestsInProgress_RoomIsNeeded_NoneIsEvicted)
{
    ConnectionBound bound(4);
    Connection one(bound);
    Connection two(bound);
    one.member.setUse(ConnectionUse::Responding);
    two.member.setUse(ConnectionUse::Responding);
    EXPECT_EQ(bound.used(), 4U);
    EXPECT_FALSE(bound.makeRoom(1));
    EXPECT_FALSE(one.isEvicted);
    EXPECT_FALSE(two.isEvicted);
}

// Guards against endpoints' connections for which no descriptor is left.
TEST_F(ConnectionBoundTest, RequestBegins_RoomForItsEndpointIsNeeded_IdleConnectionIsEvicted)
{
    third_.member.setUse(ConnectionUse::Responding);
    EXPECT_TRUE(bound_.makeRoom(0));
    EXPECT_TRUE(first_.isEvicted);
    EXPECT_FALSE(second_.isEvicted);
    EXPECT_EQ(bound_.used(), 3U);
}

// Guards against ended connections that still count.
TEST_F(ConnectionBoundTest, ConnectionEnds_NoLongerCounts)
{
    {
        Connection fourth(bound_);
        EXPECT_EQ(bound_.used(), 4U);
    }
    EXPECT_EQ(bound_.used(), 3U);
}

RC_GTEST_FIXTURE_PROP(ConnectionBoundTest, AnyUses_RoomIsMade_BoundHoldsUnlessAllRespond, ())
{
    ConnectionBound bound(8);
    std::vector<std::unique_ptr<Connection>> connections;
    for (int step = 0; step < 40; ++step) {
        const bool hasRoom = bound.makeRoom(1);
        RC_ASSERT(!hasRoom || bound.used() < std::size_t{8});
        std::erase_if(connections, [](const auto &connection) { return connection->isEvicted; });
        if (hasRoom) {
            connections.push_back(std::make_unique<Connection>(bound));
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, connections.size());
        const auto use = static_cast<ConnectionUse>(*rc::gen::inRange(0, 4));
        connections.at(index)->member.setUse(use);
    }
}

// Guards against callers that are given the descriptors reserved for files, and against a bound nobody stated.
TEST(CallerBudgetTest, DescriptorsAreBounded_ConnectionsOfCallers_LeaveTheReserve)
{
    EXPECT_EQ(CallerBudget::connectionsOf(1000), 600U);
    EXPECT_EQ(CallerBudget::connectionsOf(100), CallerBudget::MinConnections);
    EXPECT_EQ(CallerBudget::connectionsOf(0), std::numeric_limits<std::size_t>::max());
}

}

}

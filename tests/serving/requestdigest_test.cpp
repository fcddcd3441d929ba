/**
 * Tests which requests count as repeats of each other.
 */
#include "requestdigest.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

TEST(RequestDigestTest, SamePathCallerAndBody_Digests_AreEqual)
{
    EXPECT_EQ(requestDigest("/a?b", "desk", "blue"), requestDigest("/a?b", "desk", "blue"));
    EXPECT_EQ(requestDigest("", "", "").size(), 16U);
}

TEST(RequestDigestTest, OnePartDiffers_Digests_Differ)
{
    const std::string digest = requestDigest("/a", "desk", "blue");
    EXPECT_NE(requestDigest("/b", "desk", "blue"), digest);
    EXPECT_NE(requestDigest("/a", "shop", "blue"), digest);
    EXPECT_NE(requestDigest("/a", "desk", "green"), digest);
}

TEST(RequestDigestTest, TextMovesBetweenParts_Digests_Differ)
{
    EXPECT_NE(requestDigest("/a", "b", "c"), requestDigest("/ab", "", "c"));
    EXPECT_NE(requestDigest("/a", "b1:c", ""), requestDigest("/a", "b", "c"));
}

}

}

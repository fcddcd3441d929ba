/**
 * Tests how far an answer has to come until it shows that its request is sound.
 */
#include "answerprogress.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class AnswerProgressTest : public testing::Test
{
protected:
    /** Pieces arrive in these intervals. @return whether the answer came far enough with one of them. */
    bool play(int pieces, Duration interval)
    {
        bool isProven = false;
        for (int i = 0; i < pieces; ++i) {
            isProven = progress_.onPiece(now_) || isProven;
            now_ += interval;
        }
        return isProven;
    }

    AnswerProgress progress_;
    TimePoint now_{100s};
};

// Guards against a part that is cleared by the answers under which it crashes engines.
TEST_F(AnswerProgressTest, TenEventsOfASlowEngine_Answer_ProvesNothing)
{
    EXPECT_FALSE(play(10, 500ms));
}

TEST_F(AnswerProgressTest, ManyEventsAtOnce_Answer_ProvesNothing)
{
    EXPECT_FALSE(play(100, 10ms));
}

TEST_F(AnswerProgressTest, ManyEventsForSeconds_Answer_IsProofOnce)
{
    EXPECT_TRUE(play(300, 10ms));
    EXPECT_FALSE(play(300, 10ms));
}

}

}

/**
 * Tests where events of a stream begin and end, for all line ends and wherever the stream is cut.
 */
#include "eventstream.h"
#include "loadshedder.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <ctime>
#include <ratio>
#include <string>

namespace Chestnutcove {

namespace {

class EventStreamTest : public testing::Test
{
protected:
    static constexpr std::array<std::string_view, 3> LineEnds{"\n", "\r\n", "\r"};

    static std::string event(std::string_view data, std::string_view lineEnd)
    {
        return "data: " + std::string(data) + std::string(lineEnd) + std::string(lineEnd);
    }

    /** Processor time of the current thread. */
    static double processorSeconds()
    {
        timespec used{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / std::nano::den;
    }
};

// Guards against a broken stream that is taken for a whole one, wherever it is cut.
TEST_F(EventStreamTest, StreamCutInsideEvent_EveryPosition_IsBroken)
{
    for (const std::string_view lineEnd : LineEnds) {
        const std::string first = event("a", lineEnd);
        const std::string both = first + event("b", lineEnd);
        for (std::size_t size = first.size() + 1; size + lineEnd.size() < both.size(); ++size) {
            const std::string_view cut = std::string_view(both).substr(0, size);
            EXPECT_EQ(wholeEventsSize(cut), first.size()) << size;
            EXPECT_TRUE(endsInsideEvent(cut.substr(wholeEventsSize(cut)))) << size;
        }
    }
}

TEST_F(EventStreamTest, StreamEndsAfterEvent_AnyLineEnd_IsWhole)
{
    for (const std::string_view lineEnd : LineEnds) {
        const std::string both = event("a", lineEnd) + event("b", lineEnd);
        EXPECT_EQ(wholeEventsSize(both), both.size());
        EXPECT_FALSE(endsInsideEvent(std::string_view(both).substr(wholeEventsSize(both))));
    }
}

// Guards against an end of an event that is missed since it arrives in two pieces.
TEST_F(EventStreamTest, StreamArrivesInTwoPieces_EveryPosition_EndsOfEventsAreFound)
{
    for (const std::string_view lineEnd : LineEnds) {
        const std::string whole = event("a", lineEnd);
        for (std::size_t size = 0; size < whole.size(); ++size) {
            ASSERT_EQ(wholeEventsSize(std::string_view(whole).substr(0, size)), 0U);
            EXPECT_EQ(wholeEventsSize(whole, size), whole.size()) << size;
        }
    }
}

// Guards against an event loop that stands still, since all bytes of a long event are searched again with each piece.
TEST_F(EventStreamTest, LongEventArrivesInSmallPieces_SearchTakesTimeOnlyForNewBytes)
{
    constexpr std::size_t EventBytes = std::size_t{1} << 20U;
    constexpr std::size_t PieceBytes = 64;
    const std::string bytes(EventBytes, 'x');
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t size = PieceBytes; size <= EventBytes; size += PieceBytes) {
        ASSERT_EQ(wholeEventsSize(std::string_view(bytes).substr(0, size), size - PieceBytes), 0U);
    }
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(1));
}

TEST_F(EventStreamTest, ManyBytesFollowEvent_AnyNumber_EndOfEventIsFound)
{
    constexpr std::size_t MaxFollowing = 600;
    for (const std::string_view lineEnd : LineEnds) {
        const std::string first = event("a", lineEnd);
        for (std::size_t following = 0; following < MaxFollowing; ++following) {
            EXPECT_EQ(wholeEventsSize(first + std::string(following, 'x')), first.size()) << following;
            EXPECT_EQ(wholeEventsSize(std::string(following, 'x') + first), following + first.size()) << following;
        }
    }
}

// Guards against answers without any event whose search makes the event loop so late that other callers' requests are refused.
TEST_F(EventStreamTest, ManyAnswersHoldNoEvent_SearchOfAll_TakesLessThanTheLatenessAtWhichRequestsAreRefused)
{
#ifndef __OPTIMIZE__
    GTEST_SKIP() << "a build without optimisation tells nothing about processor time";
#endif
    constexpr std::size_t Answers = 150;
    constexpr std::size_t AnswerBytes = std::size_t{1} << 20U;
    constexpr std::size_t PieceBytes = std::size_t{64} << 10U;
    for (const std::string_view line : {"x", "id: 1\r\n", "a\n"}) {
        std::string bytes;
        while (bytes.size() < AnswerBytes) {
            bytes += line;
        }
        const double start = processorSeconds();
        for (std::size_t i = 0; i < Answers; ++i) {
            for (std::size_t size = PieceBytes; size <= AnswerBytes; size += PieceBytes) {
                ASSERT_EQ(wholeEventsSize(std::string_view(bytes).substr(0, size), size - PieceBytes), 0U);
            }
        }
        EXPECT_LT(processorSeconds() - start, toSeconds(LoadShedderOptions{}.acceptAll)) << line;
    }
}

TEST_F(EventStreamTest, EmptyOrFurtherEmptyLines_Stream_IsWhole)
{
    EXPECT_EQ(wholeEventsSize(""), 0U);
    EXPECT_FALSE(endsInsideEvent(""));
    EXPECT_FALSE(endsInsideEvent("\n"));
}

}

}

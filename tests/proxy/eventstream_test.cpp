/**
 * Tests where events of a stream begin and end, for all line ends and wherever the stream is cut.
 */
#include "eventstream.h"

#include <gtest/gtest.h>

#include <array>
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

TEST_F(EventStreamTest, EmptyOrFurtherEmptyLines_Stream_IsWhole)
{
    EXPECT_EQ(wholeEventsSize(""), 0U);
    EXPECT_FALSE(endsInsideEvent(""));
    EXPECT_FALSE(endsInsideEvent("\n"));
}

}

}

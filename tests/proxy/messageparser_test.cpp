/**
 * Tests the parser's bound on the heads of responses.
 */
#include "messageparser.h"

#include <gtest/gtest.h>

#include <string>

namespace Chestnutcove {

namespace {

class ResponseHeadTest : public testing::Test
{
protected:
    MessageParser parser_{MessageParser::Type::Response, {nullptr, [](std::string_view) {}}};
};

// Guards against a bound that a head escapes because it ends in the piece with which it exceeds it.
TEST_F(ResponseHeadTest, HeadEndsBeyondTheBound_Parser_Fails)
{
    constexpr std::size_t PieceBytes = 60'000;
    const std::string start = "HTTP/1.1 200 OK\r\nX: ";
    parser_.feed(start + std::string(PieceBytes, 'x'));
    ASSERT_EQ(parser_.state(), MessageParser::State::Head);
    parser_.feed(std::string(PieceBytes, 'x') + "\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(parser_.state(), MessageParser::State::Failed);
    EXPECT_TRUE(parser_.isHeadTooLong());
}

// Guards against an answer that was cut off and counts as one that never began.
TEST_F(ResponseHeadTest, HeadIsAStatusLineAlone_Parser_HasStarted)
{
    parser_.feed("HTTP/1.1 200\r\n\r\n");
    ASSERT_EQ(parser_.state(), MessageParser::State::Body);
    EXPECT_TRUE(parser_.hasStarted());
}

TEST_F(ResponseHeadTest, HeadWithinTheBoundAndLongBodyArriveAtOnce_Parser_ReadsThem)
{
    constexpr std::size_t BodyBytes = 200'000;
    parser_.feed("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x'));
    EXPECT_EQ(parser_.state(), MessageParser::State::Complete);
}

}

}

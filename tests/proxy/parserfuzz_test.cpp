/**
 * Feeds the parsers of both sides with messages put together from sound and odd pieces, cut anywhere. What is read must not depend on where
 * the network cut the bytes; otherwise a proxy and its peer may disagree on where a message ends (request smuggling).
 */
#include "eventstream.h"
#include "messageparser.h"
#include "sseparser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnutcove {

namespace {

/** What a parser has made of a connection's bytes. */
struct Reading
{
    std::vector<std::string> messages;
    MessageParser::State lastState = MessageParser::State::Head;

    bool operator==(const Reading &) const = default;
};

std::string textOf(const MessageParser &parser, MessageParser::Type type, const std::string &body)
{
    const bool isRequest = type == MessageParser::Type::Request;
    std::string text = isRequest ? parser.request().method + ' ' + parser.request().target : std::to_string(parser.response().status);
    for (const HeaderField &field : isRequest ? parser.request().fields : parser.response().fields) {
        text += '\n' + field.name + '=' + field.value;
    }
    return text + '\n' + body + '\n' + std::to_string(parser.contentLength().value_or(0)) + (parser.keepsAlive() ? " kept" : " closed");
}

/** Reads message after message, as a connection does, until one fails or the bytes end with @p pieces. */
Reading readAll(MessageParser::Type type, const std::vector<std::string> &pieces)
{
    Reading reading;
    std::string body;
    MessageParser parser(type, {nullptr, [&body](std::string_view bytes) { body += bytes; }});
    std::string input;
    const auto readMessages = [&] {
        while (!input.empty() && parser.state() != MessageParser::State::Failed) {
            input.erase(0, parser.feed(input));
            if (parser.state() != MessageParser::State::Complete) {
                break;
            }
            reading.messages.push_back(textOf(parser, type, body));
            body.clear();
            parser.restart();
        }
    };
    for (const std::string &piece : pieces) {
        input += piece;
        readMessages();
    }
    if (parser.state() != MessageParser::State::Failed && parser.hasStarted()) {
        parser.feedEof();
        if (parser.state() == MessageParser::State::Complete) {
            reading.messages.push_back(textOf(parser, type, body));
        }
    }
    reading.lastState = parser.state();
    return reading;
}

std::vector<std::string> cutAtRandom(const std::string &bytes)
{
    auto cuts = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    cuts.push_back(bytes.size());
    std::sort(cuts.begin(), cuts.end());
    std::vector<std::string> pieces;
    std::size_t from = 0;
    for (const std::size_t to : cuts) {
        pieces.push_back(bytes.substr(from, to - from));
        from = to;
    }
    return pieces;
}

std::vector<std::string> eachByte(const std::string &bytes)
{
    std::vector<std::string> pieces;
    for (const char byte : bytes) {
        pieces.emplace_back(1, byte);
    }
    return pieces;
}

/** At times one byte is changed. */
std::string perhapsSpoiled(std::string bytes)
{
    if (!bytes.empty() && *rc::gen::inRange(0, 3) == 0) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    return bytes;
}

/** Up to @p most of the parts, one after the other. */
std::string someOf(const std::vector<std::string> &parts, std::size_t most)
{
    std::string bytes;
    for (std::size_t count = *rc::gen::inRange<std::size_t>(0, most + 1); count > 0; --count) {
        bytes += *rc::gen::elementOf(parts);
    }
    return bytes;
}

/** Messages that follow each other on a connection. */
std::string someMessages(const std::vector<std::string> &startLines, const std::vector<std::string> &fields)
{
    static const std::vector<std::string> bodyParts{
        "hello", "5\r\nhello\r\n", "5;e=1\r\nhello\r\n", "0\r\n\r\n", "0\r\nT: t\r\n\r\n", "fffffffffffffffff\r\n", "-1\r\n", "\r\n", "\n"};
    std::string bytes;
    for (int count = *rc::gen::inRange(1, 5); count > 0; --count) {
        bytes += *rc::gen::elementOf(startLines);
        bytes += someOf(fields, 3);
        bytes += *rc::gen::inRange(0, 10) == 0 ? "\n" : "\r\n";
        bytes += someOf(bodyParts, 2);
    }
    return perhapsSpoiled(bytes);
}

std::string someRequests()
{
    static const std::vector<std::string> startLines{
        "POST /a HTTP/1.1\r\n", "GET /b HTTP/1.0\r\n", "HEAD / HTTP/1.1\r\n", "CONNECT h:1 HTTP/1.1\r\n", "PUT / HTTP/1.1\n"};
    static const std::vector<std::string> fields{"Host: h\r\n",
                                                 "Content-Length: 5\r\n",
                                                 "Content-Length: +5\r\n",
                                                 "Content-Length: 5, 5\r\n",
                                                 "Transfer-Encoding: chunked\r\n",
                                                 "Transfer-Encoding: gzip\r\n",
                                                 "Transfer-Encoding: gzip, chunked\r\n",
                                                 "Connection: close\r\n",
                                                 "Upgrade: x\r\n",
                                                 "X: a\r\n folded\r\n",
                                                 "X : y\r\n",
                                                 "X:\r\n",
                                                 "X: y\n"};
    return someMessages(startLines, fields);
}

std::string someResponses()
{
    static const std::vector<std::string> startLines{"HTTP/1.1 200 OK\r\n",
                                                     "HTTP/1.1 200\r\n",
                                                     "HTTP/1.0 500 Error\r\n",
                                                     "HTTP/1.1 100 Continue\r\n",
                                                     "HTTP/1.1 101 Other\r\n",
                                                     "HTTP/1.1 204 None\r\n",
                                                     "HTTP/1.1 304 Same\r\n"};
    static const std::vector<std::string> fields{"Content-Length: 5\r\n",
                                                 "Content-Length: 6\r\n",
                                                 "Transfer-Encoding: chunked\r\n",
                                                 "Connection: close\r\n",
                                                 "Connection: keep-alive\r\n",
                                                 "Upgrade: x\r\n",
                                                 "Keep-Alive: timeout=5\r\n",
                                                 "X: a\r\n folded\r\n"};
    return someMessages(startLines, fields);
}

std::string someStream()
{
    constexpr std::size_t MaxParts = 30;
    static const std::vector<std::string> parts{
        "data: a", "data:b", "id: 1", "event: x", ":", "x", "\n", "\r\n", "\r", "\n\n", "\r\n\r\n", "\r\r", std::string(300, 'y')};
    return perhapsSpoiled(someOf(parts, MaxParts));
}

/** The definition, looked for at each position. */
std::size_t wholeEventsSizeByDefinition(std::string_view bytes)
{
    for (std::size_t size = bytes.size(); size > 0; --size) {
        const std::string_view start = bytes.substr(0, size);
        if (start.ends_with("\n\n") || start.ends_with("\r\n\r\n") || start.ends_with("\r\r")) {
            return size;
        }
    }
    return 0;
}

RC_GTEST_PROP(ParserFuzz, RequestsCutAnywhere_Reading_IsThatOfOnePiece, ())
{
    const std::string bytes = someRequests();
    const Reading whole = readAll(MessageParser::Type::Request, {bytes});
    RC_CLASSIFY(!whole.messages.empty(), "reads a message");
    RC_CLASSIFY(whole.messages.size() > 1, "reads several");
    RC_ASSERT(readAll(MessageParser::Type::Request, cutAtRandom(bytes)) == whole);
    RC_ASSERT(readAll(MessageParser::Type::Request, eachByte(bytes)) == whole);
}

RC_GTEST_PROP(ParserFuzz, ResponsesCutAnywhere_Reading_IsThatOfOnePiece, ())
{
    const std::string bytes = someResponses();
    const Reading whole = readAll(MessageParser::Type::Response, {bytes});
    RC_CLASSIFY(!whole.messages.empty(), "reads a message");
    RC_CLASSIFY(whole.messages.size() > 1, "reads several");
    RC_ASSERT(readAll(MessageParser::Type::Response, cutAtRandom(bytes)) == whole);
    RC_ASSERT(readAll(MessageParser::Type::Response, eachByte(bytes)) == whole);
}

RC_GTEST_PROP(ParserFuzz, StreamCutAnywhere_Events_AreThoseOfOnePiece, ())
{
    const std::string bytes = someStream();
    SseParser whole;
    const auto expected = whole.feed(bytes);
    SseParser inPieces;
    std::vector<std::string> events;
    for (const std::string &piece : cutAtRandom(bytes)) {
        const auto completed = inPieces.feed(piece);
        events.insert(events.end(), completed.begin(), completed.end());
    }
    RC_ASSERT(events == expected);
}

RC_GTEST_PROP(ParserFuzz, StreamCutAnywhere_WholeEvents_EndWhereTheDefinitionSays, ())
{
    const std::string bytes = someStream();
    std::size_t size = 0;
    for (const std::string &piece : cutAtRandom(bytes)) {
        const std::string_view before(bytes.data(), size);
        size += piece.size();
        const std::string_view now(bytes.data(), size);
        RC_ASSERT(wholeEventsSize(now) == wholeEventsSizeByDefinition(now));
        if (wholeEventsSizeByDefinition(before) == 0) {
            RC_ASSERT(wholeEventsSize(now, before.size()) == wholeEventsSizeByDefinition(now));
        }
    }
}

}

}

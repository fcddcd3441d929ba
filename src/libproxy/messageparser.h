/**
 * Incremental parser of HTTP/1.1 messages, a thin layer over http_parser. It stops at the end of each message and doesn't consume the bytes
 * that follow.
 */
#pragma once

#include "message.h"
#include "nametable.h"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Chestnutcove {

/** What marks the end of a message's body. */
enum class BodyFraming {
    /** The head: it states the length, or that there is no body. */
    Length,
    Chunks,
    /** The end of the connection. */
    Connection,
};

inline constexpr NameTable<BodyFraming, 3> BodyFramingNames{{
    {BodyFraming::Length, "length"},
    {BodyFraming::Chunks, "chunks"},
    {BodyFraming::Connection, "connection"},
}};

class MessageParser
{
public:
    enum class Type {
        Request,
        Response,
    };

    enum class State {
        Head,
        Body,
        /** The message is complete; restart() begins the next. */
        Complete,
        Failed,
    };

    struct Handlers
    {
        /** The head is complete; called before any byte of the body. May be empty. */
        std::function<void()> onHead;
        std::function<void(std::string_view)> onBody;
    };

    MessageParser(Type type, Handlers handlers);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /** Prepares for the next message. @param withoutBody the message has no body whatever its fields say, such as a response to HEAD. */
    void restart(bool withoutBody = false);
    /** @return the number of consumed bytes, which belong to the current message. */
    std::size_t feed(std::string_view bytes);
    /** Signals that the peer closed the connection in an orderly way, which completes a message without a stated length. */
    void feedEof();

    State state() const;
    /** The head of a request; complete once the state is past Head. */
    const RequestHead &request() const;
    const ResponseHead &response() const;
    BodyFraming framing() const;
    /** The body's length as stated by the head, or nothing. */
    std::optional<std::uint64_t> contentLength() const;
    bool keepsAlive() const;
    /** Number of bytes of the head that were parsed so far; of a complete head, those of its fields and its target or reason. */
    std::size_t headBytes() const;
    /** The parser failed because the head has too many bytes or fields. */
    bool isHeadTooLong() const;
    /** At least one byte of the message was parsed. */
    bool hasStarted() const;

private:
    static MessageParser &self(http_parser *parser);
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onStatus(http_parser *parser, const char *data, std::size_t size);
    static int onField(http_parser *parser, const char *data, std::size_t size);
    static int onValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadComplete(http_parser *parser);
    static int onBodyData(http_parser *parser, const char *data, std::size_t size);
    static int onComplete(http_parser *parser);
    static const http_parser_settings &settings();

    HeaderFields &fields();
    /** The message has no body, whatever its fields say (RFC 9112, 6.3). */
    bool endsWithHead() const;

    Type type_;
    Handlers handlers_;
    http_parser parser_{};
    State state_ = State::Head;
    RequestHead request_;
    ResponseHead response_;
    std::size_t headBytes_ = 0;
    bool isHeadTooLong_ = false;
    bool withoutBody_ = false;
    bool lastWasValue_ = false;
    BodyFraming framing_ = BodyFraming::Length;
    bool keepsAlive_ = false;
    std::optional<std::uint64_t> contentLength_;
};

inline MessageParser::State MessageParser::state() const
{
    return state_;
}

inline const RequestHead &MessageParser::request() const
{
    return request_;
}

inline const ResponseHead &MessageParser::response() const
{
    return response_;
}

inline BodyFraming MessageParser::framing() const
{
    return framing_;
}

inline std::optional<std::uint64_t> MessageParser::contentLength() const
{
    return contentLength_;
}

inline bool MessageParser::keepsAlive() const
{
    return keepsAlive_;
}

inline std::size_t MessageParser::headBytes() const
{
    return headBytes_;
}

inline bool MessageParser::isHeadTooLong() const
{
    return isHeadTooLong_;
}

inline bool MessageParser::hasStarted() const
{
    return state_ != State::Head || headBytes_ > 0;
}

}

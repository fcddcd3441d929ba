#include "messageparser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr int SkipBody = 1;
/** Returned by a callback to make http_parser fail. */
constexpr int Stop = 1;
/** The same for the callback at the end of the head, whose 1 and 2 mean something else. */
constexpr int Fail = -1;
constexpr int FirstFinalStatus = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
/** Characters that a field's name must not contain, although http_parser accepts them; a peer may read such a field in another way. */
constexpr std::string_view InvalidInNames = " \t\r\n";

bool hasInvalidName(const HeaderField &field)
{
    return field.name.find_first_of(InvalidInNames) != std::string::npos;
}

/** Size of the head as it is usually written; spaces around values and folded lines don't count. */
std::size_t textSize(const HeaderFields &fields, std::size_t startLine)
{
    constexpr std::size_t Separators = std::string_view(": \r\n").size();
    std::size_t size = startLine;
    for (const HeaderField &field : fields) {
        size += field.name.size() + field.value.size() + Separators;
    }
    return size;
}

/** Raises http_parser's built-in limit; the users of this class apply their own limit to headBytes() of requests. */
constexpr std::uint32_t MaxRequestHeadBytes = 1 << 20;
constexpr std::size_t MaxResponseHeadBytes = std::size_t{64} * 1024;
/** Short fields take many times their bytes in memory, so that a bound on bytes alone isn't enough. */
constexpr std::size_t MaxHeadFields = 256;

}

MessageParser::MessageParser(Type type, Handlers handlers)
    : type_(type)
    , handlers_(std::move(handlers))
{
    http_parser_set_max_header_size(MaxRequestHeadBytes);
    restart();
}

void MessageParser::restart(bool withoutBody)
{
    http_parser_init(&parser_, type_ == Type::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    state_ = State::Head;
    request_ = {};
    response_ = {};
    headBytes_ = 0;
    isHeadTooLong_ = false;
    withoutBody_ = withoutBody;
    lastWasValue_ = false;
    framing_ = BodyFraming::Length;
    keepsAlive_ = false;
    contentLength_.reset();
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    if (state_ == State::Complete || state_ == State::Failed || bytes.empty()) {
        return 0;
    }
    const bool inHead = state_ == State::Head;
    const std::size_t used = http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
    if (inHead && state_ == State::Head) {
        headBytes_ += used;
    }
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error != HPE_OK && error != HPE_PAUSED && state_ != State::Complete) {
        state_ = State::Failed;
    }
    if (type_ == Type::Response && state_ == State::Head && headBytes_ > MaxResponseHeadBytes) {
        isHeadTooLong_ = true;
        state_ = State::Failed;
    }
    return used;
}

void MessageParser::feedEof()
{
    if (state_ == State::Complete || state_ == State::Failed) {
        return;
    }
    http_parser_execute(&parser_, &settings(), nullptr, 0);
    if (state_ != State::Complete) {
        state_ = State::Failed;
    }
}

MessageParser &MessageParser::self(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

HeaderFields &MessageParser::fields()
{
    return type_ == Type::Request ? request_.fields : response_.fields;
}

int MessageParser::onUrl(http_parser *parser, const char *data, std::size_t size)
{
    self(parser).request_.target.append(data, size);
    return 0;
}

int MessageParser::onStatus(http_parser *parser, const char *data, std::size_t size)
{
    self(parser).response_.reason.append(data, size);
    return 0;
}

int MessageParser::onField(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &message = self(parser);
    // Fields after the body are trailers, which aren't forwarded.
    if (message.state_ != State::Head) {
        return 0;
    }
    HeaderFields &fields = message.fields();
    if (fields.empty() || message.lastWasValue_) {
        if (fields.size() == MaxHeadFields) {
            message.isHeadTooLong_ = true;
            return Stop;
        }
        fields.emplace_back();
        message.lastWasValue_ = false;
    }
    fields.back().name.append(data, size);
    return 0;
}

int MessageParser::onValue(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &message = self(parser);
    if (message.state_ != State::Head) {
        return 0;
    }
    message.fields().back().value.append(data, size);
    message.lastWasValue_ = true;
    return 0;
}

int MessageParser::onHeadComplete(http_parser *parser)
{
    MessageParser &message = self(parser);
    const HeaderFields &fields = message.fields();
    if (std::any_of(fields.begin(), fields.end(), hasInvalidName)) {
        return Fail;
    }
    if (message.type_ == Type::Request) {
        message.request_.method = http_method_str(static_cast<http_method>(parser->method));
    } else {
        message.response_.status = static_cast<int>(parser->status_code);
    }
    message.state_ = State::Body;
    const std::size_t startLine = message.type_ == Type::Request ? message.request_.target.size() : message.response_.reason.size();
    message.headBytes_ = textSize(fields, startLine);
    if (message.type_ == Type::Response && message.headBytes_ > MaxResponseHeadBytes) {
        message.isHeadTooLong_ = true;
        return Fail;
    }
    const bool chunked = (parser->flags & F_CHUNKED) != 0;
    const bool hasLength = parser->content_length != std::numeric_limits<std::uint64_t>::max();
    if (!chunked && hasLength) {
        message.contentLength_ = parser->content_length;
    }
    const bool endsWithHead = message.endsWithHead();
    const bool mayEndWithConnection = message.type_ == Type::Response && !endsWithHead && !hasLength;
    if (chunked && !endsWithHead) {
        message.framing_ = BodyFraming::Chunks;
    } else if (mayEndWithConnection) {
        message.framing_ = BodyFraming::Connection;
    }
    message.keepsAlive_ = message.framing_ != BodyFraming::Connection && http_should_keep_alive(parser) != 0;
    if (message.handlers_.onHead) {
        message.handlers_.onHead();
    }
    return endsWithHead ? SkipBody : 0;
}

bool MessageParser::endsWithHead() const
{
    const int status = response_.status;
    const bool neverHasBody = status < FirstFinalStatus || status == NoContent || status == NotModified;
    return withoutBody_ || (type_ == Type::Response && neverHasBody);
}

int MessageParser::onBodyData(http_parser *parser, const char *data, std::size_t size)
{
    self(parser).handlers_.onBody({data, size});
    return 0;
}

int MessageParser::onComplete(http_parser *parser)
{
    self(parser).state_ = State::Complete;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &MessageParser::settings()
{
    static const http_parser_settings shared = [] {
        http_parser_settings settings{};
        settings.on_url = onUrl;
        settings.on_status = onStatus;
        settings.on_header_field = onField;
        settings.on_header_value = onValue;
        settings.on_headers_complete = onHeadComplete;
        settings.on_body = onBodyData;
        settings.on_message_complete = onComplete;
        return settings;
    }();
    return shared;
}

}

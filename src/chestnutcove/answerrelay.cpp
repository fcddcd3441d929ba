#include "answerrelay.h"

#include "eventstream.h"
#include "suspendclock.h"
#include "text.h"

namespace Chestnutcove {

namespace {

/** Number of bytes buffered for a slow caller above which reading from the endpoint is paused. */
constexpr std::size_t MaxPendingBytes = std::size_t{256} * 1024;

}

bool mayBeEventStream(const ResponseHead &head)
{
    const HeaderField *type = findField(head.fields, "Content-Type");
    return type == nullptr || lowerCase(trimmed(type->value)).starts_with("text/event-stream");
}

AnswerRelay::AnswerRelay(CallerExchange &exchange, Metrics &metrics)
    : exchange_(exchange)
    , metrics_(metrics)
{
}

bool AnswerRelay::onBody(OutgoingCall &call, std::string_view bytes)
{
    call.body.append(bytes);
    const bool isPiecewise = call.isEventStream || exchange_.hasBegun() || call.body.size() > MaxBufferedAnswerBytes;
    if (isPiecewise && mayForward(call)) {
        forward(call);
    }
    return call.body.size() <= MaxKeptAnswerBytes;
}

bool AnswerRelay::tryFlush(OutgoingCall &call)
{
    if (!mayForward(call)) {
        return false;
    }
    forward(call);
    return call.body.empty();
}

bool AnswerRelay::mayForward(const OutgoingCall &call)
{
    return call.work == CallWork::Run && call.isSuccess() && call.answer.isSigned;
}

void AnswerRelay::forward(OutgoingCall &call)
{
    // Only complete events are forwarded, so that a broken stream never ends inside an event.
    std::size_t size = call.body.size();
    if (call.isEventStream) {
        size = wholeEventsSize(call.body, call.searchedBytes);
        call.searchedBytes = call.body.size() - size;
    }
    if (size == 0) {
        return;
    }
    beginAnswer(*call.head);
    exchange_.sendBody(std::string_view(call.body).substr(0, size));
    call.body.erase(0, size);
    if (exchange_.pendingBytes() > MaxPendingBytes && call.connection) {
        call.connection->pauseReading();
    }
}

void AnswerRelay::beginAnswer(const ResponseHead &head)
{
    if (exchange_.hasBegun()) {
        return;
    }
    metrics_.distribution("first_byte_seconds").add(toSeconds(suspendAwareNow() - exchange_.arrivedAt()));
    exchange_.beginResponse(Platform::encodeResponse(head), std::nullopt);
}

}

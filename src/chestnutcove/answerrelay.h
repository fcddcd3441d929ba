/**
 * Sends an endpoint's answer on to the caller while it arrives, as far as that is allowed: event streams by whole events, and answers that
 * are too long to be kept whole in pieces.
 */
#pragma once

#include "callerserver.h"
#include "metrics.h"
#include "outgoingcall.h"

#include <cstddef>
#include <string_view>

namespace Chestnutcove {

/** Bytes of an answer that can't be forwarded, such as a failure or the beginning of an event, after which it is broken off. */
inline constexpr std::size_t MaxKeptAnswerBytes = std::size_t{1024} * 1024;
/** Whole answers up to this size are buffered, so that the request can be retried if one is cut off; longer ones are sent in pieces. */
inline constexpr std::size_t MaxBufferedAnswerBytes = std::size_t{256} * 1024;

class AnswerRelay
{
public:
    /** The arguments outlive the relay. */
    AnswerRelay(CallerExchange &exchange, Metrics &metrics);

    /** Adds bytes to the call's answer and forwards what may be forwarded. @return false if the answer is too long to be kept. */
    bool onBody(OutgoingCall &call, std::string_view bytes);
    /** Forwards what is kept. @return whether nothing is left. */
    bool tryFlush(OutgoingCall &call);
    /** The answer may be sent on while it arrives. */
    static bool mayForward(const OutgoingCall &call);

private:
    void forward(OutgoingCall &call);
    void beginAnswer(const ResponseHead &head);

    CallerExchange &exchange_;
    Metrics &metrics_;
};

/** Whether the response states no other content type than that of an event stream. */
bool mayBeEventStream(const ResponseHead &head);

}

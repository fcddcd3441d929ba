/**
 * One call to an endpoint: what was sent, and what has arrived of the answer.
 */
#pragma once

#include "answerprogress.h"
#include "attemptpolicy.h"
#include "endpointconnection.h"
#include "endpointloads.h"
#include "endpointrecord.h"
#include "requestcodec.h"
#include "timepoint.h"

#include <memory>
#include <optional>
#include <string>

namespace Chestnutcove {

bool isSuccessStatus(int status);

struct OutgoingCall
{
    EndpointRecord endpoint;
    CallWork work = CallWork::Run;
    PromptWork promptWork;
    /** The prompt that a run takes over from a prefill engine. */
    std::optional<Platform::PrefilledPrompt> prefilled;
    TimePoint startedAt;
    std::shared_ptr<EndpointConnection> connection;
    /** The answer's head, once it has arrived. */
    std::optional<ResponseHead> head;
    Platform::ResponseMetadata answer;
    /** Valid once the head has arrived. */
    BodyFraming framing = BodyFraming::Length;
    /** Bytes of the answer that were not forwarded yet; of an event stream, the beginning of an event. */
    std::string body;
    /** Leading bytes of the body that contain no end of an event. */
    std::size_t searchedBytes = 0;
    AnswerProgress progress;
    /** The answer is forwarded event by event. */
    bool isEventStream = false;
    /** The gateway has dropped the bytes of the answer, which were too many, and breaks the call off. */
    bool isGivenUp = false;

    /** Whether the answer's head has arrived and reports success. */
    bool isSuccess() const;
    /** Whether a prefill call that yielded no handle was answered as an endpoint does that runs the request. */
    bool isAnswerOfRun(AttemptOutcome outcome) const;
    /** The outcome of the attempt, given how the call ended. */
    AttemptOutcome outcomeOf(CallOutcome end) const;
};

}

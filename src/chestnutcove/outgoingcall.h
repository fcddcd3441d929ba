/**
 * One call to an endpoint: what it was given, and what has arrived of its answer.
 */
#pragma once

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
    /** The prompt that a run takes over, where it was read elsewhere. */
    std::optional<Platform::PrefilledPrompt> prefilled;
    TimePoint startedAt;
    std::shared_ptr<EndpointConnection> connection;
    /** The answer's head, once it arrived. */
    std::optional<ResponseHead> head;
    Platform::ResponseMetadata answer;
    std::string body;

    /** The answer has begun and says that the request was carried out. */
    bool isSuccess() const;
    /** What the answer means, if the call has ended like this. */
    AttemptOutcome outcomeOf(CallOutcome end) const;
};

}

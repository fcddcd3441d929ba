#include "outgoingcall.h"

#include "eventstream.h"

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int FirstSuccessStatus = 200;
constexpr int LastSuccessStatus = 299;

}

bool isSuccessStatus(int status)
{
    return status >= FirstSuccessStatus && status <= LastSuccessStatus;
}

bool OutgoingCall::isSuccess() const
{
    return head && Chestnutcove::isSuccessStatus(head->status);
}

bool OutgoingCall::hasRunBegun() const
{
    return head && work == CallWork::Run && !answer.notRun;
}

AttemptOutcome OutgoingCall::outcomeOf(CallOutcome end) const
{
    if (end == CallOutcome::NoResponse && !isGivenUp) {
        return AttemptOutcome::NoAnswer;
    }
    if (end == CallOutcome::Broken || isGivenUp || !head) {
        return AttemptOutcome::Broken;
    }
    if (answer.notRun) {
        return AttemptOutcome::NotRun;
    }
    if (!isSuccess()) {
        return AttemptOutcome::Failed;
    }
    // The end of a message doesn't prove that its content is whole: an endpoint that crashes may end its connection in an orderly way.
    if (isEventStream && endsInsideEvent(body)) {
        return AttemptOutcome::Broken;
    }
    const bool isTrusted = answer.isSigned || work == CallWork::Prefill;
    return isTrusted ? AttemptOutcome::Succeeded : AttemptOutcome::Broken;
}

ConnectionCall encodeCall(const RequestHead &head,
                          std::string body,
                          const Platform::ForwardingMetadata &facts,
                          const std::string &requestId,
                          bool hasCarriedCalls)
{
    ConnectionCall call;
    call.head = Platform::encodeRequest(head, facts);
    call.body = std::move(body);
    // On a connection that has carried another call, an answer without an id may be an earlier one that is written once more.
    const bool mayLackId = !hasCarriedCalls;
    call.matchesCall = [id = requestId, mayLackId](const ResponseHead &response) {
        const std::string answeredId = Platform::decodeResponse(response).requestId;
        return id.empty() || answeredId == id || (answeredId.empty() && mayLackId && !isSuccessStatus(response.status));
    };
    // Answers to prefill calls may come without a request id, also when they report success.
    if (facts.prefillOnly) {
        call.matchesCall = [id = requestId](const ResponseHead &response) {
            const std::string answeredId = Platform::decodeResponse(response).requestId;
            return answeredId.empty() || answeredId == id;
        };
    }
    return call;
}

}

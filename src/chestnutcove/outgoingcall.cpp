#include "outgoingcall.h"

#include "eventstream.h"

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

bool OutgoingCall::isAnswerOfRun(AttemptOutcome outcome) const
{
    // Engines answer prefill calls without a signature; a whole answer that is neither signed nor holds a handle tells nothing else.
    const bool isWhole = outcome == AttemptOutcome::Succeeded;
    return isSuccess() && !answer.notRun && (isWhole || answer.isSigned);
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

}

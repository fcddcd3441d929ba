#include "outgoingcall.h"

namespace Chestnutcove {

namespace {

constexpr int FirstSuccess = 200;
constexpr int LastSuccess = 299;

}

bool isSuccess(int status)
{
    return status >= FirstSuccess && status <= LastSuccess;
}

bool OutgoingCall::isSuccess() const
{
    return head && Chestnutcove::isSuccess(head->status);
}

AttemptOutcome OutgoingCall::outcomeOf(CallOutcome end) const
{
    if (end == CallOutcome::NoResponse) {
        return AttemptOutcome::NoAnswer;
    }
    if (end == CallOutcome::Broken || !head) {
        return AttemptOutcome::Broken;
    }
    if (answer.notRun) {
        return AttemptOutcome::NotRun;
    }
    if (!isSuccess()) {
        return AttemptOutcome::Failed;
    }
    const bool trusted = answer.isSigned || work == CallWork::Prefill;
    return trusted ? AttemptOutcome::Succeeded : AttemptOutcome::Broken;
}

}

#include "requestlog.h"

#include "suspendclock.h"

#include <utility>

namespace Chestnutcove {

bool isBrokenOff(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NoAnswer || outcome == AttemptOutcome::Broken;
}

RequestLog::RequestLog(ForwardingContext &context, const CallerExchange &exchange, const AdmittedRequest &request)
    : context_(context)
    , exchange_(exchange)
    , request_(request)
{
}

void RequestLog::onPlaced(const Placement &placement, std::uint64_t promptTokens)
{
    if (!request_.service->engine || std::exchange(isWorkRecorded_, true)) {
        return;
    }
    EngineWork work;
    if (placement.prefillEngine) {
        work.prefilledTokens = static_cast<double>(placement.uncachedTokens);
        work.transferredTokens = static_cast<double>(promptTokens);
    } else {
        work.decodePrefilledTokens = static_cast<double>(promptTokens);
    }
    context_.fleet.recordWork(request_.service->name, work);
}

void RequestLog::onCallStarted(const OutgoingCall &call)
{
    lastEndpointId_ = call.endpoint.id;
}

void RequestLog::onCallSent()
{
    lastSentAt_ = suspendAwareNow();
}

void RequestLog::onHead(const OutgoingCall &call)
{
    if (call.answer.load) {
        context_.loads.onLoadReported(call.endpoint.id, *call.answer.load, suspendAwareNow());
    }
    context_.endpoints.onAnswer(call);
    if (call.answer.isLeaving) {
        context_.directory.onLeaving(call.endpoint);
    }
    if (call.answer.turnedAwayFor) {
        context_.directory.onTurnedAway(call.endpoint, suspendAwareNow() + *call.answer.turnedAwayFor);
    }
    if (call.hasRunBegun() && !std::exchange(hasRunBegun_, true)) {
        context_.fleet.recordRequest(request_.customer);
    }
}

void RequestLog::onCallEnded(const OutgoingCall &call)
{
    if (call.work == CallWork::Run && request_.service->engine) {
        EngineWork work;
        work.busySlots = toSeconds(suspendAwareNow() - call.startedAt) * 1000;
        context_.fleet.recordWork(request_.service->name, work);
    }
}

void RequestLog::logFailure(const OutgoingCall &call, AttemptOutcome outcome) const
{
    if (outcome == AttemptOutcome::Succeeded) {
        return;
    }
    const auto &load = context_.loads.loadOf(call.endpoint.id);
    const auto lasted = std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - call.startedAt);
    context_.log.info("call failed",
                      {{"request", request_.facts.requestId},
                       {"digest", request_.content.digest},
                       {"endpoint", call.endpoint.id},
                       {"work", std::string(nameOf(CallWorkNames, call.work))},
                       {"outcome", std::string(nameOf(AttemptOutcomeNames, outcome))},
                       {"status", call.head ? std::to_string(call.head->status) : "none"},
                       {"endsWith", call.head ? std::string(nameOf(BodyFramingNames, call.framing)) : "none"},
                       {"unforwardedBytes", std::to_string(call.body.size())},
                       {"givenUp", call.isGivenUp ? "yes" : "no"},
                       {"ms", std::to_string(lasted.count())},
                       {"ownCalls", std::to_string(load.calls)},
                       {"reportedRunning", std::to_string(load.reported.running)},
                       {"reportedWaiting", std::to_string(load.reported.waiting)}});
}

void RequestLog::onPrefilled(const OutgoingCall &call)
{
    context_.metrics.distribution("prefill_seconds").add(toSeconds(suspendAwareNow() - call.startedAt));
    context_.metrics.counter(call.answer.load ? "prefill_answers_with_load_total" : "prefill_answers_without_load_total").add();
    context_.placement.recordPrefill(call.endpoint.id, request_.facts.promptParts, call.promptWork.tokens);
}

void RequestLog::onRunEnded(const OutgoingCall &call, AttemptOutcome outcome)
{
    answerFraming_ = call.framing;
    unforwardedBytes_ = call.body.size();
    reportRunEnd(call, outcome);
}

void RequestLog::reportRunEnd(const OutgoingCall &call, AttemptOutcome outcome)
{
    CrashReporter &reporter = context_.fleet.crashReporter();
    if (outcome == AttemptOutcome::Succeeded) {
        reporter.onRunAnswered(request_.content);
    } else if (outcome == AttemptOutcome::Failed) {
        reporter.onRunFailed(request_.content);
    } else if (isBrokenOff(outcome) && !call.isGivenUp && !exchange_.hasBegun()) {
        reporter.onRunBroken(call.endpoint, request_.content, call.startedAt);
    }
}

void RequestLog::setHedge(HedgeResult result)
{
    hedge_ = result;
}

std::string RequestLog::sentAfterText() const
{
    if (lastSentAt_ == TimePoint{}) {
        return "none";
    }
    return std::to_string(std::chrono::duration_cast<Milliseconds>(lastSentAt_ - exchange_.arrivedAt()).count());
}

void RequestLog::onFinished(std::string_view outcome, int status, unsigned attempts, unsigned prefills, const Placement &placement)
{
    const double seconds = toSeconds(suspendAwareNow() - exchange_.arrivedAt());
    context_.metrics.counter("requests_total{outcome=\"" + std::string(outcome) + "\"}").add();
    context_.metrics.distribution("request_seconds").add(seconds);
    context_.log.info("request done",
                      {{"request", request_.facts.requestId},
                       {"route", request_.route->name},
                       {"customer", request_.customer},
                       {"endpoint", lastEndpointId_},
                       {"attempts", std::to_string(attempts)},
                       {"sentAfterMs", sentAfterText()},
                       {"prefills", std::to_string(prefills)},
                       {"expectedWaitMs", std::to_string(std::chrono::duration_cast<Milliseconds>(placement.expectedWait).count())},
                       {"tokensToRead", std::to_string(placement.uncachedTokens)},
                       {"late", placement.isLate ? "yes" : "no"},
                       {"catalogueVersion", std::to_string(request_.catalogue->version())},
                       {"status", std::to_string(status)},
                       {"hedge", std::string(nameOf(HedgeResultNames, hedge_))},
                       {"outcome", std::string(outcome)},
                       {"endsWith", std::string(nameOf(BodyFramingNames, answerFraming_))},
                       {"unforwardedBytes", std::to_string(unforwardedBytes_)},
                       {"ms", std::to_string(static_cast<int>(seconds * 1000))}});
}

}

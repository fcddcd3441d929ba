#include "forwardedrequest.h"

#include "eventstream.h"
#include "rendezvous.h"
#include "shortcall.h"
#include "suspendclock.h"
#include "text.h"
#include "urgency.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
/** Whole answers up to this size are buffered, so that the request can be retried if one is cut off; longer ones are sent in pieces. */
constexpr std::size_t MaxBufferedAnswerBytes = std::size_t{256} * 1024;
/** Bytes of an answer that can't be forwarded, such as a failure or the beginning of an event, after which it is broken off. */
constexpr std::size_t MaxKeptAnswerBytes = std::size_t{1024} * 1024;
/** Number of bytes buffered for a slow caller above which reading from the endpoint is paused. */
constexpr std::size_t MaxPendingBytes = std::size_t{256} * 1024;
/** Time after the deadline within which an answer that the endpoint sent at the deadline may still arrive. */
constexpr Milliseconds DeadlineSlack{15};
/** Callers are told to retry after at most the time left divided by this. */
constexpr int RetryAfterDivisor = 3;
constexpr Milliseconds MinRetryAfter{50};
constexpr Milliseconds RetryAfterJitter{400};
/** Maximum number of prefill calls for one request. */
constexpr unsigned MaxPrefillCalls = 2;
/** Maximum number of runs with one held prompt. Then it is prefilled again, since its KV cache may be gone from the prefill engine. */
constexpr unsigned MaxHeldPromptRuns = 2;

bool isBrokenOff(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NoAnswer || outcome == AttemptOutcome::Broken;
}

/** Whether the response states no other content type than that of an event stream. */
bool mayBeEventStream(const ResponseHead &head)
{
    const HeaderField *type = findField(head.fields, "Content-Type");
    return type == nullptr || lowerCase(trimmed(type->value)).starts_with("text/event-stream");
}

}

ForwardedRequest::ForwardedRequest(ForwardingContext &context, std::shared_ptr<CallerExchange> exchange, AdmittedRequest request)
    : context_(context)
    , exchange_(std::move(exchange))
    , request_(std::move(request))
    , attemptPolicy_(request_.route->mayRepeat(), request_.route->maxAttempts)
    , deadlineTimer_(context.ioContext)
    , keptBytes_(context.keptAnswers, [this] { onKeptBytesExceeded(); })
{
    Milliseconds maxWait = request_.route->timeout;
    if (request_.facts.maxWait) {
        maxWait = std::min(maxWait, *request_.facts.maxWait);
    }
    deadline_ = exchange_->arrivedAt() + maxWait;
    placementQuery_.dataCentre = context_.dataCentre;
    if (request_.service->engine) {
        placementQuery_.generation
            = GenerationDemand{request_.facts.promptParts, request_.facts.promptTokens.value_or(0), request_.facts.maxOutputTokens};
    }
    placementQuery_.targetLatency = request_.route->targetLatency;
    placementQuery_.rank = request_.rank;
}

void ForwardedRequest::start()
{
    context_.requests.insert(this);
    exchange_->onCallerGone([self = shared_from_this()] { self->onCallerLeft(); });
    exchange_->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->call_ && self->call_->connection) {
            self->call_->connection->resumeReading();
        }
    });
    deadlineTimer_.expires_after(std::max(Duration(timeLeft()), Duration::zero()) + DeadlineSlack);
    deadlineTimer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onDeadline();
        }
    });
    context_.retryBudget(request_.service->name).recordFirstAttempt();
    placeRequest();
}

bool ForwardedRequest::isStreaming() const
{
    return request_.route->kind == RequestKind::Streaming;
}

Milliseconds ForwardedRequest::timeLeft() const
{
    return std::chrono::duration_cast<Milliseconds>(deadline_ - suspendAwareNow());
}

Milliseconds ForwardedRequest::retryAfterDelay(Duration wait) const
{
    // The jitter depends on the request's id, so that callers that were refused at the same time retry at different times.
    const auto jitter = Milliseconds(rendezvousHash(request_.facts.requestId) % RetryAfterJitter.count());
    const Milliseconds delay = std::chrono::duration_cast<Milliseconds>(wait) + MinRetryAfter + jitter;
    return std::max(MinRetryAfter, std::min(delay, timeLeft() / RetryAfterDivisor - MinRetryAfter));
}

void ForwardedRequest::placeRequest()
{
    if (timeLeft() <= Milliseconds::zero()) {
        onDeadline();
        return;
    }
    const TimePoint now = suspendAwareNow();
    if (!context_.stopSchedule.mayBegin(now, deadline_)) {
        endWithoutEndpointAnswer();
        return;
    }
    placementQuery_.maxWait = deadline_ - now;
    placement_ = context_.placement.place(placementQuery_, usableEndpoints(now), now);
    recordPlacedWork(placement_);
    switch (placement_.result) {
    case Placement::Result::NoEndpoint:
        context_.metrics.counter("requests_without_endpoint_total").add();
        endWithoutEndpointAnswer();
        return;
    case Placement::Result::Overloaded:
        context_.metrics.counter("requests_overloaded_total").add();
        refuseRequest(retryAfterDelay(placement_.expectedWait));
        return;
    case Placement::Result::Placed:
        break;
    }
    if (placement_.prefillEngine) {
        sendWithinLimit(*placement_.prefillEngine, [this] { sendPrefill(placement_); });
    } else {
        sendWithinLimit(*placement_.runEndpoint, [this] { sendRun(*placement_.runEndpoint, std::nullopt); });
    }
}

std::vector<EndpointRecord> ForwardedRequest::usableEndpoints(TimePoint now) const
{
    return context_.endpoints.withUnits(context_.endpointsFor(request_.service->name, request_.allowedRegions, now), now);
}

void ForwardedRequest::sendWithinLimit(const EndpointRecord &endpoint, std::function<void()> send)
{
    if (!context_.endpoints.isLimited(endpoint)) {
        send();
        return;
    }
    const auto isDecided = std::make_shared<bool>(false);
    const auto id = context_.endpoints.takeUnit(
        endpoint, [self = shared_from_this(), isDecided, endpoint, send = std::move(send)](std::optional<EndpointUnit> unit) {
            *isDecided = true;
            self->pendingUnit_.reset();
            self->unit_ = std::move(unit);
            if (self->unit_) {
                send();
                return;
            }
            self->placementQuery_.excluded.insert(endpoint.id);
            self->retryRequest();
        });
    if (!*isDecided) {
        pendingUnit_ = id;
    }
}

void ForwardedRequest::returnUnusedUnit()
{
    if (unit_) {
        context_.endpoints.returnUnit(*std::exchange(unit_, std::nullopt));
    }
}

void ForwardedRequest::recordPlacedWork(const Placement &placement)
{
    if (!placementQuery_.generation || std::exchange(isWorkRecorded_, true)) {
        return;
    }
    const auto promptTokens = static_cast<double>(placementQuery_.generation->promptTokens);
    EngineWork work;
    if (placement.prefillEngine) {
        work.prefilledTokens = static_cast<double>(placement.uncachedTokens);
        work.transferredTokens = promptTokens;
    } else {
        work.decodePrefilledTokens = promptTokens;
    }
    context_.fleet.recordWork(request_.service->name, work);
}

bool ForwardedRequest::chargeRetryBudget(CallWork work)
{
    if (!arrivalCounter_.isRetry(work) || context_.retryBudget(request_.service->name).tryTakeRetry()) {
        return true;
    }
    context_.metrics.counter("retries_without_budget_total").add();
    endWithoutEndpointAnswer();
    return false;
}

void ForwardedRequest::sendPrefill(const Placement &placement)
{
    if (!chargeRetryBudget(CallWork::Prefill)) {
        return;
    }
    ++prefillCalls_;
    Platform::ForwardingMetadata facts;
    facts.prefillOnly = true;
    sendCall(*placement.prefillEngine, CallWork::Prefill, placement.uncachedTokens, std::move(facts));
}

void ForwardedRequest::sendRun(const EndpointRecord &endpoint, const std::optional<Platform::PrefilledPrompt> &prompt)
{
    if (!chargeRetryBudget(CallWork::Run)) {
        return;
    }
    attemptPolicy_.onAttemptStarted();
    Platform::ForwardingMetadata facts;
    facts.prefilled = prompt;
    sendCall(endpoint, CallWork::Run, 0, std::move(facts));
}

void ForwardedRequest::sendCall(const EndpointRecord &endpoint,
                                CallWork work,
                                std::uint64_t uncachedTokens,
                                Platform::ForwardingMetadata facts)
{
    call_.emplace();
    call_->endpoint = endpoint;
    call_->work = work;
    call_->prefilled = facts.prefilled;
    call_->startedAt = suspendAwareNow();
    call_->promptWork = {uncachedTokens, placement_.isLate, call_->startedAt};
    lastEndpointId_ = endpoint.id;
    context_.loads.onCallStarted(endpoint.id, call_->promptWork);
    facts.customer = request_.customer;
    if (request_.service->engine) {
        facts.urgency = urgencyOf({placementQuery_.rank, placement_.isLate, work, placement_.hasShortAnswer});
    }
    facts.endpointId = endpoint.id;
    const unsigned limit = context_.connectionLimit(*request_.service);
    context_.pool.acquire(endpoint, limit, [self = shared_from_this(), endpoint, facts = std::move(facts)](const auto &connection) {
        if (self->isDone_ && connection.ok()) {
            self->context_.pool.release(endpoint, *connection);
        }
        if (self->isDone_) {
            return;
        }
        if (self->exchange_->hasCallerLeft(suspendAwareNow())) {
            if (connection.ok()) {
                self->context_.pool.release(endpoint, *connection);
            }
            self->onCallerLeft();
            return;
        }
        const bool mustNotSend = connection.ok() && self->mustNotSendTo(endpoint);
        if (mustNotSend) {
            self->context_.pool.release(endpoint, *connection);
        }
        if (!connection.ok() || mustNotSend) {
            const OutgoingCall call = self->endCall(AttemptOutcome::NotSent);
            self->logFailure(call, AttemptOutcome::NotSent);
            if (call.work == CallWork::Prefill) {
                self->onPrefillEnd(call, AttemptOutcome::NotSent);
            } else {
                self->onRunEnd(call, AttemptOutcome::NotSent);
            }
            return;
        }
        self->sendOverConnection(*connection, facts);
    });
}

bool ForwardedRequest::mustNotSendTo(const EndpointRecord &endpoint)
{
    const TimePoint now = suspendAwareNow();
    const bool mayServe = timeLeft() > Milliseconds::zero() && context_.directory.isUsable(endpoint, now);
    return !mayServe || !context_.endpoints.confirmUnit(endpoint, unit_, now);
}

void ForwardedRequest::sendOverConnection(const std::shared_ptr<EndpointConnection> &connection, const Platform::ForwardingMetadata &given)
{
    Platform::ForwardingMetadata facts = given;
    facts.timeLeft = timeLeft();
    call_->connection = connection;
    lastSentAt_ = suspendAwareNow();
    if (unit_) {
        context_.endpoints.onSent(*std::exchange(unit_, std::nullopt), lastSentAt_);
    }
    ConnectionCall call;
    call.head = Platform::encodeRequest(exchange_->head(), facts);
    call.body = exchange_->body();
    // On a connection that has carried another call, an answer without an id may be an earlier one that is written once more.
    const bool mayLackId = !connection->hasCarriedCalls();
    call.matchesCall = [id = request_.facts.requestId, mayLackId](const ResponseHead &head) {
        const std::string answeredId = Platform::decodeResponse(head).requestId;
        return id.empty() || answeredId == id || (answeredId.empty() && mayLackId && !isSuccessStatus(head.status));
    };
    // Answers to prefill calls may come without a request id, also when they report success.
    if (facts.prefillOnly) {
        call.matchesCall = [id = request_.facts.requestId](const ResponseHead &head) {
            const std::string answeredId = Platform::decodeResponse(head).requestId;
            return answeredId.empty() || answeredId == id;
        };
    }
    const auto self = shared_from_this();
    call.onHead = [self](const ResponseHead &head, std::optional<std::uint64_t>) { self->onHead(head); };
    call.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    call.onEnd = [self](CallOutcome end) { self->onCallEnd(end); };
    connection->send(std::move(call));
}

void ForwardedRequest::onHead(const ResponseHead &head)
{
    call_->head = head;
    call_->answer = Platform::decodeResponse(head);
    call_->framing = call_->connection->responseFraming();
    call_->isEventStream = isStreaming() && call_->work == CallWork::Run && mayBeEventStream(head);
    if (call_->answer.load) {
        context_.loads.onLoadReported(call_->endpoint.id, *call_->answer.load, suspendAwareNow());
    }
    context_.endpoints.onAnswer(*call_);
    if (call_->answer.isLeaving) {
        context_.directory.onLeaving(call_->endpoint);
    }
    if (call_->answer.turnedAwayFor) {
        context_.directory.onTurnedAway(call_->endpoint, suspendAwareNow() + *call_->answer.turnedAwayFor);
    }
    const bool hasBegun = call_->work == CallWork::Run && !call_->answer.notRun;
    if (hasBegun) {
        heldPrompt_.reset();
    }
    if (hasBegun && !std::exchange(hasRunBegun_, true)) {
        context_.fleet.recordRequest(request_.customer);
    }
}

void ForwardedRequest::onBody(std::string_view bytes)
{
    if (call_->isGivenUp) {
        return;
    }
    call_->body.append(bytes);
    if (mayForwardBody() && call_->progress.onPiece(suspendAwareNow())) {
        context_.fleet.crashReporter().onRunAnswered(request_.content);
    }
    const bool isPiecewise = call_->isEventStream || exchange_->hasBegun() || call_->body.size() > MaxBufferedAnswerBytes;
    if (isPiecewise && mayForwardBody()) {
        forwardBody();
    }
    if (call_->body.size() > MaxKeptAnswerBytes) {
        call_->isGivenUp = true;
        breakOffCall();
        return;
    }
    keptBytes_.resize(call_->body.size());
}

bool ForwardedRequest::mayForwardBody() const
{
    return call_->work == CallWork::Run && call_->isSuccess() && call_->answer.isSigned;
}

void ForwardedRequest::onKeptBytesExceeded()
{
    if (mayForwardBody()) {
        forwardBody();
        if (call_->body.empty()) {
            return;
        }
    }
    call_->isGivenUp = true;
    std::string().swap(call_->body);
    // Another request's call is being handled, so this one ends in a turn of its own.
    asio::post(context_.ioContext, [self = shared_from_this()] {
        if (self->call_ && self->call_->isGivenUp) {
            self->breakOffCall();
        }
    });
}

void ForwardedRequest::breakOffCall()
{
    context_.metrics.counter("answers_given_up_total").add();
    call_->connection->cancel();
    onCallEnd(CallOutcome::Broken);
}

void ForwardedRequest::forwardBody()
{
    // Only complete events are forwarded, so that a broken stream never ends inside an event.
    std::size_t size = call_->body.size();
    if (call_->isEventStream) {
        size = wholeEventsSize(call_->body, call_->searchedBytes);
        call_->searchedBytes = call_->body.size() - size;
    }
    if (size == 0) {
        return;
    }
    beginAnswer(*call_->head);
    exchange_->sendBody(std::string_view(call_->body).substr(0, size));
    std::string(call_->body, size).swap(call_->body);
    if (exchange_->pendingBytes() > MaxPendingBytes && call_->connection) {
        call_->connection->pauseReading();
    }
}

void ForwardedRequest::beginAnswer(const ResponseHead &head)
{
    if (exchange_->hasBegun()) {
        return;
    }
    context_.metrics.distribution("first_byte_seconds").add(toSeconds(suspendAwareNow() - exchange_->arrivedAt()));
    exchange_->beginResponse(Platform::encodeResponse(head), std::nullopt);
}

void ForwardedRequest::onCallEnd(CallOutcome end)
{
    const AttemptOutcome outcome = call_->outcomeOf(end);
    OutgoingCall call = endCall(outcome);
    logFailure(call, outcome);
    if (call.work == CallWork::Prefill) {
        onPrefillEnd(call, outcome);
    } else {
        onRunEnd(std::move(call), outcome);
    }
}

void ForwardedRequest::logFailure(const OutgoingCall &call, AttemptOutcome outcome) const
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

OutgoingCall ForwardedRequest::endCall(AttemptOutcome outcome)
{
    OutgoingCall call = std::move(*call_);
    call_.reset();
    if (call.work == CallWork::Run && request_.service->engine) {
        EngineWork work;
        work.busySlots = toSeconds(suspendAwareNow() - call.startedAt) * 1000;
        context_.fleet.recordWork(request_.service->name, work);
    }
    returnUnusedUnit();
    keptBytes_.resize(0);
    arrivalCounter_.onCallEnded(call.work, outcome);
    context_.loads.onCallEnded(call.endpoint.id, call.promptWork, outcome, suspendAwareNow());
    if (call.connection) {
        context_.pool.release(call.endpoint, call.connection);
    }
    return call;
}

void ForwardedRequest::onPrefillEnd(const OutgoingCall &call, AttemptOutcome outcome)
{
    const auto handle = Platform::decodePrefillHandle(call.body);
    const bool isHeld = outcome == AttemptOutcome::Succeeded && handle.ok();
    if (isHeld) {
        onPromptHeld(call, *handle);
        if (sendRunWithHeldPrompt()) {
            return;
        }
        releaseHeldPrompt();
    } else if (call.isAnswerOfRun(outcome)) {
        context_.metrics.counter("prefill_calls_run_total").add();
        attemptPolicy_.onPrefillRun();
    }
    placementQuery_.excluded.insert(call.endpoint.id);
    if (prefillCalls_ < MaxPrefillCalls && attemptPolicy_.mayRunAgain()) {
        placeRequest();
        return;
    }
    endWithoutEndpointAnswer();
}

void ForwardedRequest::onPromptHeld(const OutgoingCall &call, const std::string &handle)
{
    context_.metrics.distribution("prefill_seconds").add(toSeconds(suspendAwareNow() - call.startedAt));
    context_.metrics.counter(call.answer.load ? "prefill_answers_with_load_total" : "prefill_answers_without_load_total").add();
    context_.speeds.onPrefilled(call, suspendAwareNow());
    context_.placement.recordPrefill(call.endpoint.id, request_.facts.promptParts, call.promptWork.tokens);
    heldPrompt_ = Platform::PrefilledPrompt{call.endpoint.address, handle};
    heldPromptEngine_ = call.endpoint;
    heldPromptRuns_ = 0;
}

void ForwardedRequest::onRunEnd(OutgoingCall call, AttemptOutcome outcome)
{
    answerFraming_ = call.framing;
    unforwardedBytes_ = call.body.size();
    reportRunEnd(call, outcome);
    if (exchange_->hasBegun()) {
        if (outcome == AttemptOutcome::Succeeded) {
            exchange_->sendBody(call.body);
            exchange_->endResponse();
            finishRequest("answered", call.head->status);
        } else {
            exchange_->abort();
            finishRequest("stream broken by endpoint", call.head->status);
        }
        return;
    }
    const NextStep step
        = attemptPolicy_.onAttemptEnded(outcome, [this] { return context_.retryBudget(request_.service->name).mayRetry(); });
    placementQuery_.excluded.insert(call.endpoint.id);
    if (outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::NotRun) {
        // The endpoint has fetched the KV cache of the held prompt, or may have.
        heldPrompt_.reset();
    }
    const bool mayCrashAnother = isBrokenOff(outcome) && context_.fleet.crashReporter().isSuspected(request_.content);
    if (step == NextStep::Retry && mayCrashAnother) {
        endWithoutEndpointAnswer();
        return;
    }
    performStep(step, call);
}

void ForwardedRequest::reportRunEnd(const OutgoingCall &call, AttemptOutcome outcome)
{
    CrashReporter &reporter = context_.fleet.crashReporter();
    const bool mayHaveCrashed = !call.isGivenUp && !context_.directory.isLeaving(call.endpoint);
    if (outcome == AttemptOutcome::Succeeded) {
        context_.speeds.onRunAnswered(call, request_.route->name, request_.facts.maxOutputTokens, suspendAwareNow());
    }
    if (outcome == AttemptOutcome::Succeeded && call.framing == BodyFraming::Connection && mayHaveCrashed) {
        reporter.onConnectionEnded(call.endpoint, request_.content, call.startedAt);
    } else if (outcome == AttemptOutcome::Succeeded) {
        reporter.onRunAnswered(request_.content);
    } else if (outcome == AttemptOutcome::Failed) {
        reporter.onRunFailed(request_.content);
    } else if (isBrokenOff(outcome) && mayHaveCrashed) {
        reporter.onRunBroken(call.endpoint, request_.content, call.startedAt);
    }
}

void ForwardedRequest::performStep(NextStep step, const OutgoingCall &call)
{
    switch (step) {
    case NextStep::Retry:
        retryRequest();
        return;
    case NextStep::Relay:
        relayAnswer(call);
        return;
    case NextStep::RefuseNotRun:
    case NextStep::ReportUnknownOutcome:
        endWithoutEndpointAnswer();
        return;
    }
}

void ForwardedRequest::retryRequest()
{
    if (heldPrompt_ && heldPromptRuns_ < MaxHeldPromptRuns && timeLeft() > Milliseconds::zero() && sendRunWithHeldPrompt()) {
        return;
    }
    releaseHeldPrompt();
    placeRequest();
}

bool ForwardedRequest::sendRunWithHeldPrompt()
{
    const TimePoint now = suspendAwareNow();
    if (!context_.stopSchedule.mayBegin(now, deadline_)) {
        return false;
    }
    const auto engine = context_.placement.chooseRunEndpoint(placementQuery_, usableEndpoints(now), now);
    if (!engine) {
        return false;
    }
    sendWithinLimit(*engine, [this, endpoint = *engine] {
        ++heldPromptRuns_;
        sendRun(endpoint, heldPrompt_);
    });
    return true;
}

void ForwardedRequest::endWithoutEndpointAnswer()
{
    if (attemptPolicy_.mayHaveRun()) {
        sendOwnAnswer(timeLeft() <= Milliseconds::zero() ? GatewayTimeout : BadGateway, std::nullopt);
    } else {
        const TimePoint now = suspendAwareNow();
        const auto endpoints = context_.endpointsFor(request_.service->name, request_.allowedRegions, now);
        refuseRequest(retryAfterDelay(context_.endpoints.waitForUnits(endpoints, now)));
    }
}

void ForwardedRequest::relayAnswer(const OutgoingCall &call)
{
    exchange_->sendResponse(Platform::encodeResponse(*call.head), call.body);
    finishRequest("answered", call.head->status);
}

void ForwardedRequest::refuseRequest(Milliseconds retryAfter)
{
    sendOwnAnswer(Unavailable, retryAfter);
}

void ForwardedRequest::sendOwnAnswer(int status, std::optional<Milliseconds> retryAfter)
{
    exchange_->sendResponse(Platform::encodeGatewayResponse(status, request_.facts.requestId, retryAfter), "");
    finishRequest(status == Unavailable ? "refused as not run" : "failed", status);
}

void ForwardedRequest::onDeadline()
{
    if (isDone_) {
        return;
    }
    abandonCall();
    if (exchange_->hasBegun()) {
        exchange_->abort();
        finishRequest("stream cut at its timeout", 0);
        return;
    }
    endWithoutEndpointAnswer();
}

void ForwardedRequest::endForStop()
{
    // The handlers that own this request are released when it ends.
    const auto self = shared_from_this();
    if (isDone_ || exchange_->hasBegun()) {
        return;
    }
    abandonCall();
    endWithoutEndpointAnswer();
}

void ForwardedRequest::abandonCall()
{
    if (!call_) {
        return;
    }
    if (call_->connection) {
        call_->connection->cancel();
    }
    // An endpoint whose answer has begun has responded, so the attempt does not count as unanswered.
    const AttemptOutcome outcome = call_->head ? AttemptOutcome::Broken : AttemptOutcome::NoAnswer;
    const OutgoingCall call = endCall(outcome);
    logFailure(call, outcome);
    heldPrompt_.reset();
}

void ForwardedRequest::onCallerLeft()
{
    if (isDone_) {
        return;
    }
    if (call_) {
        if (call_->connection) {
            call_->connection->cancel();
        }
        endCall(AttemptOutcome::Succeeded);
        heldPrompt_.reset();
    }
    finishRequest("caller left", 0);
}

void ForwardedRequest::releaseHeldPrompt()
{
    if (!heldPrompt_) {
        return;
    }
    const auto prompt = *std::exchange(heldPrompt_, std::nullopt);
    context_.pool.acquire(*heldPromptEngine_, 0, [&pool = context_.pool, holder = *heldPromptEngine_, prompt](const auto &connection) {
        if (!connection.ok()) {
            return;
        }
        ShortCall::send(pool, holder, *connection, Platform::encodeHandleRelease(prompt), "", [](int, const std::string &) {});
    });
}

std::string ForwardedRequest::sentAfterText() const
{
    if (lastSentAt_ == TimePoint{}) {
        return "none";
    }
    return std::to_string(std::chrono::duration_cast<Milliseconds>(lastSentAt_ - exchange_->arrivedAt()).count());
}

void ForwardedRequest::finishRequest(std::string_view outcome, int status)
{
    isDone_ = true;
    context_.requests.erase(this);
    deadlineTimer_.cancel();
    if (pendingUnit_) {
        context_.endpoints.cancel(*std::exchange(pendingUnit_, std::nullopt));
    }
    returnUnusedUnit();
    releaseHeldPrompt();
    if (!attemptPolicy_.mayHaveRun()) {
        context_.quotas.limits().refund(request_.quota);
    }
    exchange_->onCallerGone(nullptr);
    exchange_->onDrained(nullptr);
    const double seconds = toSeconds(suspendAwareNow() - exchange_->arrivedAt());
    context_.metrics.counter("requests_total{outcome=\"" + std::string(outcome) + "\"}").add();
    context_.metrics.distribution("request_seconds").add(seconds);
    context_.log.info("request done",
                      {{"request", request_.facts.requestId},
                       {"route", request_.route->name},
                       {"customer", request_.customer},
                       {"endpoint", lastEndpointId_},
                       {"attempts", std::to_string(attemptPolicy_.attempts())},
                       {"sentAfterMs", sentAfterText()},
                       {"prefills", std::to_string(prefillCalls_)},
                       {"expectedWaitMs", std::to_string(std::chrono::duration_cast<Milliseconds>(placement_.expectedWait).count())},
                       {"tokensToRead", std::to_string(placement_.uncachedTokens)},
                       {"late", placement_.isLate ? "yes" : "no"},
                       {"catalogueVersion", std::to_string(request_.catalogue->version())},
                       {"status", std::to_string(status)},
                       {"outcome", std::string(outcome)},
                       {"endsWith", std::string(nameOf(BodyFramingNames, answerFraming_))},
                       {"unforwardedBytes", std::to_string(unforwardedBytes_)},
                       {"ms", std::to_string(static_cast<int>(seconds * 1000))}});
}

}

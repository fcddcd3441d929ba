#include "forwardedrequest.h"

#include "suspendclock.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
/** Time after the deadline within which an answer that the endpoint sent at the deadline may still arrive. */
constexpr Milliseconds DeadlineSlack{15};
/** Urgency of calls, from 0 (most urgent) to 9. Requests that are predicted to be late have lower priority than others. */
constexpr int ShortAnswerUrgency = 3;
constexpr int LateUrgency = 8;
/** Maximum number of prefill calls for one request. */
constexpr unsigned MaxPrefillCalls = 2;

}

ForwardedRequest::ForwardedRequest(ForwardingContext &context, std::shared_ptr<CallerExchange> exchange, AdmittedRequest request)
    : context_(context)
    , exchange_(std::move(exchange))
    , request_(std::move(request))
    , requestLog_(context_, *exchange_, request_)
    , relay_(*exchange_, context_.metrics)
    , attemptPolicy_(request_.route->mayRepeat(), request_.route->maxAttempts)
    , deadline_(request_, exchange_->arrivedAt())
    , hedge_({context_, *exchange_, request_, deadline_, requestLog_})
    , deadlineTimer_(context.ioContext)
    , unit_(context.endpoints)
    , heldPrompt_(context.pool)
    , keptBytes_(context.keptAnswers, [this] { onKeptBytesExceeded(); })
{
    placementQuery_.dataCentre = context_.dataCentre;
    placementQuery_.parts = request_.facts.promptParts;
    placementQuery_.promptTokens = request_.facts.promptTokens.value_or(0);
    placementQuery_.maxOutputTokens = request_.facts.maxOutputTokens;
    placementQuery_.targetLatency = request_.route->targetLatency;
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
    deadlineTimer_.expires_after(std::max(Duration(deadline_.timeLeft()), Duration::zero()) + DeadlineSlack);
    deadlineTimer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onDeadline();
        }
    });
    context_.retryBudget(request_.service->name).recordFirstAttempt();
    hedge_.onFirstAttempt();
    placeRequest();
}

bool ForwardedRequest::isStreaming() const
{
    return request_.route->kind == RequestKind::Streaming;
}

void ForwardedRequest::placeRequest()
{
    if (deadline_.hasPassed()) {
        onDeadline();
        return;
    }
    const TimePoint now = suspendAwareNow();
    if (!context_.stopSchedule.mayBegin(now, deadline_.time())) {
        endWithoutEndpointAnswer();
        return;
    }
    placementQuery_.maxWait = deadline_.time() - now;
    placement_ = context_.placement.place(placementQuery_, usableEndpoints(now), now);
    requestLog_.onPlaced(placement_, placementQuery_.promptTokens);
    switch (placement_.result) {
    case Placement::Result::NoEndpoint:
        context_.metrics.counter("requests_without_endpoint_total").add();
        endWithoutEndpointAnswer();
        return;
    case Placement::Result::Overloaded:
        context_.metrics.counter("requests_overloaded_total").add();
        refuseRequest(deadline_.retryAfter(placement_.expectedWait));
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
    return context_.endpoints.withUnits(context_.directory.usableEndpoints(request_.service->name, now), now);
}

void ForwardedRequest::sendWithinLimit(const EndpointRecord &endpoint, std::function<void()> send)
{
    if (!context_.endpoints.isLimited(endpoint)) {
        send();
        return;
    }
    unit_.take(endpoint, [self = shared_from_this(), id = endpoint.id, send = std::move(send)](bool isTaken) {
        if (isTaken) {
            send();
            return;
        }
        self->placementQuery_.excluded.insert(id);
        self->retryRequest();
    });
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
    requestLog_.onCallStarted(*call_);
    context_.loads.onCallStarted(endpoint.id, call_->promptWork);
    facts.customer = request_.customer;
    if (work == CallWork::Run && request_.service->engine && placement_.hasShortAnswer) {
        facts.urgency = ShortAnswerUrgency;
    } else if (placement_.isLate) {
        facts.urgency = LateUrgency;
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
            self->requestLog_.logFailure(call, AttemptOutcome::NotSent);
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

bool ForwardedRequest::mustNotSendTo(const EndpointRecord &endpoint) const
{
    return deadline_.hasPassed() || !context_.directory.isUsable(endpoint, suspendAwareNow());
}

void ForwardedRequest::sendOverConnection(const std::shared_ptr<EndpointConnection> &connection, const Platform::ForwardingMetadata &given)
{
    Platform::ForwardingMetadata facts = given;
    facts.timeLeft = deadline_.timeLeft();
    call_->connection = connection;
    requestLog_.onCallSent();
    unit_.use();
    ConnectionCall call = encodeCall(exchange_->head(), exchange_->body(), facts, request_.facts.requestId, connection->hasCarriedCalls());
    const auto self = shared_from_this();
    call.onHead = [self](const ResponseHead &head, std::optional<std::uint64_t>) { self->onHead(head); };
    call.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    call.onEnd = [self](CallOutcome end) { self->onCallEnd(end); };
    hedge_.watch(facts, [weak = weak_from_this()] {
        if (const auto request = weak.lock()) {
            request->tryHedge();
        }
    });
    connection->send(std::move(call));
}

void ForwardedRequest::onHead(const ResponseHead &head)
{
    call_->head = head;
    call_->answer = Platform::decodeResponse(head);
    call_->framing = call_->connection->responseFraming();
    call_->isEventStream = isStreaming() && call_->work == CallWork::Run && mayBeEventStream(head);
    requestLog_.onHead(*call_);
    if (call_->hasRunBegun()) {
        heldPrompt_.forget();
    }
}

void ForwardedRequest::onBody(std::string_view bytes)
{
    if (call_->isGivenUp) {
        return;
    }
    if (!relay_.onBody(*call_, bytes)) {
        call_->isGivenUp = true;
        breakOffCall();
        return;
    }
    keptBytes_.resize(call_->body.size());
    if (exchange_->hasBegun()) {
        hedge_.cancel();
    }
}

void ForwardedRequest::onKeptBytesExceeded()
{
    if (relay_.tryFlush(*call_)) {
        return;
    }
    call_->isGivenUp = true;
    call_->body = {};
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

void ForwardedRequest::onCallEnd(CallOutcome end)
{
    const AttemptOutcome outcome = call_->outcomeOf(end);
    OutgoingCall call = endCall(outcome);
    requestLog_.logFailure(call, outcome);
    if (outcome == AttemptOutcome::Succeeded) {
        hedge_.recordTime(call);
    }
    if (call.work == CallWork::Prefill) {
        onPrefillEnd(call, outcome);
    } else {
        onRunEnd(std::move(call), outcome);
    }
}

OutgoingCall ForwardedRequest::endCall(AttemptOutcome outcome)
{
    OutgoingCall call = std::move(*call_);
    call_.reset();
    requestLog_.onCallEnded(call);
    hedge_.stopWaiting(outcome);
    unit_.returnUnused();
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
    if (outcome == AttemptOutcome::Succeeded) {
        const auto handle = Platform::decodePrefillHandle(call.body);
        if (handle.ok()) {
            requestLog_.onPrefilled(call);
            heldPrompt_.hold(call.endpoint, *handle);
            if (sendRunWithHeldPrompt()) {
                return;
            }
            heldPrompt_.release();
        }
    }
    placementQuery_.excluded.insert(call.endpoint.id);
    if (prefillCalls_ < MaxPrefillCalls) {
        placeRequest();
        return;
    }
    endWithoutEndpointAnswer();
}

void ForwardedRequest::onRunEnd(OutgoingCall call, AttemptOutcome outcome)
{
    requestLog_.onRunEnded(call, outcome);
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
    placementQuery_.excluded.insert(call.endpoint.id);
    if (outcome != AttemptOutcome::Succeeded && hedge_.isRunning()) {
        hedge_.keepFailedRun({std::move(call), outcome});
        return;
    }
    followRun(call, outcome, isBrokenOff(outcome));
}

void ForwardedRequest::tryHedge()
{
    if (isDone_ || !call_ || exchange_->hasBegun()) {
        return;
    }
    const auto endpoint = hedge_.chooseEndpoint(placementQuery_, *call_, attemptPolicy_.attempts());
    if (!endpoint) {
        return;
    }
    attemptPolicy_.onAttemptStarted();
    hedge_.start(*endpoint, call_->promptWork, [self = shared_from_this()](OutgoingCall call, AttemptOutcome outcome) {
        self->onHedgeEnd(std::move(call), outcome);
    });
}

void ForwardedRequest::onHedgeEnd(OutgoingCall call, AttemptOutcome outcome)
{
    const auto failed = hedge_.onEnded(outcome);
    arrivalCounter_.onCallEnded(call.work, outcome);
    if (exchange_->hasBegun()) {
        return;
    }
    requestLog_.onRunEnded(call, outcome);
    placementQuery_.excluded.insert(call.endpoint.id);
    if (outcome == AttemptOutcome::Succeeded) {
        abandonCall();
        context_.metrics.counter("hedges_won_total").add();
        requestLog_.onCallStarted(call);
        followRun(call, outcome, false);
        return;
    }
    if (!failed) {
        attemptPolicy_.onAttemptEnded(outcome, [] { return false; });
        return;
    }
    // The call that got further says more about the request.
    const bool isHedgeFurther = outcome > failed->outcome;
    attemptPolicy_.onAttemptEnded(isHedgeFurther ? failed->outcome : outcome, [] { return false; });
    followRun(isHedgeFurther ? call : failed->call,
              isHedgeFurther ? outcome : failed->outcome,
              isBrokenOff(outcome) || isBrokenOff(failed->outcome));
}

void ForwardedRequest::followRun(const OutgoingCall &call, AttemptOutcome outcome, bool mayHaveCrashed)
{
    const NextStep step
        = attemptPolicy_.onAttemptEnded(outcome, [this] { return context_.retryBudget(request_.service->name).mayRetry(); });
    if (outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::NotRun) {
        // The endpoint has fetched the KV cache of the held prompt, or may have.
        heldPrompt_.forget();
    }
    const bool mayCrashAnother = mayHaveCrashed && context_.fleet.crashReporter().isSuspected(request_.content);
    if (step == NextStep::Retry && mayCrashAnother) {
        endWithoutEndpointAnswer();
        return;
    }
    performStep(step, call);
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
    if (heldPrompt_.mayRun() && !deadline_.hasPassed() && sendRunWithHeldPrompt()) {
        return;
    }
    heldPrompt_.release();
    placeRequest();
}

bool ForwardedRequest::sendRunWithHeldPrompt()
{
    const TimePoint now = suspendAwareNow();
    if (!context_.stopSchedule.mayBegin(now, deadline_.time())) {
        return false;
    }
    const auto engine = context_.placement.chooseRunEndpoint(placementQuery_, usableEndpoints(now), now);
    if (!engine) {
        return false;
    }
    sendWithinLimit(*engine, [this, endpoint = *engine] {
        heldPrompt_.onRunStarted();
        sendRun(endpoint, heldPrompt_.prompt());
    });
    return true;
}

void ForwardedRequest::endWithoutEndpointAnswer()
{
    if (attemptPolicy_.mayHaveRun()) {
        sendOwnAnswer(deadline_.hasPassed() ? GatewayTimeout : BadGateway, std::nullopt);
    } else {
        const TimePoint now = suspendAwareNow();
        const auto endpoints = context_.directory.usableEndpoints(request_.service->name, now);
        refuseRequest(deadline_.retryAfter(context_.endpoints.waitForUnits(endpoints, now)));
    }
}

void ForwardedRequest::relayAnswer(const OutgoingCall &call)
{
    exchange_->sendResponse(Platform::encodeResponse(*call.head), call.body);
    finishRequest("answered", call.head->status);
}

void ForwardedRequest::refuseRequest(Milliseconds retryAfter)
{
    hedge_.onRefused();
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
    hedge_.recordTime(call);
    requestLog_.logFailure(call, outcome);
    heldPrompt_.forget();
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
        heldPrompt_.forget();
    }
    finishRequest("caller left", 0);
}

void ForwardedRequest::finishRequest(std::string_view outcome, int status)
{
    isDone_ = true;
    context_.requests.erase(this);
    deadlineTimer_.cancel();
    hedge_.cancel();
    unit_.cancel();
    heldPrompt_.release();
    if (!attemptPolicy_.mayHaveRun()) {
        context_.quotas.limits().refund(request_.quota);
    }
    exchange_->onCallerGone(nullptr);
    exchange_->onDrained(nullptr);
    requestLog_.onFinished(outcome, status, attemptPolicy_.attempts(), prefillCalls_, placement_);
}

}

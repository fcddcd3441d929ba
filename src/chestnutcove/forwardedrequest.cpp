#include "forwardedrequest.h"

#include "rendezvous.h"
#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
/** Whole answers are collected up to this size, so that a cut one can still be replaced; longer ones are passed on as they come. */
constexpr std::size_t MaxCollectedBytes = std::size_t{256} * 1024;
/** Bytes that wait for a slow caller before its endpoint has to wait too. */
constexpr std::size_t MaxPendingBytes = std::size_t{256} * 1024;
/** An endpoint's own answer at the deadline may still be on its way. */
constexpr Milliseconds DeadlineSlack{15};
/** Fraction of the time left that callers wait at most before they come back. */
constexpr int ReturnFraction = 3;
constexpr Milliseconds ShortestReturn{50};
constexpr Milliseconds ReturnSpread{400};
/** 0 is the most urgent and 9 the least. Requests that will be late give way to the others. */
constexpr int ShortAnswerUrgency = 3;
constexpr int LateUrgency = 8;
/** Prefill calls for one request. */
constexpr unsigned MaxPrefills = 2;
/** Engines that are offered a prompt that was read, before it is read again: its memory may be gone. */
constexpr unsigned MaxPromptOffers = 2;
constexpr std::string_view EventEnd = "\n\n";

}

ForwardedRequest::ForwardedRequest(ForwardingContext &context, std::shared_ptr<CallerExchange> exchange, AdmittedRequest request)
    : context_(context)
    , exchange_(std::move(exchange))
    , request_(std::move(request))
    , policy_(request_.route->mayRepeat(), request_.route->maxAttempts)
    , timer_(context.events)
{
    Milliseconds patience = request_.route->timeout;
    if (request_.facts.maxWait) {
        patience = std::min(patience, *request_.facts.maxWait);
    }
    deadline_ = exchange_->arrivedAt() + patience;
    query_.dataCentre = context_.dataCentre;
    query_.parts = request_.facts.promptParts;
    query_.promptTokens = request_.facts.promptTokens.value_or(0);
    query_.maxOutputTokens = request_.facts.maxOutputTokens;
    query_.targetLatency = request_.route->targetLatency;
}

void ForwardedRequest::start()
{
    exchange_->onCallerGone([self = shared_from_this()] { self->callerGone(); });
    exchange_->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->call_ && self->call_->connection) {
            self->call_->connection->resumeReading();
        }
    });
    timer_.expires_after(std::max(Duration(timeLeft()), Duration::zero()) + DeadlineSlack);
    timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->giveUp();
        }
    });
    context_.retryBudget(request_.service->name).firstAttempt();
    place();
}

bool ForwardedRequest::isStreaming() const
{
    return request_.route->kind == RequestKind::Streaming;
}

Milliseconds ForwardedRequest::timeLeft() const
{
    return std::chrono::duration_cast<Milliseconds>(deadline_ - suspendAwareNow());
}

Milliseconds ForwardedRequest::returnDelay(Duration wait) const
{
    // The request's id spreads callers that were refused together.
    const auto spread = Milliseconds(rendezvousHash(request_.facts.requestId) % ReturnSpread.count());
    const Milliseconds delay = std::chrono::duration_cast<Milliseconds>(wait) + ShortestReturn + spread;
    return std::max(ShortestReturn, std::min(delay, timeLeft() / ReturnFraction - ShortestReturn));
}

void ForwardedRequest::place()
{
    if (timeLeft() <= Milliseconds::zero()) {
        giveUp();
        return;
    }
    const TimePoint now = suspendAwareNow();
    query_.patience = deadline_ - now;
    placement_ = context_.placement.place(query_, context_.directory.usable(request_.service->name, now), now);
    noteWork(placement_);
    switch (placement_.verdict) {
    case Placement::Verdict::NoEndpoint:
        context_.metrics.counter("requests_without_endpoint_total").add();
        endWithoutAnswer();
        return;
    case Placement::Verdict::Overloaded:
        context_.metrics.counter("requests_overloaded_total").add();
        refuse(returnDelay(placement_.expectedWait));
        return;
    case Placement::Verdict::Placed:
        break;
    }
    if (placement_.prefill) {
        prefill(placement_);
    } else {
        run(*placement_.run, std::nullopt);
    }
}

void ForwardedRequest::noteWork(const Placement &placement)
{
    if (!request_.service->engine || std::exchange(workNoted_, true)) {
        return;
    }
    EngineWork work;
    if (placement.prefill) {
        work.readTokens = static_cast<double>(placement.tokensToRead);
        work.movedTokens = static_cast<double>(query_.promptTokens);
    } else {
        work.wholeTokens = static_cast<double>(query_.promptTokens);
    }
    context_.fleet.workDone(request_.service->name, work);
}

bool ForwardedRequest::payForCall(CallWork work)
{
    if (!arrivals_.isRepeat(work) || context_.retryBudget(request_.service->name).take()) {
        return true;
    }
    context_.metrics.counter("retries_without_budget_total").add();
    endWithoutAnswer();
    return false;
}

void ForwardedRequest::prefill(const Placement &placement)
{
    if (!payForCall(CallWork::Prefill)) {
        return;
    }
    ++prefills_;
    Platform::ForwardingMetadata facts;
    facts.prefillOnly = true;
    send(*placement.prefill, CallWork::Prefill, placement.tokensToRead, std::move(facts));
}

void ForwardedRequest::run(const EndpointRecord &endpoint, const std::optional<Platform::PrefilledPrompt> &prompt)
{
    if (!payForCall(CallWork::Run)) {
        return;
    }
    policy_.attemptStarted();
    Platform::ForwardingMetadata facts;
    facts.prefilled = prompt;
    send(endpoint, CallWork::Run, 0, std::move(facts));
}

void ForwardedRequest::send(const EndpointRecord &endpoint, CallWork work, std::uint64_t tokensToRead, Platform::ForwardingMetadata facts)
{
    call_.emplace();
    call_->endpoint = endpoint;
    call_->work = work;
    call_->prefilled = facts.prefilled;
    call_->startedAt = suspendAwareNow();
    call_->prompt = {tokensToRead, placement_.isLate, call_->startedAt};
    lastEndpoint_ = endpoint.id;
    context_.loads.callStarted(endpoint.id, call_->prompt);
    facts.customer = request_.customer;
    if (work == CallWork::Run && request_.service->engine && placement_.isShort) {
        facts.urgency = ShortAnswerUrgency;
    } else if (placement_.isLate) {
        facts.urgency = LateUrgency;
    }
    facts.endpointId = endpoint.id;
    const unsigned limit = context_.connectionLimit(*request_.service);
    context_.pool.acquire(endpoint, limit, [self = shared_from_this(), endpoint, facts = std::move(facts)](const auto &connection) {
        if (self->done_ && connection.ok()) {
            self->context_.pool.release(endpoint, *connection);
        }
        if (self->done_) {
            return;
        }
        const bool isTooLate = connection.ok() && self->isTooLateFor(endpoint);
        if (isTooLate) {
            self->context_.pool.release(endpoint, *connection);
        }
        if (!connection.ok() || isTooLate) {
            const OutgoingCall call = self->closeCall(AttemptOutcome::NotSent);
            self->logFailure(call, AttemptOutcome::NotSent);
            if (call.work == CallWork::Prefill) {
                self->prefillEnded(call, AttemptOutcome::NotSent);
            } else {
                self->runEnded(call, AttemptOutcome::NotSent);
            }
            return;
        }
        self->sendOn(*connection, facts);
    });
}

bool ForwardedRequest::isTooLateFor(const EndpointRecord &endpoint) const
{
    return timeLeft() <= Milliseconds::zero() || !context_.directory.isUsable(endpoint);
}

void ForwardedRequest::sendOn(const std::shared_ptr<EndpointConnection> &connection, const Platform::ForwardingMetadata &given)
{
    Platform::ForwardingMetadata facts = given;
    facts.timeLeft = timeLeft();
    call_->connection = connection;
    ConnectionCall call;
    call.head = Platform::encodeRequest(exchange_->head(), facts);
    call.body = exchange_->body();
    call.matchesCall = [id = request_.facts.requestId](const ResponseHead &head) {
        const std::string answered = Platform::decodeResponse(head).requestId;
        return id.empty() || answered == id || (answered.empty() && !isSuccess(head.status));
    };
    if (facts.prefillOnly) {
        call.matchesCall = [id = request_.facts.requestId](const ResponseHead &head) {
            const std::string answered = Platform::decodeResponse(head).requestId;
            return answered.empty() || answered == id;
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
    if (call_->answer.load) {
        context_.loads.loadReported(call_->endpoint.id, *call_->answer.load, suspendAwareNow());
    }
    const bool began = call_->work == CallWork::Run && !call_->answer.notRun;
    if (began) {
        prompt_.reset();
    }
    if (began && !std::exchange(runBegan_, true)) {
        context_.fleet.requestRan(request_.customer);
    }
}

void ForwardedRequest::onBody(std::string_view bytes)
{
    call_->body.append(bytes);
    const bool passesOn = call_->work == CallWork::Run && call_->isSuccess() && call_->answer.isSigned;
    if (passesOn && (isStreaming() || exchange_->hasBegun() || call_->body.size() > MaxCollectedBytes)) {
        passOnEvents();
    }
}

void ForwardedRequest::passOnEvents()
{
    // A stream is cut between events, so that a break inside one never shows.
    std::size_t size = call_->body.size();
    if (isStreaming()) {
        const auto end = call_->body.rfind(EventEnd);
        size = end == std::string::npos ? 0 : end + EventEnd.size();
    }
    if (size == 0) {
        return;
    }
    beginAnswer(*call_->head);
    exchange_->sendBody(std::string_view(call_->body).substr(0, size));
    call_->body.erase(0, size);
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
    OutgoingCall call = closeCall(outcome);
    logFailure(call, outcome);
    if (call.work == CallWork::Prefill) {
        prefillEnded(call, outcome);
    } else {
        runEnded(std::move(call), outcome);
    }
}

void ForwardedRequest::logFailure(const OutgoingCall &call, AttemptOutcome outcome) const
{
    if (outcome == AttemptOutcome::Succeeded) {
        return;
    }
    const auto &load = context_.loads.of(call.endpoint.id);
    const auto lasted = std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - call.startedAt);
    context_.log.info("call failed",
                      {{"request", request_.facts.requestId},
                       {"endpoint", call.endpoint.id},
                       {"work", call.work == CallWork::Prefill ? "prefill" : "run"},
                       {"outcome", std::string(nameOf(AttemptOutcomeNames, outcome))},
                       {"status", call.head ? std::to_string(call.head->status) : "none"},
                       {"ms", std::to_string(lasted.count())},
                       {"ownCalls", std::to_string(load.calls)},
                       {"reportedRunning", std::to_string(load.reported.running)},
                       {"reportedWaiting", std::to_string(load.reported.waiting)}});
}

OutgoingCall ForwardedRequest::closeCall(AttemptOutcome outcome)
{
    OutgoingCall call = std::move(*call_);
    call_.reset();
    if (call.work == CallWork::Run && request_.service->engine) {
        EngineWork work;
        work.busySlots = toSeconds(suspendAwareNow() - call.startedAt) * 1000;
        context_.fleet.workDone(request_.service->name, work);
    }
    arrivals_.callEnded(call.work, outcome);
    context_.loads.callEnded(call.endpoint.id, call.prompt, outcome, suspendAwareNow());
    if (call.connection) {
        context_.pool.release(call.endpoint, call.connection);
    }
    return call;
}

void ForwardedRequest::prefillEnded(const OutgoingCall &call, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Succeeded) {
        const auto handle = Platform::decodePrefillHandle(call.body);
        if (handle.ok()) {
            context_.metrics.distribution("prefill_seconds").add(toSeconds(suspendAwareNow() - call.startedAt));
            context_.metrics.counter(call.answer.load ? "prefill_answers_with_load_total" : "prefill_answers_without_load_total").add();
            context_.placement.partsRead(call.endpoint.id, request_.facts.promptParts, call.prompt.tokens);
            prompt_ = Platform::PrefilledPrompt{call.endpoint.address, *handle};
            promptHolder_ = call.endpoint;
            promptOffers_ = 0;
            if (runHeldPrompt()) {
                return;
            }
            releasePrompt();
        }
    }
    query_.excluded.insert(call.endpoint.id);
    if (prefills_ < MaxPrefills) {
        place();
        return;
    }
    endWithoutAnswer();
}

void ForwardedRequest::runEnded(OutgoingCall call, AttemptOutcome outcome)
{
    if (exchange_->hasBegun()) {
        if (outcome == AttemptOutcome::Succeeded) {
            exchange_->sendBody(call.body);
            exchange_->endResponse();
            finish("answered", call.head->status);
        } else {
            exchange_->abort();
            finish("stream broken by endpoint", call.head->status);
        }
        return;
    }
    const NextStep step = policy_.attemptEnded(outcome, [this] { return context_.retryBudget(request_.service->name).hasRoom(); });
    query_.excluded.insert(call.endpoint.id);
    if (outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::NotRun) {
        // The endpoint has taken the prompt's memory over, or may have.
        prompt_.reset();
    }
    take(step, call);
}

void ForwardedRequest::take(NextStep step, const OutgoingCall &call)
{
    switch (step) {
    case NextStep::TryAgain:
        tryAgain();
        return;
    case NextStep::Relay:
        relay(call);
        return;
    case NextStep::RefuseNotRun:
    case NextStep::ReportFailure:
        endWithoutAnswer();
        return;
    }
}

void ForwardedRequest::tryAgain()
{
    if (prompt_ && promptOffers_ < MaxPromptOffers && timeLeft() > Milliseconds::zero() && runHeldPrompt()) {
        return;
    }
    releasePrompt();
    place();
}

bool ForwardedRequest::runHeldPrompt()
{
    const TimePoint now = suspendAwareNow();
    const auto engine = context_.placement.placeDecode(query_, context_.directory.usable(request_.service->name, now), now);
    if (!engine) {
        return false;
    }
    ++promptOffers_;
    run(*engine, prompt_);
    return true;
}

void ForwardedRequest::endWithoutAnswer()
{
    if (policy_.mayHaveRun()) {
        answerOwn(timeLeft() <= Milliseconds::zero() ? GatewayTimeout : BadGateway, std::nullopt);
    } else {
        refuse(returnDelay(Duration::zero()));
    }
}

void ForwardedRequest::relay(const OutgoingCall &call)
{
    exchange_->sendResponse(Platform::encodeResponse(*call.head), call.body);
    finish("answered", call.head->status);
}

void ForwardedRequest::refuse(Milliseconds retryAfter)
{
    answerOwn(Unavailable, retryAfter);
}

void ForwardedRequest::answerOwn(int status, std::optional<Milliseconds> retryAfter)
{
    exchange_->sendResponse(Platform::encodeGatewayResponse(status, request_.facts.requestId, retryAfter), "");
    finish(status == Unavailable ? "refused as not run" : "failed", status);
}

void ForwardedRequest::giveUp()
{
    if (done_) {
        return;
    }
    if (call_) {
        if (call_->connection) {
            call_->connection->cancel();
        }
        // An endpoint whose answer has begun is slow, not silent.
        const AttemptOutcome outcome = call_->head ? AttemptOutcome::Broken : AttemptOutcome::NoAnswer;
        const OutgoingCall call = closeCall(outcome);
        logFailure(call, outcome);
        prompt_.reset();
    }
    if (exchange_->hasBegun()) {
        exchange_->abort();
        finish("stream cut at its timeout", 0);
        return;
    }
    endWithoutAnswer();
}

void ForwardedRequest::callerGone()
{
    if (done_) {
        return;
    }
    if (call_) {
        if (call_->connection) {
            call_->connection->cancel();
        }
        closeCall(AttemptOutcome::Succeeded);
        prompt_.reset();
    }
    finish("caller left", 0);
}

void ForwardedRequest::releasePrompt()
{
    if (!prompt_) {
        return;
    }
    const auto prompt = *std::exchange(prompt_, std::nullopt);
    context_.pool.acquire(*promptHolder_, 0, [&pool = context_.pool, holder = *promptHolder_, prompt](const auto &connection) {
        if (!connection.ok()) {
            return;
        }
        ConnectionCall call;
        call.head = Platform::encodeHandleRelease(prompt);
        call.onHead = [](const ResponseHead &, std::optional<std::uint64_t>) {};
        call.onBody = [](std::string_view) {};
        call.onEnd = [&pool, holder, connection = *connection](CallOutcome) { pool.release(holder, connection); };
        (*connection)->send(std::move(call));
    });
}

void ForwardedRequest::finish(std::string_view outcome, int status)
{
    done_ = true;
    timer_.cancel();
    releasePrompt();
    if (!policy_.mayHaveRun()) {
        context_.quotas.refund(request_.customer, request_.quotaUnits);
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
                       {"endpoint", lastEndpoint_},
                       {"attempts", std::to_string(policy_.attempts())},
                       {"prefills", std::to_string(prefills_)},
                       {"expectedWaitMs", std::to_string(std::chrono::duration_cast<Milliseconds>(placement_.expectedWait).count())},
                       {"tokensToRead", std::to_string(placement_.tokensToRead)},
                       {"late", placement_.isLate ? "yes" : "no"},
                       {"catalogueVersion", std::to_string(request_.catalogue->version())},
                       {"status", std::to_string(status)},
                       {"outcome", std::string(outcome)},
                       {"ms", std::to_string(static_cast<int>(seconds * 1000))}});
}

}

#include "requestrunner.h"

#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** Retries that each first attempt adds to the retry budget. */
constexpr double RetryRatio = 0.1;
constexpr double MaxRetryBudget = 20;
/** Used until the first chat of a customer with a model has finished. */
constexpr double InitialExpectedOutputTokens = 128;
/** Weight of the newest answer in the smoothed number of output tokens. */
constexpr double ExpectedOutputSmoothing = 0.1;
constexpr std::size_t MaxFinishedTraces = 2000;
constexpr Milliseconds MinQueueTimeout{100};
constexpr int FirstErrorStatus = 400;

FlowOptions toFlowOptions(const GatewayTiming &timing)
{
    FlowOptions options;
    options.acceptTimeout = timing.acceptTimeout;
    options.answerSilence = timing.answerSilence;
    return options;
}

CallerError toCallerError(FlowFailure failure)
{
    switch (failure) {
    case FlowFailure::NoCapacity:
        return CallerError::NoCapacity;
    case FlowFailure::OutcomeUnknown:
        return CallerError::OutcomeUnknown;
    case FlowFailure::EndpointRefused:
        return CallerError::EndpointRefused;
    case FlowFailure::None:
    case FlowFailure::EndpointFailed:
        break;
    }
    return CallerError::EndpointFailed;
}

const char *failureMessage(FlowFailure failure)
{
    switch (failure) {
    case FlowFailure::NoCapacity:
        return "no endpoint can take the request in time";
    case FlowFailure::OutcomeUnknown:
        return "the request may have run; its outcome is not known";
    case FlowFailure::EndpointRefused:
        return "the endpoint refused the request";
    case FlowFailure::None:
    case FlowFailure::EndpointFailed:
        break;
    }
    return "the endpoint failed while it answered";
}

std::string customerName(const CallerRequest &caller)
{
    return caller.customer ? caller.customer->name : std::string();
}

}

RequestRunner::RequestRunner(const GatewaySettings &settings,
                             std::uint64_t incarnation,
                             Router &router,
                             EndpointLinks &links,
                             IdempotencyStore &idempotency,
                             Metrics &metrics,
                             const Log &log,
                             UsageHandler onUsage)
    : settings_(settings)
    , incarnation_(incarnation)
    , router_(router)
    , endpointLinks_(links)
    , idempotency_(idempotency)
    , metrics_(metrics)
    , log_(log)
    , onUsage_(std::move(onUsage))
    , flowOptions_(toFlowOptions(settings.timing))
    , retryBudget_(RetryRatio, MaxRetryBudget)
{
}

void RequestRunner::setAdmissionController(AdmissionController &admission)
{
    admission_ = &admission;
}

void RequestRunner::startRequest(CallerRequest request)
{
    const ActiveRequestId id = ++lastActiveRequestId_;
    auto active = std::make_unique<ActiveRequest>(ActiveRequest{std::move(request)});
    CallerRequest &caller = active->caller;
    const TimePoint routeDeadline = caller.arrivedAt + settings_.maxWaitOf(caller.serviceClass);
    active->flow = std::make_unique<RequestFlow>(flowOptions_, caller.isIdempotent, caller.isChat, routeDeadline);
    active->query = RouteQuery{
        caller.modelOrService, static_cast<double>(caller.promptTokens), expectedOutputTokens(caller), caller.promptBlockHashes, {}};
    active->trace = RequestTrace{caller.publicId, customerName(caller), caller.modelOrService, {}};
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    active->writer = std::make_unique<AnswerWriter>(caller, std::chrono::duration_cast<std::chrono::seconds>(wallClock).count());
    requestsByConnection_.emplace(caller.connection, id);
    retryBudget_.recordFirstAttempt();
    metrics_.counter("requests_total").add();
    Demand &demand = demand_[caller.modelOrService];
    demand.promptTokens += static_cast<double>(caller.promptTokens);
    demand.outputTokens += active->query.outputTokens;
    ++demand.requests;
    const bool claimsKey = !caller.isIdempotent && !caller.idempotencyKey.empty();
    if (claimsKey) {
        active->trace.steps.emplace_back("idempotency key to be claimed");
    }
    activeRequests_.emplace(id, std::move(active));
    if (!claimsKey) {
        requestAdmission(id);
        return;
    }
    const auto onClaim = [this, id, customer = customerName(caller), serves = caller.modelOrService, key = caller.idempotencyKey](
                             auto outcome) {
        const auto it = activeRequests_.find(id);
        if (it == activeRequests_.end()) {
            // The caller disconnected meanwhile, so the request is not run and its key stays usable.
            if (outcome == IdempotencyOutcome::Claimed) {
                idempotency_.releaseKey(customer, serves, key);
            }
            return;
        }
        if (outcome == IdempotencyOutcome::Claimed) {
            it->second->hasClaimedKey = true;
            requestAdmission(id);
        } else if (outcome == IdempotencyOutcome::AlreadyUsed) {
            failRequest(id, {CallerError::KeyReused, "a request with this Idempotency-Key was accepted before"});
        } else {
            failRequest(id,
                        {CallerError::StoreUnavailable, "the Idempotency-Key can't be recorded at present", true, std::chrono::seconds(1)});
        }
    };
    idempotency_.claimKey(customerName(caller), caller.modelOrService, caller.idempotencyKey, onClaim);
}

void RequestRunner::requestAdmission(ActiveRequestId id)
{
    ActiveRequest &active = *activeRequests_.at(id);
    if (!active.caller.customer) {
        routeRequest(id);
        return;
    }
    AdmissionRequest request;
    request.id = id;
    request.promptTokens = static_cast<double>(active.caller.promptTokens);
    request.expectedOutputTokens = active.caller.isChat ? active.query.outputTokens : 0;
    request.serviceClass = active.caller.serviceClass;
    request.deadline = active.flow->routeDeadline();
    admission_->requestAdmission(active.caller.customer->name, request, suspendAwareNow());
}

void RequestRunner::onAdmissionResult(const AdmissionResult &result)
{
    const auto it = activeRequests_.find(result.id);
    if (it == activeRequests_.end()) {
        return;
    }
    switch (result.verdict) {
    case AdmissionVerdict::Admitted:
        it->second->trace.steps.emplace_back("admitted within the customer's rate");
        routeRequest(result.id);
        break;
    case AdmissionVerdict::RateLimited:
        failRequest(result.id, {CallerError::RateLimited, "the customer's rate is used up", true, result.retryAfter});
        break;
    case AdmissionVerdict::ExceedsBurst:
        failRequest(result.id, {CallerError::ExceedsBurst, "the prompt is larger than the customer's burst"});
        break;
    case AdmissionVerdict::Unavailable:
        failRequest(result.id,
                    {CallerError::StoreUnavailable, "the customer's rate can't be checked at present", true, std::chrono::seconds(1)});
        break;
    }
}

void RequestRunner::onAllowance(const AnswerAllowance &answerAllowance)
{
    const auto it = activeRequests_.find(answerAllowance.id);
    if (it == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = *it->second;
    active.outputAllowance = answerAllowance.total;
    if (!attempts_.contains(active.flow->attemptId())) {
        return;
    }
    wire::Envelope message;
    auto *allowance = message.mutable_allowance();
    allowance->mutable_id()->set_incarnation(active.flow->attemptId().incarnation);
    allowance->mutable_id()->set_number(active.flow->attemptId().number);
    allowance->set_total(static_cast<std::uint64_t>(active.outputAllowance) - active.deliveredByEarlierAttempts);
    endpointLinks_.send(active.link, message);
}

void RequestRunner::routeRequest(ActiveRequestId id)
{
    ActiveRequest &active = *activeRequests_.at(id);
    const auto now = suspendAwareNow();
    active.query.excluded = active.flow->excluded();
    const auto choice = router_.choose(active.query, now);
    const auto link = choice ? endpointLinks_.currentLinkTo(choice->endpoint) : std::nullopt;
    if (!choice || !link) {
        const bool allCandidatesRefused = !active.flow->excluded().empty() && !active.flow->mayHaveRun();
        if (now < active.flow->routeDeadline() && !allCandidatesRefused) {
            active.flow->clearExcluded();
            active.isWaitingForEndpoint = true;
            return;
        }
        applyStep(id, active.flow->onNoEndpoint(std::chrono::seconds(1)));
        return;
    }
    active.isWaitingForEndpoint = false;
    submitAttempt(id, active, *choice, *link, now);
}

void RequestRunner::submitAttempt(ActiveRequestId id, ActiveRequest &active, const RouteChoice &choice, const LinkKey &link, TimePoint now)
{
    const RequestId attempt{incarnation_, ++lastAttemptNumber_};
    const Tick tick = endpointLinks_.newestTick(link);
    const Duration queueTimeout = std::max<Duration>(active.flow->routeDeadline() - now, MinQueueTimeout);
    active.flow->beginAttempt(attempt, choice.endpoint, tick.incarnation, queueTimeout, now);
    active.link = link;
    active.submitTick = tick;
    active.deliveredByEarlierAttempts = active.deliveredTokens;
    attempts_[attempt] = id;
    router_.recordDispatch(choice.endpoint, active.query, now);
    active.trace.steps.push_back("attempt " + attempt.toText() + " at " + choice.endpoint + ": " + choice.reason);

    const CallerRequest &caller = active.caller;
    wire::Envelope message;
    auto *body = message.mutable_submit();
    body->mutable_id()->set_incarnation(attempt.incarnation);
    body->mutable_id()->set_number(attempt.number);
    body->set_customer(customerName(caller));
    body->set_service_class(static_cast<std::uint32_t>(caller.serviceClass));
    body->set_weight(caller.customer ? caller.customer->weight : 1);
    body->set_idempotent(caller.isIdempotent);
    body->set_stream(caller.isChat);
    body->set_method(caller.method);
    body->set_path(caller.path);
    body->set_content_type(caller.contentType);
    body->set_body(endpointBodyFor(active));
    body->set_prompt_tokens(caller.promptTokens);
    body->set_expected_output_tokens(static_cast<std::uint64_t>(active.query.outputTokens));
    body->set_queue_deadline_ms(static_cast<std::uint64_t>(std::chrono::ceil<Milliseconds>(queueTimeout).count()));
    body->set_allowance(static_cast<std::uint64_t>(active.outputAllowance) - active.deliveredByEarlierAttempts);
    body->set_client_request_id(caller.publicId);
    body->set_sidecar_incarnation(tick.incarnation);
    body->set_tick_us(tick.microseconds);
    if (!endpointLinks_.send(link, message)) {
        attempts_.erase(attempt);
        router_.recordFailure(choice.endpoint, now);
        applyStep(id, active.flow->onEndpointUnreachable(now));
    }
}

std::string RequestRunner::endpointBodyFor(const ActiveRequest &active) const
{
    const CallerRequest &caller = active.caller;
    if (!caller.isChat) {
        return caller.body;
    }
    if (active.deliveredTokens == 0) {
        return caller.chat.dump();
    }
    // The endpoint continues the answer from the part that the caller has already received.
    nlohmann::json chat = caller.chat;
    chat["messages"].push_back({{"role", "assistant"}, {"content", active.answer.text()}});
    chat["continue_final_message"] = true;
    chat["add_generation_prompt"] = false;
    const std::uint64_t limit = caller.maxOutputTokens;
    chat["max_tokens"] = limit > active.deliveredTokens ? limit - active.deliveredTokens : 1;
    return chat.dump();
}

void RequestRunner::onLinkMessage(const LinkKey &key, const wire::Envelope &message)
{
    const auto now = suspendAwareNow();
    ActiveRequestId id = 0;
    switch (message.body_case()) {
    case wire::Envelope::kAccepted:
        if (ActiveRequest *active = findByAttempt(message.accepted().id(), id)) {
            applyStep(id, active->flow->onAccepted(now));
        }
        break;
    case wire::Envelope::kRefused:
        if (ActiveRequest *active = findByAttempt(message.refused().id(), id)) {
            active->trace.steps.push_back("refused, not run: " + message.refused().code());
            metrics_.counter("attempts_refused_total{reason=\"" + message.refused().code() + "\"}").add();
            forgetAttempt(*active);
            applyStep(id, active->flow->onRefused(Milliseconds(message.refused().retry_after_ms()), now));
        }
        break;
    case wire::Envelope::kChunk:
        if (ActiveRequest *active = findByAttempt(message.chunk().id(), id)) {
            onChunk(id, *active, message.chunk());
        }
        break;
    case wire::Envelope::kEnd:
        if (ActiveRequest *active = findByAttempt(message.end().id(), id)) {
            onEnd(id, *active, message.end());
        }
        break;
    case wire::Envelope::kCancelReply:
        if (ActiveRequest *active = findByAttempt(message.cancel_reply().id(), id); active != nullptr && active->flow->isCancelling()) {
            const auto &reply = message.cancel_reply();
            active->trace.steps.push_back(reply.ran() ? "asked after a loss: it ran" : "asked after a loss: not run");
            forgetAttempt(*active);
            applyStep(id, active->flow->onCancelReply(reply.ran(), reply.sidecar_incarnation(), now));
        }
        break;
    default:
        log_.warning("unexpected message from sidecar ignored", {{"link", key}, {"kind", std::to_string(message.body_case())}});
        break;
    }
}

RequestRunner::ActiveRequest *RequestRunner::findByAttempt(const wire::RequestId &wireId, ActiveRequestId &activeRequestId)
{
    const auto it = attempts_.find(RequestId{wireId.incarnation(), wireId.number()});
    if (it == attempts_.end()) {
        return nullptr;
    }
    activeRequestId = it->second;
    return activeRequests_.at(activeRequestId).get();
}

void RequestRunner::onChunk(ActiveRequestId id, ActiveRequest &active, const wire::Chunk &chunk)
{
    const auto now = suspendAwareNow();
    const FlowStep step = active.flow->onChunk(chunk.sequence(), now);
    if (step.action != FlowAction::Wait) {
        applyStep(id, step);
        return;
    }
    if (active.firstChunkAt == TimePoint{}) {
        active.firstChunkAt = now;
        metrics_.distribution("first_token_seconds").add(toSeconds(now - active.caller.arrivedAt));
    }
    if (!active.caller.isChat) {
        for (const std::string &event : chunk.events()) {
            active.responseBody += event;
        }
        return;
    }
    for (const std::string &event : chunk.events()) {
        active.answer.add(event);
    }
    if (active.caller.wantsStream) {
        active.writer->sendEvents(chunk);
    }
    active.deliveredTokens += chunk.tokens();
    metrics_.counter("output_tokens_total").add(chunk.tokens());
    if (active.caller.customer) {
        // If this raises the allowance, onAllowance() is called.
        admission_->onTokensDelivered(active.caller.customer->name, id, static_cast<double>(chunk.tokens()), now);
    }
}

void RequestRunner::onEnd(ActiveRequestId id, ActiveRequest &active, const wire::End &end)
{
    const auto now = suspendAwareNow();
    const std::string endpoint = active.flow->endpoint();
    router_.updateLoad(endpoint, toEndpointLoad(end.load()), 0, now);
    active.reportedPromptTokens = std::max<std::uint64_t>(active.reportedPromptTokens, end.prompt_tokens());
    if (end.error_code() == "endpoint_refused") {
        active.responseBody = end.error_message();
        forgetAttempt(active);
        forwardAnswer(id, active, end);
        return;
    }
    FlowStep step;
    if (end.error_code().empty()) {
        router_.recordSuccess(endpoint);
        step = active.flow->onEnd(end.chunk_count(), now);
    } else {
        router_.recordFailure(endpoint, now);
        active.trace.steps.push_back("the endpoint failed: " + end.error_code());
        step = end.error_code() == "endpoint_unreachable" ? active.flow->onEndpointUnreachable(now) : active.flow->onEndpointFailed(now);
    }
    forgetAttempt(active);
    if (step.action == FlowAction::Finish && !active.caller.isChat) {
        forwardAnswer(id, active, end);
        return;
    }
    applyStep(id, step);
}

void RequestRunner::applyStep(ActiveRequestId id, const FlowStep &step)
{
    const auto it = activeRequests_.find(id);
    if (it == activeRequests_.end()) {
        return;
    }
    ActiveRequest &active = *it->second;
    if (step.cancelLostAttempt) {
        sendCancel(active);
        forgetAttempt(active);
        active.trace.steps.emplace_back("attempt lost");
    }
    switch (step.action) {
    case FlowAction::Wait:
        break;
    case FlowAction::Route:
        if (active.answer.isComplete()) {
            // Only the end of the stream was lost; the caller has the complete answer.
            finishRequest(id);
        } else if (active.deliveredTokens > 0 && active.answer.hasToolCalls()) {
            failFromStep(id, {FlowAction::Fail, FlowFailure::EndpointFailed});
        } else if (active.flow->needsRetryBudget() && !retryBudget_.tryTakeRetry()) {
            failFromStep(id, active.flow->onRetryBudgetExhausted());
        } else {
            metrics_.counter("retries_total").add();
            routeRequest(id);
        }
        break;
    case FlowAction::Cancel:
        active.trace.steps.emplace_back("attempt lost; asking whether it ran");
        sendCancel(active);
        break;
    case FlowAction::Finish:
        finishRequest(id);
        break;
    case FlowAction::Fail:
        failFromStep(id, step);
        break;
    }
}

void RequestRunner::forwardAnswer(ActiveRequestId id, ActiveRequest &active, const wire::End &end)
{
    const int status = static_cast<int>(end.status());
    active.trace.steps.push_back("answered with status " + std::to_string(status));
    if (active.writer->hasBegun()) {
        failRequest(id, {CallerError::EndpointRefused, "the endpoint refused to go on", false});
        return;
    }
    const std::string type = end.content_type().empty() ? "application/json" : end.content_type();
    active.caller.reply.respond(status, {{"Content-Type", type}, {"X-Request-Id", active.caller.publicId}}, std::move(active.responseBody));
    metrics_.counter(status < FirstErrorStatus ? "requests_served_total" : "requests_endpoint_error_total").add();
    recordUsage(active);
    removeRequest(id);
}

nlohmann::json RequestRunner::usageJson(const ActiveRequest &active) const
{
    const std::uint64_t prompt = active.reportedPromptTokens > 0 ? active.reportedPromptTokens : active.caller.promptTokens;
    return {{"prompt_tokens", prompt}, {"completion_tokens", active.deliveredTokens}, {"total_tokens", prompt + active.deliveredTokens}};
}

void RequestRunner::finishRequest(ActiveRequestId id)
{
    ActiveRequest &active = *activeRequests_.at(id);
    const CallerRequest &caller = active.caller;
    active.trace.steps.push_back("answered with " + std::to_string(active.deliveredTokens) + " tokens");
    updateExpectedOutput(active);
    if (caller.wantsStream) {
        active.writer->finishStream(usageJson(active), caller.wantsUsage);
    } else {
        active.writer->sendCompletion(active.answer.choices(), usageJson(active));
    }
    metrics_.counter("requests_served_total").add();
    metrics_.distribution("request_seconds").add(toSeconds(suspendAwareNow() - caller.arrivedAt));
    recordUsage(active);
    removeRequest(id);
}

void RequestRunner::failFromStep(ActiveRequestId id, const FlowStep &step)
{
    failRequest(id, {toCallerError(step.failure), failureMessage(step.failure), step.notRun, step.retryAfter});
}

void RequestRunner::failRequest(ActiveRequestId id, const CallerFailure &failure)
{
    ActiveRequest &active = *activeRequests_.at(id);
    const CallerRequest &caller = active.caller;
    const std::string code(nameOf(CallerErrorNames, failure.error));
    active.trace.steps.push_back("failed: " + code);
    metrics_.counter("requests_refused_total{code=\"" + code + "\"}").add();
    log_.info("request failed",
              {{"request", caller.publicId},
               {"customer", customerName(caller)},
               {"serves", caller.modelOrService},
               {"endpoint", active.flow->endpoint()},
               {"dataCentre", settings_.dataCentre},
               {"code", code},
               {"notRun", failure.notRun ? "true" : "false"}});
    active.writer->sendError(failure);
    if (active.hasClaimedKey && failure.notRun) {
        idempotency_.releaseKey(customerName(caller), caller.modelOrService, caller.idempotencyKey);
    }
    if (active.deliveredTokens > 0) {
        recordUsage(active);
    }
    removeRequest(id);
}

void RequestRunner::removeRequest(ActiveRequestId id)
{
    const auto it = activeRequests_.find(id);
    ActiveRequest &active = *it->second;
    forgetAttempt(active);
    const auto [first, last] = requestsByConnection_.equal_range(active.caller.connection);
    for (auto item = first; item != last; ++item) {
        if (item->second == id) {
            requestsByConnection_.erase(item);
            break;
        }
    }
    finishedTraces_.push_back(std::move(active.trace));
    if (finishedTraces_.size() > MaxFinishedTraces) {
        finishedTraces_.pop_front();
    }
    const auto customer = active.caller.customer;
    activeRequests_.erase(it);
    if (customer) {
        admission_->onRequestFinished(customer->name, id, suspendAwareNow());
    }
}

void RequestRunner::forgetAttempt(ActiveRequest &active)
{
    attempts_.erase(active.flow->attemptId());
}

void RequestRunner::sendCancel(const ActiveRequest &active)
{
    const RequestId &attempt = active.flow->attemptId();
    wire::Envelope message;
    auto *cancel = message.mutable_cancel();
    cancel->mutable_id()->set_incarnation(attempt.incarnation);
    cancel->mutable_id()->set_number(attempt.number);
    cancel->set_sidecar_incarnation(active.submitTick.incarnation);
    cancel->set_tick_us(active.submitTick.microseconds);
    endpointLinks_.send(active.link, message);
}

void RequestRunner::onCallerDisconnected(std::uint64_t connection)
{
    std::vector<ActiveRequestId> ids;
    const auto [first, last] = requestsByConnection_.equal_range(connection);
    for (auto it = first; it != last; ++it) {
        ids.push_back(it->second);
    }
    for (const ActiveRequestId id : ids) {
        ActiveRequest &active = *activeRequests_.at(id);
        active.trace.steps.emplace_back("the caller left");
        metrics_.counter("callers_left_total").add();
        if (active.caller.customer) {
            admission_->withdrawRequest(active.caller.customer->name, id);
        }
        if (attempts_.contains(active.flow->attemptId())) {
            sendCancel(active);
        }
        if (active.deliveredTokens > 0) {
            recordUsage(active);
        }
        removeRequest(id);
    }
}

void RequestRunner::onLinkLost(const LinkKey &key)
{
    const auto now = suspendAwareNow();
    std::vector<ActiveRequestId> affected;
    for (const auto &[attempt, id] : attempts_) {
        if (activeRequests_.at(id)->link == key) {
            affected.push_back(id);
        }
    }
    for (const ActiveRequestId id : affected) {
        const auto it = activeRequests_.find(id);
        if (it == activeRequests_.end()) {
            continue;
        }
        router_.recordFailure(it->second->flow->endpoint(), now);
        applyStep(id, it->second->flow->onLinkLost(now));
    }
}

void RequestRunner::tick(TimePoint now)
{
    std::vector<ActiveRequestId> timedOut;
    std::vector<ActiveRequestId> waiting;
    for (const auto &[id, active] : activeRequests_) {
        if (active->isWaitingForEndpoint) {
            waiting.push_back(id);
        } else if (active->flow->deadline() <= now) {
            timedOut.push_back(id);
        } else if (active->flow->isCancelling()) {
            // The earlier Cancel may have been lost with its connection, so it is sent again.
            sendCancel(*active);
        }
    }
    for (const ActiveRequestId id : waiting) {
        if (activeRequests_.contains(id)) {
            routeRequest(id);
        }
    }
    for (const ActiveRequestId id : timedOut) {
        const auto it = activeRequests_.find(id);
        if (it != activeRequests_.end()) {
            applyStep(id, it->second->flow->onTimeout(now));
        }
    }
}

double RequestRunner::expectedOutputTokens(const CallerRequest &caller) const
{
    if (!caller.isChat) {
        return 0;
    }
    const auto it = expectedOutputTokens_.find({customerName(caller), caller.modelOrService});
    const double estimate = it == expectedOutputTokens_.end() ? InitialExpectedOutputTokens : it->second;
    return std::min(estimate, static_cast<double>(caller.maxOutputTokens));
}

void RequestRunner::updateExpectedOutput(const ActiveRequest &active)
{
    const auto [it, inserted] = expectedOutputTokens_.try_emplace({customerName(active.caller), active.caller.modelOrService},
                                                                  static_cast<double>(active.deliveredTokens));
    it->second += ExpectedOutputSmoothing * (static_cast<double>(active.deliveredTokens) - it->second);
}

void RequestRunner::recordUsage(const ActiveRequest &active)
{
    if (active.caller.customer) {
        const std::uint64_t prompt = active.reportedPromptTokens > 0 ? active.reportedPromptTokens : active.caller.promptTokens;
        onUsage_(active.caller.customer->name, UsageFigures{1, prompt, active.deliveredTokens});
    }
}

const RequestTrace *RequestRunner::trace(const std::string &publicId) const
{
    for (const auto &[id, active] : activeRequests_) {
        if (active->trace.publicId == publicId) {
            return &active->trace;
        }
    }
    const auto it = std::find_if(
        finishedTraces_.rbegin(), finishedTraces_.rend(), [&publicId](const RequestTrace &trace) { return trace.publicId == publicId; });
    return it == finishedTraces_.rend() ? nullptr : &*it;
}

std::map<std::string, RequestRunner::Demand> RequestRunner::takeDemand()
{
    return std::exchange(demand_, {});
}

nlohmann::json RequestRunner::dump() const
{
    std::size_t waiting = 0;
    for (const auto &[id, active] : activeRequests_) {
        waiting += active->isWaitingForEndpoint ? 1 : 0;
    }
    return {{"active", activeRequests_.size()}, {"attempts", attempts_.size()}, {"waitingForEndpoint", waiting}};
}

}

#include "requestrunner.h"

#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr double RetryShare = 0.1;
constexpr double RetryReserve = 20;
constexpr double InitialExpectedOutput = 128;
constexpr double OutputSmoothing = 0.1;
constexpr std::size_t MaxTrails = 2000;
constexpr Milliseconds MinQueueTimeout{100};
constexpr int FirstErrorCode = 400;

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

const char *messageOf(FlowFailure failure)
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
    , links_(links)
    , idempotency_(idempotency)
    , metrics_(metrics)
    , log_(log)
    , onUsage_(std::move(onUsage))
    , flowOptions_(toFlowOptions(settings.timing))
    , retryBudget_(RetryShare, RetryReserve)
{
}

void RequestRunner::setLimits(LimitBoard &limits)
{
    limits_ = &limits;
}

void RequestRunner::start(CallerRequest request)
{
    const ActiveId id = ++lastActive_;
    auto active = std::make_unique<Active>(Active{std::move(request)});
    CallerRequest &caller = active->caller;
    const TimePoint routeDeadline = caller.arrival + settings_.patienceOf(caller.serviceClass);
    active->flow = std::make_unique<RequestFlow>(flowOptions_, caller.idempotent, caller.isChat, routeDeadline);
    active->query = RouteQuery{caller.serves, static_cast<double>(caller.promptTokens), expectedOutput(caller), caller.blocks, {}};
    active->trail = RequestTrail{caller.publicId, customerName(caller), caller.serves, {}};
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    active->writer = std::make_unique<AnswerWriter>(caller, std::chrono::duration_cast<std::chrono::seconds>(wallClock).count());
    byConnection_.emplace(caller.connection, id);
    retryBudget_.firstAttempt();
    metrics_.counter("requests_total").add();
    Demand &demand = demand_[caller.serves];
    demand.promptTokens += static_cast<double>(caller.promptTokens);
    demand.outputTokens += active->query.outputTokens;
    ++demand.requests;
    const bool claims = !caller.idempotent && !caller.idempotencyKey.empty();
    if (claims) {
        active->trail.steps.emplace_back("idempotency key to be claimed");
    }
    active_.emplace(id, std::move(active));
    if (!claims) {
        admit(id);
        return;
    }
    const auto onClaim = [this, id, customer = customerName(caller), serves = caller.serves, key = caller.idempotencyKey](auto outcome) {
        const auto it = active_.find(id);
        if (it == active_.end()) {
            // The caller left meanwhile, so the request is not run.
            if (outcome == IdempotencyOutcome::Claimed) {
                idempotency_.release(customer, serves, key);
            }
            return;
        }
        if (outcome == IdempotencyOutcome::Claimed) {
            it->second->idempotencyHeld = true;
            admit(id);
        } else if (outcome == IdempotencyOutcome::AlreadyUsed) {
            fail(id, {CallerError::KeyReused, "a request with this Idempotency-Key was accepted before"});
        } else {
            fail(id, {CallerError::StoreUnavailable, "the Idempotency-Key can't be recorded at present", true, std::chrono::seconds(1)});
        }
    };
    idempotency_.claim(customerName(caller), caller.serves, caller.idempotencyKey, onClaim);
}

void RequestRunner::admit(ActiveId id)
{
    Active &active = *active_.at(id);
    if (!active.caller.customer) {
        route(id);
        return;
    }
    AdmissionRequest request;
    request.id = id;
    request.promptTokens = static_cast<double>(active.caller.promptTokens);
    request.expectedOutputTokens = active.caller.isChat ? active.query.outputTokens : 0;
    request.serviceClass = active.caller.serviceClass;
    request.deadline = active.flow->routeDeadline();
    limits_->request(active.caller.customer->name, request, suspendAwareNow());
}

void RequestRunner::admitted(const AdmissionResult &result)
{
    const auto it = active_.find(result.id);
    if (it == active_.end()) {
        return;
    }
    switch (result.verdict) {
    case AdmissionVerdict::Admitted:
        it->second->trail.steps.emplace_back("admitted within the customer's rate");
        route(result.id);
        break;
    case AdmissionVerdict::RateLimited:
        fail(result.id, {CallerError::RateLimited, "the customer's rate is used up", true, result.retryAfter});
        break;
    case AdmissionVerdict::ExceedsBurst:
        fail(result.id, {CallerError::ExceedsBurst, "the prompt is larger than the customer's burst"});
        break;
    case AdmissionVerdict::Unavailable:
        fail(result.id, {CallerError::StoreUnavailable, "the customer's rate can't be checked at present", true, std::chrono::seconds(1)});
        break;
    }
}

void RequestRunner::drawn(const AnswerAllowance &draw)
{
    const auto it = active_.find(draw.id);
    if (it == active_.end()) {
        return;
    }
    Active &active = *it->second;
    active.allowance = draw.total;
    if (!attempts_.contains(active.flow->attemptId())) {
        return;
    }
    wire::Envelope message;
    auto *allowance = message.mutable_allowance();
    allowance->mutable_id()->set_incarnation(active.flow->attemptId().incarnation);
    allowance->mutable_id()->set_number(active.flow->attemptId().number);
    allowance->set_total(static_cast<std::uint64_t>(active.allowance) - active.deliveredBefore);
    links_.send(active.link, message);
}

void RequestRunner::route(ActiveId id)
{
    Active &active = *active_.at(id);
    const auto now = suspendAwareNow();
    active.query.excluded = active.flow->excluded();
    const auto choice = router_.choose(active.query, now);
    const auto link = choice ? links_.linkOf(choice->endpoint) : std::nullopt;
    if (!choice || !link) {
        const bool othersRefused = !active.flow->excluded().empty() && !active.flow->mayHaveRun();
        if (now < active.flow->routeDeadline() && !othersRefused) {
            active.flow->forgetExcluded();
            active.waitsForEndpoint = true;
            return;
        }
        take(id, active.flow->noEndpoint(std::chrono::seconds(1)));
        return;
    }
    active.waitsForEndpoint = false;
    submit(id, active, *choice, *link, now);
}

void RequestRunner::submit(ActiveId id, Active &active, const RouteChoice &choice, const LinkKey &link, TimePoint now)
{
    const RequestId attempt{incarnation_, ++lastAttempt_};
    const Tick tick = links_.tickOf(link);
    const Duration queueTimeout = std::max<Duration>(active.flow->routeDeadline() - now, MinQueueTimeout);
    active.flow->attempt(attempt, choice.endpoint, tick.incarnation, queueTimeout, now);
    active.link = link;
    active.tick = tick;
    active.deliveredBefore = active.deliveredTokens;
    attempts_[attempt] = id;
    router_.dispatched(choice.endpoint, active.query, now);
    active.trail.steps.push_back("attempt " + attempt.toText() + " at " + choice.endpoint + ": " + choice.reason);

    const CallerRequest &caller = active.caller;
    wire::Envelope message;
    auto *body = message.mutable_submit();
    body->mutable_id()->set_incarnation(attempt.incarnation);
    body->mutable_id()->set_number(attempt.number);
    body->set_customer(customerName(caller));
    body->set_service_class(static_cast<std::uint32_t>(caller.serviceClass));
    body->set_weight(caller.customer ? caller.customer->weight : 1);
    body->set_idempotent(caller.idempotent);
    body->set_stream(caller.isChat);
    body->set_method(caller.method);
    body->set_path(caller.path);
    body->set_content_type(caller.contentType);
    body->set_body(bodyFor(active));
    body->set_prompt_tokens(caller.promptTokens);
    body->set_expected_output_tokens(static_cast<std::uint64_t>(active.query.outputTokens));
    body->set_queue_deadline_ms(static_cast<std::uint64_t>(std::chrono::ceil<Milliseconds>(queueTimeout).count()));
    body->set_allowance(static_cast<std::uint64_t>(active.allowance) - active.deliveredBefore);
    body->set_client_request_id(caller.publicId);
    body->set_sidecar_incarnation(tick.incarnation);
    body->set_tick_us(tick.microseconds);
    if (!links_.send(link, message)) {
        attempts_.erase(attempt);
        router_.failed(choice.endpoint, now);
        take(id, active.flow->endpointUnreachable(now));
    }
}

std::string RequestRunner::bodyFor(const Active &active) const
{
    const CallerRequest &caller = active.caller;
    if (!caller.isChat) {
        return caller.body;
    }
    if (active.deliveredTokens == 0) {
        return caller.chat.dump();
    }
    // The endpoint goes on from what the caller already has.
    nlohmann::json chat = caller.chat;
    chat["messages"].push_back({{"role", "assistant"}, {"content", active.answer.text()}});
    chat["continue_final_message"] = true;
    chat["add_generation_prompt"] = false;
    const std::uint64_t limit = caller.maxOutputTokens;
    chat["max_tokens"] = limit > active.deliveredTokens ? limit - active.deliveredTokens : 1;
    return chat.dump();
}

void RequestRunner::onMessage(const LinkKey &key, const wire::Envelope &message)
{
    const auto now = suspendAwareNow();
    ActiveId id = 0;
    switch (message.body_case()) {
    case wire::Envelope::kAccepted:
        if (Active *active = find(message.accepted().id(), id)) {
            take(id, active->flow->accepted(now));
        }
        break;
    case wire::Envelope::kRefused:
        if (Active *active = find(message.refused().id(), id)) {
            active->trail.steps.push_back("refused, not run: " + message.refused().code());
            metrics_.counter("attempts_refused_total{reason=\"" + message.refused().code() + "\"}").add();
            endAttempt(*active);
            take(id, active->flow->refused(Milliseconds(message.refused().retry_after_ms()), now));
        }
        break;
    case wire::Envelope::kChunk:
        if (Active *active = find(message.chunk().id(), id)) {
            onChunk(id, *active, message.chunk());
        }
        break;
    case wire::Envelope::kEnd:
        if (Active *active = find(message.end().id(), id)) {
            onEnd(id, *active, message.end());
        }
        break;
    case wire::Envelope::kCancelReply:
        if (Active *active = find(message.cancel_reply().id(), id); active != nullptr && active->flow->isCancelling()) {
            const auto &reply = message.cancel_reply();
            active->trail.steps.push_back(reply.ran() ? "asked after a loss: it ran" : "asked after a loss: not run");
            endAttempt(*active);
            take(id, active->flow->cancelReply(reply.ran(), reply.sidecar_incarnation(), now));
        }
        break;
    default:
        log_.warning("message ignored", {{"link", key}, {"kind", std::to_string(message.body_case())}});
        break;
    }
}

RequestRunner::Active *RequestRunner::find(const wire::RequestId &wireId, ActiveId &activeId)
{
    const auto it = attempts_.find(RequestId{wireId.incarnation(), wireId.number()});
    if (it == attempts_.end()) {
        return nullptr;
    }
    activeId = it->second;
    return active_.at(activeId).get();
}

void RequestRunner::onChunk(ActiveId id, Active &active, const wire::Chunk &chunk)
{
    const auto now = suspendAwareNow();
    const FlowStep step = active.flow->chunk(chunk.sequence(), now);
    if (step.action != FlowAction::Wait) {
        take(id, step);
        return;
    }
    if (active.firstChunkAt == TimePoint{}) {
        active.firstChunkAt = now;
        metrics_.distribution("first_token_seconds").add(toSeconds(now - active.caller.arrival));
    }
    if (!active.caller.isChat) {
        for (const std::string &event : chunk.events()) {
            active.body += event;
        }
        return;
    }
    for (const std::string &event : chunk.events()) {
        active.answer.add(event);
    }
    if (active.caller.stream) {
        active.writer->sendEvents(chunk);
    }
    active.deliveredTokens += chunk.tokens();
    metrics_.counter("output_tokens_total").add(chunk.tokens());
    if (active.caller.customer) {
        // The draw that this may cause comes back through drawn().
        limits_->delivered(active.caller.customer->name, id, static_cast<double>(chunk.tokens()), now);
    }
}

void RequestRunner::onEnd(ActiveId id, Active &active, const wire::End &end)
{
    const auto now = suspendAwareNow();
    const std::string endpoint = active.flow->endpoint();
    router_.report(endpoint, toEndpointLoad(end.load()), 0, now);
    active.promptTokens = std::max<std::uint64_t>(active.promptTokens, end.prompt_tokens());
    if (end.error_code() == "endpoint_refused") {
        active.body = end.error_message();
        endAttempt(active);
        passOn(id, active, end);
        return;
    }
    FlowStep step;
    if (end.error_code().empty()) {
        router_.succeeded(endpoint);
        step = active.flow->end(end.chunk_count(), now);
    } else {
        router_.failed(endpoint, now);
        active.trail.steps.push_back("the endpoint failed: " + end.error_code());
        step = end.error_code() == "endpoint_unreachable" ? active.flow->endpointUnreachable(now) : active.flow->endpointFailed(now);
    }
    endAttempt(active);
    if (step.action == FlowAction::Finish && !active.caller.isChat) {
        passOn(id, active, end);
        return;
    }
    take(id, step);
}

void RequestRunner::take(ActiveId id, const FlowStep &step)
{
    const auto it = active_.find(id);
    if (it == active_.end()) {
        return;
    }
    Active &active = *it->second;
    if (step.cancelLost) {
        sendCancel(active);
        endAttempt(active);
        active.trail.steps.emplace_back("attempt lost");
    }
    switch (step.action) {
    case FlowAction::Wait:
        break;
    case FlowAction::Route:
        if (active.answer.isComplete()) {
            // Only the end mark was lost; the caller has the whole answer.
            finish(id);
        } else if (active.deliveredTokens > 0 && active.answer.hasToolCalls()) {
            failFlow(id, {FlowAction::Fail, FlowFailure::EndpointFailed});
        } else if (active.flow->needsRetryBudget() && !retryBudget_.take()) {
            failFlow(id, active.flow->retryBudgetExhausted());
        } else {
            metrics_.counter("retries_total").add();
            route(id);
        }
        break;
    case FlowAction::Cancel:
        active.trail.steps.emplace_back("attempt lost; asking whether it ran");
        sendCancel(active);
        break;
    case FlowAction::Finish:
        finish(id);
        break;
    case FlowAction::Fail:
        failFlow(id, step);
        break;
    }
}

void RequestRunner::passOn(ActiveId id, Active &active, const wire::End &end)
{
    const int status = static_cast<int>(end.status());
    active.trail.steps.push_back("answered with status " + std::to_string(status));
    if (active.writer->hasBegun()) {
        fail(id, {CallerError::EndpointRefused, "the endpoint refused to go on", false});
        return;
    }
    const std::string type = end.content_type().empty() ? "application/json" : end.content_type();
    active.caller.reply.respond(status, {{"Content-Type", type}, {"X-Request-Id", active.caller.publicId}}, std::move(active.body));
    metrics_.counter(status < FirstErrorCode ? "requests_served_total" : "requests_endpoint_error_total").add();
    countUsage(active);
    remove(id);
}

nlohmann::json RequestRunner::usageOf(const Active &active) const
{
    const std::uint64_t prompt = active.promptTokens > 0 ? active.promptTokens : active.caller.promptTokens;
    return {{"prompt_tokens", prompt}, {"completion_tokens", active.deliveredTokens}, {"total_tokens", prompt + active.deliveredTokens}};
}

void RequestRunner::finish(ActiveId id)
{
    Active &active = *active_.at(id);
    const CallerRequest &caller = active.caller;
    active.trail.steps.push_back("answered with " + std::to_string(active.deliveredTokens) + " tokens");
    learnOutput(active);
    if (caller.stream) {
        active.writer->finishStream(usageOf(active), caller.wantsUsage);
    } else {
        active.writer->sendWhole(active.answer.choices(), usageOf(active));
    }
    metrics_.counter("requests_served_total").add();
    metrics_.distribution("request_seconds").add(toSeconds(suspendAwareNow() - caller.arrival));
    countUsage(active);
    remove(id);
}

void RequestRunner::failFlow(ActiveId id, const FlowStep &step)
{
    fail(id, {toCallerError(step.failure), messageOf(step.failure), step.notRun, step.retryAfter});
}

void RequestRunner::fail(ActiveId id, const CallerFailure &failure)
{
    Active &active = *active_.at(id);
    const CallerRequest &caller = active.caller;
    const std::string code(nameOf(CallerErrorNames, failure.error));
    active.trail.steps.push_back("failed: " + code);
    metrics_.counter("requests_refused_total{code=\"" + code + "\"}").add();
    log_.info("request failed",
              {{"request", caller.publicId},
               {"customer", customerName(caller)},
               {"serves", caller.serves},
               {"endpoint", active.flow->endpoint()},
               {"dataCentre", settings_.dataCentre},
               {"code", code},
               {"notRun", failure.notRun ? "true" : "false"}});
    active.writer->fail(failure);
    if (active.idempotencyHeld && failure.notRun) {
        idempotency_.release(customerName(caller), caller.serves, caller.idempotencyKey);
    }
    if (active.deliveredTokens > 0) {
        countUsage(active);
    }
    remove(id);
}

void RequestRunner::remove(ActiveId id)
{
    const auto it = active_.find(id);
    Active &active = *it->second;
    endAttempt(active);
    const auto [first, last] = byConnection_.equal_range(active.caller.connection);
    for (auto item = first; item != last; ++item) {
        if (item->second == id) {
            byConnection_.erase(item);
            break;
        }
    }
    trails_.push_back(std::move(active.trail));
    if (trails_.size() > MaxTrails) {
        trails_.pop_front();
    }
    const auto customer = active.caller.customer;
    active_.erase(it);
    if (customer) {
        limits_->finished(customer->name, id, suspendAwareNow());
    }
}

void RequestRunner::endAttempt(Active &active)
{
    attempts_.erase(active.flow->attemptId());
}

void RequestRunner::sendCancel(const Active &active)
{
    const RequestId &attempt = active.flow->attemptId();
    wire::Envelope message;
    auto *cancel = message.mutable_cancel();
    cancel->mutable_id()->set_incarnation(attempt.incarnation);
    cancel->mutable_id()->set_number(attempt.number);
    cancel->set_sidecar_incarnation(active.tick.incarnation);
    cancel->set_tick_us(active.tick.microseconds);
    links_.send(active.link, message);
}

void RequestRunner::clientGone(std::uint64_t connection)
{
    std::vector<ActiveId> ids;
    const auto [first, last] = byConnection_.equal_range(connection);
    for (auto it = first; it != last; ++it) {
        ids.push_back(it->second);
    }
    for (const ActiveId id : ids) {
        Active &active = *active_.at(id);
        active.trail.steps.emplace_back("the caller left");
        metrics_.counter("callers_left_total").add();
        if (active.caller.customer) {
            limits_->withdraw(active.caller.customer->name, id);
        }
        if (attempts_.contains(active.flow->attemptId())) {
            sendCancel(active);
        }
        if (active.deliveredTokens > 0) {
            countUsage(active);
        }
        remove(id);
    }
}

void RequestRunner::linkLost(const LinkKey &key)
{
    const auto now = suspendAwareNow();
    std::vector<ActiveId> affected;
    for (const auto &[attempt, id] : attempts_) {
        if (active_.at(id)->link == key) {
            affected.push_back(id);
        }
    }
    for (const ActiveId id : affected) {
        const auto it = active_.find(id);
        if (it == active_.end()) {
            continue;
        }
        router_.failed(it->second->flow->endpoint(), now);
        take(id, it->second->flow->linkLost(now));
    }
}

void RequestRunner::tick(TimePoint now)
{
    std::vector<ActiveId> due;
    std::vector<ActiveId> unrouted;
    for (const auto &[id, active] : active_) {
        if (active->waitsForEndpoint) {
            unrouted.push_back(id);
        } else if (active->flow->deadline() <= now) {
            due.push_back(id);
        } else if (active->flow->isCancelling()) {
            // The question may have been lost with its connection.
            sendCancel(*active);
        }
    }
    for (const ActiveId id : unrouted) {
        if (active_.contains(id)) {
            route(id);
        }
    }
    for (const ActiveId id : due) {
        const auto it = active_.find(id);
        if (it != active_.end()) {
            take(id, it->second->flow->timeout(now));
        }
    }
}

double RequestRunner::expectedOutput(const CallerRequest &caller) const
{
    if (!caller.isChat) {
        return 0;
    }
    const auto it = expectedOutput_.find({customerName(caller), caller.serves});
    const double learnt = it == expectedOutput_.end() ? InitialExpectedOutput : it->second;
    return std::min(learnt, static_cast<double>(caller.maxOutputTokens));
}

void RequestRunner::learnOutput(const Active &active)
{
    const auto [it, inserted]
        = expectedOutput_.try_emplace({customerName(active.caller), active.caller.serves}, static_cast<double>(active.deliveredTokens));
    it->second += OutputSmoothing * (static_cast<double>(active.deliveredTokens) - it->second);
}

void RequestRunner::countUsage(const Active &active)
{
    if (active.caller.customer) {
        const std::uint64_t prompt = active.promptTokens > 0 ? active.promptTokens : active.caller.promptTokens;
        onUsage_(active.caller.customer->name, UsageFigures{1, prompt, active.deliveredTokens});
    }
}

const RequestTrail *RequestRunner::trail(const std::string &publicId) const
{
    for (const auto &[id, active] : active_) {
        if (active->trail.publicId == publicId) {
            return &active->trail;
        }
    }
    const auto it
        = std::find_if(trails_.rbegin(), trails_.rend(), [&publicId](const RequestTrail &trail) { return trail.publicId == publicId; });
    return it == trails_.rend() ? nullptr : &*it;
}

std::map<std::string, RequestRunner::Demand> RequestRunner::takeDemand()
{
    return std::exchange(demand_, {});
}

nlohmann::json RequestRunner::dump() const
{
    std::size_t waiting = 0;
    for (const auto &[id, active] : active_) {
        waiting += active->waitsForEndpoint ? 1 : 0;
    }
    return {{"active", active_.size()}, {"attempts", attempts_.size()}, {"waitingForEndpoint", waiting}};
}

}

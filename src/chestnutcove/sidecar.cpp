#include "sidecar.h"

#include "suspendclock.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr Milliseconds TickInterval{20};
constexpr std::uint32_t FailedProbesUntilUnhealthy = 2;
constexpr std::chrono::seconds MaxConnectionAge{60};
constexpr std::size_t CacheBlocksPerReply = 2000;
constexpr int StatusOk = 200;
/** Time after an order within which the endpoint's own report must show the ordered state. */
constexpr std::chrono::seconds OrderVerifyTimeout{20};
constexpr int FirstServerError = 500;

RequestId fromWire(const wire::RequestId &id)
{
    return {id.incarnation(), id.number()};
}

void toWire(const RequestId &id, wire::RequestId *target)
{
    target->set_incarnation(id.incarnation);
    target->set_number(id.number);
}

SubmittedRequest toSubmittedRequest(const wire::Submit &submit)
{
    SubmittedRequest request;
    request.id = fromWire(submit.id());
    request.tick = {submit.sidecar_incarnation(), submit.tick_us()};
    request.customer = submit.customer();
    const auto lowestPriority = static_cast<std::uint32_t>(ServiceClass::Bulk);
    request.serviceClass = static_cast<ServiceClass>(std::min(submit.service_class(), lowestPriority));
    request.weight = submit.weight() > 0 ? submit.weight() : 1;
    request.promptTokens = static_cast<double>(submit.prompt_tokens());
    request.expectedOutputTokens = static_cast<double>(submit.expected_output_tokens());
    request.queueTimeout = Milliseconds(submit.queue_deadline_ms());
    return request;
}

DispatcherOptions toDispatcherOptions(const SidecarSettings &settings)
{
    DispatcherOptions options;
    options.slots = settings.slots;
    options.maxQueued = settings.maxQueued;
    options.prefillTokensPerSecond = settings.prefillTokensPerSecond;
    options.decodeTokensPerSecond = settings.decodeTokensPerSecond;
    return options;
}

LinkKeys toLinkKeys(const LinkSettings &settings)
{
    return {settings.publicKey, settings.secretKey};
}

}

Sidecar::Sidecar(SidecarSettings settings, asio::io_context &context, const Log &log, Metrics &metrics, std::uint64_t incarnation)
    : settings_(std::move(settings))
    , ioContext_(context)
    , log_(log)
    , metrics_(metrics)
    , linkContext_(context, toLinkKeys(settings_.link), {settings_.link.gatewayKey})
    , server_(linkContext_, [this](const LinkServer::PeerId &peer, const wire::Envelope &message) { onLinkMessage(peer, message); })
    , httpClient_(context.get_executor(), MaxConnectionAge)
    , endpointAdapter_(httpClient_, settings_)
    , tickClock_(incarnation, settings_.orderFreshness)
    , dispatcher_(toDispatcherOptions(settings_), tickClock_)
    , orderGuard_(tickClock_)
    , tickTimer_(context)
    , probeTimer_(context)
{
}

absl::Status Sidecar::start()
{
    if (const absl::Status status = server_.bind(settings_.link.listen.address, settings_.link.listen.port); !status.ok()) {
        return status;
    }
    dispatcher_.setHealthy(false);
    onTick();
    probeEndpoint();
    log_.info("sidecar started", {{"endpoint", settings_.name}, {"dataCentre", settings_.dataCentre}, {"port", std::to_string(port())}});
    return absl::OkStatus();
}

std::uint16_t Sidecar::port() const
{
    return server_.port();
}

void Sidecar::stop(std::function<void()> onStopped)
{
    log_.info("sidecar stopping, waiting for running requests", {{"running", std::to_string(dispatcher_.running())}});
    onStopped_ = std::move(onStopped);
    dispatcher_.setDraining(true);
    sendRefusals(dispatcher_.refuseQueued(RefusalReason::Draining, suspendAwareNow()));
}

void Sidecar::onLinkMessage(const LinkServer::PeerId &peer, const wire::Envelope &message)
{
    switch (message.body_case()) {
    case wire::Envelope::kSubmit:
        onSubmit(peer, message.submit());
        break;
    case wire::Envelope::kCancel:
        onCancel(peer, message.cancel());
        break;
    case wire::Envelope::kAllowance:
        onAllowance(message.allowance());
        break;
    case wire::Envelope::kHeartbeat:
        onHeartbeat(peer, message.heartbeat());
        break;
    case wire::Envelope::kOrder:
        onOrder(peer, message.order());
        break;
    case wire::Envelope::kDumpRequest: {
        wire::Envelope reply;
        reply.mutable_dump_reply()->set_number(message.dump_request().number());
        reply.mutable_dump_reply()->set_json(dump().dump());
        server_.send(peer, reply);
        break;
    }
    default:
        metrics_.counter("messages_ignored_total").add();
        break;
    }
}

void Sidecar::onSubmit(const LinkServer::PeerId &peer, const wire::Submit &submit)
{
    const auto now = suspendAwareNow();
    const SubmittedRequest request = toSubmittedRequest(submit);
    const SubmitDecision decision = dispatcher_.submit(request, now);
    if (decision.evicted) {
        sendRefusals({{*decision.evicted, RefusalReason::Evicted}});
    }
    if (decision.refusal == RefusalReason::Duplicate || decision.refusal == RefusalReason::Unknowable) {
        metrics_.counter("submits_repeated_total").add();
        return;
    }
    if (decision.refusal != RefusalReason::None) {
        sendRefusal(peer, request.id, decision.refusal, decision.retryAfter);
        return;
    }
    TrackedRequest tracked;
    tracked.peer = peer;
    tracked.submit = submit;
    tracked.allowance = submit.allowance();
    requests_.emplace(request.id, std::move(tracked));
    wire::Envelope reply;
    *reply.mutable_accepted()->mutable_id() = submit.id();
    fillLoad(*reply.mutable_accepted()->mutable_load());
    server_.send(peer, reply);
    dispatchQueued();
}

void Sidecar::onCancel(const LinkServer::PeerId &peer, const wire::Cancel &cancel)
{
    const RequestId id = fromWire(cancel.id());
    const Tick tick{cancel.sidecar_incarnation(), cancel.tick_us()};
    const CancelResult result = dispatcher_.cancel(id, tick, suspendAwareNow());
    wire::Envelope reply;
    auto *body = reply.mutable_cancel_reply();
    *body->mutable_id() = cancel.id();
    body->set_ran(result == CancelResult::Ran);
    body->set_sidecar_incarnation(tickClock_.incarnation());
    server_.send(peer, reply);
    if (result == CancelResult::NotRun) {
        requests_.erase(id);
    } else {
        abandonRequest(id);
    }
    dispatchQueued();
}

void Sidecar::onAllowance(const wire::Allowance &allowance)
{
    const RequestId id = fromWire(allowance.id());
    const auto it = requests_.find(id);
    if (it == requests_.end()) {
        return;
    }
    it->second.allowance = std::max(it->second.allowance, allowance.total());
    sendAllowedEvents(id, it->second);
}

void Sidecar::onHeartbeat(const LinkServer::PeerId &peer, const wire::Heartbeat &heartbeat)
{
    const auto now = suspendAwareNow();
    gateways_[heartbeat.incarnation()] = GatewayPeer{peer, heartbeat.gateway(), now};
    isDrainedByCatalogue_ = heartbeat.drain();
    wire::Envelope reply;
    auto *body = reply.mutable_heartbeat_reply();
    body->set_number(heartbeat.number());
    body->set_endpoint(settings_.name);
    const Tick tick = tickClock_.issue(now);
    body->set_sidecar_incarnation(tick.incarnation);
    body->set_tick_us(tick.microseconds);
    body->set_highest_epoch(orderGuard_.highestEpoch());
    fillLoad(*body->mutable_load());
    const bool isSameIncarnation = heartbeat.cache_incarnation() == tickClock_.incarnation();
    const CacheDifference difference = cacheIndex_.difference(isSameIncarnation ? heartbeat.cache_cursor() : 0, CacheBlocksPerReply);
    body->set_cache_reset(difference.reset);
    body->set_cache_cursor(difference.cursor);
    body->mutable_cached_blocks()->Add(difference.stored.begin(), difference.stored.end());
    body->mutable_evicted_blocks()->Add(difference.evicted.begin(), difference.evicted.end());
    server_.send(peer, reply);
}

void Sidecar::onOrder(const LinkServer::PeerId &peer, const wire::Order &order)
{
    const FencedOrder fenced{order.order_id(), order.epoch(), {order.sidecar_incarnation(), order.tick_us()}};
    const OrderVerdict verdict = orderGuard_.tryAccept(fenced, suspendAwareNow());
    log_.info("order received",
              {{"action", order.action()},
               {"argument", order.argument()},
               {"epoch", std::to_string(order.epoch())},
               {"verdict", std::string(nameOf(OrderVerdictNames, verdict))}});
    lastOrder_ = order.action() + " " + order.argument() + ": " + std::string(nameOf(OrderVerdictNames, verdict));
    if (verdict == OrderVerdict::Accepted) {
        // Queued requests are refused, so that gateways send them to other endpoints. Running requests finish before the order is sent.
        pendingOrder_ = PendingOrder{peer, order};
        dispatcher_.setDraining(true);
        sendRefusals(dispatcher_.refuseQueued(RefusalReason::Draining, suspendAwareNow()));
        advancePendingOrder(suspendAwareNow());
        return;
    }
    wire::Envelope reply;
    reply.mutable_order_reply()->set_order_id(order.order_id());
    reply.mutable_order_reply()->set_code(std::string(nameOf(OrderVerdictNames, verdict)));
    server_.send(peer, reply);
}

void Sidecar::advancePendingOrder(TimePoint now)
{
    if (!pendingOrder_ || dispatcher_.running() > 0) {
        return;
    }
    PendingOrder &pending = *pendingOrder_;
    if (pending.isVerifying) {
        const bool isInEffect = pending.order.action() != "role" || endpointState_.role == pending.order.argument();
        if (isInEffect || now >= pending.verifyDeadline) {
            completePendingOrder(isInEffect, isInEffect ? "" : "the endpoint does not show the ordered state");
        }
        return;
    }
    if (pending.isSent) {
        return;
    }
    pending.isSent = true;
    endpointAdapter_.sendOrder(pending.order.action(), pending.order.argument(), pending.order.epoch(), [this](const absl::Status &status) {
        if (!status.ok()) {
            completePendingOrder(false, std::string(status.message()));
            return;
        }
        pendingOrder_->isVerifying = true;
        pendingOrder_->verifyDeadline = suspendAwareNow() + OrderVerifyTimeout;
    });
}

void Sidecar::completePendingOrder(bool done, const std::string &message)
{
    const PendingOrder pending = *std::exchange(pendingOrder_, std::nullopt);
    orderGuard_.onOrderCompleted();
    dispatcher_.setDraining(onStopped_ != nullptr);
    wire::Envelope reply;
    auto *body = reply.mutable_order_reply();
    body->set_order_id(pending.order.order_id());
    body->set_done(done);
    body->set_code(done ? "done" : "failed");
    body->set_message(message);
    server_.send(pending.peer, reply);
    log_.info("order completed",
              {{"action", pending.order.action()}, {"argument", pending.order.argument()}, {"result", done ? "done" : message}});
    dispatchQueued();
}

void Sidecar::dispatchQueued()
{
    if (pendingOrder_) {
        return;
    }
    const auto now = suspendAwareNow();
    while (const auto id = dispatcher_.dispatch(now)) {
        const auto it = requests_.find(*id);
        if (it == requests_.end()) {
            dispatcher_.onFinished(*id, 0, 0, now);
            continue;
        }
        callEndpoint(*id, it->second);
    }
}

void Sidecar::callEndpoint(const RequestId &id, TrackedRequest &request)
{
    request.isDispatched = true;
    request.dispatchedAt = suspendAwareNow();
    EndpointCall call;
    call.method = request.submit.method();
    call.path = request.submit.path();
    call.contentType = request.submit.content_type();
    call.body = std::move(*request.submit.mutable_body());
    call.requestId = request.submit.client_request_id().empty() ? id.toText() : request.submit.client_request_id();
    call.stream = request.submit.stream();
    call.atMostOnce = !request.submit.idempotent();
    request.endpointCall = endpointAdapter_.send(
        call,
        [this, id](std::vector<EndpointEvent> events) { onEvents(id, std::move(events)); },
        [this, id](EndpointResult result) { onResult(id, std::move(result)); });
}

void Sidecar::onEvents(const RequestId &id, std::vector<EndpointEvent> events)
{
    const auto it = requests_.find(id);
    if (it == requests_.end()) {
        return;
    }
    TrackedRequest &request = it->second;
    if (request.outputTokens == 0) {
        request.firstTokenAt = suspendAwareNow();
        dispatcher_.onAnswerBegun(id, request.firstTokenAt);
    }
    for (const EndpointEvent &event : events) {
        request.outputTokens += event.tokens;
    }
    std::move(events.begin(), events.end(), std::back_inserter(request.withheldEvents));
    sendAllowedEvents(id, request);
}

void Sidecar::onResult(const RequestId &id, EndpointResult result)
{
    const auto it = requests_.find(id);
    const auto now = suspendAwareNow();
    if (it == requests_.end()) {
        dispatcher_.onFinished(id, 0, 0, now);
        dispatchQueued();
        return;
    }
    TrackedRequest &request = it->second;
    result.outputTokens = std::max(result.outputTokens, request.outputTokens);
    if (request.outputTokens > 1 && result.status.ok()) {
        const double prefill = toSeconds(request.firstTokenAt - request.dispatchedAt);
        const double decode = toSeconds(now - request.firstTokenAt);
        const double uncached = static_cast<double>(result.promptTokens) - static_cast<double>(result.cachedTokens);
        dispatcher_.updateSpeedEstimates(prefill > 0 ? uncached / prefill : 0,
                                         decode > 0 ? static_cast<double>(request.outputTokens - 1) / decode : 0);
    }
    dispatcher_.onFinished(id, static_cast<double>(result.promptTokens), static_cast<double>(result.outputTokens), now);
    promptTokensTotal_ += static_cast<double>(result.promptTokens - std::min(result.cachedTokens, result.promptTokens));
    outputTokensTotal_ += static_cast<double>(result.outputTokens);
    requestsTotal_ += 1;
    request.result = std::move(result);
    sendAllowedEvents(id, request);
    dispatchQueued();
}

void Sidecar::sendAllowedEvents(const RequestId &id, TrackedRequest &request)
{
    wire::Chunk chunk;
    while (!request.withheldEvents.empty() && request.sentTokens + request.withheldEvents.front().tokens <= request.allowance) {
        request.sentTokens += request.withheldEvents.front().tokens;
        chunk.set_tokens(chunk.tokens() + request.withheldEvents.front().tokens);
        chunk.add_events(std::move(request.withheldEvents.front().choices));
        request.withheldEvents.pop_front();
    }
    if (chunk.events_size() > 0) {
        sendChunk(id, request, std::move(chunk));
    }
    if (request.withheldEvents.empty() && request.result) {
        finishRequest(id, request);
    }
}

void Sidecar::sendChunk(const RequestId &id, TrackedRequest &request, wire::Chunk chunk)
{
    wire::Envelope message;
    toWire(id, chunk.mutable_id());
    chunk.set_sequence(request.sentChunks++);
    *message.mutable_chunk() = std::move(chunk);
    if (!server_.send(request.peer, message)) {
        metrics_.counter("chunks_undeliverable_total").add();
    }
}

void Sidecar::finishRequest(const RequestId &id, TrackedRequest &request)
{
    const EndpointResult &result = *request.result;
    if (!request.submit.stream() && result.status.ok()) {
        wire::Chunk bodyChunk;
        bodyChunk.add_events(result.body);
        sendChunk(id, request, std::move(bodyChunk));
    }
    wire::Envelope message;
    auto *end = message.mutable_end();
    toWire(id, end->mutable_id());
    end->set_chunk_count(request.sentChunks);
    end->set_status(static_cast<std::uint32_t>(result.code));
    end->set_prompt_tokens(result.promptTokens);
    end->set_output_tokens(result.outputTokens);
    end->set_cached_tokens(result.cachedTokens);
    end->set_content_type(result.contentType);
    if (absl::IsUnavailable(result.status)) {
        end->set_error_code("endpoint_unreachable");
        end->set_error_message(std::string(result.status.message()));
    } else if (!result.status.ok()) {
        end->set_error_code("endpoint_failed");
        end->set_error_message(std::string(result.status.message()));
        end->set_outcome_unknown(true);
    } else if (request.submit.stream() && result.code >= FirstServerError) {
        end->set_error_code("endpoint_failed");
        end->set_error_message("the endpoint answered " + std::to_string(result.code));
    } else if (request.submit.stream() && result.code != StatusOk) {
        end->set_error_code("endpoint_refused");
        end->set_error_message(result.body);
    }
    fillLoad(*end->mutable_load());
    server_.send(request.peer, message);
    metrics_.distribution("request_seconds").add(toSeconds(suspendAwareNow() - request.dispatchedAt));
    requests_.erase(id);
}

void Sidecar::sendRefusal(const LinkServer::PeerId &peer, const RequestId &id, RefusalReason reason, Duration retryAfter)
{
    wire::Envelope message;
    auto *refused = message.mutable_refused();
    toWire(id, refused->mutable_id());
    const std::string name(nameOf(RefusalReasonNames, reason));
    refused->set_code(name);
    refused->set_retry_after_ms(static_cast<std::uint64_t>(std::chrono::ceil<Milliseconds>(retryAfter).count()));
    fillLoad(*refused->mutable_load());
    server_.send(peer, message);
    metrics_.counter("refused_total{reason=\"" + name + "\"}").add();
}

void Sidecar::sendRefusals(const std::vector<Refusal> &refusals)
{
    for (const Refusal &refusal : refusals) {
        const auto it = requests_.find(refusal.id);
        if (it != requests_.end()) {
            sendRefusal(it->second.peer, refusal.id, refusal.reason, Duration::zero());
            requests_.erase(it);
        }
    }
}

void Sidecar::abandonRequest(const RequestId &id)
{
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.isDispatched) {
        return;
    }
    // A call that is not idempotent runs to its end, because cancelling it would leave its effect unknown.
    if (it->second.submit.idempotent()) {
        endpointAdapter_.cancel(it->second.endpointCall);
    }
    requests_.erase(it);
}

void Sidecar::onTick()
{
    const auto now = suspendAwareNow();
    sendRefusals(dispatcher_.expire(now));
    dropUnresponsiveGateways(now);
    advancePendingOrder(now);
    dispatchQueued();
    if (onStopped_ && dispatcher_.running() == 0 && requests_.empty()) {
        std::exchange(onStopped_, nullptr)();
        return;
    }
    tickTimer_.expires_after(TickInterval);
    tickTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            onTick();
        }
    });
}

void Sidecar::dropUnresponsiveGateways(TimePoint now)
{
    std::vector<LinkServer::PeerId> unresponsivePeers;
    std::erase_if(gateways_, [&](const auto &item) {
        const bool isUnresponsive = now - item.second.lastHeard > settings_.gatewayTimeout;
        if (isUnresponsive) {
            unresponsivePeers.push_back(item.second.peer);
        }
        return isUnresponsive;
    });
    for (const LinkServer::PeerId &peer : unresponsivePeers) {
        std::vector<RequestId> orphanedRequests;
        for (const auto &[id, request] : requests_) {
            if (request.peer == peer) {
                orphanedRequests.push_back(id);
            }
        }
        for (const RequestId &id : orphanedRequests) {
            if (dispatcher_.cancel(id, tickClock_.issue(now), now) == CancelResult::NotRun) {
                requests_.erase(id);
            } else {
                abandonRequest(id);
            }
        }
        log_.warning("gateway unresponsive, its requests were dropped", {{"requests", std::to_string(orphanedRequests.size())}});
    }
}

void Sidecar::probeEndpoint()
{
    endpointAdapter_.probeState([this](const absl::StatusOr<EndpointState> &state) {
        const bool wasHealthy = dispatcher_.isHealthy();
        failedProbes_ = state.ok() ? 0 : failedProbes_ + 1;
        if (state.ok()) {
            endpointState_ = *state;
        }
        const bool healthy = state.ok() || (wasHealthy && failedProbes_ < FailedProbesUntilUnhealthy);
        dispatcher_.setHealthy(healthy);
        if (healthy != wasHealthy) {
            log_.warning(healthy ? "endpoint healthy" : "endpoint unhealthy", {{"endpoint", settings_.name}});
        }
        if (!healthy) {
            sendRefusals(dispatcher_.refuseQueued(RefusalReason::Unhealthy, suspendAwareNow()));
        } else if (settings_.kind == EndpointKind::Engine) {
            pollCache();
        }
        probeTimer_.expires_after(settings_.probeInterval);
        probeTimer_.async_wait([this](const std::error_code &error) {
            if (!error) {
                probeEndpoint();
            }
        });
    });
}

void Sidecar::pollCache()
{
    if (isReadingCache_) {
        return;
    }
    isReadingCache_ = true;
    endpointAdapter_.readCacheEvents(cacheIndex_.nextEvent(), [this](const absl::StatusOr<CacheReport> &report) {
        isReadingCache_ = false;
        if (!report.ok() || cacheIndex_.apply(report->firstEvent, report->events)) {
            return;
        }
        metrics_.counter("cache_event_gaps_total").add();
        isReadingCache_ = true;
        endpointAdapter_.readCacheContents([this](const absl::StatusOr<CacheReport> &allBlocks) {
            isReadingCache_ = false;
            if (!allBlocks.ok()) {
                return;
            }
            std::vector<std::uint64_t> blocks;
            for (const CacheEvent &event : allBlocks->events) {
                blocks.push_back(event.block);
            }
            cacheIndex_.reset(allBlocks->nextEvent, blocks);
        });
    });
}

void Sidecar::fillLoad(wire::Load &load) const
{
    load.set_queued(dispatcher_.queued());
    load.set_queued_seconds(dispatcher_.queuedCost());
    load.set_running_seconds(dispatcher_.runningCost());
    load.set_prefill_seconds(dispatcher_.prefillSeconds(suspendAwareNow()));
    load.set_running(dispatcher_.running());
    load.set_running_tokens(static_cast<std::uint64_t>(std::max(0.0, dispatcher_.runningTokens())));
    load.set_prefill_tokens_per_second(dispatcher_.prefillTokensPerSecond());
    load.set_decode_tokens_per_second(dispatcher_.decodeTokensPerSecond());
    load.set_draining(dispatcher_.isDraining());
    load.set_healthy(dispatcher_.isHealthy());
    load.set_role(endpointState_.role);
    load.set_slots(dispatcher_.slots());
    load.set_prompt_tokens_total(promptTokensTotal_);
    load.set_output_tokens_total(outputTokensTotal_);
    load.set_requests_total(requestsTotal_);
}

nlohmann::json Sidecar::dump() const
{
    nlohmann::json gateways = nlohmann::json::array();
    const auto now = suspendAwareNow();
    for (const auto &[incarnation, gateway] : gateways_) {
        gateways.push_back({{"name", gateway.name},
                            {"incarnation", incarnation},
                            {"silentMs", std::chrono::duration_cast<Milliseconds>(now - gateway.lastHeard).count()}});
    }
    return {{"process", "sidecar"},
            {"name", settings_.name},
            {"dataCentre", settings_.dataCentre},
            {"incarnation", tickClock_.incarnation()},
            {"endpoint",
             {{"url", settings_.endpointUrl},
              {"healthy", dispatcher_.isHealthy()},
              {"draining", dispatcher_.isDraining()},
              {"catalogueDraining", isDrainedByCatalogue_},
              {"role", endpointState_.role},
              {"model", endpointState_.model},
              {"failedProbes", failedProbes_}}},
            {"queue",
             {{"queued", dispatcher_.queued()},
              {"queuedSeconds", dispatcher_.queuedCost()},
              {"prefillSeconds", dispatcher_.prefillSeconds(now)},
              {"running", dispatcher_.running()},
              {"slots", dispatcher_.slots()},
              {"remembered", dispatcher_.recordCount()},
              {"prefillTokensPerSecond", dispatcher_.prefillTokensPerSecond()},
              {"decodeTokensPerSecond", dispatcher_.decodeTokensPerSecond()}}},
            {"orders", {{"highestEpoch", orderGuard_.highestEpoch()}, {"busy", orderGuard_.isBusy()}, {"last", lastOrder_}}},
            {"cache", {{"blocks", cacheIndex_.size()}, {"nextEvent", cacheIndex_.nextEvent()}}},
            {"gateways", std::move(gateways)}};
}

}

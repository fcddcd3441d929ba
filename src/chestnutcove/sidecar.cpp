#include "sidecar.h"

#include "suspendclock.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr Milliseconds TickInterval{20};
constexpr std::uint32_t UnhealthyAfterProbes = 2;
constexpr std::chrono::seconds MaxConnectionAge{60};
constexpr std::size_t CacheBlocksPerReply = 2000;
constexpr int CodeOk = 200;
/** Time for an ordered state to show in the endpoint's own report. */
constexpr std::chrono::seconds VerifyTime{20};
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

SubmittedRequest toSubmitted(const wire::Submit &submit)
{
    SubmittedRequest request;
    request.id = fromWire(submit.id());
    request.tick = {submit.sidecar_incarnation(), submit.tick_us()};
    request.customer = submit.customer();
    const auto lowest = static_cast<std::uint32_t>(ServiceClass::Bulk);
    request.serviceClass = static_cast<ServiceClass>(std::min(submit.service_class(), lowest));
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
    , context_(context)
    , log_(log)
    , metrics_(metrics)
    , links_(context, toLinkKeys(settings_.link), {settings_.link.gatewayKey})
    , server_(links_, [this](const LinkServer::PeerId &peer, const wire::Envelope &message) { receive(peer, message); })
    , client_(context.get_executor(), MaxConnectionAge)
    , endpoint_(client_, settings_)
    , clock_(incarnation, settings_.orderFreshness)
    , dispatcher_(toDispatcherOptions(settings_), clock_)
    , orders_(clock_)
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
    tick();
    probe();
    log_.info("sidecar started", {{"endpoint", settings_.name}, {"dataCentre", settings_.dataCentre}, {"port", std::to_string(port())}});
    return absl::OkStatus();
}

std::uint16_t Sidecar::port() const
{
    return server_.port();
}

void Sidecar::stop(std::function<void()> onStopped)
{
    log_.info("sidecar draining for its stop", {{"running", std::to_string(dispatcher_.running())}});
    onStopped_ = std::move(onStopped);
    dispatcher_.setDraining(true);
    refuseAll(dispatcher_.refuseQueued(RefusalReason::Draining, suspendAwareNow()));
}

void Sidecar::receive(const LinkServer::PeerId &peer, const wire::Envelope &message)
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
    const SubmittedRequest request = toSubmitted(submit);
    const SubmitDecision decision = dispatcher_.submit(request, now);
    if (decision.evicted) {
        refuseAll({{*decision.evicted, RefusalReason::Evicted}});
    }
    if (decision.refusal == RefusalReason::Duplicate || decision.refusal == RefusalReason::Unknowable) {
        metrics_.counter("submits_repeated_total").add();
        return;
    }
    if (decision.refusal != RefusalReason::None) {
        refuse(peer, request.id, decision.refusal, decision.retryAfter);
        return;
    }
    Running running;
    running.peer = peer;
    running.submit = submit;
    running.allowance = submit.allowance();
    requests_.emplace(request.id, std::move(running));
    wire::Envelope reply;
    *reply.mutable_accepted()->mutable_id() = submit.id();
    fillLoad(*reply.mutable_accepted()->mutable_load());
    server_.send(peer, reply);
    dispatchReady();
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
    body->set_sidecar_incarnation(clock_.incarnation());
    server_.send(peer, reply);
    if (result == CancelResult::NotRun) {
        requests_.erase(id);
    } else {
        abandon(id);
    }
    dispatchReady();
}

void Sidecar::onAllowance(const wire::Allowance &allowance)
{
    const RequestId id = fromWire(allowance.id());
    const auto it = requests_.find(id);
    if (it == requests_.end()) {
        return;
    }
    it->second.allowance = std::max(it->second.allowance, allowance.total());
    flush(id, it->second);
}

void Sidecar::onHeartbeat(const LinkServer::PeerId &peer, const wire::Heartbeat &heartbeat)
{
    const auto now = suspendAwareNow();
    gateways_[heartbeat.incarnation()] = Gateway{peer, heartbeat.gateway(), now};
    catalogueDrain_ = heartbeat.drain();
    wire::Envelope reply;
    auto *body = reply.mutable_heartbeat_reply();
    body->set_number(heartbeat.number());
    body->set_endpoint(settings_.name);
    const Tick tick = clock_.issue(now);
    body->set_sidecar_incarnation(tick.incarnation);
    body->set_tick_us(tick.microseconds);
    body->set_highest_epoch(orders_.highestEpoch());
    fillLoad(*body->mutable_load());
    const bool sameIncarnation = heartbeat.cache_incarnation() == clock_.incarnation();
    const CacheDifference difference = cache_.difference(sameIncarnation ? heartbeat.cache_cursor() : 0, CacheBlocksPerReply);
    body->set_cache_reset(difference.reset);
    body->set_cache_cursor(difference.cursor);
    body->mutable_cached_blocks()->Add(difference.stored.begin(), difference.stored.end());
    body->mutable_evicted_blocks()->Add(difference.evicted.begin(), difference.evicted.end());
    server_.send(peer, reply);
}

void Sidecar::onOrder(const LinkServer::PeerId &peer, const wire::Order &order)
{
    const FencedOrder fenced{order.order_id(), order.epoch(), {order.sidecar_incarnation(), order.tick_us()}};
    const OrderVerdict verdict = orders_.tryAccept(fenced, suspendAwareNow());
    log_.info("order received",
              {{"action", order.action()},
               {"argument", order.argument()},
               {"epoch", std::to_string(order.epoch())},
               {"verdict", std::string(nameOf(OrderVerdictNames, verdict))}});
    lastOrder_ = order.action() + " " + order.argument() + ": " + std::string(nameOf(OrderVerdictNames, verdict));
    if (verdict == OrderVerdict::Accepted) {
        // What waits goes to other endpoints; what runs finishes first.
        pendingOrder_ = PendingOrder{peer, order};
        dispatcher_.setDraining(true);
        refuseAll(dispatcher_.refuseQueued(RefusalReason::Draining, suspendAwareNow()));
        advanceOrder(suspendAwareNow());
        return;
    }
    wire::Envelope reply;
    reply.mutable_order_reply()->set_order_id(order.order_id());
    reply.mutable_order_reply()->set_code(std::string(nameOf(OrderVerdictNames, verdict)));
    server_.send(peer, reply);
}

void Sidecar::advanceOrder(TimePoint now)
{
    if (!pendingOrder_ || dispatcher_.running() > 0) {
        return;
    }
    PendingOrder &pending = *pendingOrder_;
    if (pending.verifying) {
        const bool inEffect = pending.order.action() != "role" || state_.role == pending.order.argument();
        if (inEffect || now >= pending.verifyUntil) {
            completeOrder(inEffect, inEffect ? "" : "the endpoint does not show the ordered state");
        }
        return;
    }
    if (pending.sent) {
        return;
    }
    pending.sent = true;
    endpoint_.order(pending.order.action(), pending.order.argument(), pending.order.epoch(), [this](const absl::Status &status) {
        if (!status.ok()) {
            completeOrder(false, std::string(status.message()));
            return;
        }
        pendingOrder_->verifying = true;
        pendingOrder_->verifyUntil = suspendAwareNow() + VerifyTime;
    });
}

void Sidecar::completeOrder(bool done, const std::string &message)
{
    const PendingOrder pending = *std::exchange(pendingOrder_, std::nullopt);
    orders_.onOrderCompleted();
    dispatcher_.setDraining(onStopped_ != nullptr);
    wire::Envelope reply;
    auto *body = reply.mutable_order_reply();
    body->set_order_id(pending.order.order_id());
    body->set_done(done);
    body->set_code(done ? "done" : "failed");
    body->set_message(message);
    server_.send(pending.peer, reply);
    log_.info("order carried out",
              {{"action", pending.order.action()}, {"argument", pending.order.argument()}, {"result", done ? "done" : message}});
    dispatchReady();
}

void Sidecar::dispatchReady()
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
        call(*id, it->second);
    }
}

void Sidecar::call(const RequestId &id, Running &running)
{
    running.dispatched = true;
    running.dispatchedAt = suspendAwareNow();
    EndpointCall call;
    call.method = running.submit.method();
    call.path = running.submit.path();
    call.contentType = running.submit.content_type();
    call.body = std::move(*running.submit.mutable_body());
    call.requestId = running.submit.client_request_id().empty() ? id.toText() : running.submit.client_request_id();
    call.stream = running.submit.stream();
    call.atMostOnce = !running.submit.idempotent();
    running.call = endpoint_.send(
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
    Running &running = it->second;
    if (running.outputTokens == 0) {
        running.firstTokenAt = suspendAwareNow();
    }
    for (const EndpointEvent &event : events) {
        running.outputTokens += event.tokens;
    }
    std::move(events.begin(), events.end(), std::back_inserter(running.held));
    flush(id, running);
}

void Sidecar::onResult(const RequestId &id, EndpointResult result)
{
    const auto it = requests_.find(id);
    const auto now = suspendAwareNow();
    if (it == requests_.end()) {
        dispatcher_.onFinished(id, 0, 0, now);
        dispatchReady();
        return;
    }
    Running &running = it->second;
    result.outputTokens = std::max(result.outputTokens, running.outputTokens);
    if (running.outputTokens > 1 && result.status.ok()) {
        const double prefill = toSeconds(running.firstTokenAt - running.dispatchedAt);
        const double decode = toSeconds(now - running.firstTokenAt);
        const double uncached = static_cast<double>(result.promptTokens) - static_cast<double>(result.cachedTokens);
        dispatcher_.updateSpeedEstimates(prefill > 0 ? uncached / prefill : 0,
                                         decode > 0 ? static_cast<double>(running.outputTokens - 1) / decode : 0);
    }
    dispatcher_.onFinished(id, static_cast<double>(result.promptTokens), static_cast<double>(result.outputTokens), now);
    promptTokensTotal_ += static_cast<double>(result.promptTokens - std::min(result.cachedTokens, result.promptTokens));
    outputTokensTotal_ += static_cast<double>(result.outputTokens);
    requestsTotal_ += 1;
    running.result = std::move(result);
    flush(id, running);
    dispatchReady();
}

void Sidecar::flush(const RequestId &id, Running &running)
{
    wire::Chunk chunk;
    while (!running.held.empty() && running.sentTokens + running.held.front().tokens <= running.allowance) {
        running.sentTokens += running.held.front().tokens;
        chunk.set_tokens(chunk.tokens() + running.held.front().tokens);
        chunk.add_events(std::move(running.held.front().choices));
        running.held.pop_front();
    }
    if (chunk.events_size() > 0) {
        sendChunk(id, running, std::move(chunk));
    }
    if (running.held.empty() && running.result) {
        finish(id, running);
    }
}

void Sidecar::sendChunk(const RequestId &id, Running &running, wire::Chunk chunk)
{
    wire::Envelope message;
    toWire(id, chunk.mutable_id());
    chunk.set_sequence(running.chunks++);
    *message.mutable_chunk() = std::move(chunk);
    if (!server_.send(running.peer, message)) {
        metrics_.counter("chunks_undeliverable_total").add();
    }
}

void Sidecar::finish(const RequestId &id, Running &running)
{
    const EndpointResult &result = *running.result;
    if (!running.submit.stream() && result.status.ok()) {
        wire::Chunk whole;
        whole.add_events(result.body);
        sendChunk(id, running, std::move(whole));
    }
    wire::Envelope message;
    auto *end = message.mutable_end();
    toWire(id, end->mutable_id());
    end->set_chunk_count(running.chunks);
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
    } else if (running.submit.stream() && result.code >= FirstServerError) {
        end->set_error_code("endpoint_failed");
        end->set_error_message("the endpoint answered " + std::to_string(result.code));
    } else if (running.submit.stream() && result.code != CodeOk) {
        end->set_error_code("endpoint_refused");
        end->set_error_message(result.body);
    }
    fillLoad(*end->mutable_load());
    server_.send(running.peer, message);
    metrics_.distribution("request_seconds").add(toSeconds(suspendAwareNow() - running.dispatchedAt));
    requests_.erase(id);
}

void Sidecar::refuse(const LinkServer::PeerId &peer, const RequestId &id, RefusalReason reason, Duration retryAfter)
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

void Sidecar::refuseAll(const std::vector<Refusal> &refusals)
{
    for (const Refusal &refusal : refusals) {
        const auto it = requests_.find(refusal.id);
        if (it != requests_.end()) {
            refuse(it->second.peer, refusal.id, refusal.reason, Duration::zero());
            requests_.erase(it);
        }
    }
}

void Sidecar::abandon(const RequestId &id)
{
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.dispatched) {
        return;
    }
    // A call that may not be repeated runs to its end, since cutting it leaves its effect unknown.
    if (it->second.submit.idempotent()) {
        endpoint_.cancel(it->second.call);
    }
    requests_.erase(it);
}

void Sidecar::tick()
{
    const auto now = suspendAwareNow();
    refuseAll(dispatcher_.expire(now));
    checkGateways(now);
    advanceOrder(now);
    dispatchReady();
    if (onStopped_ && dispatcher_.running() == 0 && requests_.empty()) {
        std::exchange(onStopped_, nullptr)();
        return;
    }
    tickTimer_.expires_after(TickInterval);
    tickTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void Sidecar::checkGateways(TimePoint now)
{
    std::vector<LinkServer::PeerId> gone;
    std::erase_if(gateways_, [&](const auto &item) {
        const bool silent = now - item.second.lastHeard > settings_.gatewayTimeout;
        if (silent) {
            gone.push_back(item.second.peer);
        }
        return silent;
    });
    for (const LinkServer::PeerId &peer : gone) {
        std::vector<RequestId> orphans;
        for (const auto &[id, running] : requests_) {
            if (running.peer == peer) {
                orphans.push_back(id);
            }
        }
        for (const RequestId &id : orphans) {
            if (dispatcher_.cancel(id, clock_.issue(now), now) == CancelResult::NotRun) {
                requests_.erase(id);
            } else {
                abandon(id);
            }
        }
        log_.warning("gateway silent; its requests were given up", {{"requests", std::to_string(orphans.size())}});
    }
}

void Sidecar::probe()
{
    endpoint_.probe([this](const absl::StatusOr<EndpointState> &state) {
        const bool wasHealthy = dispatcher_.isHealthy();
        failedProbes_ = state.ok() ? 0 : failedProbes_ + 1;
        if (state.ok()) {
            state_ = *state;
        }
        const bool healthy = state.ok() || (wasHealthy && failedProbes_ < UnhealthyAfterProbes);
        dispatcher_.setHealthy(healthy);
        if (healthy != wasHealthy) {
            log_.warning(healthy ? "endpoint healthy" : "endpoint unhealthy", {{"endpoint", settings_.name}});
        }
        if (!healthy) {
            refuseAll(dispatcher_.refuseQueued(RefusalReason::Unhealthy, suspendAwareNow()));
        } else if (settings_.kind == EndpointKind::Engine) {
            pollCache();
        }
        probeTimer_.expires_after(settings_.probeInterval);
        probeTimer_.async_wait([this](const std::error_code &error) {
            if (!error) {
                probe();
            }
        });
    });
}

void Sidecar::pollCache()
{
    if (cacheBusy_) {
        return;
    }
    cacheBusy_ = true;
    endpoint_.readCacheEvents(cache_.nextEvent(), [this](const absl::StatusOr<CacheReport> &report) {
        cacheBusy_ = false;
        if (!report.ok() || cache_.apply(report->first, report->events)) {
            return;
        }
        metrics_.counter("cache_event_gaps_total").add();
        cacheBusy_ = true;
        endpoint_.readCache([this](const absl::StatusOr<CacheReport> &whole) {
            cacheBusy_ = false;
            if (!whole.ok()) {
                return;
            }
            std::vector<std::uint64_t> blocks;
            for (const CacheEvent &event : whole->events) {
                blocks.push_back(event.block);
            }
            cache_.reset(whole->next, blocks);
        });
    });
}

void Sidecar::fillLoad(wire::Load &load) const
{
    load.set_queued(dispatcher_.queued());
    load.set_queued_seconds(dispatcher_.queuedCost());
    load.set_running_seconds(dispatcher_.runningCost());
    load.set_running(dispatcher_.running());
    load.set_running_tokens(static_cast<std::uint64_t>(std::max(0.0, dispatcher_.runningTokens())));
    load.set_prefill_tokens_per_second(dispatcher_.prefillTokensPerSecond());
    load.set_decode_tokens_per_second(dispatcher_.decodeTokensPerSecond());
    load.set_draining(dispatcher_.isDraining());
    load.set_healthy(dispatcher_.isHealthy());
    load.set_role(state_.role);
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
            {"incarnation", clock_.incarnation()},
            {"endpoint",
             {{"url", settings_.endpointUrl},
              {"healthy", dispatcher_.isHealthy()},
              {"draining", dispatcher_.isDraining()},
              {"catalogueDraining", catalogueDrain_},
              {"role", state_.role},
              {"model", state_.model},
              {"failedProbes", failedProbes_}}},
            {"queue",
             {{"queued", dispatcher_.queued()},
              {"queuedSeconds", dispatcher_.queuedCost()},
              {"running", dispatcher_.running()},
              {"slots", dispatcher_.slots()},
              {"remembered", dispatcher_.recordCount()},
              {"prefillTokensPerSecond", dispatcher_.prefillTokensPerSecond()},
              {"decodeTokensPerSecond", dispatcher_.decodeTokensPerSecond()}}},
            {"orders", {{"highestEpoch", orders_.highestEpoch()}, {"busy", orders_.isBusy()}, {"last", lastOrder_}}},
            {"cache", {{"blocks", cache_.size()}, {"nextEvent", cache_.nextEvent()}}},
            {"gateways", std::move(gateways)}};
}

}

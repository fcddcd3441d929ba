#include "requesthedge.h"

#include "suspendclock.h"

#include <utility>

namespace Chestnutcove {

RequestHedge::RequestHedge(HedgeOrigin origin)
    : origin_(origin)
{
}

HedgePolicy *RequestHedge::policy() const
{
    return origin_.context.hedgePolicy(origin_.request.service->name);
}

void RequestHedge::onFirstAttempt()
{
    if (HedgePolicy *const hedges = policy()) {
        hedges->onFirstAttempt();
    }
}

void RequestHedge::onRefused()
{
    if (HedgePolicy *const hedges = policy()) {
        hedges->onRefused(suspendAwareNow());
    }
}

void RequestHedge::watch(const Platform::ForwardingMetadata &facts, std::function<void()> onDue)
{
    HedgePolicy *const hedges = policy();
    // The KV cache of a held prompt can be fetched once only.
    const bool mayHedge = origin_.request.route->kind == RequestKind::Idempotent && !facts.prefillOnly && !facts.prefilled && !wasStarted_;
    if (hedges == nullptr || !mayHedge) {
        return;
    }
    const auto delay = hedges->delay(suspendAwareNow());
    if (!delay) {
        return;
    }
    facts_ = facts;
    timer_.emplace(origin_.context.ioContext, *delay);
    timer_->async_wait([onDue = std::move(onDue)](const std::error_code &error) {
        if (!error) {
            onDue();
        }
    });
}

void RequestHedge::stopWaiting(AttemptOutcome outcome)
{
    timer_.reset();
    if (outcome == AttemptOutcome::NotRun) {
        onRefused();
    }
}

void RequestHedge::recordTime(const OutgoingCall &call)
{
    HedgePolicy *const hedges = policy();
    if (hedges == nullptr || origin_.request.route->kind != RequestKind::Idempotent || call.work != CallWork::Run || call.prefilled) {
        return;
    }
    // Without the calls that were given up for their slowness the distribution would lack its slowest answers.
    const TimePoint now = suspendAwareNow();
    hedges->onAnswer(now - call.startedAt, now);
}

std::optional<EndpointRecord> RequestHedge::chooseEndpoint(const PlacementQuery &query, const OutgoingCall &run, unsigned attempts)
{
    ForwardingContext &context = origin_.context;
    const TimePoint now = suspendAwareNow();
    PlacementQuery others = query;
    others.excluded.insert(run.endpoint.id);
    auto endpoints = context.directory.usableEndpoints(origin_.request.service->name, now);
    std::erase_if(endpoints, [&others](const EndpointRecord &each) { return others.excluded.contains(each.id); });
    HedgeQuery facts;
    facts.hasOtherEndpoint = !endpoints.empty();
    std::erase_if(endpoints, [&context](const EndpointRecord &each) {
        return each.coldStartRemaining > Milliseconds::zero() || context.endpoints.isLimited(each);
    });
    facts.hasUnlimitedEndpoint = !endpoints.empty();
    const auto chosen = context.placement.chooseRunEndpoint(others, endpoints, now);
    if (chosen) {
        const double requests = context.loads.loadOf(chosen->id).calls + context.loads.otherGatewayRequests(chosen->id, now);
        facts.hasFreeSlot = requests < chosen->slots && !context.loads.isAvoided(chosen->id, now);
    }
    RetryBudget &retries = context.retryBudget(origin_.request.service->name);
    facts.hasRetryBudget = retries.mayRetry();
    facts.attempts = attempts;
    facts.maxAttempts = origin_.request.route->maxAttempts;
    facts.isGatewayLate = context.isLate && context.isLate();
    facts.timeLeft = origin_.deadline.timeLeft();
    facts.timeLimit = origin_.deadline.time() - origin_.exchange.arrivedAt();
    facts.isSuspected = context.fleet.crashReporter().isSuspected(origin_.request.content);
    facts.isStopping = !context.stopSchedule.mayBegin(now, origin_.deadline.time());
    auto denial = policy()->denial(facts, now);
    if (!denial && !chosen) {
        denial = HedgeDenial::NoOtherEndpoint;
    }
    if (denial) {
        context.metrics.counter("hedges_denied_total{reason=\"" + std::string(nameOf(HedgeDenialNames, *denial)) + "\"}").add();
        origin_.log.setHedge(HedgeResult::Denied);
        return std::nullopt;
    }
    retries.tryTakeRetry();
    policy()->onHedged();
    return chosen;
}

void RequestHedge::start(const EndpointRecord &endpoint, const PromptWork &promptWork, HedgeCall::EndHandler onEnd)
{
    wasStarted_ = true;
    call_ = std::make_shared<HedgeCall>(origin_, endpoint, promptWork, std::move(onEnd));
    // The call may end at once, and with it the request.
    const auto call = call_;
    call->start(facts_);
}

std::optional<EndedRun> RequestHedge::onEnded(AttemptOutcome outcome)
{
    call_.reset();
    if (outcome == AttemptOutcome::NotRun) {
        onRefused();
    }
    origin_.log.setHedge(outcome == AttemptOutcome::Succeeded ? HedgeResult::Won : HedgeResult::Failed);
    return std::exchange(failedRun_, std::nullopt);
}

void RequestHedge::keepFailedRun(EndedRun run)
{
    failedRun_ = std::move(run);
}

void RequestHedge::cancel()
{
    timer_.reset();
    if (!call_) {
        return;
    }
    origin_.log.setHedge(HedgeResult::Lost);
    std::exchange(call_, nullptr)->cancel();
}

}

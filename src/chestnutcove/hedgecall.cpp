#include "hedgecall.h"

#include "answerrelay.h"
#include "suspendclock.h"

#include <asio/post.hpp>

#include <utility>

namespace Chestnutcove {

HedgeCall::HedgeCall(HedgeOrigin origin, const EndpointRecord &endpoint, PromptWork promptWork, EndHandler onEnd)
    : origin_(origin)
    , onEnd_(std::move(onEnd))
    , keptBytes_(origin.context.keptAnswers, [this] { onKeptBytesExceeded(); })
{
    call_.endpoint = endpoint;
    call_.startedAt = suspendAwareNow();
    call_.promptWork = promptWork;
    call_.promptWork.startedAt = call_.startedAt;
}

void HedgeCall::start(Platform::ForwardingMetadata facts)
{
    facts.endpointId = call_.endpoint.id;
    origin_.context.loads.onCallStarted(call_.endpoint.id, call_.promptWork);
    const unsigned limit = origin_.context.connectionLimit(*origin_.request.service);
    auto onConnection = [self = shared_from_this(), &pool = origin_.context.pool, facts = std::move(facts)](const auto &connection) {
        if (!self->isDone_) {
            self->onConnection(connection, facts);
        } else if (connection.ok()) {
            pool.release(self->call_.endpoint, *connection);
        }
    };
    origin_.context.pool.acquire(call_.endpoint, limit, std::move(onConnection));
}

void HedgeCall::onConnection(const absl::StatusOr<std::shared_ptr<EndpointConnection>> &connection, Platform::ForwardingMetadata facts)
{
    if (!connection.ok()) {
        finish(AttemptOutcome::NotSent);
        return;
    }
    if (mustNotSend()) {
        origin_.context.pool.release(call_.endpoint, *connection);
        finish(AttemptOutcome::NotSent);
        return;
    }
    send(*connection, std::move(facts));
}

bool HedgeCall::mustNotSend() const
{
    const TimePoint now = suspendAwareNow();
    return origin_.exchange.hasBegun() || origin_.exchange.hasCallerLeft(now) || origin_.deadline.hasPassed()
        || origin_.context.endpoints.isLimited(call_.endpoint) || !origin_.context.directory.isUsable(call_.endpoint, now);
}

void HedgeCall::send(const std::shared_ptr<EndpointConnection> &connection, Platform::ForwardingMetadata facts)
{
    facts.timeLeft = origin_.deadline.timeLeft();
    call_.connection = connection;
    origin_.context.metrics.counter("hedges_total").add();
    ConnectionCall call = encodeCall(
        origin_.exchange.head(), origin_.exchange.body(), facts, origin_.request.facts.requestId, connection->hasCarriedCalls());
    const auto self = shared_from_this();
    call.onHead = [self](const ResponseHead &head, std::optional<std::uint64_t>) { self->onHead(head); };
    call.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    call.onEnd = [self](CallOutcome end) {
        if (!self->isDone_) {
            self->finish(self->call_.outcomeOf(end));
        }
    };
    connection->send(std::move(call));
}

void HedgeCall::onHead(const ResponseHead &head)
{
    if (isDone_) {
        return;
    }
    call_.head = head;
    call_.answer = Platform::decodeResponse(head);
    call_.framing = call_.connection->responseFraming();
    origin_.log.onHead(call_);
}

void HedgeCall::onBody(std::string_view bytes)
{
    if (isDone_ || call_.isGivenUp) {
        return;
    }
    call_.body.append(bytes);
    if (call_.body.size() > MaxKeptAnswerBytes) {
        call_.isGivenUp = true;
        breakOff();
        return;
    }
    keptBytes_.resize(call_.body.size());
}

void HedgeCall::onKeptBytesExceeded()
{
    call_.isGivenUp = true;
    call_.body = {};
    // Another request's call is being handled, so this one ends in a turn of its own.
    asio::post(origin_.context.ioContext, [self = shared_from_this()] {
        if (!self->isDone_) {
            self->breakOff();
        }
    });
}

void HedgeCall::breakOff()
{
    origin_.context.metrics.counter("answers_given_up_total").add();
    call_.connection->cancel();
    finish(AttemptOutcome::Broken);
}

void HedgeCall::finish(AttemptOutcome outcome)
{
    settle(outcome);
    origin_.log.logFailure(call_, outcome);
    const auto onEnd = std::exchange(onEnd_, nullptr);
    onEnd(std::move(call_), outcome);
}

void HedgeCall::settle(AttemptOutcome outcome)
{
    isDone_ = true;
    keptBytes_.resize(0);
    origin_.log.onCallEnded(call_);
    origin_.context.loads.onCallEnded(call_.endpoint.id, call_.promptWork, outcome, suspendAwareNow());
    if (call_.connection) {
        origin_.context.pool.release(call_.endpoint, call_.connection);
    }
}

void HedgeCall::cancel()
{
    if (isDone_) {
        return;
    }
    // The handler may own the last reference to what this call refers to.
    const auto onEnd = std::exchange(onEnd_, nullptr);
    if (call_.connection) {
        call_.connection->cancel();
    }
    // A call that was cancelled says nothing about its endpoint.
    settle(AttemptOutcome::Succeeded);
}

}

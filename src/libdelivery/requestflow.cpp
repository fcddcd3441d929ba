#include "requestflow.h"

namespace Chestnutcove {

RequestFlow::RequestFlow(FlowOptions options, bool idempotent, bool stream, TimePoint routeDeadline)
    : options_(options)
    , idempotent_(idempotent)
    , stream_(stream)
    , routeDeadline_(routeDeadline)
{
}

void RequestFlow::beginAttempt(
    const RequestId &id, const std::string &endpoint, std::uint64_t sidecarIncarnation, Duration queueTimeout, TimePoint now)
{
    phase_ = Phase::Submitted;
    attemptId_ = id;
    endpoint_ = endpoint;
    sidecarIncarnation_ = sidecarIncarnation;
    queueTimeout_ = queueTimeout;
    nextChunk_ = 0;
    ++attempts_;
    deadline_ = now + options_.acceptTimeout;
}

FlowStep RequestFlow::onNoEndpoint(Duration retryAfter)
{
    return fail(mayHaveRun_ ? FlowFailure::EndpointFailed : FlowFailure::NoCapacity, retryAfter);
}

FlowStep RequestFlow::onRefused(Duration retryAfter, TimePoint now)
{
    return routeAgain(retryAfter, now);
}

FlowStep RequestFlow::onAccepted(TimePoint now)
{
    if (phase_ == Phase::Submitted) {
        phase_ = Phase::Accepted;
        deadline_ = now + queueTimeout_ + (stream_ ? options_.answerSilence : options_.answerTimeout);
    }
    return {};
}

FlowStep RequestFlow::onChunk(std::uint64_t sequence, TimePoint now)
{
    if (sequence != nextChunk_) {
        return onAttemptLost(now);
    }
    ++nextChunk_;
    phase_ = Phase::Accepted;
    extendDeadline(now);
    return {};
}

FlowStep RequestFlow::onEnd(std::uint64_t chunkCount, TimePoint now)
{
    if (chunkCount != nextChunk_) {
        return onAttemptLost(now);
    }
    phase_ = Phase::Done;
    return {FlowAction::Finish};
}

FlowStep RequestFlow::onEndpointUnreachable(TimePoint now)
{
    return routeAgain(Duration::zero(), now);
}

FlowStep RequestFlow::onEndpointFailed(TimePoint now)
{
    mayHaveRun_ = true;
    if (!idempotent_) {
        return fail(FlowFailure::OutcomeUnknown);
    }
    return routeAgain(Duration::zero(), now);
}

FlowStep RequestFlow::onEndpointRefused()
{
    return fail(FlowFailure::EndpointRefused);
}

FlowStep RequestFlow::onLinkLost(TimePoint now)
{
    return phase_ == Phase::Submitted || phase_ == Phase::Accepted ? onAttemptLost(now) : FlowStep{};
}

FlowStep RequestFlow::onAttemptLost(TimePoint now)
{
    if (idempotent_) {
        mayHaveRun_ = true;
        FlowStep step = routeAgain(Duration::zero(), now);
        step.cancelLostAttempt = true;
        return step;
    }
    phase_ = Phase::Cancelling;
    deadline_ = now + options_.cancelTimeout;
    return {FlowAction::Cancel};
}

FlowStep RequestFlow::onCancelReply(bool ran, std::uint64_t sidecarIncarnation, TimePoint now)
{
    if (phase_ != Phase::Cancelling) {
        return {};
    }
    if (ran || sidecarIncarnation != sidecarIncarnation_) {
        mayHaveRun_ = true;
        return fail(FlowFailure::OutcomeUnknown);
    }
    return routeAgain(Duration::zero(), now);
}

FlowStep RequestFlow::onTimeout(TimePoint now)
{
    if (now < deadline_) {
        return {};
    }
    switch (phase_) {
    case Phase::Submitted:
    case Phase::Accepted:
        return onAttemptLost(now);
    case Phase::Cancelling:
        mayHaveRun_ = true;
        return fail(FlowFailure::OutcomeUnknown);
    case Phase::Routing:
    case Phase::Done:
        break;
    }
    return {};
}

FlowStep RequestFlow::onRetryBudgetExhausted()
{
    return fail(FlowFailure::EndpointFailed);
}

FlowStep RequestFlow::routeAgain(Duration retryAfter, TimePoint now)
{
    excluded_.push_back(endpoint_);
    phase_ = Phase::Routing;
    deadline_ = TimePoint::max();
    if (attempts_ >= options_.maxAttempts || (now >= routeDeadline_ && !mayHaveRun_)) {
        return fail(mayHaveRun_ ? FlowFailure::EndpointFailed : FlowFailure::NoCapacity, retryAfter);
    }
    return {FlowAction::Route, FlowFailure::None, false, retryAfter};
}

FlowStep RequestFlow::fail(FlowFailure failure, Duration retryAfter)
{
    phase_ = Phase::Done;
    deadline_ = TimePoint::max();
    const bool notRun = !mayHaveRun_ && failure == FlowFailure::NoCapacity;
    return {FlowAction::Fail, failure, notRun, retryAfter};
}

void RequestFlow::extendDeadline(TimePoint now)
{
    if (stream_) {
        deadline_ = now + options_.answerSilence;
    }
}

}

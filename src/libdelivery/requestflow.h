/**
 * The state machine of one request in the gateway: its attempts at endpoints, the next step that each outcome allows, and whether the
 * caller may be told that the request did not run.
 *
 * A request that isn't idempotent gets another attempt only when the previous one certainly did not run: the endpoint could not be reached,
 * the sidecar refused the attempt, or the sidecar replied to a Cancel after a loss, in the same incarnation, that it had not dispatched the
 * attempt and never will.
 */
#pragma once

#include "nametable.h"
#include "requestid.h"
#include "timepoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Chestnutcove {

enum class FlowAction {
    /** Nothing to do now. */
    Wait,
    /** Choose an endpoint, then call beginAttempt() or onNoEndpoint(). */
    Route,
    /** Send a Cancel for the current attempt. The reply says whether it ran; an attempt that did not run never will. */
    Cancel,
    /** The whole answer was received. */
    Finish,
    Fail,
};

enum class FlowFailure {
    None,
    /** No endpoint could take the request in time. */
    NoCapacity,
    /** The endpoint or the connection to it failed, and no attempt or no retry budget was left. */
    EndpointFailed,
    /** The request may have run, and isn't idempotent. */
    OutcomeUnknown,
    /** The endpoint rejected the request. */
    EndpointRefused,
};

inline constexpr NameTable<FlowFailure, 5> FlowFailureNames{{
    {FlowFailure::None, "none"},
    {FlowFailure::NoCapacity, "no_capacity"},
    {FlowFailure::EndpointFailed, "endpoint_failed"},
    {FlowFailure::OutcomeUnknown, "outcome_unknown"},
    {FlowFailure::EndpointRefused, "endpoint_refused"},
}};

struct FlowStep
{
    FlowAction action = FlowAction::Wait;
    FlowFailure failure = FlowFailure::None;
    /** For Fail: no endpoint ran any part of the request, and none will. */
    bool notRun = false;
    /** For Fail: the time after which a retry may succeed; zero if unknown. */
    Duration retryAfter{};
    /** Send a Cancel for the lost attempt, without waiting for the reply. */
    bool cancelLostAttempt = false;
};

struct FlowOptions
{
    /** Time within which the sidecar must acknowledge an attempt. */
    Duration acceptTimeout = std::chrono::milliseconds(500);
    /** Longest time between two chunks of a streamed answer. */
    Duration answerSilence = std::chrono::seconds(15);
    /** Longest time of an answer that isn't streamed. */
    Duration answerTimeout = std::chrono::minutes(10);
    /** Time within which a Cancel must be answered, before the outcome of a lost attempt counts as unknown. */
    Duration cancelTimeout = std::chrono::seconds(3);
    std::size_t maxAttempts = 4;
};

class RequestFlow
{
public:
    /** @param routeDeadline no further attempt begins after it, unless an earlier one may have run. */
    RequestFlow(FlowOptions options, bool idempotent, bool stream, TimePoint routeDeadline);

    /** Starts an attempt, which the owner sends to the sidecar of that endpoint. */
    void
    beginAttempt(const RequestId &id, const std::string &endpoint, std::uint64_t sidecarIncarnation, Duration queueTimeout, TimePoint now);
    /** No endpoint can take the request now. */
    FlowStep onNoEndpoint(Duration retryAfter);

    FlowStep onRefused(Duration retryAfter, TimePoint now);
    FlowStep onAccepted(TimePoint now);
    /** @return Wait if the chunk is the next in order and may be forwarded. */
    FlowStep onChunk(std::uint64_t sequence, TimePoint now);
    /** The endpoint completed its answer; @p chunkCount shows whether all chunks arrived. */
    FlowStep onEnd(std::uint64_t chunkCount, TimePoint now);
    FlowStep onEndpointUnreachable(TimePoint now);
    FlowStep onEndpointFailed(TimePoint now);
    FlowStep onEndpointRefused();
    /** The connection on which the attempt was sent is closed, or the sidecar is unresponsive. */
    FlowStep onLinkLost(TimePoint now);
    FlowStep onCancelReply(bool ran, std::uint64_t sidecarIncarnation, TimePoint now);
    /** To be called at deadline(). */
    FlowStep onTimeout(TimePoint now);

    /** After Route: the next attempt may repeat work, so the owner first takes it from the retry budget. */
    bool needsRetryBudget() const;
    FlowStep onRetryBudgetExhausted();

    const RequestId &attemptId() const;
    const std::string &endpoint() const;
    const std::vector<std::string> &excluded() const;
    /** Lets the endpoints that refused or failed the request be tried again, for when no others are left. */
    void clearExcluded();
    TimePoint deadline() const;
    TimePoint routeDeadline() const;
    std::size_t attempts() const;
    bool isCancelling() const;
    bool mayHaveRun() const;

private:
    enum class Phase {
        Routing,
        Submitted,
        Accepted,
        Cancelling,
        Done,
    };

    FlowStep onAttemptLost(TimePoint now);
    FlowStep routeAgain(Duration retryAfter, TimePoint now);
    FlowStep fail(FlowFailure failure, Duration retryAfter = {});
    void extendDeadline(TimePoint now);

    FlowOptions options_;
    bool idempotent_;
    bool stream_;
    TimePoint routeDeadline_;
    Phase phase_ = Phase::Routing;
    RequestId attemptId_;
    std::string endpoint_;
    std::uint64_t sidecarIncarnation_ = 0;
    Duration queueTimeout_{};
    std::vector<std::string> excluded_;
    TimePoint deadline_ = TimePoint::max();
    std::size_t attempts_ = 0;
    std::uint64_t nextChunk_ = 0;
    /** Set by any attempt that may have run, and never reset by a later one. */
    bool mayHaveRun_ = false;
};

inline const RequestId &RequestFlow::attemptId() const
{
    return attemptId_;
}

inline const std::string &RequestFlow::endpoint() const
{
    return endpoint_;
}

inline const std::vector<std::string> &RequestFlow::excluded() const
{
    return excluded_;
}

inline void RequestFlow::clearExcluded()
{
    excluded_.clear();
}

inline TimePoint RequestFlow::deadline() const
{
    return deadline_;
}

inline TimePoint RequestFlow::routeDeadline() const
{
    return routeDeadline_;
}

inline std::size_t RequestFlow::attempts() const
{
    return attempts_;
}

inline bool RequestFlow::isCancelling() const
{
    return phase_ == Phase::Cancelling;
}

inline bool RequestFlow::mayHaveRun() const
{
    return mayHaveRun_;
}

inline bool RequestFlow::needsRetryBudget() const
{
    return mayHaveRun_;
}

}

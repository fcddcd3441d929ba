/**
 * One request's way through the gateway, as a state machine: attempts at endpoints, what each outcome allows, and what may be claimed to
 * the caller.
 *
 * A request that may not be repeated gets a second attempt only when the first was certainly not run: the sidecar that received it refused
 * it, or, asked after a loss, answered in the same incarnation that it had not dispatched it and never will.
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
    /** Choose an endpoint, then call attempt() or noEndpoint(). */
    Route,
    /** Ask the endpoint of the current attempt whether the request ran; it must then not run any more. */
    Cancel,
    /** The whole answer was received. */
    Finish,
    Fail,
};

enum class FlowFailure {
    None,
    /** No endpoint could take it in time. */
    NoCapacity,
    /** The endpoint or the way to it failed, and the request could not be repeated within the retry budget. */
    EndpointFailed,
    /** It may have run and may not be repeated. */
    OutcomeUnknown,
    /** The endpoint turned the request down. */
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
    /** For Fail: no endpoint ran any part of it, and none will. */
    bool notRun = false;
    /** For Fail: when a retry may succeed; zero where unknown. */
    Duration retryAfter{};
    /** The lost attempt still needs a Cancel, whose answer nobody waits for. */
    bool cancelLost = false;
};

struct FlowOptions
{
    /** Time for the sidecar to acknowledge. */
    Duration acceptTimeout = std::chrono::milliseconds(500);
    /** Longest silence of a running streamed answer. */
    Duration answerSilence = std::chrono::seconds(15);
    /** Longest time of an answer that comes in one piece. */
    Duration answerTimeout = std::chrono::minutes(10);
    /** Time to find out whether a lost request ran. */
    Duration cancelTimeout = std::chrono::seconds(3);
    std::size_t maxAttempts = 4;
};

class RequestFlow
{
public:
    /** @param routeDeadline no new attempt begins after it. */
    RequestFlow(FlowOptions options, bool idempotent, bool stream, TimePoint routeDeadline);

    /** An attempt was sent. */
    void attempt(const RequestId &id, const std::string &endpoint, std::uint64_t sidecarIncarnation, Duration queueTimeout, TimePoint now);
    /** No endpoint can take it now. */
    FlowStep noEndpoint(Duration retryAfter);

    FlowStep refused(Duration retryAfter, TimePoint now);
    FlowStep accepted(TimePoint now);
    /** @return Wait where the chunk is the next in order and may be passed on. */
    FlowStep chunk(std::uint64_t sequence, TimePoint now);
    /** The endpoint answered whole; @p chunkCount shows whether all of it arrived. */
    FlowStep end(std::uint64_t chunkCount, TimePoint now);
    FlowStep endpointUnreachable(TimePoint now);
    FlowStep endpointFailed(TimePoint now);
    FlowStep endpointRefused();
    /** The connection that the attempt went out on is gone, or the endpoint is silent. */
    FlowStep linkLost(TimePoint now);
    FlowStep cancelReply(bool ran, std::uint64_t sidecarIncarnation, TimePoint now);
    /** To be called at deadline(). */
    FlowStep timeout(TimePoint now);

    /** What the owner says after Route with an idempotent request that ran before. */
    bool needsRetryBudget() const;
    FlowStep retryBudgetExhausted();

    const RequestId &attemptId() const;
    const std::string &endpoint() const;
    const std::vector<std::string> &excluded() const;
    /** Endpoints that failed it may be tried again, since no others are left. */
    void forgetExcluded();
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

    FlowStep lost(TimePoint now);
    FlowStep routeAgain(Duration retryAfter, TimePoint now);
    FlowStep fail(FlowFailure failure, Duration retryAfter = {});
    void extend(TimePoint now);

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
    /** Once true it stays so. */
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

inline void RequestFlow::forgetExcluded()
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

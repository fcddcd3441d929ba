/**
 * The hedge of one request: waits until its run is slow, chooses another endpoint and calls it. There is at most one for a request.
 */
#pragma once

#include "hedgecall.h"
#include "placement.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Chestnutcove {

/** A run that failed while the hedge was in progress. */
struct EndedRun
{
    OutgoingCall call;
    AttemptOutcome outcome = AttemptOutcome::NoAnswer;
};

class RequestHedge
{
public:
    explicit RequestHedge(HedgeOrigin origin);

    void onFirstAttempt();
    /** The request was refused, by an endpoint or because there is none. */
    void onRefused();
    /** A run is sent. Calls @p onDue when it is slow and may be hedged. */
    void watch(const Platform::ForwardingMetadata &facts, std::function<void()> onDue);
    /** A call ended, so it won't be slow any more. */
    void stopWaiting(AttemptOutcome outcome);
    /** Records the time of the call's answer; if the call was given up, the answer takes at least as long. */
    void recordTime(const OutgoingCall &call);
    /** The endpoint for the hedge, with the units of both budgets taken; nothing if the request must not be hedged. */
    std::optional<EndpointRecord> chooseEndpoint(const PlacementQuery &query, const OutgoingCall &run, unsigned attempts);
    void start(const EndpointRecord &endpoint, const PromptWork &promptWork, HedgeCall::EndHandler onEnd);
    bool isRunning() const;
    /** The hedge has ended. @return the run that ended before it, if it did. */
    std::optional<EndedRun> onEnded(AttemptOutcome outcome);
    /** Keeps the failed run until the hedge has ended. */
    void keepFailedRun(EndedRun run);
    /** Stops waiting and breaks the hedge off. */
    void cancel();

private:
    HedgePolicy *policy() const;

    HedgeOrigin origin_;
    std::optional<asio::steady_timer> timer_;
    Platform::ForwardingMetadata facts_;
    std::shared_ptr<HedgeCall> call_;
    bool wasStarted_ = false;
    std::optional<EndedRun> failedRun_;
};

inline bool RequestHedge::isRunning() const
{
    return call_ != nullptr;
}

}

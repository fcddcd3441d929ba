/**
 * Forwards one request: places it, sends it to an endpoint (a long prompt first to a prefill engine) and answers the caller. A request ends
 * with exactly one answer, or with a broken connection if an answer that had begun can't be completed.
 */
#pragma once

#include "allowedregions.h"
#include "arrivalcounter.h"
#include "attemptpolicy.h"
#include "bytebudget.h"
#include "callerserver.h"
#include "forwardingcontext.h"
#include "outgoingcall.h"
#include "placement.h"
#include "requestcodec.h"
#include "routecatalogue.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

/** A request that passed the checks of route, key and quota. */
struct AdmittedRequest
{
    Platform::RequestMetadata facts;
    /** Keeps the route and the service alive. */
    std::shared_ptr<const RouteCatalogue> catalogue;
    const Route *route = nullptr;
    const RoutedService *service = nullptr;
    RequestContent content;
    /** By the route and by the customer. */
    AllowedRegions allowedRegions;
    /** Empty where the route needs no key. */
    std::string customer;
    /** The customer's priority, else the route's; 0 is the highest rank. */
    int rank = 0;
    /** What it took of the customer's quota; refunded if the request did not run. */
    LimitCharge quota;
};

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(ForwardingContext &context, std::shared_ptr<CallerExchange> exchange, AdmittedRequest request);

    void start();
    /** The process ends soon: gives the caller an answer of the gateway unless one has begun. */
    void endForStop();

private:
    void placeRequest();
    void recordPlacedWork(const Placement &placement);
    /** Takes a retry from the retry budget if this call is one. @return false if the budget is used up and the request was ended. */
    bool chargeRetryBudget(CallWork work);
    /** The endpoints of the service that accept requests, are in an allowed region and whose limit, if they name one, may have units. */
    std::vector<EndpointRecord> usableEndpoints(TimePoint now) const;
    /** Calls @p send once the request has a unit of the endpoint's limit; without one the request goes to another endpoint or is refused.
     */
    void sendWithinLimit(const EndpointRecord &endpoint, std::function<void()> send);
    void returnUnusedUnit();
    void sendPrefill(const Placement &placement);
    void sendRun(const EndpointRecord &endpoint, const std::optional<Platform::PrefilledPrompt> &prompt);
    void sendCall(const EndpointRecord &endpoint, CallWork work, std::uint64_t uncachedTokens, Platform::ForwardingMetadata facts);
    void sendOverConnection(const std::shared_ptr<EndpointConnection> &connection, const Platform::ForwardingMetadata &facts);

    void onHead(const ResponseHead &head);
    void onBody(std::string_view bytes);
    /** The answer may be sent on while it arrives. */
    bool mayForwardBody() const;
    /** Too many bytes of answers are kept in all: sends on what may be sent, or gives the answer up. */
    void onKeptBytesExceeded();
    /** Closes the call's connection in the middle of its answer, which has become too long to be kept. */
    void breakOffCall();
    void onCallEnd(CallOutcome end);
    void logFailure(const OutgoingCall &call, AttemptOutcome outcome) const;
    /** Ends the call in progress: records its outcome and returns its connection to the pool. */
    OutgoingCall endCall(AttemptOutcome outcome);
    void onPrefillEnd(const OutgoingCall &call, AttemptOutcome outcome);
    /** The engine holds the prompt's KV cache under @p handle. */
    void onPromptHeld(const OutgoingCall &call, const std::string &handle);
    void onRunEnd(OutgoingCall call, AttemptOutcome outcome);
    /** Tells the crash reporter how the run of the prompt ended, and the speed observer how long a successful one took. */
    void reportRunEnd(const OutgoingCall &call, AttemptOutcome outcome);

    void forwardBody();
    void beginAnswer(const ResponseHead &head);
    void relayAnswer(const OutgoingCall &call);
    void performStep(NextStep step, const OutgoingCall &call);
    void retryRequest();
    /** Sends the request to a decode engine that takes over the held prompt. @return false if no engine can take it. */
    bool sendRunWithHeldPrompt();
    /** Checked once there is a connection: whether the deadline has passed or the endpoint accepts no more requests. */
    bool mustNotSendTo(const EndpointRecord &endpoint);
    /** Ends a request that has no endpoint's answer to forward: a refusal if it certainly did not run, otherwise a failure. */
    void endWithoutEndpointAnswer();
    void refuseRequest(Milliseconds retryAfter);
    void sendOwnAnswer(int status, std::optional<Milliseconds> retryAfter);
    void onDeadline();
    /** Breaks off the call in progress, if there is one, since nobody waits for its answer any more. */
    void abandonCall();
    void onCallerLeft();
    void finishRequest(std::string_view outcome, int status);
    /** Milliseconds from the reading of the request to its latest call, for the log. */
    std::string sentAfterText() const;
    void releaseHeldPrompt();
    bool isStreaming() const;
    Milliseconds timeLeft() const;
    Milliseconds retryAfterDelay(Duration wait) const;

    ForwardingContext &context_;
    std::shared_ptr<CallerExchange> exchange_;
    AdmittedRequest request_;
    AttemptPolicy attemptPolicy_;
    asio::steady_timer deadlineTimer_;
    /** On the suspend-aware clock. */
    TimePoint deadline_;
    std::optional<OutgoingCall> call_;
    /** The bytes of the call's answer that are kept. */
    ByteBudget::Share keptBytes_;
    /** Set while a unit of an endpoint's limit is asked for. */
    std::optional<std::uint64_t> pendingUnit_;
    /** The unit of the call that is about to be sent. */
    std::optional<EndpointUnit> unit_;
    /** Set while a prefill engine holds the prompt of this request. */
    std::optional<Platform::PrefilledPrompt> heldPrompt_;
    std::optional<EndpointRecord> heldPromptEngine_;
    PlacementQuery placementQuery_;
    ArrivalCounter arrivalCounter_;
    unsigned prefillCalls_ = 0;
    /** Number of runs that were sent with the held prompt. */
    unsigned heldPromptRuns_ = 0;
    bool isWorkRecorded_ = false;
    /** The latest choice of endpoints for this request. */
    Placement placement_;
    /** When the latest call was written to an endpoint; a default TimePoint before the first one. */
    TimePoint lastSentAt_{};
    bool hasRunBegun_ = false;
    bool isDone_ = false;
    std::string lastEndpointId_;
    /** Of the last answer that an endpoint gave, for the log: how it was framed, and how many bytes were left when it ended. */
    BodyFraming answerFraming_ = BodyFraming::Length;
    std::size_t unforwardedBytes_ = 0;
};

}

/**
 * One request on its way: placed, sent to an endpoint (for a long prompt first to one that reads it), answered. It ends with exactly one
 * answer, or with a broken connection where an answer that had begun can't be completed.
 */
#pragma once

#include "arrivalcounter.h"
#include "attemptpolicy.h"
#include "callerserver.h"
#include "forwardingcontext.h"
#include "outgoingcall.h"
#include "placement.h"
#include "requestcodec.h"
#include "routecatalogue.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Chestnutcove {

/** A request that passed all checks. */
struct AdmittedRequest
{
    Platform::RequestMetadata facts;
    /** Keeps the route and the service alive. */
    std::shared_ptr<const RouteCatalogue> catalogue;
    const Route *route = nullptr;
    const RoutedService *service = nullptr;
    /** Empty where the route needs no key. */
    std::string customer;
    /** Taken from the customer's quota; given back if the request is not run. */
    double quotaUnits = 0;
};

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(ForwardingContext &context, std::shared_ptr<CallerExchange> exchange, AdmittedRequest request);

    void start();

private:
    void placeRequest();
    void recordPlacedWork(const Placement &placement);
    /** Takes a repeat from the retry budget; ends the request where there is none left. */
    bool chargeRetryBudget(CallWork work);
    void sendPrefill(const Placement &placement);
    void sendRun(const EndpointRecord &endpoint, const std::optional<Platform::PrefilledPrompt> &prompt);
    void sendCall(const EndpointRecord &endpoint, CallWork work, std::uint64_t tokensToRead, Platform::ForwardingMetadata facts);
    void sendOverConnection(const std::shared_ptr<EndpointConnection> &connection, const Platform::ForwardingMetadata &facts);

    void onHead(const ResponseHead &head);
    void onBody(std::string_view bytes);
    void onCallEnd(CallOutcome end);
    void logFailure(const OutgoingCall &call, AttemptOutcome outcome) const;
    /** Ends the call in progress: counts it and gives its connection back. */
    OutgoingCall endCall(AttemptOutcome outcome);
    void onPrefillEnd(const OutgoingCall &call, AttemptOutcome outcome);
    void onRunEnd(OutgoingCall call, AttemptOutcome outcome);

    void forwardBody();
    void beginAnswer(const ResponseHead &head);
    void relayAnswer(const OutgoingCall &call);
    void performStep(NextStep step, const OutgoingCall &call);
    void retryRequest();
    /** Runs the request with the prompt that an engine holds for us. @return false where no engine can take it. */
    bool sendRunWithHeldPrompt();
    /** What keeps the request from being sent now that there is a connection. */
    bool mustNotSendTo(const EndpointRecord &endpoint) const;
    /** Says whether the request may have run, where no endpoint gave an answer to pass on. */
    void endWithoutEndpointAnswer();
    void refuseRequest(Milliseconds retryAfter);
    void sendOwnAnswer(int status, std::optional<Milliseconds> retryAfter);
    void onDeadline();
    void onCallerLeft();
    void finishRequest(std::string_view outcome, int status);
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
    /** Set while an engine holds the prompt for us. */
    std::optional<Platform::PrefilledPrompt> heldPrompt_;
    std::optional<EndpointRecord> heldPromptEngine_;
    PlacementQuery placementQuery_;
    ArrivalCounter arrivalCounter_;
    unsigned prefillCalls_ = 0;
    /** Runs that were offered the held prompt. */
    unsigned heldPromptRuns_ = 0;
    bool isWorkRecorded_ = false;
    /** The last decision about where it goes. */
    Placement placement_;
    bool hasRunBegun_ = false;
    bool isDone_ = false;
    std::string lastEndpointId_;
};

}

/**
 * Forwards one request: places it, sends it to an endpoint (a long prompt first to a prefill engine) and answers the caller. A request ends
 * with exactly one answer, or with a broken connection if an answer that had begun can't be completed.
 */
#pragma once

#include "admittedrequest.h"
#include "answerrelay.h"
#include "arrivalcounter.h"
#include "attemptpolicy.h"
#include "bytebudget.h"
#include "callerserver.h"
#include "endpointunit.h"
#include "forwardingcontext.h"
#include "heldprompt.h"
#include "outgoingcall.h"
#include "placement.h"
#include "requestdeadline.h"
#include "requesthedge.h"
#include "requestlog.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(ForwardingContext &context, std::shared_ptr<CallerExchange> exchange, AdmittedRequest request);

    void start();
    /** The process ends soon: gives the caller an answer of the gateway unless one has begun. */
    void endForStop();

private:
    void placeRequest();
    /** Takes a retry from the retry budget if this call is one. @return false if the budget is used up and the request was ended. */
    bool chargeRetryBudget(CallWork work);
    /** The endpoints of the service that accept requests and whose limit, if they name one, may have units. */
    std::vector<EndpointRecord> usableEndpoints(TimePoint now) const;
    /** Calls @p send once the request has a unit of the endpoint's limit; without one the request goes to another endpoint or is refused.
     */
    void sendWithinLimit(const EndpointRecord &endpoint, std::function<void()> send);
    void sendPrefill(const Placement &placement);
    void sendRun(const EndpointRecord &endpoint, const std::optional<Platform::PrefilledPrompt> &prompt);
    void sendCall(const EndpointRecord &endpoint, CallWork work, std::uint64_t uncachedTokens, Platform::ForwardingMetadata facts);
    void sendOverConnection(const std::shared_ptr<EndpointConnection> &connection, const Platform::ForwardingMetadata &facts);

    void onHead(const ResponseHead &head);
    void onBody(std::string_view bytes);
    /** Too many bytes of answers are kept in all: sends on what may be sent, or gives the answer up. */
    void onKeptBytesExceeded();
    /** Closes the call's connection in the middle of its answer, which has become too long to be kept. */
    void breakOffCall();
    void onCallEnd(CallOutcome end);
    /** Ends the call in progress: records its outcome and returns its connection to the pool. */
    OutgoingCall endCall(AttemptOutcome outcome);
    void onPrefillEnd(const OutgoingCall &call, AttemptOutcome outcome);
    void onRunEnd(OutgoingCall call, AttemptOutcome outcome);

    void relayAnswer(const OutgoingCall &call);
    /** Retries, or ends the request. @param mayHaveCrashed whether an endpoint may have crashed under the request. */
    void followRun(const OutgoingCall &call, AttemptOutcome outcome, bool mayHaveCrashed);
    void tryHedge();
    void onHedgeEnd(OutgoingCall call, AttemptOutcome outcome);
    void performStep(NextStep step, const OutgoingCall &call);
    void retryRequest();
    /** Sends the request to a decode engine that takes over the held prompt. @return false if no engine can take it. */
    bool sendRunWithHeldPrompt();
    /** Checked once there is a connection: whether the deadline has passed or the endpoint accepts no more requests. */
    bool mustNotSendTo(const EndpointRecord &endpoint) const;
    /** Ends a request that has no endpoint's answer to forward: a refusal if it certainly did not run, otherwise a failure. */
    void endWithoutEndpointAnswer();
    void refuseRequest(Milliseconds retryAfter);
    void sendOwnAnswer(int status, std::optional<Milliseconds> retryAfter);
    void onDeadline();
    /** Breaks off the call in progress, if there is one, since nobody waits for its answer any more. */
    void abandonCall();
    void onCallerLeft();
    void finishRequest(std::string_view outcome, int status);
    bool isStreaming() const;

    ForwardingContext &context_;
    std::shared_ptr<CallerExchange> exchange_;
    AdmittedRequest request_;
    RequestLog requestLog_;
    AnswerRelay relay_;
    AttemptPolicy attemptPolicy_;
    RequestDeadline deadline_;
    RequestHedge hedge_;
    asio::steady_timer deadlineTimer_;
    std::optional<OutgoingCall> call_;
    /** The unit of the call that is about to be sent. */
    EndpointUnit unit_;
    /** Set while a prefill engine holds the prompt of this request. */
    HeldPrompt heldPrompt_;
    /** The bytes of the call's answer that are kept. */
    ByteBudget::Share keptBytes_;
    PlacementQuery placementQuery_;
    ArrivalCounter arrivalCounter_;
    unsigned prefillCalls_ = 0;
    /** The latest choice of endpoints for this request. */
    Placement placement_;
    bool isDone_ = false;
};

}

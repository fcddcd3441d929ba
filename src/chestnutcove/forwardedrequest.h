/**
 * One request on its way: placed, sent to an endpoint (for a long prompt first to one that reads it), answered. It ends with exactly one
 * answer, or with a broken connection where an answer that had begun can't be completed.
 */
#pragma once

#include "arrivalcount.h"
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
    void place();
    void noteWork(const Placement &placement);
    /** Takes a repeat from the retry budget; ends the request where there is none left. */
    bool payForCall(CallWork work);
    void prefill(const Placement &placement);
    void run(const EndpointRecord &endpoint, const std::optional<Platform::PrefilledPrompt> &prompt);
    void send(const EndpointRecord &endpoint, CallWork work, std::uint64_t tokensToRead, Platform::ForwardingMetadata facts);
    void sendOn(const std::shared_ptr<EndpointConnection> &connection, const Platform::ForwardingMetadata &facts);

    void onHead(const ResponseHead &head);
    void onBody(std::string_view bytes);
    void onCallEnd(CallOutcome end);
    void logFailure(const OutgoingCall &call, AttemptOutcome outcome) const;
    /** Ends the call in progress: counts it and gives its connection back. */
    OutgoingCall closeCall(AttemptOutcome outcome);
    void prefillEnded(const OutgoingCall &call, AttemptOutcome outcome);
    void runEnded(OutgoingCall call, AttemptOutcome outcome);

    void passOnEvents();
    void beginAnswer(const ResponseHead &head);
    void relay(const OutgoingCall &call);
    void take(NextStep step, const OutgoingCall &call);
    void tryAgain();
    /** Runs the request with the prompt that an engine holds for us. @return false where no engine can take it. */
    bool runHeldPrompt();
    /** What keeps the request from being sent now that there is a connection. */
    bool isTooLateFor(const EndpointRecord &endpoint) const;
    /** Says whether the request may have run, where no endpoint gave an answer to pass on. */
    void endWithoutAnswer();
    void refuse(Milliseconds retryAfter);
    void answerOwn(int status, std::optional<Milliseconds> retryAfter);
    void giveUp();
    void callerGone();
    void finish(std::string_view outcome, int status);
    void releasePrompt();
    bool isStreaming() const;
    Milliseconds timeLeft() const;
    Milliseconds returnDelay(Duration wait) const;

    ForwardingContext &context_;
    std::shared_ptr<CallerExchange> exchange_;
    AdmittedRequest request_;
    AttemptPolicy policy_;
    asio::steady_timer timer_;
    /** On the suspend-aware clock. */
    TimePoint deadline_;
    std::optional<OutgoingCall> call_;
    /** Set while an engine holds the prompt for us. */
    std::optional<Platform::PrefilledPrompt> prompt_;
    std::optional<EndpointRecord> promptHolder_;
    PlacementQuery query_;
    ArrivalCount arrivals_;
    unsigned prefills_ = 0;
    /** Runs that were offered the held prompt. */
    unsigned promptOffers_ = 0;
    bool workNoted_ = false;
    /** The last decision about where it goes. */
    Placement placement_;
    bool runBegan_ = false;
    bool done_ = false;
    std::string lastEndpoint_;
};

}

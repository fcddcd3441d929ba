/**
 * Runs callers' requests on the core thread: admission, routing, attempts at endpoints, and delivery of the answer. RequestFlow decides
 * what each outcome of an attempt allows.
 */
#pragma once

#include "admissioncontroller.h"
#include "answerassembler.h"
#include "answerwriter.h"
#include "callerrequest.h"
#include "endpointlinks.h"
#include "idempotencystore.h"
#include "requestflow.h"
#include "retrybudget.h"
#include "router.h"
#include "settings.h"
#include "usageledger.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

/** The steps that one request went through, kept for the operators' "explain" call. */
struct RequestTrace
{
    std::string publicId;
    std::string customer;
    std::string serves;
    std::vector<std::string> steps;
};

class RequestRunner
{
public:
    using UsageHandler = std::function<void(const std::string &customer, const UsageFigures &)>;

    RequestRunner(const GatewaySettings &settings,
                  std::uint64_t incarnation,
                  Router &router,
                  EndpointLinks &links,
                  IdempotencyStore &idempotency,
                  Metrics &metrics,
                  const Log &log,
                  UsageHandler onUsage);
    /** The admission controller calls back into the runner, so it is set after both exist. Must be called before startRequest(). */
    void setAdmissionController(AdmissionController &admission);

    void startRequest(CallerRequest request);
    void onCallerDisconnected(std::uint64_t connection);
    void onAdmissionResult(const AdmissionResult &result);
    void onAllowance(const AnswerAllowance &answerAllowance);
    void onLinkMessage(const LinkKey &key, const wire::Envelope &message);
    void onLinkLost(const LinkKey &key);
    /** Handles timeouts and routes requests that wait for an endpoint. Call it every few tens of milliseconds. */
    void tick(TimePoint now);

    std::size_t activeCount() const;
    /** The trace of a running or recently finished request; null if there is none with this id. */
    const RequestTrace *trace(const std::string &publicId) const;
    nlohmann::json dump() const;
    /** Tokens and requests that arrived for one model or service. */
    struct Demand
    {
        double promptTokens = 0;
        double outputTokens = 0;
        std::uint64_t requests = 0;
    };
    /** Demand by model or service since the previous call. */
    std::map<std::string, Demand> takeDemand();

private:
    struct ActiveRequest
    {
        CallerRequest caller;
        std::unique_ptr<RequestFlow> flow;
        AnswerAssembler answer;
        std::unique_ptr<AnswerWriter> writer;
        LinkKey link;
        /** Tick of the sidecar that the current attempt was submitted with. */
        Tick submitTick;
        RouteQuery query;
        /** Output tokens that the endpoints may send, over all attempts. */
        double outputAllowance = 0;
        std::uint64_t deliveredTokens = 0;
        /** Tokens delivered by the attempts before the current one. */
        std::uint64_t deliveredByEarlierAttempts = 0;
        /** Prompt tokens as the endpoint counted them; 0 until it has reported them. */
        std::uint64_t reportedPromptTokens = 0;
        bool isWaitingForEndpoint = false;
        bool hasClaimedKey = false;
        /** Answer of a plain service, or the endpoint's error body. */
        std::string responseBody;
        TimePoint firstChunkAt;
        RequestTrace trace;
    };
    using ActiveRequestId = std::uint64_t;

    void requestAdmission(ActiveRequestId id);
    void routeRequest(ActiveRequestId id);
    void submitAttempt(ActiveRequestId id, ActiveRequest &active, const RouteChoice &choice, const LinkKey &link, TimePoint now);
    std::string endpointBodyFor(const ActiveRequest &active) const;
    void applyStep(ActiveRequestId id, const FlowStep &step);
    void onChunk(ActiveRequestId id, ActiveRequest &active, const wire::Chunk &chunk);
    void onEnd(ActiveRequestId id, ActiveRequest &active, const wire::End &end);
    void finishRequest(ActiveRequestId id);
    void forwardAnswer(ActiveRequestId id, ActiveRequest &active, const wire::End &end);
    void failRequest(ActiveRequestId id, const CallerFailure &failure);
    void failFromStep(ActiveRequestId id, const FlowStep &step);
    void removeRequest(ActiveRequestId id);
    void sendCancel(const ActiveRequest &active);
    void forgetAttempt(ActiveRequest &active);
    void updateExpectedOutput(const ActiveRequest &active);
    double expectedOutputTokens(const CallerRequest &caller) const;
    void recordUsage(const ActiveRequest &active);
    ActiveRequest *findByAttempt(const wire::RequestId &id, ActiveRequestId &activeRequestId);
    nlohmann::json usageJson(const ActiveRequest &active) const;

    const GatewaySettings &settings_;
    std::uint64_t incarnation_;
    Router &router_;
    EndpointLinks &endpointLinks_;
    IdempotencyStore &idempotency_;
    Metrics &metrics_;
    const Log &log_;
    UsageHandler onUsage_;
    AdmissionController *admission_ = nullptr;
    FlowOptions flowOptions_;
    RetryBudget retryBudget_;
    std::unordered_map<ActiveRequestId, std::unique_ptr<ActiveRequest>> activeRequests_;
    /** Attempts that still expect messages from their sidecar. */
    std::unordered_map<RequestId, ActiveRequestId, RequestIdHash> attempts_;
    std::unordered_multimap<std::uint64_t, ActiveRequestId> requestsByConnection_;
    /** Exponentially smoothed number of output tokens, by customer and model. */
    std::map<std::pair<std::string, std::string>, double> expectedOutputTokens_;
    std::deque<RequestTrace> finishedTraces_;
    std::map<std::string, Demand> demand_;
    ActiveRequestId lastActiveRequestId_ = 0;
    std::uint64_t lastAttemptNumber_ = 0;
};

inline std::size_t RequestRunner::activeCount() const
{
    return activeRequests_.size();
}

}

/**
 * Runs callers' requests on the core thread: rate limit, routing, attempts at endpoints, the answer's way back. What each outcome allows is
 * decided by RequestFlow.
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

/** The path that one request took, kept for "explain". */
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
    /** The limits call back into the runner, so they are set after both exist; must be called before start(). */
    void setAdmissionController(AdmissionController &admission);

    void startRequest(CallerRequest request);
    void onCallerDisconnected(std::uint64_t connection);
    void onAdmissionResult(const AdmissionResult &result);
    void onAllowance(const AnswerAllowance &draw);
    void onLinkMessage(const LinkKey &key, const wire::Envelope &message);
    void onLinkLost(const LinkKey &key);
    /** Timeouts and requests that wait for an endpoint. To be called every few tens of milliseconds. */
    void tick(TimePoint now);

    std::size_t activeCount() const;
    /** The trail of a finished or running request. */
    const RequestTrace *trace(const std::string &publicId) const;
    nlohmann::json dump() const;
    /** Tokens by model that arrived lately, for the planner. */
    struct Demand
    {
        double promptTokens = 0;
        double outputTokens = 0;
        std::uint64_t requests = 0;
    };
    std::map<std::string, Demand> takeDemand();

private:
    struct ActiveRequest
    {
        CallerRequest caller;
        std::unique_ptr<RequestFlow> flow;
        AnswerAssembler answer;
        std::unique_ptr<AnswerWriter> writer;
        LinkKey link;
        /** Of the current attempt's submission. */
        Tick submitTick;
        RouteQuery query;
        /** Output tokens that may be sent, over all attempts. */
        double outputAllowance = 0;
        std::uint64_t deliveredTokens = 0;
        /** Of the attempts before the current one. */
        std::uint64_t deliveredByEarlierAttempts = 0;
        std::uint64_t reportedPromptTokens = 0;
        bool isWaitingForEndpoint = false;
        bool hasClaimedKey = false;
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
    EndpointLinks &links_;
    IdempotencyStore &idempotency_;
    Metrics &metrics_;
    const Log &log_;
    UsageHandler onUsage_;
    AdmissionController *admission_ = nullptr;
    FlowOptions flowOptions_;
    RetryBudget retryBudget_;
    std::unordered_map<ActiveRequestId, std::unique_ptr<ActiveRequest>> activeRequests_;
    /** Current attempts. */
    std::unordered_map<RequestId, ActiveRequestId, RequestIdHash> attempts_;
    std::unordered_multimap<std::uint64_t, ActiveRequestId> requestsByConnection_;
    /** Smoothed output tokens by customer and model. */
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

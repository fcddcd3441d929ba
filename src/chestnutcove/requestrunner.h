/**
 * Runs callers' requests on the core thread: rate limit, routing, attempts at endpoints, the answer's way back. What each outcome allows is
 * decided by RequestFlow.
 */
#pragma once

#include "answerassembler.h"
#include "answerwriter.h"
#include "callerrequest.h"
#include "endpointlinks.h"
#include "idempotencystore.h"
#include "limitboard.h"
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
struct RequestTrail
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
    void setLimits(LimitBoard &limits);

    void start(CallerRequest request);
    void clientGone(std::uint64_t connection);
    void admitted(const AdmissionResult &result);
    void drawn(const AnswerAllowance &draw);
    void onMessage(const LinkKey &key, const wire::Envelope &message);
    void linkLost(const LinkKey &key);
    /** Timeouts and requests that wait for an endpoint. To be called every few tens of milliseconds. */
    void tick(TimePoint now);

    std::size_t active() const;
    /** The trail of a finished or running request. */
    const RequestTrail *trail(const std::string &publicId) const;
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
    struct Active
    {
        CallerRequest caller;
        std::unique_ptr<RequestFlow> flow;
        AnswerAssembler answer;
        std::unique_ptr<AnswerWriter> writer;
        LinkKey link;
        /** Of the current attempt's submission. */
        Tick tick;
        RouteQuery query;
        /** Output tokens that may be sent, over all attempts. */
        double allowance = 0;
        std::uint64_t deliveredTokens = 0;
        /** Of the attempts before the current one. */
        std::uint64_t deliveredBefore = 0;
        std::uint64_t promptTokens = 0;
        bool waitsForEndpoint = false;
        bool idempotencyHeld = false;
        std::string body;
        TimePoint firstChunkAt;
        RequestTrail trail;
    };
    using ActiveId = std::uint64_t;

    void admit(ActiveId id);
    void route(ActiveId id);
    void submit(ActiveId id, Active &active, const RouteChoice &choice, const LinkKey &link, TimePoint now);
    std::string bodyFor(const Active &active) const;
    void take(ActiveId id, const FlowStep &step);
    void onChunk(ActiveId id, Active &active, const wire::Chunk &chunk);
    void onEnd(ActiveId id, Active &active, const wire::End &end);
    void finish(ActiveId id);
    void passOn(ActiveId id, Active &active, const wire::End &end);
    void fail(ActiveId id, const CallerFailure &failure);
    void failFlow(ActiveId id, const FlowStep &step);
    void remove(ActiveId id);
    void sendCancel(const Active &active);
    void endAttempt(Active &active);
    void learnOutput(const Active &active);
    double expectedOutput(const CallerRequest &caller) const;
    void countUsage(const Active &active);
    Active *find(const wire::RequestId &id, ActiveId &activeId);
    nlohmann::json usageOf(const Active &active) const;

    const GatewaySettings &settings_;
    std::uint64_t incarnation_;
    Router &router_;
    EndpointLinks &links_;
    IdempotencyStore &idempotency_;
    Metrics &metrics_;
    const Log &log_;
    UsageHandler onUsage_;
    LimitBoard *limits_ = nullptr;
    FlowOptions flowOptions_;
    RetryBudget retryBudget_;
    std::unordered_map<ActiveId, std::unique_ptr<Active>> active_;
    /** Current attempts. */
    std::unordered_map<RequestId, ActiveId, RequestIdHash> attempts_;
    std::unordered_multimap<std::uint64_t, ActiveId> byConnection_;
    /** Smoothed output tokens by customer and model. */
    std::map<std::pair<std::string, std::string>, double> expectedOutput_;
    std::deque<RequestTrail> trails_;
    std::map<std::string, Demand> demand_;
    ActiveId lastActive_ = 0;
    std::uint64_t lastAttempt_ = 0;
};

inline std::size_t RequestRunner::active() const
{
    return active_.size();
}

}

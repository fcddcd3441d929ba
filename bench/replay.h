/**
 * Replays a trace in virtual time through the real limiter, router, dispatcher and role planner with a simple engine model. The same trace
 * gives the same result.
 */
#pragma once

#include "customeraccount.h"
#include "customerlimiter.h"
#include "enginemodel.h"
#include "fleetplanner.h"
#include "nametable.h"
#include "router.h"
#include "tracefile.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Chestnutcove {

enum class ReplayPolicy {
    Product,
    ProductWithoutRoles,
    RoundRobin,
    LeastOutstanding,
    /** One engine with the capacity of all engines: the bound that the other policies are compared with. */
    Pooled,
};

inline constexpr NameTable<ReplayPolicy, 5> ReplayPolicyNames{{
    {ReplayPolicy::Product, "product"},
    {ReplayPolicy::ProductWithoutRoles, "product-static-roles"},
    {ReplayPolicy::RoundRobin, "round-robin"},
    {ReplayPolicy::LeastOutstanding, "least-outstanding"},
    {ReplayPolicy::Pooled, "bound"},
}};

/** A request of the trace on its way. */
struct ReplayedRequest
{
    const TraceArrival *arrival = nullptr;
    std::size_t attempts = 0;
    std::vector<std::string> excluded;
    /** Served or refused. */
    bool isFinished = false;
};

class Replay
{
public:
    /** The trace must outlive the replay. */
    Replay(const Trace &trace, ReplayPolicy policy);
    /** Plays the whole trace once. @return what was served, refused and how fast, in all and by customer. */
    nlohmann::json run();

private:
    struct Event
    {
        TimePoint at;
        /** Keeps events of the same time in the order in which they were scheduled. */
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    static FleetPlannerOptions plannerOptions(const Trace &trace);
    TimePoint timeAt(double seconds) const;
    void scheduleAt(TimePoint when, std::function<void()> action);
    void scheduleEvery(Duration interval, const std::function<void()> &action);
    void addEngine(std::size_t index);
    void onArrival(std::size_t index);

    /** The customer's average answer length, since a gateway does not know the length of an answer in advance. */
    double expectedOutputTokens(const TraceArrival &arrival) const;
    void pollLimiter(const std::string &customer);
    void refuseByRate(std::size_t index);
    CustomerAccount &accountOf(const std::string &customer);

    /** Seconds since the start of the trace. */
    double elapsed() const;
    static double tokensOf(const TraceArrival &arrival);
    void routeRequest(std::size_t index);
    std::vector<std::uint64_t> blocksOf(const TraceArrival &arrival) const;
    std::string chooseEngine(const RouteQuery &query);
    EngineModel &engineOf(const std::string &name);
    void submitRequest(std::size_t index, const std::string &name);
    void onRefused(const RequestId &id, const std::string &name);
    void refuseByCapacity(std::size_t index);
    void finishRequest(std::size_t index);
    double speedFactor(const EngineModel &engine, bool prefill) const;
    void dispatchQueued(EngineModel &engine);
    void onAnswerBegun(const RequestId &id, const std::string &name, std::uint64_t generation);
    void onAnswerFinished(std::size_t index, const RequestId &id, const std::string &name, std::uint64_t generation);

    /** Delivers the answer's tokens within the limiter's allowance; a real gateway would delay the stream when the allowance is used up. */
    void deliverAnswer(CustomerLimiter &limiter, const std::string &customer, std::size_t index, double output);
    void applyEvent(const TraceEvent &event);
    void reportLoads();
    void onTick();
    void planRoles();
    nlohmann::json summary();

    const Trace &trace_;
    ReplayPolicy policy_;
    TimePoint start_{std::chrono::hours(100)};
    TimePoint now_ = start_;
    Router router_;
    FleetPlanner planner_;
    double scale_ = 1;
    std::vector<EngineModel> engines_;
    std::map<std::string, std::unique_ptr<CustomerLimiter>> limiters_;
    std::map<std::string, CustomerAccount> accounts_;
    std::map<std::string, double> weights_;
    std::map<std::string, double> averageOutput_;
    std::vector<ReplayedRequest> requests_;
    std::map<std::size_t, std::string> engineByRequest_;
    std::map<std::size_t, double> allowances_;
    std::map<std::size_t, TimePoint> firstToken_;
    std::vector<double> firstTokens_;
    std::priority_queue<Event> events_;
    std::uint64_t lastEventNumber_ = 0;
    std::size_t nextEngine_ = 0;
    std::uint64_t roleChanges_ = 0;
    std::uint64_t pacedAnswers_ = 0;
    double lastPlanPrompt_ = 0;
    double lastPlanOutput_ = 0;
    double startedRequests_ = 0;
    double lastPlanStarted_ = 0;
};

}

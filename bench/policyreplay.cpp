/**
 * Replays a trace in virtual time through the real limiter, router, dispatcher and role planner with a simple engine model, and compares
 * routing policies. The same trace gives the same JSON, byte for byte.
 */
#include "customerlimiter.h"
#include "dispatcher.h"
#include "fleetplanner.h"
#include "router.h"
#include "tracefile.h"

#include "documentreader.h"
#include "settingsfile.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <list>
#include <memory>
#include <queue>

namespace {

using namespace Chestnutcove;
using namespace std::chrono_literals;

enum class Policy {
    Product,
    ProductWithoutRoles,
    RoundRobin,
    LeastOutstanding,
    /** One engine with the capacity of all engines: the bound that the other policies are compared with. */
    Pooled,
};

constexpr NameTable<Policy, 5> PolicyNames{{
    {Policy::Product, "product"},
    {Policy::ProductWithoutRoles, "product-static-roles"},
    {Policy::RoundRobin, "round-robin"},
    {Policy::LeastOutstanding, "least-outstanding"},
    {Policy::Pooled, "bound"},
}};

constexpr Duration ReportInterval = 250ms;
constexpr Duration PlanInterval = 1s;
constexpr Duration RoleChangeTime = 5s;
constexpr Duration CommandDelay = 1ms;
constexpr std::size_t MaxAttempts = 4;
constexpr std::size_t MaxCachedGroups = 64;

Duration maxWaitOf(ServiceClass serviceClass)
{
    switch (serviceClass) {
    case ServiceClass::Urgent:
        return 2s;
    case ServiceClass::Standard:
        return 5s;
    case ServiceClass::Bulk:
        return 20s;
    }
    return 5s;
}

/** Models an engine like the stand-in engine: sequential prefill, concurrent decode and a prefix cache of limited size. */
struct EngineModel
{
    EndpointEntry entry;
    std::unique_ptr<TickClock> clock;
    std::unique_ptr<Dispatcher> dispatcher;
    EndpointRole role = EndpointRole::Mixed;
    std::optional<EndpointRole> pendingRole;
    TimePoint prefillFreeAt;
    TimePoint availableAt;
    bool up = true;
    /** Incremented when the engine goes down, so that completions of lost answers are ignored. */
    std::uint64_t generation = 0;
    /** Prefix groups in the cache, the least recently used first. */
    std::list<std::uint64_t> cachedGroups;
    double promptTotal = 0;
    double outputTotal = 0;
};

struct Request
{
    const TraceArrival *arrival = nullptr;
    std::size_t attempts = 0;
    std::vector<std::string> excluded;
    /** Served or refused. */
    bool isFinished = false;
};

struct CustomerResult
{
    double servedTokens = 0;
    std::uint64_t requests = 0;
    /** Requests whose first token came within the trace's target. */
    std::uint64_t goodRequests = 0;
    std::uint64_t rateRefusals = 0;
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t capacityRefusals = 0;
    double bucket = 0;
    double bucketTime = 0;
    /** Largest number of tokens by which any window exceeded burst + rate * t. */
    double overshoot = 0;
    /**
     * A token bucket for the whole fleet that charges each admitted request in full at once. A refusal of a request that this bucket would
     * have admitted is wrongful.
     */
    double referenceBucket = 0;
    double referenceTime = 0;
    /** Tokens of the offered load that such a bucket would have admitted without queueing. */
    double entitledTokens = 0;
    double entitledBucket = 0;
    double entitledTime = 0;
};

class Replay
{
public:
    Replay(const Trace &trace, Policy policy)
        : trace_(trace)
        , policy_(policy)
        , router_({.dataCentre = "dc-1", .reportTimeout = 10s})
        , planner_(plannerOptions(trace))
    {
        const double scale = policy == Policy::Pooled ? static_cast<double>(trace.engines) : 1;
        const std::size_t engines = policy == Policy::Pooled ? 1 : trace.engines;
        scale_ = scale;
        for (std::size_t i = 0; i < engines; ++i) {
            addEngine(i);
        }
        for (const TraceCustomer &customer : trace.customers) {
            LimiterOptions options;
            options.drawRate = trace.decodeTokensPerSecond;
            limiters_[customer.name] = std::make_unique<CustomerLimiter>(options, customer.rate, customer.burst);
            limiters_[customer.name]->setShares({1, {}}, start_ - 60s);
            results_[customer.name].bucket = customer.burst;
            results_[customer.name].referenceBucket = customer.burst;
            results_[customer.name].entitledBucket = customer.burst;
            weights_[customer.name] = customer.weight;
        }
        requests_.resize(trace.arrivals.size());
    }

    nlohmann::json run()
    {
        for (std::size_t i = 0; i < trace_.arrivals.size(); ++i) {
            requests_[i].arrival = &trace_.arrivals[i];
            scheduleAt(timeAt(trace_.arrivals[i].at), [this, i] { onArrival(i); });
        }
        for (const TraceEvent &event : trace_.events) {
            scheduleAt(timeAt(event.at), [this, event] { applyEvent(event); });
        }
        scheduleEvery(ReportInterval, [this] { reportLoads(); });
        scheduleEvery(20ms, [this] { onTick(); });
        if (policy_ == Policy::Product) {
            scheduleEvery(PlanInterval, [this] { planRoles(); });
        }
        const TimePoint end = timeAt(trace_.seconds) + 60s;
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        return summary();
    }

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

    static FleetPlannerOptions plannerOptions(const Trace &trace)
    {
        FleetPlannerOptions options;
        options.mixed
            = {trace.prefillTokensPerSecond, trace.decodeTokensPerSecond * static_cast<double>(trace.slots), trace.decodeTokensPerSecond};
        options.roleChangeTime = RoleChangeTime;
        return options;
    }

    TimePoint timeAt(double seconds) const
    {
        return start_ + fromSeconds(seconds);
    }

    void scheduleAt(TimePoint when, std::function<void()> action)
    {
        events_.push({when, ++lastEventNumber_, std::move(action)});
    }

    void scheduleEvery(Duration interval, const std::function<void()> &action)
    {
        action();
        scheduleAt(now_ + interval, [this, interval, action] {
            if (now_ < timeAt(trace_.seconds) + 55s) {
                scheduleEvery(interval, action);
            }
        });
    }

    void addEngine(std::size_t index)
    {
        EngineModel engine;
        engine.entry.name = "engine-" + std::to_string(index);
        engine.entry.dataCentre = "dc-1";
        engine.entry.serves = "model";
        engine.clock = std::make_unique<TickClock>(index + 1, 100h);
        DispatcherOptions options;
        options.slots = static_cast<std::size_t>(static_cast<double>(trace_.slots) * scale_);
        options.maxQueued = static_cast<std::size_t>(512 * scale_);
        options.prefillTokensPerSecond = trace_.prefillTokensPerSecond * scale_;
        options.decodeTokensPerSecond = trace_.decodeTokensPerSecond;
        engine.dispatcher = std::make_unique<Dispatcher>(options, *engine.clock);
        router_.putEndpoint(engine.entry);
        engines_.push_back(std::move(engine));
    }

    void onArrival(std::size_t index)
    {
        const TraceArrival &arrival = *requests_[index].arrival;
        CustomerResult &result = results_[arrival.customer];
        ++result.requests;
        const auto tokens = static_cast<double>(arrival.promptTokens + arrival.outputTokens);
        addEntitlement(result, customerOf(arrival.customer), arrival.at, tokens);
        limiters_[arrival.customer]->requestAdmission({index,
                                                       static_cast<double>(arrival.promptTokens),
                                                       expectedOutputTokens(arrival),
                                                       arrival.serviceClass,
                                                       now_ + maxWaitOf(arrival.serviceClass)},
                                                      now_);
        pollLimiter(arrival.customer);
    }

    /** The customer's average answer length, since a gateway does not know the length of an answer in advance. */
    double expectedOutputTokens(const TraceArrival &arrival) const
    {
        const auto it = averageOutput_.find(arrival.customer);
        return it == averageOutput_.end() ? 128 : it->second;
    }

    void pollLimiter(const std::string &customer)
    {
        const LimiterActions actions = limiters_[customer]->poll(now_);
        for (const AdmissionResult &admission : actions.admissions) {
            if (admission.verdict == AdmissionVerdict::Admitted) {
                const TraceArrival &arrival = *requests_[admission.id].arrival;
                chargeBucket(customer, static_cast<double>(arrival.promptTokens));
                refillReference(customer);
                results_[customer].referenceBucket -= static_cast<double>(arrival.promptTokens + arrival.outputTokens);
                routeRequest(admission.id);
            } else {
                refuseByRate(admission.id);
            }
        }
        for (const AnswerAllowance &allowance : actions.allowances) {
            allowances_[allowance.id] = allowance.total;
        }
    }

    void refuseByRate(std::size_t index)
    {
        const TraceArrival &arrival = *requests_[index].arrival;
        CustomerResult &result = results_[arrival.customer];
        ++result.rateRefusals;
        refillReference(arrival.customer);
        const auto tokens = static_cast<double>(arrival.promptTokens + arrival.outputTokens);
        result.wrongfulRefusals += result.referenceBucket >= tokens ? 1 : 0;
        finishRequest(index);
    }

    void refillReference(const std::string &customer)
    {
        CustomerResult &result = results_[customer];
        const double seconds = toSeconds(now_ - start_);
        const TraceCustomer &entry = customerOf(customer);
        result.referenceBucket = std::min(entry.burst, result.referenceBucket + entry.rate * (seconds - result.referenceTime));
        result.referenceTime = seconds;
    }

    static void addEntitlement(CustomerResult &result, const TraceCustomer &entry, double at, double tokens)
    {
        result.entitledBucket = std::min(entry.burst, result.entitledBucket + entry.rate * (at - result.entitledTime));
        result.entitledTime = at;
        if (result.entitledBucket >= tokens) {
            result.entitledBucket -= tokens;
            result.entitledTokens += tokens;
        }
    }

    const TraceCustomer &customerOf(const std::string &name) const
    {
        return *std::find_if(
            trace_.customers.begin(), trace_.customers.end(), [&name](const auto &customer) { return customer.name == name; });
    }

    /** Charges admitted tokens to the customer's bucket and records by how much a window exceeds burst + rate * t. */
    void chargeBucket(const std::string &customer, double tokens)
    {
        CustomerResult &result = results_[customer];
        const TraceCustomer &entry = customerOf(customer);
        const double seconds = toSeconds(now_ - start_);
        result.bucket = std::min(entry.burst, result.bucket + entry.rate * (seconds - result.bucketTime));
        result.bucketTime = seconds;
        result.bucket -= tokens;
        result.overshoot = std::max(result.overshoot, -result.bucket);
    }

    void routeRequest(std::size_t index)
    {
        Request &request = requests_[index];
        const TraceArrival &arrival = *request.arrival;
        if (request.attempts >= MaxAttempts) {
            refuseByCapacity(index);
            return;
        }
        const RouteQuery query{
            "model", static_cast<double>(arrival.promptTokens), expectedOutputTokens(arrival), blocksOf(arrival), request.excluded};
        const std::string chosen = chooseEngine(query);
        if (chosen.empty()) {
            refuseByCapacity(index);
            return;
        }
        ++request.attempts;
        router_.recordDispatch(chosen, query, now_);
        scheduleAt(now_ + CommandDelay, [this, index, chosen] { submitRequest(index, chosen); });
    }

    std::vector<std::uint64_t> blocksOf(const TraceArrival &arrival) const
    {
        // A single block hash represents the whole shared prefix.
        return arrival.sharedTokens == 0 ? std::vector<std::uint64_t>{} : std::vector<std::uint64_t>{arrival.prefixGroup + 1};
    }

    std::string chooseEngine(const RouteQuery &query)
    {
        if (policy_ == Policy::Product || policy_ == Policy::ProductWithoutRoles || policy_ == Policy::Pooled) {
            const auto choice = router_.choose(query, now_);
            return choice ? choice->endpoint : std::string();
        }
        const EngineModel *best = nullptr;
        for (std::size_t step = 0; step < engines_.size(); ++step) {
            const EngineModel &engine = engines_[(nextEngine_ + step) % engines_.size()];
            const bool excluded = std::find(query.excluded.begin(), query.excluded.end(), engine.entry.name) != query.excluded.end();
            if (!engine.up || excluded) {
                continue;
            }
            const auto outstanding = [](const EngineModel &item) { return item.dispatcher->running() + item.dispatcher->queued(); };
            if (best == nullptr || (policy_ == Policy::LeastOutstanding && outstanding(engine) < outstanding(*best))) {
                best = &engine;
            }
            if (policy_ == Policy::RoundRobin) {
                break;
            }
        }
        ++nextEngine_;
        return best == nullptr ? std::string() : best->entry.name;
    }

    EngineModel &engineOf(const std::string &name)
    {
        return engines_[std::stoul(name.substr(name.rfind('-') + 1))];
    }

    void submitRequest(std::size_t index, const std::string &name)
    {
        EngineModel &engine = engineOf(name);
        Request &request = requests_[index];
        const TraceArrival &arrival = *request.arrival;
        engineByRequest_[index] = name;
        SubmittedRequest submitted;
        submitted.id = {1, (static_cast<std::uint64_t>(index) << 8U) + request.attempts};
        submitted.tick = engine.clock->issue(now_);
        submitted.customer = arrival.customer;
        submitted.serviceClass = arrival.serviceClass;
        submitted.weight = weights_[arrival.customer];
        submitted.promptTokens = static_cast<double>(arrival.promptTokens);
        submitted.expectedOutputTokens = expectedOutputTokens(arrival);
        submitted.queueTimeout = std::max<Duration>(timeAt(arrival.at) + maxWaitOf(arrival.serviceClass) - now_, 100ms);
        const SubmitDecision decision = engine.up ? engine.dispatcher->submit(submitted, now_) : SubmitDecision{RefusalReason::Unhealthy};
        if (decision.evicted) {
            scheduleAt(now_ + CommandDelay, [this, evicted = *decision.evicted, name] { onRefused(evicted, name); });
        }
        if (decision.refusal != RefusalReason::None) {
            scheduleAt(now_ + CommandDelay, [this, id = submitted.id, name] { onRefused(id, name); });
        }
        dispatchQueued(engine);
    }

    void onRefused(const RequestId &id, const std::string &name)
    {
        const std::size_t index = id.number >> 8U;
        requests_[index].excluded.push_back(name);
        routeRequest(index);
    }

    void refuseByCapacity(std::size_t index)
    {
        ++results_[requests_[index].arrival->customer].capacityRefusals;
        finishRequest(index);
    }

    void finishRequest(std::size_t index)
    {
        if (requests_[index].isFinished) {
            return;
        }
        requests_[index].isFinished = true;
        limiters_[requests_[index].arrival->customer]->onRequestFinished(index, now_);
    }

    double speedFactor(const EngineModel &engine, bool prefill) const
    {
        const FleetPlannerOptions options;
        if (engine.role == EndpointRole::Mixed) {
            return 1;
        }
        const bool tuned = (engine.role == EndpointRole::Prefill) == prefill;
        return tuned ? options.tunedGain : options.tunedLoss;
    }

    void dispatchQueued(EngineModel &engine)
    {
        if (!engine.up || engine.availableAt > now_ || engine.pendingRole) {
            return;
        }
        while (const auto id = engine.dispatcher->dispatch(now_)) {
            const std::size_t index = id->number >> 8U;
            const TraceArrival &arrival = *requests_[index].arrival;
            double uncached = static_cast<double>(arrival.promptTokens);
            const auto known = std::find(engine.cachedGroups.begin(), engine.cachedGroups.end(), arrival.prefixGroup);
            if (arrival.sharedTokens > 0 && known != engine.cachedGroups.end()) {
                uncached -= static_cast<double>(arrival.sharedTokens);
                engine.cachedGroups.erase(known);
            }
            if (arrival.sharedTokens > 0) {
                engine.cachedGroups.push_back(arrival.prefixGroup);
                if (engine.cachedGroups.size() > MaxCachedGroups * static_cast<std::size_t>(scale_)) {
                    engine.cachedGroups.pop_front();
                }
            }
            const double prefillSpeed = trace_.prefillTokensPerSecond * scale_ * speedFactor(engine, true);
            const double decodeSpeed = trace_.decodeTokensPerSecond * speedFactor(engine, false);
            engine.prefillFreeAt = std::max(engine.prefillFreeAt, now_) + fromSeconds(uncached / prefillSpeed);
            const TimePoint first = engine.prefillFreeAt;
            const TimePoint last = first + fromSeconds(static_cast<double>(arrival.outputTokens) / decodeSpeed);
            firstToken_[index] = first;
            engine.promptTotal += uncached;
            startedRequests_ += 1;
            scheduleAt(first,
                       [this, id = *id, name = engine.entry.name, generation = engine.generation] { onAnswerBegun(id, name, generation); });
            scheduleAt(last, [this, index, id = *id, name = engine.entry.name, generation = engine.generation] {
                onAnswerFinished(index, id, name, generation);
            });
        }
    }

    void onAnswerBegun(const RequestId &id, const std::string &name, std::uint64_t generation)
    {
        EngineModel &engine = engineOf(name);
        if (generation == engine.generation) {
            engine.dispatcher->onAnswerBegun(id, now_);
        }
    }

    void onAnswerFinished(std::size_t index, const RequestId &id, const std::string &name, std::uint64_t generation)
    {
        EngineModel &engine = engineOf(name);
        const TraceArrival &arrival = *requests_[index].arrival;
        if (generation != engine.generation) {
            return;
        }
        const auto prompt = static_cast<double>(arrival.promptTokens);
        const auto output = static_cast<double>(arrival.outputTokens);
        engine.dispatcher->onFinished(id, prompt, output, now_);
        engine.outputTotal += output;
        router_.updateCachedBlocks(name, true, {engine.cachedGroups.begin(), engine.cachedGroups.end()}, {});
        CustomerResult &result = results_[arrival.customer];
        result.servedTokens += prompt + output;
        const double wait = toSeconds(firstToken_[index] - timeAt(arrival.at));
        firstTokens_.push_back(wait);
        result.goodRequests += wait <= trace_.firstTokenTarget ? 1 : 0;
        chargeBucket(arrival.customer, 0);
        CustomerLimiter &limiter = *limiters_[arrival.customer];
        deliverAnswer(limiter, arrival.customer, index, output);
        double &average = averageOutput_.try_emplace(arrival.customer, output).first->second;
        average += 0.1 * (output - average);
        finishRequest(index);
        dispatchQueued(engine);
    }

    /** Delivers the answer's tokens within the limiter's allowance; a real gateway would delay the stream when the allowance is used up. */
    void deliverAnswer(CustomerLimiter &limiter, const std::string &customer, std::size_t index, double output)
    {
        double delivered = 0;
        while (delivered < output) {
            const double step = std::min(output - delivered, allowances_[index] - delivered);
            if (step <= 0) {
                ++pacedAnswers_;
                break;
            }
            limiter.onTokensDelivered(index, step, now_);
            delivered += step;
            pollLimiter(customer);
        }
        chargeBucket(customer, delivered);
    }

    void applyEvent(const TraceEvent &event)
    {
        if (event.engine >= engines_.size()) {
            return;
        }
        EngineModel &engine = engines_[event.engine];
        engine.up = event.kind == TraceEvent::Kind::EngineUp;
        if (engine.up) {
            return;
        }
        // Running and queued requests are lost. They are chats, which may be retried, so they are routed to other engines.
        ++engine.generation;
        engine.cachedGroups.clear();
        std::vector<std::size_t> lost;
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            const bool submitted = requests_[i].attempts > 0 && !requests_[i].isFinished;
            if (submitted && engineByRequest_[i] == engine.entry.name) {
                lost.push_back(i);
            }
        }
        const DispatcherOptions options{static_cast<std::size_t>(static_cast<double>(trace_.slots) * scale_),
                                        512,
                                        trace_.prefillTokensPerSecond * scale_,
                                        trace_.decodeTokensPerSecond};
        engine.dispatcher = std::make_unique<Dispatcher>(options, *engine.clock);
        for (const std::size_t index : lost) {
            requests_[index].excluded.push_back(engine.entry.name);
            scheduleAt(now_ + 500ms, [this, index] { routeRequest(index); });
        }
    }

    void reportLoads()
    {
        for (const EngineModel &engine : engines_) {
            EndpointLoad load;
            load.queued = engine.dispatcher->queued();
            load.running = engine.dispatcher->running();
            load.slots = engine.dispatcher->slots();
            load.queuedSeconds = engine.dispatcher->queuedCost();
            load.runningSeconds = engine.dispatcher->runningCost();
            load.prefillSeconds = engine.dispatcher->prefillSeconds(now_);
            load.prefillTokensPerSecond = trace_.prefillTokensPerSecond * scale_ * speedFactor(engine, true);
            load.decodeTokensPerSecond = trace_.decodeTokensPerSecond * speedFactor(engine, false);
            load.draining = engine.pendingRole.has_value() || engine.availableAt > now_;
            load.healthy = engine.up;
            load.promptTokensTotal = engine.promptTotal;
            load.outputTokensTotal = engine.outputTotal;
            router_.updateLoad(engine.entry.name, load, std::numeric_limits<std::uint64_t>::max(), now_);
        }
    }

    void onTick()
    {
        for (EngineModel &engine : engines_) {
            for (const Refusal &refusal : engine.dispatcher->expire(now_)) {
                onRefused(refusal.id, engine.entry.name);
            }
            if (engine.pendingRole && engine.dispatcher->running() == 0) {
                engine.role = *std::exchange(engine.pendingRole, std::nullopt);
                engine.availableAt = now_ + RoleChangeTime;
            }
            dispatchQueued(engine);
        }
        for (const auto &[name, limiter] : limiters_) {
            pollLimiter(name);
        }
    }

    void planRoles()
    {
        double prompt = 0;
        double output = 0;
        std::vector<EngineView> views;
        for (const EngineModel &engine : engines_) {
            prompt += engine.promptTotal;
            output += engine.outputTotal;
            EngineView view{engine.entry.name, "dc-1", engine.role, engine.up};
            view.backlogSeconds = engine.dispatcher->queuedCost() + engine.dispatcher->runningCost();
            view.cachedBlocks = engine.cachedGroups.size();
            view.changing = engine.pendingRole.has_value() || engine.availableAt > now_;
            views.push_back(view);
        }
        planner_.addDemand(prompt - lastPlanPrompt_, output - lastPlanOutput_, startedRequests_ - lastPlanStarted_, PlanInterval);
        lastPlanStarted_ = startedRequests_;
        lastPlanPrompt_ = prompt;
        lastPlanOutput_ = output;
        const PlanDecision decision = planner_.decide(views, now_);
        if (decision.change) {
            ++roleChanges_;
            planner_.recordRoleChange(*decision.change, now_);
            EngineModel &engine = engineOf(decision.change->endpoint);
            engine.pendingRole = decision.change->to;
            for (const Refusal &refusal : engine.dispatcher->refuseQueued(RefusalReason::Draining, now_)) {
                onRefused(refusal.id, engine.entry.name);
            }
        }
    }

    nlohmann::json summary()
    {
        std::sort(firstTokens_.begin(), firstTokens_.end());
        const auto quantile = [this](double part) {
            return firstTokens_.empty() ? 0.0 : firstTokens_[static_cast<std::size_t>(part * static_cast<double>(firstTokens_.size() - 1))];
        };
        std::uint64_t good = 0;
        std::uint64_t requests = 0;
        std::uint64_t wrongful = 0;
        std::uint64_t byRate = 0;
        std::uint64_t byCapacity = 0;
        double overshoot = 0;
        double worst = 1;
        nlohmann::json customers = nlohmann::json::object();
        for (const auto &[name, result] : results_) {
            good += result.goodRequests;
            requests += result.requests;
            wrongful += result.wrongfulRefusals;
            byRate += result.rateRefusals;
            byCapacity += result.capacityRefusals;
            overshoot = std::max(overshoot, result.overshoot);
            const double share = result.entitledTokens > 0 ? std::min(1.0, result.servedTokens / result.entitledTokens) : 1;
            worst = std::min(worst, share);
            customers[name] = {{"requests", result.requests},
                               {"good", result.goodRequests},
                               {"servedShare", share},
                               {"refusedByRate", result.rateRefusals},
                               {"refusedByCapacity", result.capacityRefusals},
                               {"wrongful", result.wrongfulRefusals}};
        }
        return {{"trace", trace_.name},
                {"policy", nameOf(PolicyNames, policy_)},
                {"requests", requests},
                {"goodput", static_cast<double>(good) / trace_.seconds},
                {"firstTokenSeconds", {{"p50", quantile(0.5)}, {"p95", quantile(0.95)}, {"p99", quantile(0.99)}}},
                {"worstServedShare", worst},
                {"refusedByRate", byRate},
                {"refusedByCapacity", byCapacity},
                {"wrongfulRefusals", wrongful},
                {"overshootTokens", overshoot},
                {"roleChanges", roleChanges_},
                {"roleChangesPerEngine", static_cast<double>(roleChanges_) / static_cast<double>(trace_.engines)},
                {"pacedAnswers", pacedAnswers_},
                {"engineSeconds", static_cast<double>(trace_.engines) * trace_.seconds},
                {"customers", std::move(customers)}};
    }

    const Trace &trace_;
    Policy policy_;
    TimePoint start_{100h};
    TimePoint now_{100h};
    Router router_;
    FleetPlanner planner_;
    double scale_ = 1;
    std::vector<EngineModel> engines_;
    std::map<std::string, std::unique_ptr<CustomerLimiter>> limiters_;
    std::map<std::string, CustomerResult> results_;
    std::map<std::string, double> weights_;
    std::map<std::string, double> averageOutput_;
    std::vector<Request> requests_;
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

/** Compares the results of policies `product` and `bound` with the outcomes file. @return the number of outcomes that are missed. */
int checkOutcomes(const Trace &trace, const std::string &path)
{
    const auto json = readSettingsFile(path);
    if (!json.ok()) {
        std::cerr << json.status().message() << '\n';
        return 1;
    }
    DocumentFaults faults(path);
    DocumentReader reader(*json, faults);
    const nlohmann::json product = Replay(trace, Policy::Product).run();
    const nlohmann::json bound = Replay(trace, Policy::Pooled).run();
    if (product != Replay(trace, Policy::Product).run()) {
        std::cerr << "the same trace gave two results\n";
        return 1;
    }
    int missed = 0;
    const auto require = [&](const char *what, double value, bool holds, double limit) {
        std::cout << (holds ? "ok   " : "MISS ") << what << ": " << value << " (limit " << limit << ")\n";
        missed += holds ? 0 : 1;
    };
    const double goodputLimit = reader.number("goodputOfBoundAtLeast", 0, 1);
    const double goodput = product["goodput"].get<double>() / std::max(bound["goodput"].get<double>(), 1e-9);
    require("goodput over the bound's", goodput, goodput >= goodputLimit, goodputLimit);
    const double shareLimit = reader.number("worstServedShareAtLeast", 0, 1);
    require("share of the worst-served customer", product["worstServedShare"], product["worstServedShare"] >= shareLimit, shareLimit);
    const double wrongfulLimit = reader.number("wrongfulRefusalsAtMost", 0, 1);
    const double wrongful = product["wrongfulRefusals"].get<double>() / std::max(product["requests"].get<double>(), 1.0);
    require("wrongful refusals over requests", wrongful, wrongful <= wrongfulLimit, wrongfulLimit);
    const double changeLimit = reader.number("roleChangesPerEngineAtMost", 0, 100);
    require("role changes per engine", product["roleChangesPerEngine"], product["roleChangesPerEngine"] <= changeLimit, changeLimit);
    require("overshoot", product["overshootTokens"], product["overshootTokens"] <= 1e-3, 0);
    reader.finish();
    if (!faults.isEmpty()) {
        std::cerr << faults.status().message() << '\n';
        return 1;
    }
    return missed;
}

}

int main(int argc, char **argv)
{
    CLI::App app("Plays a trace in virtual time through the decision classes", "policyreplay");
    std::string path;
    std::string policy = "product";
    std::string outcomes;
    bool json = false;
    app.add_option("--trace", path, "Trace file")->required();
    app.add_option("--policy", policy, "One of " + allNames(PolicyNames));
    app.add_option("--check", outcomes, "Compare with the stated outcomes of this file");
    app.add_flag("--json", json, "Print JSON on one line");
    CLI11_PARSE(app, argc, argv);
    const auto trace = readTrace(path);
    const auto chosen = valueOf(PolicyNames, policy);
    if (!trace.ok() || !chosen) {
        std::cerr << (trace.ok() ? "unknown policy" : std::string(trace.status().message())) << '\n';
        return 2;
    }
    if (!outcomes.empty()) {
        return checkOutcomes(*trace, outcomes) == 0 ? 0 : 1;
    }
    std::cout << Replay(*trace, *chosen).run().dump(json ? -1 : 2) << '\n';
    return 0;
}

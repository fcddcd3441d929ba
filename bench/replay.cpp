#include "replay.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

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

}

Replay::Replay(const Trace &trace, ReplayPolicy policy)
    : trace_(trace)
    , policy_(policy)
    , router_({.dataCentre = "dc-1", .reportTimeout = 10s})
    , planner_(plannerOptions(trace))
{
    const double scale = policy == ReplayPolicy::Pooled ? static_cast<double>(trace.engines) : 1;
    const std::size_t engines = policy == ReplayPolicy::Pooled ? 1 : trace.engines;
    scale_ = scale;
    for (std::size_t i = 0; i < engines; ++i) {
        addEngine(i);
    }
    for (const TraceCustomer &customer : trace.customers) {
        LimiterOptions options;
        options.drawRate = trace.decodeTokensPerSecond;
        limiters_[customer.name] = std::make_unique<CustomerLimiter>(options, customer.rate, customer.burst);
        limiters_[customer.name]->setShares({1, {}}, start_ - 60s);
        accounts_.emplace(customer.name, customer);
        weights_[customer.name] = customer.weight;
    }
    requests_.resize(trace.arrivals.size());
}

nlohmann::json Replay::run()
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
    if (policy_ == ReplayPolicy::Product) {
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

FleetPlannerOptions Replay::plannerOptions(const Trace &trace)
{
    FleetPlannerOptions options;
    options.mixed
        = {trace.prefillTokensPerSecond, trace.decodeTokensPerSecond * static_cast<double>(trace.slots), trace.decodeTokensPerSecond};
    options.roleChangeTime = RoleChangeTime;
    return options;
}

TimePoint Replay::timeAt(double seconds) const
{
    return start_ + fromSeconds(seconds);
}

void Replay::scheduleAt(TimePoint when, std::function<void()> action)
{
    events_.push({when, ++lastEventNumber_, std::move(action)});
}

void Replay::scheduleEvery(Duration interval, const std::function<void()> &action)
{
    action();
    scheduleAt(now_ + interval, [this, interval, action] {
        if (now_ < timeAt(trace_.seconds) + 55s) {
            scheduleEvery(interval, action);
        }
    });
}

void Replay::addEngine(std::size_t index)
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

void Replay::onArrival(std::size_t index)
{
    const TraceArrival &arrival = *requests_[index].arrival;
    accountOf(arrival.customer).onArrival(arrival.at, tokensOf(arrival));
    limiters_[arrival.customer]->requestAdmission({index,
                                                   static_cast<double>(arrival.promptTokens),
                                                   expectedOutputTokens(arrival),
                                                   arrival.serviceClass,
                                                   now_ + maxWaitOf(arrival.serviceClass)},
                                                  now_);
    pollLimiter(arrival.customer);
}

double Replay::expectedOutputTokens(const TraceArrival &arrival) const
{
    const auto it = averageOutput_.find(arrival.customer);
    return it == averageOutput_.end() ? 128 : it->second;
}

void Replay::pollLimiter(const std::string &customer)
{
    const LimiterActions actions = limiters_[customer]->poll(now_);
    for (const AdmissionResult &admission : actions.admissions) {
        if (admission.verdict == AdmissionVerdict::Admitted) {
            const TraceArrival &arrival = *requests_[admission.id].arrival;
            accountOf(customer).onAdmitted(elapsed(), static_cast<double>(arrival.promptTokens), tokensOf(arrival));
            routeRequest(admission.id);
        } else {
            refuseByRate(admission.id);
        }
    }
    for (const AnswerAllowance &allowance : actions.allowances) {
        allowances_[allowance.id] = allowance.total;
    }
}

void Replay::refuseByRate(std::size_t index)
{
    const TraceArrival &arrival = *requests_[index].arrival;
    accountOf(arrival.customer).onRefusedByRate(elapsed(), tokensOf(arrival));
    finishRequest(index);
}

CustomerAccount &Replay::accountOf(const std::string &customer)
{
    return accounts_.at(customer);
}

double Replay::elapsed() const
{
    return toSeconds(now_ - start_);
}

double Replay::tokensOf(const TraceArrival &arrival)
{
    return static_cast<double>(arrival.promptTokens + arrival.outputTokens);
}

void Replay::routeRequest(std::size_t index)
{
    ReplayedRequest &request = requests_[index];
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

std::vector<std::uint64_t> Replay::blocksOf(const TraceArrival &arrival) const
{
    // A single block hash represents the whole shared prefix.
    return arrival.sharedTokens == 0 ? std::vector<std::uint64_t>{} : std::vector<std::uint64_t>{arrival.prefixGroup + 1};
}

std::string Replay::chooseEngine(const RouteQuery &query)
{
    if (policy_ == ReplayPolicy::Product || policy_ == ReplayPolicy::ProductWithoutRoles || policy_ == ReplayPolicy::Pooled) {
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
        if (best == nullptr || (policy_ == ReplayPolicy::LeastOutstanding && outstanding(engine) < outstanding(*best))) {
            best = &engine;
        }
        if (policy_ == ReplayPolicy::RoundRobin) {
            break;
        }
    }
    ++nextEngine_;
    return best == nullptr ? std::string() : best->entry.name;
}

EngineModel &Replay::engineOf(const std::string &name)
{
    return engines_[std::stoul(name.substr(name.rfind('-') + 1))];
}

void Replay::submitRequest(std::size_t index, const std::string &name)
{
    EngineModel &engine = engineOf(name);
    ReplayedRequest &request = requests_[index];
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

void Replay::onRefused(const RequestId &id, const std::string &name)
{
    const std::size_t index = id.number >> 8U;
    requests_[index].excluded.push_back(name);
    routeRequest(index);
}

void Replay::refuseByCapacity(std::size_t index)
{
    accountOf(requests_[index].arrival->customer).onRefusedByCapacity();
    finishRequest(index);
}

void Replay::finishRequest(std::size_t index)
{
    if (requests_[index].isFinished) {
        return;
    }
    requests_[index].isFinished = true;
    limiters_[requests_[index].arrival->customer]->onRequestFinished(index, now_);
}

double Replay::speedFactor(const EngineModel &engine, bool prefill) const
{
    const FleetPlannerOptions options;
    if (engine.role == EndpointRole::Mixed) {
        return 1;
    }
    const bool tuned = (engine.role == EndpointRole::Prefill) == prefill;
    return tuned ? options.tunedGain : options.tunedLoss;
}

void Replay::dispatchQueued(EngineModel &engine)
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

void Replay::onAnswerBegun(const RequestId &id, const std::string &name, std::uint64_t generation)
{
    EngineModel &engine = engineOf(name);
    if (generation == engine.generation) {
        engine.dispatcher->onAnswerBegun(id, now_);
    }
}

void Replay::onAnswerFinished(std::size_t index, const RequestId &id, const std::string &name, std::uint64_t generation)
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
    const double wait = toSeconds(firstToken_[index] - timeAt(arrival.at));
    firstTokens_.push_back(wait);
    accountOf(arrival.customer).onServed(elapsed(), prompt + output, wait <= trace_.firstTokenTarget);
    CustomerLimiter &limiter = *limiters_[arrival.customer];
    deliverAnswer(limiter, arrival.customer, index, output);
    double &average = averageOutput_.try_emplace(arrival.customer, output).first->second;
    average += 0.1 * (output - average);
    finishRequest(index);
    dispatchQueued(engine);
}

void Replay::deliverAnswer(CustomerLimiter &limiter, const std::string &customer, std::size_t index, double output)
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
    accountOf(customer).charge(elapsed(), delivered);
}

void Replay::applyEvent(const TraceEvent &event)
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

void Replay::reportLoads()
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

void Replay::onTick()
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

void Replay::planRoles()
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

nlohmann::json Replay::summary()
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
    for (const auto &[name, account] : accounts_) {
        good += account.goodRequests();
        requests += account.requests();
        wrongful += account.wrongfulRefusals();
        byRate += account.rateRefusals();
        byCapacity += account.capacityRefusals();
        overshoot = std::max(overshoot, account.overshoot());
        worst = std::min(worst, account.servedShare());
        customers[name] = account.summary();
    }
    return {{"trace", trace_.name},
            {"policy", nameOf(ReplayPolicyNames, policy_)},
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

}

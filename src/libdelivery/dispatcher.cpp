#include "dispatcher.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

/** A settled id is kept for this many times the age at which a message counts as stale. */
constexpr int RememberFactor = 2;
constexpr double SpeedSmoothing = 0.1;

double workOf(const SubmittedRequest &request)
{
    return request.promptTokens + request.expectedOutputTokens;
}

}

Dispatcher::Dispatcher(DispatcherOptions options, const TickClock &clock)
    : options_(options)
    , clock_(clock)
{
}

SubmitDecision Dispatcher::submit(const SubmittedRequest &request, TimePoint now)
{
    forget(now);
    SubmitDecision decision;
    const auto known = records_.find(request.id);
    if (known != records_.end()) {
        decision.refusal = known->second.state == State::NotRun ? RefusalReason::Cancelled : RefusalReason::Duplicate;
        return decision;
    }
    if (!clock_.isYoungerThan(RememberFactor * clock_.maxAge(), request.tick, now)) {
        // A copy of it may have run and been forgotten, here or in the process before.
        decision.refusal = RefusalReason::Unknowable;
        return decision;
    }
    if (!clock_.isFresh(request.tick, now)) {
        decision.refusal = RefusalReason::Stale;
    } else if (draining_) {
        decision.refusal = RefusalReason::Draining;
    } else if (!healthy_) {
        decision.refusal = RefusalReason::Unhealthy;
    } else if (predictedWait(request.serviceClass) > request.queueTimeout) {
        decision.refusal = RefusalReason::DeadlineUnreachable;
        decision.retryAfter = predictedWait(request.serviceClass) - request.queueTimeout;
    }
    if (decision.refusal != RefusalReason::None) {
        refuseForGood(request.id, now);
        return decision;
    }
    if (queue_.size() >= options_.maxQueued) {
        const auto candidate = queue_.evictionCandidate(request.serviceClass, request.customer);
        if (!candidate) {
            decision.refusal = RefusalReason::QueueFull;
            decision.retryAfter = predictedWait(request.serviceClass);
            refuseForGood(request.id, now);
            return decision;
        }
        decision.evicted = handles_.at(*candidate);
        queue_.remove(*candidate);
        settle(*decision.evicted, records_.at(*decision.evicted), State::NotRun, now);
    }
    Record record;
    record.state = State::Queued;
    record.request = request;
    record.handle = ++lastHandle_;
    record.cost = costOf(request);
    handles_[record.handle] = request.id;
    queue_.push(QueuedRequest{record.handle,
                              request.customer,
                              request.serviceClass,
                              request.weight,
                              workOf(request),
                              record.cost,
                              now,
                              now + request.queueTimeout});
    records_.emplace(request.id, std::move(record));
    return decision;
}

std::optional<RequestId> Dispatcher::dispatch(TimePoint now)
{
    (void)now;
    if (running_ >= options_.slots || !healthy_) {
        return std::nullopt;
    }
    const auto next = queue_.pop();
    if (!next) {
        return std::nullopt;
    }
    const RequestId id = handles_.at(next->handle);
    handles_.erase(next->handle);
    Record &record = records_.at(id);
    record.state = State::Running;
    ++running_;
    runningTokens_ += workOf(record.request);
    runningCost_ += record.cost;
    return id;
}

void Dispatcher::finished(const RequestId &id, double promptTokens, double outputTokens, TimePoint now)
{
    const auto it = records_.find(id);
    if (it == records_.end() || it->second.state != State::Running) {
        return;
    }
    const SubmittedRequest &request = it->second.request;
    --running_;
    runningTokens_ = running_ == 0 ? 0 : runningTokens_ - workOf(request);
    runningCost_ = running_ == 0 ? 0 : runningCost_ - it->second.cost;
    queue_.correct(request.serviceClass, request.customer, request.weight, promptTokens + outputTokens - workOf(request));
    settle(id, it->second, State::Ran, now);
}

CancelResult Dispatcher::cancel(const RequestId &id, const Tick &tick, TimePoint now)
{
    forget(now);
    const auto it = records_.find(id);
    if (it == records_.end()) {
        if (!clock_.isYoungerThan(RememberFactor * clock_.maxAge(), tick, now)) {
            return CancelResult::Ran;
        }
        refuseForGood(id, now);
        return CancelResult::NotRun;
    }
    Record &record = it->second;
    if (record.state == State::Queued) {
        queue_.remove(record.handle);
        settle(id, record, State::NotRun, now);
    }
    return record.state == State::NotRun ? CancelResult::NotRun : CancelResult::Ran;
}

std::vector<Refusal> Dispatcher::expire(TimePoint now)
{
    forget(now);
    std::vector<Refusal> result;
    for (const QueuedRequest &request : queue_.takeExpired(now)) {
        const RequestId id = handles_.at(request.handle);
        settle(id, records_.at(id), State::NotRun, now);
        result.push_back({id, RefusalReason::Expired});
    }
    return result;
}

std::vector<Refusal> Dispatcher::refuseQueued(RefusalReason reason, TimePoint now)
{
    std::vector<Refusal> result;
    for (const QueuedRequest &request : queue_.takeExpired(TimePoint::max())) {
        const RequestId id = handles_.at(request.handle);
        settle(id, records_.at(id), State::NotRun, now);
        result.push_back({id, reason});
    }
    return result;
}

void Dispatcher::observeSpeed(double prefillTokensPerSecond, double decodeTokensPerSecond)
{
    const auto blend = [](double &estimate, double seen) {
        if (seen > 0) {
            estimate += SpeedSmoothing * (seen - estimate);
        }
    };
    blend(options_.prefillTokensPerSecond, prefillTokensPerSecond);
    blend(options_.decodeTokensPerSecond, decodeTokensPerSecond);
}

Duration Dispatcher::predictedWait(ServiceClass serviceClass) const
{
    if (running_ < options_.slots) {
        return Duration::zero();
    }
    // A running answer takes its cost times the slots, and on average half of that is left until the first slot frees.
    const double untilFreeSlot = runningCost_ / static_cast<double>(running_) / 2;
    return fromSeconds(queue_.costBefore(serviceClass) + untilFreeSlot);
}

double Dispatcher::costOf(const SubmittedRequest &request) const
{
    const double decodeTogether = options_.decodeTokensPerSecond * static_cast<double>(options_.slots);
    return request.promptTokens / std::max(options_.prefillTokensPerSecond, 1.0)
        + request.expectedOutputTokens / std::max(decodeTogether, 1.0);
}

void Dispatcher::refuseForGood(const RequestId &id, TimePoint now)
{
    settle(id, records_[id], State::NotRun, now);
}

void Dispatcher::settle(const RequestId &id, Record &record, State state, TimePoint now)
{
    record.state = state;
    handles_.erase(record.handle);
    settled_.emplace_back(now + RememberFactor * clock_.maxAge(), id);
}

void Dispatcher::forget(TimePoint now)
{
    // At the bound itself a copy still counts as young enough to be known here.
    while (!settled_.empty() && settled_.front().first < now) {
        records_.erase(settled_.front().second);
        settled_.pop_front();
    }
}

}

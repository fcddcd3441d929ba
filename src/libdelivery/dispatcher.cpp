#include "dispatcher.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

/** A closed record is kept for this many times the age at which a message counts as stale. */
constexpr int RecordLifetimeFactor = 2;
/** Weight of a new measurement in the exponential moving averages of the speeds. */
constexpr double SpeedSmoothing = 0.1;

double expectedTokens(const SubmittedRequest &request)
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
    dropOldRecords(now);
    SubmitDecision decision;
    const auto known = records_.find(request.id);
    if (known != records_.end()) {
        decision.refusal = known->second.state == State::NotRun ? RefusalReason::Cancelled : RefusalReason::Duplicate;
        return decision;
    }
    if (!clock_.isYoungerThan(RecordLifetimeFactor * clock_.maxAge(), request.tick, now)) {
        // A copy of it may have run and its record been dropped, or it may have run under an earlier incarnation of this sidecar.
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
        addTombstone(request.id, now);
        return decision;
    }
    if (queue_.size() >= options_.maxQueued) {
        const auto candidate = queue_.evictionCandidate(request.serviceClass, request.customer);
        if (!candidate) {
            decision.refusal = RefusalReason::QueueFull;
            decision.retryAfter = predictedWait(request.serviceClass);
            addTombstone(request.id, now);
            return decision;
        }
        decision.evicted = idsByHandle_.at(*candidate);
        queue_.remove(*candidate);
        closeRecord(*decision.evicted, records_.at(*decision.evicted), State::NotRun, now);
    }
    Record record;
    record.state = State::Queued;
    record.request = request;
    record.handle = ++lastHandle_;
    record.cost = expectedCost(request);
    idsByHandle_[record.handle] = request.id;
    queue_.push(QueuedRequest{record.handle,
                              request.customer,
                              request.serviceClass,
                              request.weight,
                              expectedTokens(request),
                              record.cost,
                              now,
                              now + request.queueTimeout});
    records_.emplace(request.id, std::move(record));
    return decision;
}

std::optional<RequestId> Dispatcher::dispatch(TimePoint now)
{
    if (running_ >= options_.slots || !healthy_) {
        return std::nullopt;
    }
    const auto next = queue_.pop();
    if (!next) {
        return std::nullopt;
    }
    const RequestId id = idsByHandle_.at(next->handle);
    idsByHandle_.erase(next->handle);
    Record &record = records_.at(id);
    record.state = State::Running;
    ++running_;
    runningTokens_ += expectedTokens(record.request);
    runningCost_ += record.cost;
    prefillBacklog_.add(id, record.request.promptTokens, now);
    return id;
}

void Dispatcher::onAnswerBegun(const RequestId &id, TimePoint now)
{
    prefillBacklog_.remove(id, now);
}

void Dispatcher::onFinished(const RequestId &id, double promptTokens, double outputTokens, TimePoint now)
{
    const auto it = records_.find(id);
    if (it == records_.end() || it->second.state != State::Running) {
        return;
    }
    const SubmittedRequest &request = it->second.request;
    prefillBacklog_.remove(id, now);
    --running_;
    runningTokens_ = running_ == 0 ? 0 : runningTokens_ - expectedTokens(request);
    runningCost_ = running_ == 0 ? 0 : runningCost_ - it->second.cost;
    queue_.adjustCharge(request.serviceClass, request.customer, request.weight, promptTokens + outputTokens - expectedTokens(request));
    closeRecord(id, it->second, State::Ran, now);
}

CancelResult Dispatcher::cancel(const RequestId &id, const Tick &tick, TimePoint now)
{
    dropOldRecords(now);
    const auto it = records_.find(id);
    if (it == records_.end()) {
        if (!clock_.isYoungerThan(RecordLifetimeFactor * clock_.maxAge(), tick, now)) {
            return CancelResult::Ran;
        }
        addTombstone(id, now);
        return CancelResult::NotRun;
    }
    Record &record = it->second;
    if (record.state == State::Queued) {
        queue_.remove(record.handle);
        closeRecord(id, record, State::NotRun, now);
    }
    return record.state == State::NotRun ? CancelResult::NotRun : CancelResult::Ran;
}

std::vector<Refusal> Dispatcher::expire(TimePoint now)
{
    dropOldRecords(now);
    std::vector<Refusal> result;
    for (const QueuedRequest &request : queue_.takeExpired(now)) {
        const RequestId id = idsByHandle_.at(request.handle);
        closeRecord(id, records_.at(id), State::NotRun, now);
        result.push_back({id, RefusalReason::Expired});
    }
    return result;
}

std::vector<Refusal> Dispatcher::refuseQueued(RefusalReason reason, TimePoint now)
{
    std::vector<Refusal> result;
    for (const QueuedRequest &request : queue_.takeExpired(TimePoint::max())) {
        const RequestId id = idsByHandle_.at(request.handle);
        closeRecord(id, records_.at(id), State::NotRun, now);
        result.push_back({id, reason});
    }
    return result;
}

void Dispatcher::updateSpeedEstimates(double prefillTokensPerSecond, double decodeTokensPerSecond)
{
    const auto blend = [](double &estimate, double measured) {
        if (measured > 0) {
            estimate += SpeedSmoothing * (measured - estimate);
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
    // With all slots busy, an answer takes its cost times the number of slots. So a slot frees about once per mean cost, and the next one
    // on average in half of that.
    const double untilFreeSlot = runningCost_ / static_cast<double>(running_) / 2;
    return fromSeconds(queue_.costBefore(serviceClass) + untilFreeSlot);
}

double Dispatcher::expectedCost(const SubmittedRequest &request) const
{
    const double totalDecodeTokensPerSecond = options_.decodeTokensPerSecond * static_cast<double>(options_.slots);
    return request.promptTokens / std::max(options_.prefillTokensPerSecond, 1.0)
        + request.expectedOutputTokens / std::max(totalDecodeTokensPerSecond, 1.0);
}

void Dispatcher::addTombstone(const RequestId &id, TimePoint now)
{
    closeRecord(id, records_[id], State::NotRun, now);
}

void Dispatcher::closeRecord(const RequestId &id, Record &record, State state, TimePoint now)
{
    record.state = state;
    idsByHandle_.erase(record.handle);
    closedRecords_.emplace_back(now + RecordLifetimeFactor * clock_.maxAge(), id);
}

void Dispatcher::dropOldRecords(TimePoint now)
{
    // A copy whose age equals the bound still counts as young, so its record must exist at that moment.
    while (!closedRecords_.empty() && closedRecords_.front().first < now) {
        records_.erase(closedRecords_.front().second);
        closedRecords_.pop_front();
    }
}

}

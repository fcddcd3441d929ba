/**
 * The sidecar's decisions about requests: which are queued, which is sent to the endpoint next, which are refused, and for which the
 * sidecar may state that they did not run.
 *
 * A request id is dispatched at most once: the dispatcher keeps the record of an id for longer than a message with that id can count as
 * fresh, and a restarted sidecar treats every message that was addressed to an earlier incarnation as stale.
 */
#pragma once

#include "fairqueue.h"
#include "prefillbacklog.h"
#include "requestid.h"
#include "tickclock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

enum class RefusalReason {
    None,
    Stale,
    Duplicate,
    /** Too old to tell whether it ran. It gets no reply, because a refusal states that the request did not run. */
    Unknowable,
    Cancelled,
    QueueFull,
    DeadlineUnreachable,
    Expired,
    Draining,
    Unhealthy,
    Evicted,
};

inline constexpr NameTable<RefusalReason, 11> RefusalReasonNames{{
    {RefusalReason::None, "none"},
    {RefusalReason::Stale, "stale"},
    {RefusalReason::Duplicate, "duplicate"},
    {RefusalReason::Unknowable, "unknowable"},
    {RefusalReason::Cancelled, "cancelled"},
    {RefusalReason::QueueFull, "queue_full"},
    {RefusalReason::DeadlineUnreachable, "deadline_unreachable"},
    {RefusalReason::Expired, "expired"},
    {RefusalReason::Draining, "draining"},
    {RefusalReason::Unhealthy, "unhealthy"},
    {RefusalReason::Evicted, "evicted"},
}};

struct DispatcherOptions
{
    /** Requests that the endpoint runs concurrently. */
    std::size_t slots = 16;
    std::size_t maxQueued = 512;
    /** Initial estimates, updated by updateSpeedEstimates(). */
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 40;
};

struct SubmittedRequest
{
    RequestId id;
    Tick tick;
    std::string customer;
    ServiceClass serviceClass = ServiceClass::Standard;
    double weight = 1;
    double promptTokens = 0;
    double expectedOutputTokens = 0;
    Duration queueTimeout{};
};

struct Refusal
{
    RequestId id;
    RefusalReason reason = RefusalReason::None;
};

struct SubmitDecision
{
    /** None if the request was queued. */
    RefusalReason refusal = RefusalReason::None;
    /** A queued request that was evicted in favour of the new one; it did not run. */
    std::optional<RequestId> evicted;
    /** For a refusal because of load: the time after which a retry may succeed. */
    Duration retryAfter{};
};

enum class CancelResult {
    NotRun,
    /** It was dispatched, or this can't be excluded; it may have had effects. */
    Ran,
};

class Dispatcher
{
public:
    /** The clock must outlive the dispatcher. */
    Dispatcher(DispatcherOptions options, const TickClock &clock);

    SubmitDecision submit(const SubmittedRequest &request, TimePoint now);
    /** Marks the next queued request as running and returns it; empty if none is queued, no slot is free or the endpoint is unhealthy. */
    std::optional<RequestId> dispatch(TimePoint now);
    /** The endpoint has begun the answer of a dispatched request, so it has read the prompt. */
    void onAnswerBegun(const RequestId &id, TimePoint now);
    /** The endpoint completed or failed a dispatched request. */
    void onFinished(const RequestId &id, double promptTokens, double outputTokens, TimePoint now);
    /**
     * Keeps a request that was not dispatched from being dispatched. An id without a record counts as not run only while the tick of its
     * submission is so young that the record can't have been dropped.
     */
    CancelResult cancel(const RequestId &id, const Tick &tick, TimePoint now);
    /** Removes the requests whose time in the queue is over; they did not run. */
    std::vector<Refusal> expire(TimePoint now);
    /** Refuses every queued request, for an endpoint that drains or fails; running requests continue. */
    std::vector<Refusal> refuseQueued(RefusalReason reason, TimePoint now);

    void setDraining(bool draining);
    void setHealthy(bool healthy);
    /** Blends measured speeds into the estimates; a speed of zero or less was not measured. */
    void updateSpeedEstimates(double prefillTokensPerSecond, double decodeTokensPerSecond);

    bool isDraining() const;
    bool isHealthy() const;
    std::size_t queued() const;
    /** Endpoint seconds that the queued requests, or the running ones, are expected to take. */
    double queuedCost() const;
    double runningCost() const;
    /** Expected time until the endpoint has read the prompts of all running requests, in seconds. */
    double prefillSeconds(TimePoint now) const;
    std::size_t running() const;
    double runningTokens() const;
    std::size_t slots() const;
    double prefillTokensPerSecond() const;
    double decodeTokensPerSecond() const;
    std::size_t recordCount() const;
    /** Predicted time in the queue for a new request of that class. */
    Duration predictedWait(ServiceClass serviceClass) const;

private:
    enum class State {
        Queued,
        Running,
        /** Refused, cancelled, evicted or expired; it will not be dispatched. */
        NotRun,
        /** Dispatched and finished. */
        Ran,
    };
    struct Record
    {
        State state = State::NotRun;
        SubmittedRequest request;
        std::uint64_t handle = 0;
        double cost = 0;
    };

    double expectedCost(const SubmittedRequest &request) const;
    /** Keeps a late copy of the message from being dispatched after the request was reported as not run. */
    void addTombstone(const RequestId &id, TimePoint now);
    /** Sets the final state of a record and schedules its removal. */
    void closeRecord(const RequestId &id, Record &record, State state, TimePoint now);
    void dropOldRecords(TimePoint now);

    DispatcherOptions options_;
    const TickClock &clock_;
    FairQueue queue_;
    std::unordered_map<RequestId, Record, RequestIdHash> records_;
    std::unordered_map<std::uint64_t, RequestId> idsByHandle_;
    /** Closed records, each with the time after which it may be dropped, in that order. */
    std::deque<std::pair<TimePoint, RequestId>> closedRecords_;
    std::uint64_t lastHandle_ = 0;
    std::size_t running_ = 0;
    double runningTokens_ = 0;
    double runningCost_ = 0;
    PrefillBacklog prefillBacklog_;
    bool draining_ = false;
    bool healthy_ = true;
};

inline void Dispatcher::setDraining(bool draining)
{
    draining_ = draining;
}

inline void Dispatcher::setHealthy(bool healthy)
{
    healthy_ = healthy;
}

inline bool Dispatcher::isDraining() const
{
    return draining_;
}

inline bool Dispatcher::isHealthy() const
{
    return healthy_;
}

inline std::size_t Dispatcher::queued() const
{
    return queue_.size();
}

inline double Dispatcher::queuedCost() const
{
    return queue_.costBefore(ServiceClass::Bulk);
}

inline double Dispatcher::runningCost() const
{
    return runningCost_;
}

inline double Dispatcher::prefillSeconds(TimePoint now) const
{
    return prefillBacklog_.seconds(options_.prefillTokensPerSecond, now);
}

inline std::size_t Dispatcher::running() const
{
    return running_;
}

inline double Dispatcher::runningTokens() const
{
    return runningTokens_;
}

inline std::size_t Dispatcher::slots() const
{
    return options_.slots;
}

inline double Dispatcher::prefillTokensPerSecond() const
{
    return options_.prefillTokensPerSecond;
}

inline double Dispatcher::decodeTokensPerSecond() const
{
    return options_.decodeTokensPerSecond;
}

inline std::size_t Dispatcher::recordCount() const
{
    return records_.size();
}

}

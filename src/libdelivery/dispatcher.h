/**
 * The sidecar's decisions about requests: which are queued, which goes to the endpoint next, which are refused, and what a "not run" rests
 * on.
 *
 * A request id is dispatched at most once: the dispatcher remembers an id for longer than a message with that id can still count as fresh,
 * and a restarted sidecar counts every older message as stale.
 */
#pragma once

#include "fairqueue.h"
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
    /** Too old to tell whether it ran; it gets no answer. */
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
    /** Requests that the endpoint runs at a time. */
    std::size_t slots = 16;
    std::size_t maxQueued = 512;
    /** Initial estimates, corrected by what is observed. */
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
    /** None: it is queued. */
    RefusalReason refusal = RefusalReason::None;
    /** A request that had to make room; it was not run. */
    std::optional<RequestId> evicted;
    /** For a refusal by load: when a retry may succeed. */
    Duration retryAfter{};
};

enum class CancelResult {
    NotRun,
    /** It was dispatched, and may have had effects. */
    Ran,
};

class Dispatcher
{
public:
    /** The clock must outlive the dispatcher. */
    Dispatcher(DispatcherOptions options, const TickClock &clock);

    SubmitDecision submit(const SubmittedRequest &request, TimePoint now);
    /** The request to send to the endpoint now, if one may go. */
    std::optional<RequestId> dispatch(TimePoint now);
    /** The endpoint finished or failed a dispatched request. */
    void finished(const RequestId &id, double promptTokens, double outputTokens, TimePoint now);
    /**
     * Stops a request that was not dispatched. An id that is not known counts as not run only while the tick of its submission is so young
     * that the id can't have been forgotten.
     */
    CancelResult cancel(const RequestId &id, const Tick &tick, TimePoint now);
    /** Requests whose time in the queue is over; they were not run. */
    std::vector<Refusal> expire(TimePoint now);
    /** Refuses everything queued, for an endpoint that drains or fails; running requests go on. */
    std::vector<Refusal> refuseQueued(RefusalReason reason, TimePoint now);

    void setDraining(bool draining);
    void setHealthy(bool healthy);
    /** What the endpoint was seen to do. */
    void observeSpeed(double prefillTokensPerSecond, double decodeTokensPerSecond);

    bool isDraining() const;
    bool isHealthy() const;
    std::size_t queued() const;
    /** Seconds of the endpoint that the queue, or the running requests, are expected to take. */
    double queuedCost() const;
    double runningCost() const;
    std::size_t running() const;
    double runningTokens() const;
    std::size_t slots() const;
    double prefillTokensPerSecond() const;
    double decodeTokensPerSecond() const;
    std::size_t remembered() const;
    /** Predicted wait in the queue of a new request of that class. */
    Duration predictedWait(ServiceClass serviceClass) const;

private:
    enum class State {
        Queued,
        Running,
        /** Will not be dispatched, or was. */
        NotRun,
        Ran,
    };
    struct Record
    {
        State state = State::NotRun;
        SubmittedRequest request;
        std::uint64_t handle = 0;
        double cost = 0;
    };

    double costOf(const SubmittedRequest &request) const;
    /** Keeps a copy of the message from being dispatched after the request was said to be not run. */
    void refuseForGood(const RequestId &id, TimePoint now);
    void settle(const RequestId &id, Record &record, State state, TimePoint now);
    void forget(TimePoint now);

    DispatcherOptions options_;
    const TickClock &clock_;
    FairQueue queue_;
    std::unordered_map<RequestId, Record, RequestIdHash> records_;
    std::unordered_map<std::uint64_t, RequestId> handles_;
    /** Settled requests in the order in which they may be forgotten. */
    std::deque<std::pair<TimePoint, RequestId>> settled_;
    std::uint64_t lastHandle_ = 0;
    std::size_t running_ = 0;
    double runningTokens_ = 0;
    double runningCost_ = 0;
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

inline std::size_t Dispatcher::remembered() const
{
    return records_.size();
}

}

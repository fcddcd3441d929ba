/**
 * The queue before an endpoint: classes by priority, customers within a class by the tokens that they were served.
 *
 * Within a class, the customer with the lowest counter of served tokens divided by its weight goes first, as in "Fairness in Serving Large
 * Language Models" (Sheng et al., 2024). A counter is lifted to the lowest active one when its customer comes back from idle, so that idle
 * time earns no credit. One dispatch in LowerClassInterval goes to a lower class, in turn, so that no class starves.
 */
#pragma once

#include "entry.h"
#include "timepoint.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

struct QueuedRequest
{
    std::uint64_t handle = 0;
    std::string customer;
    ServiceClass serviceClass = ServiceClass::Standard;
    double weight = 1;
    /** Expected work, which fairness counts: prompt and answer tokens. */
    double tokens = 0;
    /** Expected work in seconds of the whole endpoint, which waiting time counts. */
    double cost = 0;
    TimePoint arrival;
    TimePoint deadline;
};

class FairQueue
{
public:
    /** Every so many dispatches, one serves a class below the highest that waits. */
    static constexpr std::uint32_t LowerClassInterval = 8;

    void push(QueuedRequest request);
    /** Takes the request that is next in turn and charges its customer. */
    std::optional<QueuedRequest> pop();
    /** Corrects the charge of a customer by the tokens that a request took beyond its expectation; may be negative. */
    void correct(ServiceClass serviceClass, const std::string &customer, double weight, double tokens);
    bool remove(std::uint64_t handle);
    /** Takes out every request whose deadline has passed. */
    std::vector<QueuedRequest> takeExpired(TimePoint now);

    std::size_t size() const;
    double tokens() const;
    /** Seconds of the endpoint that would be served before a new request of this class. */
    double costBefore(ServiceClass serviceClass) const;
    std::size_t sizeOf(const std::string &customer) const;
    /** The customer with most queued tokens over its weight in the lowest class that waits. */
    std::optional<std::uint64_t> evictionCandidate(ServiceClass newcomerClass, const std::string &newcomer) const;

private:
    struct CustomerQueue
    {
        std::deque<QueuedRequest> requests;
        /** Served tokens over weight; never falls below the class's floor while requests wait. */
        double served = 0;
    };
    struct ClassQueue
    {
        std::map<std::string, CustomerQueue> customers;
        /** Customers with waiting requests, by served tokens. */
        std::map<std::pair<double, std::string>, CustomerQueue *> active;
        /** Lowest counter at the last dispatch; a customer that returns starts here at least. */
        double floor = 0;
        double tokens = 0;
        double cost = 0;
        std::size_t size = 0;
    };

    std::size_t nextLowerClass(std::size_t highest);
    std::optional<QueuedRequest> popFrom(ClassQueue &queue);
    void deactivateIfEmpty(ClassQueue &queue, const std::string &customer, CustomerQueue &customerQueue);
    void added(ClassQueue &queue, const QueuedRequest &request);
    void removed(ClassQueue &queue, const QueuedRequest &request);

    std::array<ClassQueue, ServiceClassNames.size()> classes_;
    std::size_t size_ = 0;
    double tokens_ = 0;
    std::uint32_t dispatches_ = 0;
    std::size_t lastLowerClass_ = 0;
};

inline std::size_t FairQueue::size() const
{
    return size_;
}

inline double FairQueue::tokens() const
{
    return tokens_;
}

}

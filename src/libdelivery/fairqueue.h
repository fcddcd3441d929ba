/**
 * The queue in front of an endpoint. Classes are served by priority; within a class, customers share the endpoint fairly by tokens.
 *
 * Within a class, the customer with the lowest counter of served tokens divided by its weight goes first, as in "Fairness in Serving Large
 * Language Models" (Sheng et al., 2024). When an idle customer becomes active again, its counter is raised to the lowest counter of the
 * active customers, so that idle time earns no credit. One dispatch in LowerClassInterval goes to the lower classes, round robin, so that
 * no class starves.
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
    /** Expected prompt and answer tokens, in which the fair shares are accounted. */
    double tokens = 0;
    /** Expected work in seconds of the whole endpoint, from which waiting times are predicted. */
    double cost = 0;
    TimePoint arrival;
    TimePoint deadline;
};

class FairQueue
{
public:
    /** One in this many dispatches serves a class below the highest class with queued requests. */
    static constexpr std::uint32_t LowerClassInterval = 8;

    void push(QueuedRequest request);
    /** Removes the next request by class and fairness, and charges its expected tokens to its customer. */
    std::optional<QueuedRequest> pop();
    /** Adds the tokens that a request took beyond its expected ones to its customer's counter; @p tokens may be negative. */
    void adjustCharge(ServiceClass serviceClass, const std::string &customer, double weight, double tokens);
    bool remove(std::uint64_t handle);
    /** Removes and returns every request whose deadline has passed. */
    std::vector<QueuedRequest> takeExpired(TimePoint now);

    std::size_t size() const;
    double tokens() const;
    /** Endpoint seconds of the queued requests that are served before a new request of this class. */
    double costBefore(ServiceClass serviceClass) const;
    std::size_t sizeOf(const std::string &customer) const;
    /**
     * The request to evict from a full queue in favour of a newcomer: in the lowest class with queued requests, the last request of the
     * customer with the most queued tokens over its weight. Empty if that class is above the newcomer's, or is the newcomer's own and that
     * customer has no more queued tokens than the newcomer's customer.
     */
    std::optional<std::uint64_t> evictionCandidate(ServiceClass newcomerClass, const std::string &newcomer) const;

private:
    struct CustomerQueue
    {
        std::deque<QueuedRequest> requests;
        /** Served tokens over weight; never falls below the class's counterFloor while requests are queued. */
        double counter = 0;
    };
    struct ClassQueue
    {
        std::map<std::string, CustomerQueue> customers;
        /** Customers with queued requests, ordered by their counter. */
        std::map<std::pair<double, std::string>, CustomerQueue *> active;
        /** Lowest counter at the last dispatch; a customer that becomes active again starts at least here. */
        double counterFloor = 0;
        double tokens = 0;
        double cost = 0;
        std::size_t size = 0;
    };

    std::size_t nextLowerClass(std::size_t highest);
    std::optional<QueuedRequest> popFrom(ClassQueue &queue);
    void deactivateIfEmpty(ClassQueue &queue, const std::string &customer, CustomerQueue &customerQueue);
    void addToTotals(ClassQueue &queue, const QueuedRequest &request);
    void subtractFromTotals(ClassQueue &queue, const QueuedRequest &request);

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

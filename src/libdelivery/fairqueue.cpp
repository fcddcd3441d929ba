#include "fairqueue.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

void FairQueue::addToTotals(ClassQueue &queue, const QueuedRequest &request)
{
    ++queue.size;
    ++size_;
    queue.tokens += request.tokens;
    queue.cost += request.cost;
    tokens_ += request.tokens;
}

void FairQueue::subtractFromTotals(ClassQueue &queue, const QueuedRequest &request)
{
    --queue.size;
    --size_;
    // The totals of an empty queue are reset, so that rounding errors don't accumulate.
    queue.tokens = queue.size == 0 ? 0 : queue.tokens - request.tokens;
    queue.cost = queue.size == 0 ? 0 : queue.cost - request.cost;
    tokens_ = size_ == 0 ? 0 : tokens_ - request.tokens;
}

void FairQueue::push(QueuedRequest request)
{
    ClassQueue &queue = classes_[static_cast<std::size_t>(request.serviceClass)];
    CustomerQueue &customer = queue.customers[request.customer];
    if (customer.requests.empty()) {
        const double floor = queue.active.empty() ? queue.counterFloor : queue.active.begin()->first.first;
        customer.counter = std::max(customer.counter, floor);
        queue.active[{customer.counter, request.customer}] = &customer;
    }
    addToTotals(queue, request);
    customer.requests.push_back(std::move(request));
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (size_ == 0) {
        return std::nullopt;
    }
    ++dispatches_;
    std::size_t chosen = 0;
    while (classes_[chosen].size == 0) {
        ++chosen;
    }
    if (dispatches_ % LowerClassInterval == 0) {
        chosen = nextLowerClass(chosen);
    }
    return popFrom(classes_[chosen]);
}

std::size_t FairQueue::nextLowerClass(std::size_t highest)
{
    for (std::size_t step = 1; step <= classes_.size(); ++step) {
        const std::size_t candidate = (lastLowerClass_ + step) % classes_.size();
        if (candidate > highest && classes_[candidate].size > 0) {
            lastLowerClass_ = candidate;
            return candidate;
        }
    }
    return highest;
}

std::optional<QueuedRequest> FairQueue::popFrom(ClassQueue &queue)
{
    const auto first = queue.active.begin();
    CustomerQueue &customer = *first->second;
    queue.counterFloor = first->first.first;
    queue.active.erase(first);
    QueuedRequest request = std::move(customer.requests.front());
    customer.requests.pop_front();
    customer.counter += request.tokens / request.weight;
    if (!customer.requests.empty()) {
        queue.active[{customer.counter, request.customer}] = &customer;
    }
    subtractFromTotals(queue, request);
    return request;
}

void FairQueue::adjustCharge(ServiceClass serviceClass, const std::string &customer, double weight, double tokens)
{
    ClassQueue &queue = classes_[static_cast<std::size_t>(serviceClass)];
    const auto it = queue.customers.find(customer);
    if (it == queue.customers.end()) {
        return;
    }
    CustomerQueue &customerQueue = it->second;
    const bool isActive = !customerQueue.requests.empty();
    if (isActive) {
        queue.active.erase({customerQueue.counter, customer});
    }
    customerQueue.counter = std::max(customerQueue.counter + tokens / weight, queue.counterFloor);
    if (isActive) {
        queue.active[{customerQueue.counter, customer}] = &customerQueue;
    }
}

void FairQueue::deactivateIfEmpty(ClassQueue &queue, const std::string &customer, CustomerQueue &customerQueue)
{
    if (customerQueue.requests.empty()) {
        queue.active.erase({customerQueue.counter, customer});
    }
}

bool FairQueue::remove(std::uint64_t handle)
{
    for (ClassQueue &queue : classes_) {
        for (auto &[name, customer] : queue.customers) {
            const auto it = std::find_if(customer.requests.begin(), customer.requests.end(), [handle](const QueuedRequest &request) {
                return request.handle == handle;
            });
            if (it == customer.requests.end()) {
                continue;
            }
            subtractFromTotals(queue, *it);
            customer.requests.erase(it);
            deactivateIfEmpty(queue, name, customer);
            return true;
        }
    }
    return false;
}

std::vector<QueuedRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    for (ClassQueue &queue : classes_) {
        for (auto &[name, customer] : queue.customers) {
            const std::size_t before = expired.size();
            std::erase_if(customer.requests, [&](const QueuedRequest &request) {
                if (request.deadline > now) {
                    return false;
                }
                expired.push_back(request);
                return true;
            });
            for (std::size_t i = before; i < expired.size(); ++i) {
                subtractFromTotals(queue, expired[i]);
            }
            deactivateIfEmpty(queue, name, customer);
        }
    }
    return expired;
}

double FairQueue::costBefore(ServiceClass serviceClass) const
{
    double sum = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(serviceClass); ++i) {
        sum += classes_[i].cost;
    }
    return sum;
}

std::size_t FairQueue::sizeOf(const std::string &customer) const
{
    std::size_t sum = 0;
    for (const ClassQueue &queue : classes_) {
        const auto it = queue.customers.find(customer);
        sum += it == queue.customers.end() ? 0 : it->second.requests.size();
    }
    return sum;
}

std::optional<std::uint64_t> FairQueue::evictionCandidate(ServiceClass newcomerClass, const std::string &newcomer) const
{
    for (std::size_t i = classes_.size(); i-- > static_cast<std::size_t>(newcomerClass);) {
        const ClassQueue &queue = classes_[i];
        const CustomerQueue *largest = nullptr;
        double largestTokens = 0;
        double newcomerTokens = 0;
        for (const auto &[name, customer] : queue.customers) {
            double tokens = 0;
            for (const QueuedRequest &request : customer.requests) {
                tokens += request.tokens / request.weight;
            }
            newcomerTokens = name == newcomer ? tokens : newcomerTokens;
            if (tokens > largestTokens) {
                largestTokens = tokens;
                largest = &customer;
            }
        }
        if (largest == nullptr) {
            continue;
        }
        const bool isLowerClass = i > static_cast<std::size_t>(newcomerClass);
        if (isLowerClass || largestTokens > newcomerTokens) {
            return largest->requests.back().handle;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

}

#include "admissioncontroller.h"

#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** How often limiters are polled while requests wait or answers run. */
constexpr Milliseconds BusyPollInterval{5};

}

AdmissionController::AdmissionController(asio::io_context &context,
                                         GatewayIdentity self,
                                         std::string dataCentre,
                                         LimiterOptions options,
                                         ShareGuard &shareGuard,
                                         const StoreFreshness &storeFreshness,
                                         PeerLinks &peers,
                                         Metrics &metrics,
                                         AdmissionHandler onAdmission,
                                         AllowanceHandler onAllowance)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
    , options_(options)
    , shareGuard_(shareGuard)
    , storeFreshness_(storeFreshness)
    , peers_(peers)
    , metrics_(metrics)
    , onAdmission_(std::move(onAdmission))
    , onAllowance_(std::move(onAllowance))
    , pollTimer_(context)
{
}

void AdmissionController::setCatalogue(const Catalogue &catalogue, TimePoint now)
{
    for (const auto &[name, customer] : catalogue.customers()) {
        const auto it = limiters_.find(name);
        if (it == limiters_.end()) {
            auto created = std::make_unique<CustomerLimiter>(options_, customer->rate, customer->burst);
            assignShares(name, *created, now);
            limiters_.emplace(name, std::move(created));
        } else if (it->second->rate() != customer->rate || it->second->burst() != customer->burst) {
            it->second->setLimits(customer->rate, customer->burst, now);
        }
    }
    // The limiter of a removed customer stays as long as its requests wait or run.
    std::erase_if(limiters_, [&catalogue](const auto &item) {
        return !catalogue.customers().contains(item.first) && item.second->runningCount() == 0 && item.second->waitingCount() == 0;
    });
}

void AdmissionController::assignShares(const std::string &customer, CustomerLimiter &limiter, TimePoint now)
{
    ShareAssignment shares;
    shares.ownFraction = shareGuard_.spendableFraction(customer, now);
    std::vector<std::string> remoteHolders;
    for (const std::string &holder : shareHolders(customer, shareGuard_.membership())) {
        if (holder == self_.name) {
            continue;
        }
        const GatewayMember *member = shareGuard_.membership().findMember(holder);
        (member->dataCentre == dataCentre_ ? shares.others : remoteHolders).push_back(holder);
    }
    shares.others.insert(shares.others.end(), remoteHolders.begin(), remoteHolders.end());
    limiter.setShares(std::move(shares), now);
}

void AdmissionController::updateShares(TimePoint now)
{
    for (auto &[name, limiter] : limiters_) {
        assignShares(name, *limiter, now);
    }
    areSharesSettled_ = shareGuard_.isSettled(now);
}

void AdmissionController::tick(TimePoint now)
{
    if (shareGuard_.isSettled(now) != areSharesSettled_) {
        updateShares(now);
    }
    const bool suspended = now > storeFreshness_.sharesValidUntil(now);
    for (auto &[name, limiter] : limiters_) {
        limiter->setSuspended(suspended, now);
    }
}

CustomerLimiter &AdmissionController::limiterOf(const std::string &customer, TimePoint now)
{
    CustomerLimiter &result = *limiters_.at(customer);
    // Checked at each use: this process may have been paused since the last tick.
    result.setSuspended(now > storeFreshness_.sharesValidUntil(now), now);
    return result;
}

void AdmissionController::requestAdmission(const std::string &customer, const AdmissionRequest &request, TimePoint now)
{
    if (!limiters_.contains(customer)) {
        onAdmission_({request.id, AdmissionVerdict::Unavailable, std::chrono::seconds(1)});
        return;
    }
    CustomerLimiter &target = limiterOf(customer, now);
    target.requestAdmission(request, now);
    pollLimiter(customer, target, now);
}

void AdmissionController::withdrawRequest(const std::string &customer, std::uint64_t id)
{
    const auto it = limiters_.find(customer);
    if (it != limiters_.end()) {
        it->second->withdrawRequest(id);
    }
}

void AdmissionController::onTokensDelivered(const std::string &customer, std::uint64_t id, double tokens, TimePoint now)
{
    if (!limiters_.contains(customer)) {
        return;
    }
    CustomerLimiter &target = limiterOf(customer, now);
    target.onTokensDelivered(id, tokens, now);
    if (target.isBusy()) {
        pollLimiter(customer, target, now);
    }
}

void AdmissionController::onRequestFinished(const std::string &customer, std::uint64_t id, TimePoint now)
{
    if (limiters_.contains(customer)) {
        CustomerLimiter &target = limiterOf(customer, now);
        target.onRequestFinished(id, now);
        pollLimiter(customer, target, now);
    }
}

void AdmissionController::pollLimiter(const std::string &customer, CustomerLimiter &limiter, TimePoint now)
{
    const LimiterActions actions = limiter.poll(now);
    for (const TokenRequest &request : actions.tokenRequests) {
        wire::Envelope message;
        auto *body = message.mutable_token_request();
        body->set_number(request.number);
        body->set_customer(customer);
        body->set_amount(request.amount);
        body->set_membership_epoch(shareGuard_.membership().epoch);
        body->set_gateway(self_.name);
        body->set_incarnation(self_.incarnation);
        metrics_.counter("token_requests_total").add();
        if (!peers_.send(request.holder, message)) {
            // The holder can't be reached; after an empty grant the limiter asks the next holder.
            limiter.onGrant(request.number, 0, 0, now);
        }
    }
    for (const TokenLot &lot : actions.returns) {
        wire::Envelope message;
        auto *body = message.mutable_token_return();
        body->set_number(lot.number);
        body->set_customer(customer);
        body->set_amount(lot.amount);
        body->set_gateway(self_.name);
        body->set_incarnation(self_.incarnation);
        peers_.send(lot.holder, message);
    }
    if (limiter.isBusy() || limiter.runningCount() > 0) {
        busyCustomers_.insert(customer);
        scheduleBusyPoll();
    }
    for (const AnswerAllowance &allowance : actions.allowances) {
        onAllowance_(allowance);
    }
    for (const AdmissionResult &admission : actions.admissions) {
        onAdmission_(admission);
    }
}

void AdmissionController::scheduleBusyPoll()
{
    if (isPollScheduled_) {
        return;
    }
    isPollScheduled_ = true;
    pollTimer_.expires_after(BusyPollInterval);
    pollTimer_.async_wait([this](const std::error_code &error) {
        isPollScheduled_ = false;
        if (!error) {
            pollBusyLimiters();
        }
    });
}

void AdmissionController::pollBusyLimiters()
{
    const auto now = suspendAwareNow();
    const std::set<std::string> busy = std::exchange(busyCustomers_, {});
    for (const std::string &customer : busy) {
        if (limiters_.contains(customer)) {
            pollLimiter(customer, limiterOf(customer, now), now);
        }
    }
}

void AdmissionController::onTokenRequest(const wire::TokenRequest &request,
                                         const std::function<void(const wire::Envelope &)> &reply,
                                         TimePoint now)
{
    wire::Envelope answer;
    auto *body = answer.mutable_token_grant();
    body->set_number(request.number());
    body->set_customer(request.customer());
    const auto it = limiters_.find(request.customer());
    const bool sameEpoch = request.membership_epoch() == shareGuard_.membership().epoch;
    if (it != limiters_.end() && sameEpoch) {
        CustomerLimiter &holder = limiterOf(request.customer(), now);
        body->set_amount(holder.grantTokens({request.incarnation(), request.number()}, request.amount(), now));
        body->set_level(holder.shareLevel(now));
    }
    reply(answer);
}

void AdmissionController::onTokenGrant(const wire::TokenGrant &grant, TimePoint now)
{
    if (!limiters_.contains(grant.customer())) {
        return;
    }
    CustomerLimiter &target = limiterOf(grant.customer(), now);
    target.onGrant(grant.number(), grant.amount(), grant.level(), now);
    pollLimiter(grant.customer(), target, now);
}

void AdmissionController::onTokenReturn(const wire::TokenReturn &message, TimePoint now)
{
    const auto it = limiters_.find(message.customer());
    if (it != limiters_.end()) {
        it->second->onGrantReturned({message.incarnation(), message.number()}, message.amount(), now);
    }
}

nlohmann::json AdmissionController::dump(TimePoint now)
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[name, limiter] : limiters_) {
        result[name] = {{"rate", limiter->rate()},
                        {"burst", limiter->burst()},
                        {"ownFraction", limiter->shares().ownFraction},
                        {"otherHolders", limiter->shares().others},
                        {"available", limiter->availableTokens(now)},
                        {"waiting", limiter->waitingCount()},
                        {"running", limiter->runningCount()}};
    }
    return result;
}

}

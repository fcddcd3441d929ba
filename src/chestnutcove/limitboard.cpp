#include "limitboard.h"

#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr Milliseconds BusyPollInterval{5};

}

LimitBoard::LimitBoard(asio::io_context &context,
                       GatewayIdentity self,
                       std::string dataCentre,
                       LimiterOptions options,
                       ShareGuard &gate,
                       const StoreFreshness &proof,
                       PeerLinks &peers,
                       Metrics &metrics,
                       AdmissionHandler onAdmission,
                       DrawHandler onDraw)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
    , options_(options)
    , gate_(gate)
    , proof_(proof)
    , peers_(peers)
    , metrics_(metrics)
    , onAdmission_(std::move(onAdmission))
    , onDraw_(std::move(onDraw))
    , timer_(context)
{
}

void LimitBoard::setCatalogue(const Catalogue &catalogue, TimePoint now)
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
    // The limiter of a removed customer stays while its answers run.
    std::erase_if(limiters_, [&catalogue](const auto &item) {
        return !catalogue.customers().contains(item.first) && item.second->runningCount() == 0 && item.second->waitingCount() == 0;
    });
}

void LimitBoard::assignShares(const std::string &customer, CustomerLimiter &limiter, TimePoint now)
{
    ShareAssignment shares;
    shares.ownFraction = gate_.spendableFraction(customer, now);
    std::vector<std::string> far;
    for (const std::string &holder : shareHolders(customer, gate_.membership())) {
        if (holder == self_.name) {
            continue;
        }
        const GatewayMember *member = gate_.membership().findMember(holder);
        (member->dataCentre == dataCentre_ ? shares.others : far).push_back(holder);
    }
    shares.others.insert(shares.others.end(), far.begin(), far.end());
    limiter.setShares(std::move(shares), now);
}

void LimitBoard::setMembership(TimePoint now)
{
    for (auto &[name, limiter] : limiters_) {
        assignShares(name, *limiter, now);
    }
    settled_ = gate_.isSettled(now);
}

void LimitBoard::tick(TimePoint now)
{
    if (gate_.isSettled(now) != settled_) {
        setMembership(now);
    }
    const bool suspended = now > proof_.sharesValidUntil(now);
    for (auto &[name, limiter] : limiters_) {
        limiter->setSuspended(suspended, now);
    }
}

CustomerLimiter &LimitBoard::limiter(const std::string &customer, TimePoint now)
{
    CustomerLimiter &result = *limiters_.at(customer);
    // Checked at each use: this process may have been paused since the last tick.
    result.setSuspended(now > proof_.sharesValidUntil(now), now);
    return result;
}

void LimitBoard::request(const std::string &customer, const AdmissionRequest &request, TimePoint now)
{
    if (!limiters_.contains(customer)) {
        onAdmission_({request.id, AdmissionVerdict::Unavailable, std::chrono::seconds(1)});
        return;
    }
    CustomerLimiter &target = limiter(customer, now);
    target.requestAdmission(request, now);
    poll(customer, target, now);
}

void LimitBoard::withdraw(const std::string &customer, std::uint64_t id)
{
    const auto it = limiters_.find(customer);
    if (it != limiters_.end()) {
        it->second->withdrawRequest(id);
    }
}

void LimitBoard::delivered(const std::string &customer, std::uint64_t id, double tokens, TimePoint now)
{
    if (!limiters_.contains(customer)) {
        return;
    }
    CustomerLimiter &target = limiter(customer, now);
    target.onTokensDelivered(id, tokens, now);
    if (target.isBusy()) {
        poll(customer, target, now);
    }
}

void LimitBoard::finished(const std::string &customer, std::uint64_t id, TimePoint now)
{
    if (limiters_.contains(customer)) {
        CustomerLimiter &target = limiter(customer, now);
        target.onRequestFinished(id, now);
        poll(customer, target, now);
    }
}

void LimitBoard::poll(const std::string &customer, CustomerLimiter &limiter, TimePoint now)
{
    const LimiterActions actions = limiter.poll(now);
    for (const TokenRequest &ask : actions.tokenRequests) {
        wire::Envelope message;
        auto *body = message.mutable_token_request();
        body->set_number(ask.number);
        body->set_customer(customer);
        body->set_amount(ask.amount);
        body->set_membership_epoch(gate_.membership().epoch);
        body->set_gateway(self_.name);
        body->set_incarnation(self_.incarnation);
        metrics_.counter("token_requests_total").add();
        if (!peers_.send(ask.holder, message)) {
            // No tokens from there now; the limiter goes on to the next holder.
            limiter.onGrant(ask.number, 0, 0, now);
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
        busy_.insert(customer);
        scheduleBusyPoll();
    }
    for (const AnswerAllowance &draw : actions.allowances) {
        onDraw_(draw);
    }
    for (const AdmissionResult &admission : actions.admissions) {
        onAdmission_(admission);
    }
}

void LimitBoard::scheduleBusyPoll()
{
    if (timerRunning_) {
        return;
    }
    timerRunning_ = true;
    timer_.expires_after(BusyPollInterval);
    timer_.async_wait([this](const std::error_code &error) {
        timerRunning_ = false;
        if (!error) {
            pollBusy();
        }
    });
}

void LimitBoard::pollBusy()
{
    const auto now = suspendAwareNow();
    const std::set<std::string> busy = std::exchange(busy_, {});
    for (const std::string &customer : busy) {
        if (limiters_.contains(customer)) {
            poll(customer, limiter(customer, now), now);
        }
    }
}

void LimitBoard::onTokenRequest(const wire::TokenRequest &request, const std::function<void(const wire::Envelope &)> &reply, TimePoint now)
{
    wire::Envelope answer;
    auto *body = answer.mutable_token_grant();
    body->set_number(request.number());
    body->set_customer(request.customer());
    const auto it = limiters_.find(request.customer());
    const bool sameEpoch = request.membership_epoch() == gate_.membership().epoch;
    if (it != limiters_.end() && sameEpoch) {
        CustomerLimiter &holder = limiter(request.customer(), now);
        body->set_amount(holder.grantTokens({request.incarnation(), request.number()}, request.amount(), now));
        body->set_level(holder.shareLevel(now));
    }
    reply(answer);
}

void LimitBoard::onTokenGrant(const wire::TokenGrant &grant, TimePoint now)
{
    if (!limiters_.contains(grant.customer())) {
        return;
    }
    CustomerLimiter &target = limiter(grant.customer(), now);
    target.onGrant(grant.number(), grant.amount(), grant.level(), now);
    poll(grant.customer(), target, now);
}

void LimitBoard::onTokenReturn(const wire::TokenReturn &message, TimePoint now)
{
    const auto it = limiters_.find(message.customer());
    if (it != limiters_.end()) {
        it->second->onGrantReturned({message.incarnation(), message.number()}, message.amount(), now);
    }
}

nlohmann::json LimitBoard::dump(TimePoint now)
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

#include "quotaadmission.h"

#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** How often timeouts are checked while an answer of another gateway is outstanding. */
constexpr Milliseconds PollInterval{40};
/** A request asks one holder for at most this fraction of what a share can contain, unless it needs more of all of them. */
constexpr double MaxLotFraction = 0.5;

}

QuotaAdmission::QuotaAdmission(asio::io_context &context,
                               std::string vm,
                               std::uint64_t incarnation,
                               QuotaShareOptions options,
                               CatalogueReader catalogue,
                               Metrics &metrics,
                               const Log &log)
    : vm_(std::move(vm))
    , incarnation_(incarnation)
    , catalogue_(std::move(catalogue))
    , metrics_(metrics)
    , log_(log)
    , shares_(vm_, options)
    , collector_(QuotaCollectorOptions{})
    , links_(context,
             log,
             {[this](const wire::TokenRequest &request) { return onRequest(request); },
              [this](const wire::TokenGrant &grant) { onGrant(grant); },
              [this](const wire::TokenReturn &message) { onReturn(message); }})
    , pollTimer_(context)
{
}

absl::Status QuotaAdmission::listen(const LinkKeys &keys, const std::string &ip, std::uint16_t port)
{
    return links_.start(keys, ip, port);
}

bool QuotaAdmission::isListening() const
{
    return links_.isStarted();
}

const std::string &QuotaAdmission::address() const
{
    return links_.address();
}

void QuotaAdmission::onDivisionRead(const QuotaDivision &division, TimePoint readAt)
{
    const bool hasChanged = division.gateways != shares_.division().gateways;
    shares_.onDivisionRead(division, readAt, suspendAwareNow());
    if (!hasChanged) {
        return;
    }
    holders_.clear();
    addresses_.clear();
    std::vector<std::string> addresses;
    for (const GatewayAddress &gateway : division.gateways) {
        addresses_.emplace(gateway.vm, gateway.address);
        addresses.push_back(gateway.address);
    }
    links_.retain(addresses);
    collector_.retainHolders(division.vms());
}

void QuotaAdmission::onDivisionConfirmed(TimePoint readAt)
{
    shares_.onDivisionConfirmed(readAt, suspendAwareNow());
}

void QuotaAdmission::onNoDivisionStored()
{
    shares_.onNoDivisionStored();
}

bool QuotaAdmission::isReady() const
{
    return shares_.division().number > 0 && links_.isStarted();
}

std::uint64_t QuotaAdmission::divisionNumber() const
{
    return shares_.division().number;
}

const std::vector<std::string> &QuotaAdmission::holdersOf(const std::string &customer)
{
    const auto [it, isNew] = holders_.try_emplace(customer);
    if (!isNew) {
        return it->second;
    }
    it->second = shares_.division().askingOrder(customer, vm_);
    return it->second;
}

const CustomerQuota *QuotaAdmission::quotaOf(const std::string &customer) const
{
    const auto catalogue = catalogue_();
    if (catalogue != quotaCatalogue_) {
        quotaCatalogue_ = catalogue;
        quotas_.clear();
        for (const CustomerQuota &quota : catalogue->customers()) {
            quotas_.emplace(quota.name, &quota);
        }
    }
    const auto it = quotas_.find(customer);
    return it == quotas_.end() ? nullptr : it->second;
}

std::uint64_t QuotaAdmission::admit(const CustomerQuota &customer, double units, VerdictHandler onVerdict)
{
    const std::uint64_t id = ++lastId_;
    CollectionRequest request;
    request.id = id;
    request.customer = customer.name;
    request.units = units;
    request.holders = holdersOf(customer.name);
    const double evenPart = units / static_cast<double>(std::max<std::size_t>(request.holders.size(), 1));
    request.maxLot = std::max(shares_.shareCapacity(customer) * MaxLotFraction, evenPart);
    handlers_.emplace(id, std::move(onVerdict));
    collector_.start(std::move(request));
    pollCollector();
    return id;
}

void QuotaAdmission::cancel(std::uint64_t id)
{
    if (handlers_.erase(id) > 0) {
        collector_.cancel(id);
        pollCollector();
    }
}

void QuotaAdmission::refund(const QuotaCharge &charge)
{
    for (const QuotaLot &lot : charge.lots) {
        returnLot(charge.customer, lot);
    }
}

void QuotaAdmission::returnLot(const std::string &customer, const QuotaLot &lot)
{
    if (lot.holder == vm_) {
        shares_.refund(customer, lot.units, suspendAwareNow());
        return;
    }
    const auto address = addresses_.find(lot.holder);
    if (address == addresses_.end()) {
        return;
    }
    wire::Envelope message;
    auto *body = message.mutable_token_return();
    body->set_number(lot.number);
    body->set_customer(customer);
    body->set_amount(lot.units);
    body->set_gateway(vm_);
    body->set_incarnation(incarnation_);
    links_.send(address->second, message);
}

void QuotaAdmission::pollCollector()
{
    if (std::exchange(isPolling_, true)) {
        return;
    }
    bool hasActions = true;
    while (hasActions) {
        CollectorActions actions = collector_.poll(suspendAwareNow());
        for (const std::string &holder : actions.silentHolders) {
            log_.warning("share holder does not answer", {{"gateway", holder}});
            if (const auto address = addresses_.find(holder); address != addresses_.end()) {
                links_.reconnect(address->second);
            }
        }
        for (const QuotaAsk &ask : actions.asks) {
            performAsk(ask);
        }
        for (const QuotaReturn &item : actions.returns) {
            returnLot(item.customer, item.lot);
        }
        for (const QuotaVerdict &verdict : actions.verdicts) {
            const auto it = handlers_.find(verdict.request);
            if (it != handlers_.end()) {
                const VerdictHandler handler = std::move(it->second);
                handlers_.erase(it);
                handler(verdict);
            }
        }
        hasActions = !actions.asks.empty() || !actions.verdicts.empty();
    }
    isPolling_ = false;
    schedulePoll();
}

void QuotaAdmission::performAsk(const QuotaAsk &ask)
{
    const TimePoint now = suspendAwareNow();
    const CustomerQuota *quota = quotaOf(ask.customer);
    if (ask.holder == vm_) {
        const ShareDecision decision = quota == nullptr ? ShareDecision{} : shares_.take(*quota, ask.units, now);
        collector_.onAnswer(ask.number, {decision.isHolder, decision.granted, decision.wait}, now);
        return;
    }
    wire::Envelope message;
    auto *body = message.mutable_token_request();
    body->set_number(ask.number);
    body->set_customer(ask.customer);
    body->set_amount(ask.units);
    body->set_gateway(vm_);
    body->set_incarnation(incarnation_);
    metrics_.counter("quota_asks_total").add();
    const auto address = addresses_.find(ask.holder);
    if (address == addresses_.end() || !links_.send(address->second, message)) {
        collector_.onAnswer(ask.number, {}, now);
    }
}

wire::TokenGrant QuotaAdmission::onRequest(const wire::TokenRequest &request)
{
    wire::TokenGrant answer;
    answer.set_number(request.number());
    answer.set_customer(request.customer());
    const CustomerQuota *quota = catalogue_() ? quotaOf(request.customer()) : nullptr;
    if (quota == nullptr || request.amount() <= 0) {
        return answer;
    }
    const ShareDecision decision = shares_.grant(*quota, {request.incarnation(), request.number()}, request.amount(), suspendAwareNow());
    answer.set_is_holder(decision.isHolder);
    answer.set_amount(decision.granted ? request.amount() : 0);
    answer.set_level(decision.level);
    answer.set_retry_after_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(decision.wait).count()));
    metrics_.counter(decision.granted ? "quota_grants_total" : "quota_grants_refused_total").add();
    return answer;
}

void QuotaAdmission::onGrant(const wire::TokenGrant &grant)
{
    QuotaAnswer answer;
    answer.isHolder = grant.is_holder();
    answer.granted = grant.amount() > 0;
    answer.wait = Milliseconds(grant.retry_after_ms());
    collector_.onAnswer(grant.number(), answer, suspendAwareNow());
    pollCollector();
}

void QuotaAdmission::onReturn(const wire::TokenReturn &message)
{
    shares_.onGrantReturned(message.customer(), {message.incarnation(), message.number()}, message.amount(), suspendAwareNow());
}

void QuotaAdmission::schedulePoll()
{
    if (isPollScheduled_ || !collector_.isBusy()) {
        return;
    }
    isPollScheduled_ = true;
    pollTimer_.expires_after(PollInterval);
    pollTimer_.async_wait([this](const std::error_code &error) {
        isPollScheduled_ = false;
        if (!error) {
            pollCollector();
        }
    });
}

}

#include "limitadmission.h"

#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** How often timeouts are checked while an answer of another gateway is outstanding. */
constexpr Milliseconds PollInterval{40};
constexpr Milliseconds TimeoutLogInterval{1000};
/** A request asks one holder for at most this fraction of what a share can contain, unless it needs more of all of them. */
constexpr double MaxLotFraction = 0.5;

}

LimitAdmission::LimitAdmission(asio::io_context &context,
                               std::string vm,
                               std::uint64_t incarnation,
                               LimitAdmissionOptions options,
                               QuotaLinks &links,
                               Handlers handlers,
                               Metrics &metrics,
                               const Log &log)
    : vm_(std::move(vm))
    , incarnation_(incarnation)
    , options_(std::move(options))
    , links_(links)
    , handlers_(std::move(handlers))
    , metrics_(metrics)
    , log_(log)
    , shares_(vm_, options_.shares)
    , collector_(options_.collector)
    , pollTimer_(context)
{
    links_.setHandlers(options_.kind,
                       {[this](const wire::TokenRequest &request) { return onRequest(request); },
                        [this](const wire::TokenGrant &grant) { onGrant(grant); },
                        [this](const wire::TokenReturn &message) { onReturn(message); }});
    metrics.gauge(options_.metricPrefix + "_ask_timeouts_total", [this] { return static_cast<double>(collector_.counts().timeouts); });
    metrics.gauge(options_.metricPrefix + "_late_answers_total", [this] { return static_cast<double>(collector_.counts().lateAnswers); });
    metrics.gauge(options_.metricPrefix + "_suspected_holders", [this] { return static_cast<double>(collector_.suspectCount()); });
}

void LimitAdmission::onDivisionRead(const QuotaDivision &division, TimePoint readAt)
{
    const bool hasChanged = division.gateways != shares_.division().gateways;
    shares_.onDivisionRead(division, readAt, suspendAwareNow());
    if (!hasChanged) {
        return;
    }
    holders_.clear();
    addresses_.clear();
    for (const GatewayAddress &gateway : division.gateways) {
        addresses_.emplace(gateway.vm, gateway.address);
    }
    collector_.retainHolders(division.vms());
}

void LimitAdmission::onDivisionConfirmed(TimePoint readAt)
{
    shares_.onDivisionConfirmed(readAt, suspendAwareNow());
}

void LimitAdmission::onNoDivisionStored()
{
    shares_.onNoDivisionStored();
}

bool LimitAdmission::isReady() const
{
    return shares_.division().number > 0 && links_.isStarted();
}

std::uint64_t LimitAdmission::divisionNumber() const
{
    return shares_.division().number;
}

const std::vector<std::string> &LimitAdmission::holdersOf(const RateLimit &limit)
{
    const auto [it, isNew] = holders_[limit.name].try_emplace(limit.maxHolders);
    if (isNew) {
        it->second = shares_.division().askingOrder(limit.name, vm_, limit.maxHolders);
    }
    return it->second;
}

std::uint64_t LimitAdmission::admit(const RateLimit &limit, double units, VerdictHandler onVerdict)
{
    const std::uint64_t id = ++lastId_;
    CollectionRequest request;
    request.id = id;
    request.customer = limit.name;
    request.units = units;
    request.holders = holdersOf(limit);
    request.isFirstHolderOwn = !request.holders.empty() && request.holders.front() == vm_;
    if (options_.splitsRequests) {
        const double evenPart = units / static_cast<double>(std::max<std::size_t>(request.holders.size(), 1));
        request.maxLot = std::max(shares_.shareCapacity(limit) * MaxLotFraction, evenPart);
    }
    verdictHandlers_.emplace(id, std::move(onVerdict));
    collector_.start(std::move(request));
    pollCollector();
    return id;
}

void LimitAdmission::cancel(std::uint64_t id)
{
    if (verdictHandlers_.erase(id) > 0) {
        collector_.cancel(id);
        pollCollector();
    }
}

void LimitAdmission::refund(const LimitCharge &charge)
{
    for (const QuotaLot &lot : charge.lots) {
        returnLot(charge.limit, lot);
    }
}

void LimitAdmission::remove(const std::string &limit)
{
    shares_.remove(limit);
    holders_.erase(limit);
}

void LimitAdmission::returnLot(const std::string &limit, const QuotaLot &lot)
{
    if (lot.holder == vm_) {
        shares_.refund(limit, lot.units, suspendAwareNow());
        return;
    }
    const auto address = addresses_.find(lot.holder);
    if (address == addresses_.end()) {
        return;
    }
    wire::Envelope message;
    auto *body = message.mutable_token_return();
    body->set_number(lot.number);
    body->set_kind(options_.kind);
    body->set_customer(limit);
    body->set_amount(lot.units);
    body->set_gateway(vm_);
    body->set_incarnation(incarnation_);
    links_.send(address->second, message);
}

void LimitAdmission::pollCollector()
{
    if (std::exchange(isPolling_, true)) {
        return;
    }
    bool hasActions = true;
    while (hasActions) {
        CollectorActions actions = collector_.poll(suspendAwareNow());
        for (const std::string &holder : actions.silentHolders) {
            if (const auto address = addresses_.find(holder); address != addresses_.end()) {
                links_.onUnanswered(address->second);
            }
        }
        for (const QuotaAsk &ask : actions.asks) {
            performAsk(ask);
        }
        for (const QuotaReturn &item : actions.returns) {
            returnLot(item.customer, item.lot);
        }
        for (const QuotaVerdict &verdict : actions.verdicts) {
            const auto it = verdictHandlers_.find(verdict.request);
            if (it != verdictHandlers_.end()) {
                const VerdictHandler handler = std::move(it->second);
                verdictHandlers_.erase(it);
                handler(verdict);
            }
        }
        hasActions = !actions.asks.empty() || !actions.verdicts.empty();
    }
    isPolling_ = false;
    logTimeouts(suspendAwareNow());
    schedulePoll();
}

void LimitAdmission::logTimeouts(TimePoint now)
{
    const AskCounts &counts = collector_.counts();
    if (counts.timeouts == loggedCounts_.timeouts || now - countsLoggedAt_ < TimeoutLogInterval) {
        return;
    }
    countsLoggedAt_ = now;
    const AskCounts before = std::exchange(loggedCounts_, counts);
    log_.warning("asks for units not answered in time",
                 {{"kind", options_.metricPrefix},
                  {"asks", std::to_string(counts.sent - before.sent)},
                  {"probes", std::to_string(counts.probes - before.probes)},
                  {"timeouts", std::to_string(counts.timeouts - before.timeouts)},
                  {"lateAnswers", std::to_string(counts.lateAnswers - before.lateAnswers)},
                  {"suspects", std::to_string(collector_.suspectCount())},
                  {"links", std::to_string(links_.linkCount())},
                  {"reconnectsInAll", std::to_string(links_.reconnectCount())}});
}

void LimitAdmission::performAsk(const QuotaAsk &ask)
{
    const TimePoint now = suspendAwareNow();
    if (ask.holder == vm_) {
        const RateLimit *limit = handlers_.find(ask.customer);
        const ShareDecision decision = limit == nullptr ? ShareDecision{} : shares_.take(*limit, ask.units, now);
        collector_.onAnswer(ask.number, {decision.isHolder, decision.granted, decision.wait}, now);
        return;
    }
    wire::Envelope message;
    auto *body = message.mutable_token_request();
    body->set_number(ask.number);
    body->set_kind(options_.kind);
    body->set_customer(ask.customer);
    body->set_amount(ask.units);
    body->set_gateway(vm_);
    body->set_incarnation(incarnation_);
    if (handlers_.describeRequest) {
        handlers_.describeRequest(*body);
    }
    metrics_.counter(options_.metricPrefix + "_asks_total").add();
    const auto address = addresses_.find(ask.holder);
    if (address == addresses_.end() || !links_.send(address->second, message)) {
        collector_.onAnswer(ask.number, {}, now);
    }
}

wire::TokenGrant LimitAdmission::onRequest(const wire::TokenRequest &request)
{
    if (handlers_.onRequest) {
        handlers_.onRequest(request);
    }
    wire::TokenGrant answer;
    answer.set_number(request.number());
    answer.set_kind(options_.kind);
    answer.set_customer(request.customer());
    if (handlers_.describeGrant) {
        handlers_.describeGrant(answer);
    }
    const RateLimit *limit = handlers_.find(request.customer());
    if (limit == nullptr || request.amount() <= 0) {
        return answer;
    }
    const ShareDecision decision = shares_.grant(*limit, {request.incarnation(), request.number()}, request.amount(), suspendAwareNow());
    answer.set_is_holder(decision.isHolder);
    answer.set_amount(decision.granted ? request.amount() : 0);
    answer.set_level(decision.level);
    answer.set_retry_after_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(decision.wait).count()));
    metrics_.counter(options_.metricPrefix + (decision.granted ? "_grants_total" : "_grants_refused_total")).add();
    return answer;
}

void LimitAdmission::onGrant(const wire::TokenGrant &grant)
{
    if (handlers_.onGrant) {
        handlers_.onGrant(grant);
    }
    QuotaAnswer answer;
    answer.isHolder = grant.is_holder();
    answer.granted = grant.amount() > 0;
    answer.wait = Milliseconds(grant.retry_after_ms());
    collector_.onAnswer(grant.number(), answer, suspendAwareNow());
    pollCollector();
}

void LimitAdmission::onReturn(const wire::TokenReturn &message)
{
    shares_.onGrantReturned(message.customer(), {message.incarnation(), message.number()}, message.amount(), suspendAwareNow());
}

void LimitAdmission::schedulePoll()
{
    if (isPollScheduled_ || !collector_.isBusy()) {
        return;
    }
    isPollScheduled_ = true;
    pollTimer_.expires_after(PollInterval);
    pollTimer_.async_wait([this](const std::error_code &error) {
        isPollScheduled_ = false;
        if (!error) {
            const auto lateness = std::chrono::steady_clock::now() - pollTimer_.expiry();
            collector_.expireAsks(suspendAwareNow(), std::max<Duration>(lateness, Duration::zero()));
            pollCollector();
        }
    });
}

}

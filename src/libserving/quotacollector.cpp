#include "quotacollector.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** Less than any unit; absorbs rounding when a request is divided into lots. */
constexpr double RoundingTolerance = 1e-6;

}

QuotaCollector::QuotaCollector(QuotaCollectorOptions options)
    : options_(options)
{
}

void QuotaCollector::start(CollectionRequest request)
{
    Collection collection;
    collection.missing = request.units;
    const std::uint64_t id = request.id;
    collection.request = std::move(request);
    collections_.insert_or_assign(id, std::move(collection));
}

void QuotaCollector::cancel(std::uint64_t id)
{
    const auto it = collections_.find(id);
    if (it == collections_.end()) {
        return;
    }
    returnLots(it->second);
    collections_.erase(it);
    for (auto &[number, sent] : asks_) {
        sent.isAbandoned = sent.isAbandoned || (sent.request == id && sent.ask.units > 0);
    }
}

void QuotaCollector::onAnswer(std::uint64_t number, const QuotaAnswer &answer, TimePoint now)
{
    const auto it = asks_.find(number);
    if (it == asks_.end()) {
        return;
    }
    const SentAsk sent = std::move(it->second);
    asks_.erase(it);
    suspects_.erase(sent.ask.holder);
    if (sent.hasTimedOut) {
        ++counts_.lateAnswers;
    }
    const auto owner = collections_.find(sent.request);
    if (sent.isAbandoned || owner == collections_.end()) {
        if (answer.granted && sent.ask.units > 0 && now - sent.sentAt < options_.grantLifetime) {
            pendingReturns_.push_back({sent.ask.customer, {sent.ask.holder, number, sent.ask.units}});
        }
        return;
    }
    Collection &collection = owner->second;
    collection.isWaiting = false;
    if (answer.granted) {
        collection.lots.push_back({sent.ask.holder, number, sent.ask.units});
        collection.missing -= sent.ask.units;
    } else if (answer.isHolder) {
        collection.wait = std::min(collection.wait.value_or(answer.wait), answer.wait);
        ++collection.refusals;
    }
}

CollectorActions QuotaCollector::poll(TimePoint now)
{
    CollectorActions actions;
    expireAsks(now, actions);
    for (auto it = collections_.begin(); it != collections_.end();) {
        const auto current = it++;
        Collection &collection = current->second;
        if (collection.isWaiting) {
            continue;
        }
        askNextHolder(collection, now, actions);
        if (!collection.isWaiting) {
            collections_.erase(current);
        }
    }
    probeSuspects(now, actions);
    for (QuotaReturn &item : pendingReturns_) {
        actions.returns.push_back(std::move(item));
    }
    pendingReturns_.clear();
    return actions;
}

void QuotaCollector::expireAsks(TimePoint now, CollectorActions &actions)
{
    for (auto it = asks_.begin(); it != asks_.end();) {
        SentAsk &sent = it->second;
        const Duration age = now - sent.sentAt;
        const bool isProbe = sent.ask.units <= 0;
        if (!sent.isAbandoned && age >= options_.answerTimeout) {
            sent.isAbandoned = true;
            sent.hasTimedOut = true;
            ++counts_.timeouts;
            suspects_.try_emplace(sent.ask.holder, Suspect{now + options_.probeInterval});
            if (isProbe) {
                actions.silentHolders.push_back(sent.ask.holder);
            } else if (const auto owner = collections_.find(sent.request); owner != collections_.end()) {
                owner->second.isWaiting = false;
                ++owner->second.timeouts;
            }
        }
        it = sent.isAbandoned && age >= options_.grantLifetime ? asks_.erase(it) : std::next(it);
    }
}

void QuotaCollector::probeSuspects(TimePoint now, CollectorActions &actions)
{
    for (auto &[holder, suspect] : suspects_) {
        if (now < suspect.nextProbeAt) {
            continue;
        }
        suspect.nextProbeAt = now + options_.probeInterval;
        QuotaAsk probe{holder, ++lastNumber_, "", 0};
        ++counts_.probes;
        asks_.emplace(probe.number, SentAsk{probe, 0, now});
        actions.asks.push_back(std::move(probe));
    }
}

void QuotaCollector::askNextHolder(Collection &collection, TimePoint now, CollectorActions &actions)
{
    if (collection.missing <= RoundingTolerance) {
        finish(collection, QuotaVerdict::Result::Admitted, actions);
        return;
    }
    const auto &holders = collection.request.holders;
    const bool fitsIntoOneLot = collection.request.maxLot <= 0 || collection.request.units <= collection.request.maxLot;
    if (fitsIntoOneLot && collection.refusals >= options_.maxRefusals) {
        finish(collection, QuotaVerdict::Result::RateLimited, actions);
        return;
    }
    while (collection.nextHolder < holders.size() && isSuspect(holders[collection.nextHolder])) {
        ++collection.nextHolder;
    }
    const bool allAreSuspects = collection.nextHolder == holders.size()
        && std::all_of(holders.begin(), holders.end(), [this](const std::string &holder) { return isSuspect(holder); });
    if (!holders.empty() && allAreSuspects && !std::exchange(collection.hasAskedSuspect, true)) {
        collection.nextHolder = 0;
    }
    if (collection.nextHolder == holders.size()) {
        finish(collection, collection.wait ? QuotaVerdict::Result::RateLimited : QuotaVerdict::Result::NoHolder, actions);
        return;
    }
    QuotaAsk ask{holders[collection.nextHolder], ++lastNumber_, collection.request.customer, collection.missing};
    if (collection.request.maxLot > 0) {
        ask.units = std::min(ask.units, collection.request.maxLot);
    }
    ++collection.nextHolder;
    collection.isWaiting = true;
    ++counts_.sent;
    asks_.emplace(ask.number, SentAsk{ask, collection.request.id, now});
    actions.asks.push_back(std::move(ask));
}

void QuotaCollector::finish(Collection &collection, QuotaVerdict::Result result, CollectorActions &actions)
{
    QuotaVerdict verdict;
    verdict.request = collection.request.id;
    verdict.result = result;
    verdict.wait = collection.wait.value_or(Duration::zero());
    verdict.refusals = collection.refusals;
    verdict.timeouts = collection.timeouts;
    if (result == QuotaVerdict::Result::Admitted) {
        verdict.lots = std::move(collection.lots);
    } else {
        returnLots(collection);
    }
    actions.verdicts.push_back(std::move(verdict));
}

void QuotaCollector::returnLots(Collection &collection)
{
    for (QuotaLot &lot : collection.lots) {
        pendingReturns_.push_back({collection.request.customer, std::move(lot)});
    }
    collection.lots.clear();
}

bool QuotaCollector::isBusy() const
{
    return !asks_.empty() || !collections_.empty() || !suspects_.empty();
}

bool QuotaCollector::isSuspect(const std::string &holder) const
{
    return suspects_.contains(holder);
}

void QuotaCollector::retainHolders(const std::vector<std::string> &holders)
{
    std::erase_if(suspects_,
                  [&holders](const auto &item) { return std::find(holders.begin(), holders.end(), item.first) == holders.end(); });
}

}

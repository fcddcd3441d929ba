#include "quotacollector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnutcove {

namespace {

/** Less than any unit; absorbs rounding when a request is divided into lots. */
constexpr double RoundingTolerance = 1e-6;
/** Weights of a new answer time in the smoothed ones, and of the deviation in the time for an answer (RFC 6298). */
constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double DeviationFactor = 4;

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
    const auto firstOther = request.holders.begin() + (request.isFirstHolderOwn && !request.holders.empty() ? 1 : 0);
    if (const auto others = request.holders.end() - firstOther; others > 1) {
        std::rotate(
            firstOther, firstOther + static_cast<std::ptrdiff_t>(started_++ % static_cast<std::uint64_t>(others)), request.holders.end());
    }
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
    recordAnswer(sent, now);
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
    actions.silentHolders.swap(silentHolders_);
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

void QuotaCollector::recordAnswer(const SentAsk &sent, TimePoint now)
{
    suspects_.erase(sent.ask.holder);
    counts_.lateAnswers += sent.hasTimedOut ? 1 : 0;
    const double seconds = toSeconds(now - sent.sentAt);
    AnswerTime &time = answerTimes_[sent.ask.holder];
    time.deviation += (std::abs(time.mean - seconds) - time.deviation) * DeviationGain;
    time.mean += (seconds - time.mean) * MeanGain;
}

Duration QuotaCollector::answerTimeout(const std::string &holder) const
{
    const auto it = answerTimes_.find(holder);
    const Duration usual
        = it == answerTimes_.end() ? Duration::zero() : fromSeconds(it->second.mean + DeviationFactor * it->second.deviation);
    return std::clamp(usual, options_.answerTimeout, std::max(options_.answerTimeout, options_.longestAnswerTimeout));
}

void QuotaCollector::expireAsks(TimePoint now, Duration lateness)
{
    heldUp_ += lateness;
    for (auto it = asks_.begin(); it != asks_.end();) {
        SentAsk &sent = it->second;
        const Duration age = now - sent.sentAt;
        const Duration unansweredFor = age - (heldUp_ - sent.heldUpBefore);
        if (!sent.isAbandoned && unansweredFor >= answerTimeout(sent.ask.holder)) {
            onTimeout(sent, now);
        }
        // The answer to a probe grants nothing, so that it counts however late it comes.
        const Duration lifetime = sent.ask.units > 0 ? options_.grantLifetime : 2 * options_.longestProbeInterval;
        it = sent.isAbandoned && age >= lifetime ? asks_.erase(it) : std::next(it);
    }
}

void QuotaCollector::onTimeout(SentAsk &sent, TimePoint now)
{
    sent.isAbandoned = true;
    sent.hasTimedOut = true;
    ++counts_.timeouts;
    suspects_.try_emplace(sent.ask.holder, Suspect{now + options_.probeInterval, options_.probeInterval});
    silentHolders_.push_back(sent.ask.holder);
    const auto owner = collections_.find(sent.request);
    if (sent.ask.units > 0 && owner != collections_.end()) {
        owner->second.isWaiting = false;
        ++owner->second.timeouts;
    }
}

void QuotaCollector::probeSuspects(TimePoint now, CollectorActions &actions)
{
    for (auto &[holder, suspect] : suspects_) {
        if (now < suspect.nextProbeAt) {
            continue;
        }
        suspect.probeInterval = std::min(2 * suspect.probeInterval, std::max(options_.probeInterval, options_.longestProbeInterval));
        suspect.nextProbeAt = now + suspect.probeInterval;
        QuotaAsk probe{holder, ++lastNumber_, "", 0};
        ++counts_.probes;
        asks_.emplace(probe.number, SentAsk{probe, 0, now, heldUp_});
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
    asks_.emplace(ask.number, SentAsk{ask, collection.request.id, now, heldUp_});
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
    const auto isGone = [&holders](const auto &item) { return std::find(holders.begin(), holders.end(), item.first) == holders.end(); };
    std::erase_if(suspects_, isGone);
    std::erase_if(answerTimes_, isGone);
}

}

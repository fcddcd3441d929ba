#include "quotashares.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** A request counts as recent for at least this long when the largest one is determined. */
constexpr std::chrono::seconds LargestRequestPeriod{5};
/** Units for the largest recent request are kept in a share, but at most this fraction of its capacity. */
constexpr double MaxReserveFraction = 0.5;

}

QuotaShares::Share::Share()
    : bucket(Duration::zero())
    , largestRequest(LargestRequestPeriod)
{
}

QuotaShares::QuotaShares(std::string vm, QuotaShareOptions options)
    : vm_(std::move(vm))
    , options_(options)
    , freshness_(options.maxAge)
{
}

void QuotaShares::onDivisionRead(const QuotaDivision &division, TimePoint readAt, TimePoint now)
{
    suspendIfStale(now);
    freshness_.recordRead(readAt);
    resumeIfFresh(now);
    const bool isFirst = !accruingSince_;
    const bool isNew = isFirst || division.number != current_.number;
    current_ = division;
    if (isNew) {
        firstReadAt_ = now;
        isFirstDivision_ = isFirst && std::exchange(storeHadNoDivision_, false);
    }
    if (isNew || isSettled(now) != accruesSettled_) {
        restartAccrual(now);
    }
}

void QuotaShares::onDivisionConfirmed(TimePoint readAt, TimePoint now)
{
    suspendIfStale(now);
    freshness_.recordRead(readAt);
    resumeIfFresh(now);
}

void QuotaShares::onNoDivisionStored()
{
    storeHadNoDivision_ = !accruingSince_;
}

bool QuotaShares::isUsable(TimePoint now) const
{
    return accruingSince_ && freshness_.isFresh(now);
}

void QuotaShares::suspendIfStale(TimePoint now)
{
    if (isSuspended_ || freshness_.isFresh(now)) {
        return;
    }
    isSuspended_ = true;
    for (auto &[name, share] : shares_) {
        share.bucket.setSuspended(true, std::min(freshness_.freshUntil(), now));
    }
}

void QuotaShares::resumeIfFresh(TimePoint now)
{
    if (!isSuspended_ || !freshness_.isFresh(now)) {
        return;
    }
    isSuspended_ = false;
    for (auto &[name, share] : shares_) {
        share.bucket.setSuspended(false, now);
    }
}

bool QuotaShares::isSettled(TimePoint now) const
{
    return current_.settled || now - firstReadAt_ >= options_.settleTime;
}

void QuotaShares::restartAccrual(TimePoint now)
{
    accruingSince_ = now;
    accruesSettled_ = isSettled(now);
    for (auto &[name, share] : shares_) {
        share.fraction = currentFraction(name, share.maxHolders);
        applyLimits(share, now);
    }
}

double QuotaShares::currentFraction(const std::string &limit, std::size_t maxHolders) const
{
    return accruesSettled_ ? current_.fractionOf(limit, vm_, maxHolders) : current_.unsettledFractionOf(limit, vm_, maxHolders);
}

double QuotaShares::wholeCapacity(const RateLimit &limit) const
{
    return limit.burst + options_.overage * (limit.rate * toSeconds(options_.window) + limit.burst) + options_.allowance;
}

double QuotaShares::shareCapacity(const RateLimit &limit) const
{
    return wholeCapacity(limit) / static_cast<double>(std::max<std::size_t>(current_.holderCount(limit.maxHolders), 1));
}

void QuotaShares::applyLimits(Share &share, TimePoint now)
{
    share.bucket.setLimits(share.rate * share.fraction, share.capacity * share.fraction, now);
}

QuotaShares::Share &QuotaShares::shareOf(const RateLimit &limit, TimePoint now)
{
    suspendIfStale(now);
    if (accruingSince_ && isSettled(now) != accruesSettled_) {
        restartAccrual(now);
    }
    const double capacity = wholeCapacity(limit);
    // A share starts empty, since the units spent by a former run of this process are unknown.
    const auto [it, isNew] = shares_.try_emplace(limit.name);
    Share &share = it->second;
    const bool hasOtherHolders = share.maxHolders != limit.maxHolders;
    if (isNew || hasOtherHolders) {
        share.maxHolders = limit.maxHolders;
        share.fraction = currentFraction(limit.name, limit.maxHolders);
    }
    if (isNew || hasOtherHolders || share.rate != limit.rate || share.capacity != capacity) {
        share.rate = limit.rate;
        share.capacity = capacity;
        applyLimits(share, isNew ? accruingSince_.value_or(now) : now);
    }
    if (isNew && isFirstDivision_) {
        share.bucket.fill(now);
    }
    if (isNew && isSuspended_) {
        share.bucket.setSuspended(true, std::min(freshness_.freshUntil(), now));
    }
    return share;
}

ShareDecision QuotaShares::decide(Share &share, double units, TimePoint now)
{
    share.largestRequest.record(units, now);
    // All requests need as much as the largest one, so that small ones can't keep the level too low for it.
    const double reserve = std::min(share.largestRequest.value(now), share.bucket.cap() * MaxReserveFraction);
    const double needed = std::max(units, reserve);
    ShareDecision decision;
    decision.isHolder = isUsable(now) && share.fraction > 0;
    decision.fraction = share.fraction;
    decision.level = share.bucket.level(now);
    decision.granted = decision.isHolder && decision.level >= needed;
    if (decision.isHolder && !decision.granted) {
        decision.wait = reserveUnits(share, needed, now);
    }
    return decision;
}

Duration QuotaShares::reserveUnits(Share &share, double units, TimePoint now) const
{
    const double rate = share.bucket.rate();
    if (rate <= 0) {
        return options_.settleTime;
    }
    const TimePoint accruedAt = now + fromSeconds((units - share.bucket.level(now)) / rate);
    const TimePoint start = std::max(accruedAt, std::min(share.reservedUntil, now + options_.window));
    share.reservedUntil = start + fromSeconds(units / rate);
    return start - now;
}

ShareDecision QuotaShares::take(const RateLimit &limit, double units, TimePoint now)
{
    Share &share = shareOf(limit, now);
    const ShareDecision decision = decide(share, units, now);
    if (decision.granted) {
        share.bucket.take(units, now);
    }
    return decision;
}

ShareDecision QuotaShares::grant(const RateLimit &limit, const GrantId &id, double units, TimePoint now)
{
    Share &share = shareOf(limit, now);
    dropOldGrants(share, now);
    const bool isRepeated = std::any_of(share.grants.begin(), share.grants.end(), [&id](const Grant &grant) { return grant.id == id; });
    if (isRepeated) {
        return {};
    }
    const ShareDecision decision = decide(share, units, now);
    if (decision.granted) {
        share.bucket.take(units, now);
        share.grants.push_back({id, units, now});
    }
    return decision;
}

void QuotaShares::dropOldGrants(Share &share, TimePoint now) const
{
    while (!share.grants.empty() && now - share.grants.front().grantedAt >= options_.grantLifetime) {
        share.grants.pop_front();
    }
}

void QuotaShares::refund(const std::string &limit, double units, TimePoint now)
{
    const auto it = shares_.find(limit);
    if (it != shares_.end()) {
        it->second.bucket.putBack(units, now);
    }
}

void QuotaShares::remove(const std::string &limit)
{
    shares_.erase(limit);
}

void QuotaShares::onGrantReturned(const std::string &limit, const GrantId &id, double units, TimePoint now)
{
    const auto owner = shares_.find(limit);
    if (owner == shares_.end()) {
        return;
    }
    Share &share = owner->second;
    dropOldGrants(share, now);
    const auto grant = std::find_if(share.grants.begin(), share.grants.end(), [&id](const Grant &each) { return each.id == id; });
    if (grant == share.grants.end()) {
        return;
    }
    share.bucket.putBack(std::min(units, grant->units), now);
    share.grants.erase(grant);
}

}

#include "quotashares.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Chestnutcove {

namespace {

/** Fraction of a limit that is divided evenly, regardless of demand. */
constexpr double EvenFraction = 0.5;
/** Weight of an unresponsive VM in the even part, where a responsive VM has weight 1. */
constexpr double UnresponsiveWeight = 0.25;
/** Time constant of the demand average. */
constexpr Duration DemandAveragingTime = std::chrono::seconds(4);
/** A change of a VM's fraction by at most this does not cause a new division. */
constexpr double MinFractionChange = 0.08;

double fractionIn(const std::vector<std::string> &vms,
                  const QuotaDivision::Fractions &fractions,
                  const std::string &customer,
                  const std::string &vm)
{
    if (std::find(vms.begin(), vms.end(), vm) == vms.end()) {
        return 0;
    }
    const auto it = fractions.find(customer);
    if (it == fractions.end()) {
        return 1.0 / static_cast<double>(vms.size());
    }
    const auto fraction = it->second.find(vm);
    return fraction == it->second.end() ? 0 : fraction->second;
}

}

double QuotaDivision::fractionOf(const std::string &customer, const std::string &vm) const
{
    return fractionIn(vms, fractions, customer, vm);
}

double QuotaDivision::unsettledFractionOf(const std::string &customer, const std::string &vm) const
{
    return std::min(fractionOf(customer, vm), fractionIn(previousVms, previousFractions, customer, vm));
}

QuotaDivision QuotaDivision::successor(QuotaDivision wanted) const
{
    wanted.number = number + 1;
    wanted.settled = false;
    wanted.previousVms = vms;
    wanted.previousFractions = fractions;
    return wanted;
}

std::string QuotaDivision::toText() const
{
    return nlohmann::json{{"number", number},
                          {"settled", settled},
                          {"vms", vms},
                          {"fractions", fractions},
                          {"vmsBefore", previousVms},
                          {"fractionsBefore", previousFractions}}
        .dump();
}

absl::StatusOr<QuotaDivision> QuotaDivision::fromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        QuotaDivision division;
        json.at("number").get_to(division.number);
        json.at("settled").get_to(division.settled);
        json.at("vms").get_to(division.vms);
        json.at("fractions").get_to(division.fractions);
        json.at("vmsBefore").get_to(division.previousVms);
        json.at("fractionsBefore").get_to(division.previousFractions);
        return division;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable division of quotas: ") + error.what());
    }
}

QuotaDivision divideQuotas(const std::map<std::string, CustomerDemand> &demandOfVm, const std::set<std::string> &unresponsive)
{
    QuotaDivision division;
    CustomerDemand total;
    const auto weightOf = [&unresponsive](const std::string &vm) { return unresponsive.contains(vm) ? UnresponsiveWeight : 1.0; };
    double weights = 0;
    for (const auto &[vm, demand] : demandOfVm) {
        division.vms.push_back(vm);
        weights += weightOf(vm);
        for (const auto &[customer, rate] : demand) {
            total[customer] += rate;
        }
    }
    for (const auto &[customer, sum] : total) {
        if (sum <= 0) {
            continue;
        }
        for (const auto &[vm, demand] : demandOfVm) {
            const auto it = demand.find(customer);
            const double own = it == demand.end() ? 0 : it->second;
            division.fractions[customer][vm] = EvenFraction * weightOf(vm) / weights + (1 - EvenFraction) * own / sum;
        }
    }
    return division;
}

bool isOutdated(const QuotaDivision &current, const QuotaDivision &wanted)
{
    if (current.vms != wanted.vms) {
        return true;
    }
    for (const auto &[customer, vmFractions] : wanted.fractions) {
        for (const auto &[vm, wantedFraction] : vmFractions) {
            if (std::abs(wantedFraction - current.fractionOf(customer, vm)) > MinFractionChange) {
                return true;
            }
        }
    }
    return false;
}

QuotaShares::QuotaShares(std::string vm, QuotaShareOptions options)
    : vm_(std::move(vm))
    , options_(options)
    , freshness_(options.maxAge)
{
}

void QuotaShares::onDivisionRead(const QuotaDivision &division, TimePoint startedAt, TimePoint now)
{
    freshness_.recordRead(startedAt);
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

void QuotaShares::restartAccrual(TimePoint now)
{
    // Units that accrued under the former share are kept; from now on they accrue under the new one.
    for (auto &[name, bucket] : buckets_) {
        refill(bucket, now);
        bucket.rate = 0;
    }
    accruingSince_ = now;
    accruesSettled_ = isSettled(now);
}

bool QuotaShares::isSettled(TimePoint now) const
{
    return current_.settled || now - firstReadAt_ >= options_.settleTime;
}

void QuotaShares::onNoDivisionStored()
{
    storeHadNoDivision_ = !accruingSince_;
}

bool QuotaShares::isUsable(TimePoint now) const
{
    return accruingSince_ && freshness_.isFresh(now);
}

double QuotaShares::fractionOf(const std::string &customer, TimePoint now) const
{
    if (!isUsable(now)) {
        return 0;
    }
    return isSettled(now) ? current_.fractionOf(customer, vm_) : current_.unsettledFractionOf(customer, vm_);
}

void QuotaShares::refill(Bucket &bucket, TimePoint now)
{
    bucket.level = std::min(bucket.level + bucket.rate * toSeconds(std::max(now - bucket.filledAt, Duration::zero())), bucket.capacity);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

QuotaShares::Bucket &QuotaShares::refilledBucket(const CustomerQuota &customer, double fraction, TimePoint now)
{
    const double extraUnits = options_.overage * (customer.rate * toSeconds(options_.window) + customer.burst) + options_.allowance;
    const auto [it, isNew] = buckets_.try_emplace(customer.name);
    Bucket &bucket = it->second;
    if (isNew) {
        // A bucket starts empty, since the units spent by a former run of this process are unknown.
        bucket.filledAt = accruingSince_.value_or(now);
    }
    bucket.rate = customer.rate * fraction;
    bucket.capacity = (customer.burst + extraUnits) * fraction;
    if (isNew && isFirstDivision_) {
        bucket.level = bucket.capacity;
    }
    refill(bucket, now);
    return bucket;
}

QuotaDecision QuotaShares::admit(const CustomerQuota &customer, double units, TimePoint now)
{
    recordDemand(customer.name, units);
    if (customer.rate <= 0) {
        return {true, {}};
    }
    if (accruingSince_ && isSettled(now) != accruesSettled_) {
        restartAccrual(now);
    }
    const double fraction = fractionOf(customer.name, now);
    Bucket &bucket = refilledBucket(customer, fraction, now);
    QuotaDecision decision{bucket.level >= units, {}, fraction, bucket.level};
    if (decision.admitted) {
        bucket.level -= units;
    } else {
        decision.wait = reserveUnits(bucket, units, now);
    }
    return decision;
}

Duration QuotaShares::reserveUnits(Bucket &bucket, double units, TimePoint now) const
{
    if (bucket.rate <= 0) {
        return options_.settleTime;
    }
    const TimePoint accruedAt = now + fromSeconds((units - bucket.level) / bucket.rate);
    const TimePoint start = std::max(accruedAt, std::min(bucket.reservedUntil, now + options_.window));
    bucket.reservedUntil = start + fromSeconds(units / bucket.rate);
    return start - now;
}

void QuotaShares::refund(const std::string &customer, double units)
{
    const auto it = buckets_.find(customer);
    if (it != buckets_.end()) {
        it->second.level = std::min(it->second.level + units, it->second.capacity);
    }
}

void QuotaShares::recordDemand(const std::string &customer, double units)
{
    requestedUnits_[customer] += units;
}

CustomerDemand QuotaShares::updateDemand(TimePoint now)
{
    const double seconds = toSeconds(now - std::exchange(demandSince_, now));
    const auto requested = std::exchange(requestedUnits_, {});
    if (seconds <= 0) {
        return smoothedDemand_;
    }
    const double weight = 1 - std::exp(-seconds / toSeconds(DemandAveragingTime));
    for (auto &[customer, rate] : smoothedDemand_) {
        rate *= 1 - weight;
    }
    for (const auto &[customer, units] : requested) {
        smoothedDemand_[customer] += weight * units / seconds;
    }
    return smoothedDemand_;
}

}

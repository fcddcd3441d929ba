#include "quotashares.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Chestnutcove {

namespace {

/** The part of a rate that is divided evenly, whoever asks for it. */
constexpr double EvenPart = 0.5;
/** What a VM that is away gets of that, compared with one that serves. */
constexpr double AwayWeight = 0.25;
/** Time over which demand is averaged. */
constexpr Duration DemandMemory = std::chrono::seconds(4);
/** A part that differs by less than this is left as it is. */
constexpr double WorthwhileChange = 0.08;

double
partIn(const std::vector<std::string> &vms, const QuotaDivision::Fractions &fractions, const std::string &customer, const std::string &vm)
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
    return partIn(vms, fractions, customer, vm);
}

double QuotaDivision::unsettledFractionOf(const std::string &customer, const std::string &vm) const
{
    return std::min(fractionOf(customer, vm), partIn(vmsBefore, fractionsBefore, customer, vm));
}

QuotaDivision QuotaDivision::next(QuotaDivision wanted) const
{
    wanted.number = number + 1;
    wanted.settled = false;
    wanted.vmsBefore = vms;
    wanted.fractionsBefore = fractions;
    return wanted;
}

std::string QuotaDivision::toText() const
{
    return nlohmann::json{{"number", number},
                          {"settled", settled},
                          {"vms", vms},
                          {"fractions", fractions},
                          {"vmsBefore", vmsBefore},
                          {"fractionsBefore", fractionsBefore}}
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
        json.at("vmsBefore").get_to(division.vmsBefore);
        json.at("fractionsBefore").get_to(division.fractionsBefore);
        return division;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable division of quotas: ") + error.what());
    }
}

QuotaDivision divideQuotas(const std::map<std::string, CustomerDemand> &demandOfVm, const std::set<std::string> &away)
{
    QuotaDivision division;
    CustomerDemand total;
    const auto weightOf = [&away](const std::string &vm) { return away.contains(vm) ? AwayWeight : 1.0; };
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
            division.fractions[customer][vm] = EvenPart * weightOf(vm) / weights + (1 - EvenPart) * own / sum;
        }
    }
    return division;
}

bool isOutdated(const QuotaDivision &current, const QuotaDivision &wanted)
{
    if (current.vms != wanted.vms) {
        return true;
    }
    for (const auto &[customer, parts] : wanted.fractions) {
        for (const auto &[vm, part] : parts) {
            if (std::abs(part - current.fractionOf(customer, vm)) > WorthwhileChange) {
                return true;
            }
        }
    }
    return false;
}

QuotaShares::QuotaShares(std::string vm, QuotaShareOptions options)
    : vm_(std::move(vm))
    , options_(options)
    , proof_(options.maxAge)
{
}

void QuotaShares::observed(const QuotaDivision &division, TimePoint startedAt, TimePoint now)
{
    proof_.proved(startedAt);
    const bool isFirst = !currentSince_;
    const bool isNew = isFirst || division.number != current_.number;
    current_ = division;
    if (isNew) {
        numberSince_ = now;
        isFirstDivision_ = isFirst && std::exchange(noneYet_, false);
    }
    if (isNew || isSettled(now) != accruesSettled_) {
        startAccruingAnew(now);
    }
}

void QuotaShares::startAccruingAnew(TimePoint now)
{
    // What accrued under the former part stays; what accrues from now on comes from the new one.
    for (auto &[name, bucket] : buckets_) {
        fill(bucket, now);
        bucket.rate = 0;
    }
    currentSince_ = now;
    accruesSettled_ = isSettled(now);
}

bool QuotaShares::isSettled(TimePoint now) const
{
    return current_.settled || now - numberSince_ >= options_.settleTime;
}

void QuotaShares::noDivisionYet()
{
    noneYet_ = !currentSince_;
}

bool QuotaShares::isUsable(TimePoint now) const
{
    return currentSince_ && proof_.isFresh(now);
}

double QuotaShares::fractionOf(const std::string &customer, TimePoint now) const
{
    if (!isUsable(now)) {
        return 0;
    }
    return isSettled(now) ? current_.fractionOf(customer, vm_) : current_.unsettledFractionOf(customer, vm_);
}

void QuotaShares::fill(Bucket &bucket, TimePoint now)
{
    bucket.level = std::min(bucket.level + bucket.rate * toSeconds(std::max(now - bucket.filledAt, Duration::zero())), bucket.capacity);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

QuotaShares::Bucket &QuotaShares::filledBucket(const CustomerQuota &customer, double fraction, TimePoint now)
{
    const double beyond = options_.overage * (customer.rate * toSeconds(options_.window) + customer.burst) + options_.allowance;
    const auto [it, isNew] = buckets_.try_emplace(customer.name);
    Bucket &bucket = it->second;
    if (isNew) {
        // A bucket begins empty: what a former run of this process spent is not known.
        bucket.filledAt = currentSince_.value_or(now);
    }
    bucket.rate = customer.rate * fraction;
    bucket.capacity = (customer.burst + beyond) * fraction;
    if (isNew && isFirstDivision_) {
        bucket.level = bucket.capacity;
    }
    fill(bucket, now);
    return bucket;
}

QuotaVerdict QuotaShares::admit(const CustomerQuota &customer, double units, TimePoint now)
{
    noteDemand(customer.name, units);
    if (customer.rate <= 0) {
        return {true, {}};
    }
    if (currentSince_ && isSettled(now) != accruesSettled_) {
        startAccruingAnew(now);
    }
    const double fraction = fractionOf(customer.name, now);
    Bucket &bucket = filledBucket(customer, fraction, now);
    QuotaVerdict verdict{bucket.level >= units, {}, fraction, bucket.level};
    if (verdict.admitted) {
        bucket.level -= units;
    } else {
        verdict.wait = reserveRoom(bucket, units, now);
    }
    return verdict;
}

Duration QuotaShares::reserveRoom(Bucket &bucket, double units, TimePoint now) const
{
    if (bucket.rate <= 0) {
        return options_.settleTime;
    }
    const TimePoint enough = now + fromSeconds((units - bucket.level) / bucket.rate);
    const TimePoint start = std::max(enough, std::min(bucket.roomAt, now + options_.window));
    bucket.roomAt = start + fromSeconds(units / bucket.rate);
    return start - now;
}

void QuotaShares::refund(const std::string &customer, double units)
{
    const auto it = buckets_.find(customer);
    if (it != buckets_.end()) {
        it->second.level = std::min(it->second.level + units, it->second.capacity);
    }
}

void QuotaShares::noteDemand(const std::string &customer, double units)
{
    asked_[customer] += units;
}

CustomerDemand QuotaShares::demand(TimePoint now)
{
    const double seconds = toSeconds(now - std::exchange(demandSince_, now));
    const auto asked = std::exchange(asked_, {});
    if (seconds <= 0) {
        return smoothed_;
    }
    const double weight = 1 - std::exp(-seconds / toSeconds(DemandMemory));
    for (auto &[customer, rate] : smoothed_) {
        rate *= 1 - weight;
    }
    for (const auto &[customer, units] : asked) {
        smoothed_[customer] += weight * units / seconds;
    }
    return smoothed_;
}

}

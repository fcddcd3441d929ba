#include "quotashares.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr double EvenPart = 0.5;
/** Weight of the newest interval in the smoothed demand. */
constexpr double DemandWeight = 0.4;
/** A part that differs by less than this is left as it is. */
constexpr double WorthwhileChange = 0.08;

}

double QuotaDivision::fractionOf(const std::string &customer, const std::string &vm) const
{
    const bool member = std::find(vms.begin(), vms.end(), vm) != vms.end();
    if (!member) {
        return 0;
    }
    const auto it = fractions.find(customer);
    if (it == fractions.end()) {
        return 1.0 / static_cast<double>(vms.size());
    }
    const auto fraction = it->second.find(vm);
    return fraction == it->second.end() ? 0 : fraction->second;
}

std::string QuotaDivision::toText() const
{
    return nlohmann::json{{"number", number}, {"settled", settled}, {"vms", vms}, {"fractions", fractions}}.dump();
}

absl::StatusOr<QuotaDivision> QuotaDivision::fromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("number") || !json["number"].is_number_unsigned()) {
        return absl::DataLossError("unreadable division of quotas");
    }
    try {
        QuotaDivision division;
        division.number = json["number"].get<std::uint64_t>();
        json.at("settled").get_to(division.settled);
        json.at("vms").get_to(division.vms);
        json.at("fractions").get_to(division.fractions);
        return division;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable division of quotas: ") + error.what());
    }
}

QuotaDivision divideQuotas(std::uint64_t number, const std::map<std::string, CustomerDemand> &demandOfVm)
{
    QuotaDivision division;
    division.number = number;
    CustomerDemand total;
    for (const auto &[vm, demand] : demandOfVm) {
        division.vms.push_back(vm);
        for (const auto &[customer, rate] : demand) {
            total[customer] += rate;
        }
    }
    const double even = EvenPart / static_cast<double>(std::max<std::size_t>(1, division.vms.size()));
    for (const auto &[customer, sum] : total) {
        if (sum <= 0) {
            continue;
        }
        for (const auto &[vm, demand] : demandOfVm) {
            const auto it = demand.find(customer);
            const double own = it == demand.end() ? 0 : it->second;
            division.fractions[customer][vm] = even + (1 - EvenPart) * own / sum;
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
    if (division.settled || (known_ && now - seenAt_ >= options_.growthDelay && division.number == current_.number)) {
        bounds_.clear();
    }
    if (known_ && division.number == current_.number) {
        return;
    }
    if (!division.settled) {
        // What was in force until now bounds the part; for a process that has just started that is nothing.
        bounds_.push_back(current_);
    }
    current_ = division;
    seenAt_ = now;
    known_ = true;
}

bool QuotaShares::isUsable(TimePoint now) const
{
    return known_ && proof_.isFresh(now);
}

double QuotaShares::fractionOf(const std::string &customer, TimePoint now) const
{
    if (!isUsable(now)) {
        return 0;
    }
    double part = current_.fractionOf(customer, vm_);
    for (const auto &bound : bounds_) {
        part = std::min(part, bound.fractionOf(customer, vm_));
    }
    return part;
}

void QuotaShares::fill(Bucket &bucket, double rate, double capacity, TimePoint now)
{
    // A bucket begins empty: what a former run of this process spent is not known.
    if (bucket.known) {
        bucket.level += rate * toSeconds(now - bucket.filledAt);
    }
    bucket.known = true;
    bucket.filledAt = now;
    bucket.capacity = capacity;
    bucket.level = std::min(bucket.level, capacity);
}

QuotaVerdict QuotaShares::admit(const CustomerQuota &customer, double units, TimePoint now)
{
    noteDemand(customer.name, units);
    if (customer.rate <= 0) {
        return {true, {}};
    }
    const double fraction = fractionOf(customer.name, now);
    const double rate = customer.rate * fraction;
    Bucket &bucket = buckets_[customer.name];
    fill(bucket, rate, (customer.burst + options_.allowance) * fraction, now);
    if (bucket.level >= units) {
        bucket.level -= units;
        return {true, {}};
    }
    return {false, rate > 0 ? fromSeconds((units - bucket.level) / rate) : options_.growthDelay};
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
    for (auto &[customer, rate] : smoothed_) {
        rate *= 1 - DemandWeight;
    }
    for (const auto &[customer, units] : asked) {
        smoothed_[customer] += DemandWeight * units / seconds;
    }
    return smoothed_;
}

}

#include "coldshares.h"

#include "rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace Chestnutcove {

namespace {

/** More gateways spread the callers better; fewer lose less of the rate to rounding. */
constexpr double RequestsPerChosenGateway = 8;
constexpr std::chrono::seconds RateWindow{1};

std::size_t wholeNumber(double number)
{
    return number > 0 ? static_cast<std::size_t>(number) : 0;
}

}

ColdShares::ColdShares(std::string vm, Duration maxAge)
    : vm_(std::move(vm))
    , maxAge_(maxAge)
{
}

void ColdShares::onDivisionRead(const QuotaDivision &division, TimePoint readAt, TimePoint now)
{
    if (division.number != number_) {
        // A settled division doesn't name the previous one, but others may have applied it until now.
        previousVms_ = division.settled ? vms_ : division.previousVms;
    }
    if (division.settled && (!isSettled_ || division.number != number_)) {
        settledReadAt_ = now;
    }
    ++generation_;
    number_ = division.number;
    isSettled_ = division.settled;
    vms_ = division.vms();
    onDivisionConfirmed(readAt);
}

void ColdShares::onDivisionConfirmed(TimePoint readAt)
{
    confirmedAt_ = std::max(confirmedAt_, readAt);
}

void ColdShares::setDivisionRequired(bool isRequired)
{
    isDivisionRequired_ = isRequired;
}

std::size_t ColdShares::chosenCount(double perSecond, std::size_t gateways)
{
    const double wanted
        = std::round(std::min(perSecond, RequestsPerChosenGateway * static_cast<double>(gateways)) / RequestsPerChosenGateway);
    return std::clamp<std::size_t>(wholeNumber(wanted), 1, std::max<std::size_t>(gateways, 1));
}

ColdShares::Share ColdShares::shareAmong(const std::vector<std::string> &vms, const std::string &run, const ColdLimit &limit) const
{
    const std::size_t count = chosenCount(limit.perSecond, vms.size());
    const auto chosen = rendezvous(run, vms, count);
    if (std::find(chosen.begin(), chosen.end(), vm_) == chosen.end()) {
        return {};
    }
    const auto holders = static_cast<double>(count);
    // One request a second is the least that keeps an endpoint of a lower rate in use.
    const std::size_t least = limit.bound >= 1 ? 1 : 0;
    const std::size_t whole = std::max(wholeNumber(limit.perSecond / holders), least);
    return {whole, std::min(whole, wholeNumber((limit.bound - limit.perSecond) / holders))};
}

bool ColdShares::isInTransition(TimePoint now) const
{
    return !isSettled_ || now - settledReadAt_ < RateWindow;
}

ColdShares::RunShares ColdShares::sharesOf(const std::string &run, const ColdLimit &limit) const
{
    if (number_ == 0) {
        return {shareAmong({vm_}, run, limit), {}};
    }
    return {shareAmong(vms_, run, limit), shareAmong(previousVms_, run, limit)};
}

std::size_t ColdShares::allowedOf(const RunShares &shares, TimePoint now) const
{
    if (number_ == 0) {
        return isDivisionRequired_ ? 0 : shares.current.margin;
    }
    if (now - confirmedAt_ >= maxAge_) {
        return shares.current.margin;
    }
    if (!isInTransition(now)) {
        return shares.current.whole;
    }
    return std::max(std::min(shares.current.whole, shares.previous.whole), shares.current.margin);
}

std::size_t ColdShares::shareOf(const std::string &run, const ColdLimit &limit, TimePoint now) const
{
    return allowedOf(sharesOf(run, limit), now);
}

}

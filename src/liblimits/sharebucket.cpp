#include "sharebucket.h"

#include <algorithm>

namespace Chestnutcove {

ShareBucket::ShareBucket(Duration grantLifetime)
    : grantLifetime_(grantLifetime)
{
}

void ShareBucket::setLimits(double rate, double cap, TimePoint now)
{
    advance(now);
    rate_ = rate;
    cap_ = cap;
    // Reserved tokens above a smaller cap count as spent from now on.
    reserved_ = std::min(reserved_, std::max(0.0, cap_ - outstanding_));
    level_ = std::max(0.0, std::min(level_, cap_ - reserved_ - outstanding_));
}

void ShareBucket::setSuspended(bool suspended, TimePoint now)
{
    advance(now);
    suspended_ = suspended;
}

void ShareBucket::advance(TimePoint now)
{
    if (!hasUpdateTime_) {
        hasUpdateTime_ = true;
        updated_ = now;
    }
    // Accrual comes first, because grants that expire now used up capacity until now.
    if (now > updated_) {
        const double accrued = suspended_ ? 0 : rate_ * toSeconds(now - updated_);
        level_ += std::max(0.0, std::min(accrued, cap_ - level_ - reserved_ - outstanding_));
        updated_ = now;
    }
    while (!grants_.empty() && grants_.front().expires <= now) {
        outstanding_ -= grants_.front().amount;
        grants_.pop_front();
    }
    if (grants_.empty()) {
        outstanding_ = 0;
    }
}

double ShareBucket::level(TimePoint now)
{
    advance(now);
    return suspended_ ? 0 : level_;
}

double ShareBucket::take(double amount, TimePoint now)
{
    const double taken = std::min(amount, level(now));
    level_ -= taken;
    return taken;
}

void ShareBucket::fill(TimePoint now)
{
    advance(now);
    level_ = std::max(level_, cap_ - reserved_ - outstanding_);
}

void ShareBucket::putBack(double amount, TimePoint now)
{
    advance(now);
    level_ = std::max(level_, std::min(level_ + amount, cap_ - reserved_ - outstanding_));
}

double ShareBucket::reserve(double amount, TimePoint now)
{
    const double taken = take(amount, now);
    reserved_ += taken;
    return taken;
}

void ShareBucket::spendReserved(double amount, TimePoint now)
{
    advance(now);
    reserved_ = std::max(0.0, reserved_ - amount);
}

void ShareBucket::releaseReserved(double amount, TimePoint now)
{
    advance(now);
    const double released = std::min(amount, reserved_);
    reserved_ -= released;
    level_ = std::max(0.0, std::min(level_ + released, cap_ - reserved_ - outstanding_));
}

double ShareBucket::grant(const GrantId &id, double amount, TimePoint now)
{
    advance(now);
    const bool repeated = std::any_of(grants_.begin(), grants_.end(), [&id](const Grant &grant) { return grant.id == id; });
    if (repeated) {
        return 0;
    }
    const double granted = take(amount, now);
    if (granted > 0) {
        grants_.push_back({id, granted, now + grantLifetime_});
        outstanding_ += granted;
    }
    return granted;
}

void ShareBucket::returnGrant(const GrantId &id, double amount, TimePoint now)
{
    advance(now);
    const auto it = std::find_if(grants_.begin(), grants_.end(), [&id](const Grant &grant) { return grant.id == id; });
    if (it == grants_.end()) {
        return;
    }
    const double returned = std::min(amount, it->amount);
    it->amount -= returned;
    outstanding_ -= returned;
    level_ = std::max(0.0, std::min(level_ + returned, cap_ - reserved_ - outstanding_));
}

}

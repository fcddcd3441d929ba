#include "shareholder.h"

#include <algorithm>

namespace Chestnutcove {

ShareHolder::ShareHolder(Duration grantLifetime)
    : grantLifetime_(grantLifetime)
{
}

void ShareHolder::setLimits(double rate, double cap, TimePoint now)
{
    advance(now);
    rate_ = rate;
    cap_ = cap;
    // What was set aside beyond a smaller cap counts as spent from now on.
    held_ = std::min(held_, std::max(0.0, cap_ - outstanding_));
    level_ = std::max(0.0, std::min(level_, cap_ - held_ - outstanding_));
}

void ShareHolder::setSuspended(bool suspended, TimePoint now)
{
    advance(now);
    suspended_ = suspended;
}

void ShareHolder::advance(TimePoint now)
{
    if (!started_) {
        started_ = true;
        updated_ = now;
    }
    // Accrue first: until now, expired grants still took up room.
    if (now > updated_) {
        const double accrued = suspended_ ? 0 : rate_ * toSeconds(now - updated_);
        level_ += std::max(0.0, std::min(accrued, cap_ - level_ - held_ - outstanding_));
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

double ShareHolder::level(TimePoint now)
{
    advance(now);
    return suspended_ ? 0 : level_;
}

double ShareHolder::take(double amount, TimePoint now)
{
    const double taken = std::min(amount, level(now));
    level_ -= taken;
    return taken;
}

double ShareHolder::hold(double amount, TimePoint now)
{
    const double taken = take(amount, now);
    held_ += taken;
    return taken;
}

void ShareHolder::useHeld(double amount, TimePoint now)
{
    advance(now);
    held_ = std::max(0.0, held_ - amount);
}

void ShareHolder::releaseHeld(double amount, TimePoint now)
{
    advance(now);
    const double released = std::min(amount, held_);
    held_ -= released;
    level_ = std::max(0.0, std::min(level_ + released, cap_ - held_ - outstanding_));
}

double ShareHolder::grant(const GrantId &id, double amount, TimePoint now)
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

void ShareHolder::giveBack(const GrantId &id, double amount, TimePoint now)
{
    advance(now);
    const auto it = std::find_if(grants_.begin(), grants_.end(), [&id](const Grant &grant) { return grant.id == id; });
    if (it == grants_.end()) {
        return;
    }
    const double returned = std::min(amount, it->amount);
    it->amount -= returned;
    outstanding_ -= returned;
    level_ = std::max(0.0, std::min(level_ + returned, cap_ - held_ - outstanding_));
}

}

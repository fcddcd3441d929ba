#include "receivedgrants.h"

#include <algorithm>

namespace Chestnutcove {

void ReceivedGrants::dropExpired(TimePoint now)
{
    while (!lots_.empty() && lots_.front().expires <= now) {
        lots_.pop_front();
    }
}

void ReceivedGrants::add(TokenLot lot, TimePoint now)
{
    dropExpired(now);
    if (lot.amount <= 0 || lot.expires <= now) {
        return;
    }
    const auto place = std::find_if(lots_.begin(), lots_.end(), [&lot](const TokenLot &other) { return other.expires > lot.expires; });
    lots_.insert(place, std::move(lot));
}

double ReceivedGrants::balance(TimePoint now)
{
    dropExpired(now);
    double sum = 0;
    for (const TokenLot &lot : lots_) {
        sum += lot.amount;
    }
    return sum;
}

std::vector<TokenLot> ReceivedGrants::take(double amount, TimePoint now)
{
    dropExpired(now);
    std::vector<TokenLot> taken;
    while (amount > 0 && !lots_.empty()) {
        TokenLot part = lots_.front();
        part.amount = std::min(amount, part.amount);
        amount -= part.amount;
        lots_.front().amount -= part.amount;
        if (lots_.front().amount <= 0) {
            lots_.pop_front();
        }
        taken.push_back(std::move(part));
    }
    return taken;
}

std::vector<TokenLot> ReceivedGrants::takeExpiring(TimePoint time, TimePoint now)
{
    dropExpired(now);
    std::vector<TokenLot> taken;
    while (!lots_.empty() && lots_.front().expires <= time) {
        taken.push_back(std::move(lots_.front()));
        lots_.pop_front();
    }
    return taken;
}

}

#include "orderguard.h"

#include <algorithm>

namespace Chestnutcove {

OrderGuard::OrderGuard(const TickClock &clock)
    : clock_(clock)
{
}

OrderVerdict OrderGuard::tryAccept(const FencedOrder &order, TimePoint now)
{
    while (!accepted_.empty() && now - accepted_.front().first > 2 * clock_.maxAge()) {
        accepted_.pop_front();
    }
    if (!clock_.isFresh(order.tick, now)) {
        return OrderVerdict::Stale;
    }
    if (order.epoch < highestEpoch_) {
        return OrderVerdict::Superseded;
    }
    const bool repeated
        = std::any_of(accepted_.begin(), accepted_.end(), [&order](const auto &item) { return item.second == order.orderId; });
    if (repeated) {
        return OrderVerdict::Repeated;
    }
    highestEpoch_ = order.epoch;
    if (busy_) {
        return OrderVerdict::Busy;
    }
    busy_ = true;
    accepted_.emplace_back(now, order.orderId);
    return OrderVerdict::Accepted;
}

void OrderGuard::onOrderCompleted()
{
    busy_ = false;
}

}

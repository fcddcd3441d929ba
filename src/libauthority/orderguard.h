/**
 * Decides at the sidecar whether an order to its endpoint takes effect. It serialises the orders of all gateways, and applies fencing also
 * for endpoints that ignore fencing tokens.
 *
 * An order carries the epoch of its sender's lease, and the newest tick that the sender received while that lease was valid. An order whose
 * epoch is below the highest one seen is refused. An order with a stale tick is refused too, because a sidecar that restarted has lost the
 * highest epoch.
 */
#pragma once

#include "nametable.h"
#include "tickclock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Chestnutcove {

enum class OrderVerdict {
    Accepted,
    /** The tick was issued by another incarnation or is too old. */
    Stale,
    /** A fresh order with a higher epoch was received before, whether or not it was accepted. */
    Superseded,
    /** This order was accepted before and must not take effect again. */
    Repeated,
    /** Another order is still being executed. */
    Busy,
};

inline constexpr NameTable<OrderVerdict, 5> OrderVerdictNames{{
    {OrderVerdict::Accepted, "accepted"},
    {OrderVerdict::Stale, "stale"},
    {OrderVerdict::Superseded, "superseded"},
    {OrderVerdict::Repeated, "repeated"},
    {OrderVerdict::Busy, "busy"},
}};

struct FencedOrder
{
    std::uint64_t orderId = 0;
    /** Fencing token. */
    std::uint64_t epoch = 0;
    Tick tick;
};

class OrderGuard
{
public:
    /** @param clock issued the ticks of the orders; must outlive this object. */
    explicit OrderGuard(const TickClock &clock);

    /** Decides on the order. After OrderVerdict::Accepted no further order is accepted until onOrderCompleted(). */
    OrderVerdict tryAccept(const FencedOrder &order, TimePoint now);
    /** The order that was accepted last was executed or failed. */
    void onOrderCompleted();

    std::uint64_t highestEpoch() const;
    bool isBusy() const;

private:
    const TickClock &clock_;
    /** Never decreases while the process runs. */
    std::uint64_t highestEpoch_ = 0;
    /** Time and id of each accepted order. An entry is removed only after the order's tick has become stale. */
    std::deque<std::pair<TimePoint, std::uint64_t>> accepted_;
    bool busy_ = false;
};

inline std::uint64_t OrderGuard::highestEpoch() const
{
    return highestEpoch_;
}

inline bool OrderGuard::isBusy() const
{
    return busy_;
}

}

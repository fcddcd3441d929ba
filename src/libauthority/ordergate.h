/**
 * Decides at the sidecar whether an order to its endpoint takes effect. It serialises the orders of all gateways and fences them also for
 * endpoints that ignore fencing tokens.
 *
 * An order carries its lease's epoch and the newest tick that the holder received while its lease was valid. An epoch below the highest
 * seen is refused; so is a stale tick, which covers a sidecar that restarted and forgot the highest epoch.
 */
#pragma once

#include "freshness.h"
#include "nametable.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Chestnutcove {

enum class OrderVerdict {
    Accepted,
    /** The tick is of another incarnation or too old. */
    Stale,
    /** A holder with a higher epoch gave an order or announced itself. */
    Superseded,
    /** This order was accepted before; it must not take effect again. */
    Repeated,
    /** Another order is still being carried out. */
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

class OrderGate
{
public:
    /** @param clock must outlive the gate. */
    explicit OrderGate(const TickClock &clock);

    OrderVerdict check(const FencedOrder &order, TimePoint now);
    /** The order that was accepted last has been carried out, or has failed. */
    void completed();

    std::uint64_t highestEpoch() const;
    bool isBusy() const;

private:
    const TickClock &clock_;
    /** Never falls within an incarnation. */
    std::uint64_t highestEpoch_ = 0;
    /** Accepted orders; an order that was dropped from here is stale by then. */
    std::deque<std::pair<TimePoint, std::uint64_t>> accepted_;
    bool busy_ = false;
};

inline std::uint64_t OrderGate::highestEpoch() const
{
    return highestEpoch_;
}

inline bool OrderGate::isBusy() const
{
    return busy_;
}

}

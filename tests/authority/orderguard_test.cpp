/**
 * Orders to an endpoint while orders are delayed, duplicated or reordered, lease holders pause and the sidecar restarts. Once an order of a
 * newer lease holder was executed, or an older holder's lease expired long enough ago for a successor to act, no order of the older holder
 * may be executed. No order may be executed twice.
 */
#include "orderguard.h"

#include "randomsteps.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr Duration MaxAge = 300ms;
constexpr Duration LeaseDuration = 600ms;

/** Faults injected to check that the simulation detects a conflict. */
enum class Fault {
    None,
    /** The sidecar checks epochs only. */
    IgnoresFreshness,
    /** The sidecar checks freshness only. */
    IgnoresEpochs,
};

struct SentOrder
{
    FencedOrder order;
    std::size_t holder = 0;
};

/** Two gateways that acquire the lease in turn, and one sidecar. */
class OrderSimulation
{
public:
    explicit OrderSimulation(Fault fault)
        : fault_(fault)
    {
        restartSidecar();
    }

    void advance(Duration duration)
    {
        now_ += duration;
    }

    /** The other gateway acquires the lease once it has expired. */
    void acquireLease()
    {
        if (now_ < leaseEnd_) {
            return;
        }
        holder_ = 1 - holder_;
        ++epoch_;
        epochs_[holder_] = epoch_;
        leaseEnd_ = now_ + LeaseDuration;
        acquiredAt_ = now_;
        validUntil_[holder_] = leaseEnd_;
    }

    void renew()
    {
        if (now_ < leaseEnd_) {
            leaseEnd_ = now_ + LeaseDuration;
            validUntil_[holder_] = leaseEnd_;
        }
    }

    /** The sidecar issues a tick in a heartbeat; a gateway keeps the tick only while its lease is valid. */
    void exchangeHeartbeat(std::size_t gateway)
    {
        if (now_ < validUntil_[gateway]) {
            ticks_[gateway] = clock_->issue(now_);
        }
    }

    /** @param paused the gateway was suspended after it checked its lease, and sends the order even if the lease has expired since. */
    void sendOrder(std::size_t gateway, bool paused)
    {
        const bool settled = gateway != holder_ || now_ - acquiredAt_ > MaxAge;
        if (epochs_[gateway] > 0 && (paused || (now_ < validUntil_[gateway] && settled))) {
            inFlight_.push_back({{++lastOrderId_, epochs_[gateway], ticks_[gateway]}, gateway});
        }
    }

    /** @param keep a copy of the order stays in flight. */
    void deliverOrder(std::size_t choice, bool keep)
    {
        if (inFlight_.empty()) {
            return;
        }
        const std::size_t index = choice % inFlight_.size();
        const SentOrder sent = inFlight_[index];
        if (!keep) {
            inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        FencedOrder order = sent.order;
        if (fault_ == Fault::IgnoresFreshness) {
            order.tick = clock_->issue(now_);
        }
        if (fault_ == Fault::IgnoresEpochs) {
            order.epoch = 1;
        }
        if (guard_->tryAccept(order, now_) == OrderVerdict::Accepted) {
            guard_->onOrderCompleted();
            conflict_ = conflict_ || sent.order.epoch < highestExecutedEpoch_ || !executed_.insert(sent.order.orderId).second;
            highestExecutedEpoch_ = std::max(highestExecutedEpoch_, sent.order.epoch);
        }
    }

    void restartSidecar()
    {
        clock_ = std::make_unique<TickClock>(++incarnation_, MaxAge);
        guard_ = std::make_unique<OrderGuard>(*clock_);
    }

    bool hasConflict() const
    {
        return conflict_;
    }

private:
    Fault fault_;
    TimePoint now_{1h};
    std::unique_ptr<TickClock> clock_;
    std::unique_ptr<OrderGuard> guard_;
    std::uint64_t incarnation_ = 0;
    std::size_t holder_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t epochs_[2] = {};
    TimePoint leaseEnd_;
    TimePoint acquiredAt_;
    TimePoint validUntil_[2];
    Tick ticks_[2];
    std::vector<SentOrder> inFlight_;
    std::uint64_t lastOrderId_ = 0;
    std::set<std::uint64_t> executed_;
    std::uint64_t highestExecutedEpoch_ = 0;
    bool conflict_ = false;
};

constexpr int StepKinds = 12;

bool conflicts(Fault fault, const std::vector<Step> &steps)
{
    OrderSimulation simulation(fault);
    for (const Step &step : steps) {
        const std::size_t gateway = step.argument % 2;
        switch (step.kind) {
        case 0:
            simulation.acquireLease();
            break;
        case 1:
            simulation.renew();
            break;
        case 2:
        case 3:
            simulation.exchangeHeartbeat(gateway);
            break;
        case 4:
        case 5:
            simulation.sendOrder(gateway, false);
            break;
        case 6:
            simulation.sendOrder(gateway, true);
            break;
        case 7:
        case 8:
            simulation.deliverOrder(step.argument, step.kind == 8);
            break;
        case 9:
            simulation.restartSidecar();
            break;
        default:
            simulation.advance(std::chrono::milliseconds(step.argument * 4));
            break;
        }
    }
    return simulation.hasConflict();
}

bool detectsConflict(Fault fault)
{
    return anySequenceMatches(40000, 120, StepKinds, [fault](const std::vector<Step> &steps) { return conflicts(fault, steps); });
}

RC_GTEST_PROP(OrderGuard, AnyFaults_NoConflictingOrderTakesEffect, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep(StepKinds));
    RC_ASSERT(!conflicts(Fault::None, steps));
}

TEST(OrderGuardOracle, FreshnessIgnored_ConflictIsDetected)
{
    EXPECT_TRUE(detectsConflict(Fault::IgnoresFreshness));
}

TEST(OrderGuardOracle, EpochsIgnored_ConflictIsDetected)
{
    EXPECT_TRUE(detectsConflict(Fault::IgnoresEpochs));
}

}

}

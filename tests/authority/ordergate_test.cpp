/**
 * Orders to an endpoint under delay, repetition, reordering, pauses of holders and restarts of the sidecar: an endpoint never receives an
 * order of a holder after a newer holder's order, and none from a holder whose lease had lapsed long enough for a successor to act.
 */
#include "ordergate.h"

#include "randomsteps.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr Duration MaxAge = 300ms;
constexpr Duration Lease = 600ms;

enum class Fault {
    None,
    /** The sidecar looks at epochs only. */
    NoFreshness,
    /** The sidecar looks at freshness only. */
    NoEpochs,
};

struct SentOrder
{
    FencedOrder order;
    std::size_t holder = 0;
};

/** Two gateways that take the lease in turn, and one sidecar. */
class World
{
public:
    explicit World(Fault fault)
        : fault_(fault)
    {
        restartSidecar();
    }

    void advance(Duration duration)
    {
        now_ += duration;
    }

    /** The lease goes to the other gateway once it has lapsed. */
    void takeLease()
    {
        if (now_ < leaseEnd_) {
            return;
        }
        holder_ = 1 - holder_;
        ++epoch_;
        epochOf_[holder_] = epoch_;
        leaseEnd_ = now_ + Lease;
        acquired_ = now_;
        validUntil_[holder_] = leaseEnd_;
    }

    void renew()
    {
        if (now_ < leaseEnd_) {
            leaseEnd_ = now_ + Lease;
            validUntil_[holder_] = leaseEnd_;
        }
    }

    /** A heartbeat: a gateway keeps the tick only while its lease is valid. */
    void heartbeat(std::size_t gateway)
    {
        if (now_ < validUntil_[gateway]) {
            ticks_[gateway] = clock_->issue(now_);
        }
    }

    /** A holder that was paused before this call may believe that its lease is still valid. */
    void giveOrder(std::size_t gateway, bool paused)
    {
        const bool settled = gateway != holder_ || now_ - acquired_ > MaxAge;
        if (epochOf_[gateway] > 0 && (paused || (now_ < validUntil_[gateway] && settled))) {
            underWay_.push_back({{++lastOrder_, epochOf_[gateway], ticks_[gateway]}, gateway});
        }
    }

    void arrive(std::size_t choice, bool keep)
    {
        if (underWay_.empty()) {
            return;
        }
        const std::size_t index = choice % underWay_.size();
        const SentOrder sent = underWay_[index];
        if (!keep) {
            underWay_.erase(underWay_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        FencedOrder order = sent.order;
        if (fault_ == Fault::NoFreshness) {
            order.tick = clock_->issue(now_);
        }
        if (fault_ == Fault::NoEpochs) {
            order.epoch = 1;
        }
        if (gate_->check(order, now_) == OrderVerdict::Accepted) {
            gate_->completed();
            conflict_ = conflict_ || sent.order.epoch < highestCarriedOut_ || !carriedOut_.insert(sent.order.orderId).second;
            highestCarriedOut_ = std::max(highestCarriedOut_, sent.order.epoch);
        }
    }

    void restartSidecar()
    {
        clock_ = std::make_unique<TickClock>(++incarnation_, MaxAge);
        gate_ = std::make_unique<OrderGate>(*clock_);
    }

    bool hasConflict() const
    {
        return conflict_;
    }

private:
    Fault fault_;
    TimePoint now_{1h};
    std::unique_ptr<TickClock> clock_;
    std::unique_ptr<OrderGate> gate_;
    std::uint64_t incarnation_ = 0;
    std::size_t holder_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t epochOf_[2] = {};
    TimePoint leaseEnd_;
    TimePoint acquired_;
    TimePoint validUntil_[2];
    Tick ticks_[2];
    std::vector<SentOrder> underWay_;
    std::uint64_t lastOrder_ = 0;
    std::set<std::uint64_t> carriedOut_;
    std::uint64_t highestCarriedOut_ = 0;
    bool conflict_ = false;
};

constexpr int StepKinds = 12;

bool conflicts(Fault fault, const std::vector<Step> &steps)
{
    World world(fault);
    for (const Step &step : steps) {
        const std::size_t gateway = step.argument % 2;
        switch (step.kind) {
        case 0:
            world.takeLease();
            break;
        case 1:
            world.renew();
            break;
        case 2:
        case 3:
            world.heartbeat(gateway);
            break;
        case 4:
        case 5:
            world.giveOrder(gateway, false);
            break;
        case 6:
            world.giveOrder(gateway, true);
            break;
        case 7:
        case 8:
            world.arrive(step.argument, step.kind == 8);
            break;
        case 9:
            world.restartSidecar();
            break;
        default:
            world.advance(std::chrono::milliseconds(step.argument * 4));
            break;
        }
    }
    return world.hasConflict();
}

bool oracleSees(Fault fault)
{
    return anySequence(40000, 120, StepKinds, [fault](const std::vector<Step> &steps) { return conflicts(fault, steps); });
}

RC_GTEST_PROP(OrderGate, AnyFaults_NoConflictingOrderTakesEffect, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep(StepKinds));
    RC_ASSERT(!conflicts(Fault::None, steps));
}

TEST(OrderGateOracle, WithoutFreshness_ConflictIsSeen)
{
    EXPECT_TRUE(oracleSees(Fault::NoFreshness));
}

TEST(OrderGateOracle, WithoutEpochs_ConflictIsSeen)
{
    EXPECT_TRUE(oracleSees(Fault::NoEpochs));
}

}

}

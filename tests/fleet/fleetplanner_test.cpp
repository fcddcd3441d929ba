/**
 * The planner's decisions: no change costs more than it saves, roles and endpoint counts don't flap, and each decision has a reason.
 */
#include "fleetplanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class FleetPlannerTest : public testing::Test
{
protected:
    FleetPlannerTest()
    {
        for (int i = 1; i <= 6; ++i) {
            engines_.push_back({"chat-" + std::to_string(i), i % 2 == 0 ? "dc-1" : "dc-2"});
        }
    }

    /** Applies a constant demand for @p time and carries out each decision. @return the number of role changes. */
    int run(double prefill, double decode, std::chrono::seconds time)
    {
        int changes = 0;
        for (std::chrono::seconds passed{0}; passed < time; passed += 1s) {
            now_ += 1s;
            plan_.addDemand(prefill, decode, 20, 1s);
            const PlanDecision decision = plan_.decide(engines_, now_);
            delta_ += decision.endpointDelta;
            if (!decision.change) {
                continue;
            }
            ++changes;
            plan_.recordRoleChange(*decision.change, now_);
            for (EngineView &engine : engines_) {
                engine.role = engine.name == decision.change->endpoint ? decision.change->to : engine.role;
            }
        }
        return changes;
    }

    TimePoint now_{1h};
    FleetPlanner plan_{FleetPlannerOptions()};
    std::vector<EngineView> engines_;
    int delta_ = 0;
};

TEST_F(FleetPlannerTest, UtilisationIsAcceptable_NoRoleChanges)
{
    EXPECT_EQ(run(10000, 1000, 300s), 0);
}

TEST_F(FleetPlannerTest, DecodePrevails_EnginesAreTunedForDecodeAndOneStaysMixed)
{
    EXPECT_GT(run(2000, 4600, 120s), 0);
    const auto mixed
        = std::count_if(engines_.begin(), engines_.end(), [](const EngineView &engine) { return engine.role == EndpointRole::Mixed; });
    EXPECT_GE(mixed, 1);
    EXPECT_GT(std::count_if(engines_.begin(), engines_.end(), [](const EngineView &engine) { return engine.role == EndpointRole::Decode; }),
              0);
}

TEST_F(FleetPlannerTest, MixSwingsBackAndForth_AtMostTwoChangesPerEngineAndSwing)
{
    int changes = 0;
    for (int swing = 0; swing < 4; ++swing) {
        const int made = swing % 2 == 0 ? run(2000, 4600, 120s) : run(44000, 600, 120s);
        EXPECT_LE(made, 2 * 6);
        changes += made;
    }
    EXPECT_GT(changes, 0);
}

TEST_F(FleetPlannerTest, ShortSpike_OrdersNoEndpoint)
{
    run(10000, 1000, 600s);
    run(60000, 5000, 30s);
    EXPECT_EQ(delta_, 0);
}

TEST_F(FleetPlannerTest, DemandIsLowForLong_OneEndpointIsReleased)
{
    run(1000, 100, 1500s);
    EXPECT_EQ(delta_, -1);
}

RC_GTEST_PROP(FleetPlanner, AnyDemand_AtMostOneChangeAtATimeAndNeverTheLastMixed, ())
{
    const auto demands
        = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 80000), rc::gen::inRange(0, 8000)));
    FleetPlanner plan{FleetPlannerOptions()};
    std::vector<EngineView> engines;
    for (int i = 0; i < 4; ++i) {
        engines.push_back({"chat-" + std::to_string(i), "dc-1"});
    }
    TimePoint now{1h};
    std::map<std::string, TimePoint> changed;
    for (const auto &[prefill, decode] : demands) {
        now += 7s;
        plan.addDemand(prefill * 7.0, decode * 7.0, 140, 7s);
        for (EngineView &engine : engines) {
            engine.changing = changed.contains(engine.name) && now - changed[engine.name] < 10s;
        }
        const PlanDecision decision = plan.decide(engines, now);
        RC_ASSERT(!decision.reason.empty());
        if (!decision.change) {
            continue;
        }
        RC_ASSERT(std::none_of(engines.begin(), engines.end(), [](const EngineView &engine) { return engine.changing; }));
        RC_ASSERT(!changed.contains(decision.change->endpoint) || now - changed[decision.change->endpoint] >= 60s);
        changed[decision.change->endpoint] = now;
        plan.recordRoleChange(*decision.change, now);
        for (EngineView &engine : engines) {
            engine.role = engine.name == decision.change->endpoint ? decision.change->to : engine.role;
        }
        RC_ASSERT(std::any_of(engines.begin(), engines.end(), [](const EngineView &engine) { return engine.role == EndpointRole::Mixed; }));
    }
}

}

}

/**
 * Tests of QuotaShares and QuotaDivision: the shares in use never add up to more than a customer's rate and burst, whichever divisions the
 * gateways have read.
 */
#include "quotashares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 1000;
constexpr double Burst = 2000;

CustomerQuota customer()
{
    CustomerQuota result;
    result.name = "desk";
    result.countsTokens = true;
    result.rate = Rate;
    result.burst = Burst;
    return result;
}

class QuotaSharesTest : public testing::Test
{
protected:
    static QuotaDivision settledFor(const std::map<std::string, CustomerDemand> &demand)
    {
        QuotaDivision division = divideQuotas(demand);
        division.number = 1;
        division.settled = true;
        return division;
    }

    double spend(QuotaShares &shares, double seconds)
    {
        double spent = 0;
        for (int i = 0; i < static_cast<int>(seconds * 100); ++i) {
            now_ += 10ms;
            spent += shares.admit(customer(), 5, now_).admitted ? 5 : 0;
        }
        return spent;
    }

    TimePoint now_{1000s};
};

TEST_F(QuotaSharesTest, NoDivisionRead_Request_IsNotAdmitted)
{
    QuotaShares shares("vm-1", {});
    EXPECT_FALSE(shares.isUsable(now_));
    EXPECT_FALSE(shares.admit(customer(), 1, now_).admitted);
}

TEST_F(QuotaSharesTest, DivisionNotReadForLong_Request_IsNotAdmitted)
{
    QuotaShares shares("vm-1", {});
    shares.onDivisionRead(settledFor({{"vm-1", {}}}), now_, now_);
    shares.admit(customer(), 1, now_);
    now_ += 1s;
    EXPECT_TRUE(shares.admit(customer(), 1, now_).admitted);
    now_ += 5s;
    EXPECT_FALSE(shares.admit(customer(), 1, now_).admitted);
}

TEST_F(QuotaSharesTest, DivisionNotSettled_ProcessRestarts_SpendsTheSmallerShare)
{
    const QuotaDivision previous = settledFor({{"vm-1", {{"desk", 100}}}, {"vm-2", {{"desk", 100}}}});
    const QuotaDivision unsettled = previous.successor(divideQuotas({{"vm-1", {{"desk", 300}}}, {"vm-2", {{"desk", 100}}}}));
    QuotaShares shares("vm-1", {});
    shares.onDivisionRead(unsettled, now_, now_);
    shares.admit(customer(), 0, now_);
    const double spent = spend(shares, 4);
    EXPECT_GT(spent, 0.45 * Rate * 4);
    EXPECT_LE(spent, 0.5 * (Rate * 4 + Burst));
}

TEST_F(QuotaSharesTest, DemandAtOneVmOnly_Division_GivesItMostAndTheOtherAShare)
{
    const QuotaDivision division = divideQuotas({{"vm-1", {{"desk", 900}}}, {"vm-2", {}}});
    EXPECT_NEAR(division.fractionOf("desk", "vm-1"), 0.75, 0.01);
    EXPECT_NEAR(division.fractionOf("desk", "vm-2"), 0.25, 0.01);
}

TEST_F(QuotaSharesTest, RequestNotRun_Refunded_AnotherIsAdmitted)
{
    QuotaShares shares("vm-1", {});
    shares.onDivisionRead(settledFor({{"vm-1", {}}}), now_, now_);
    shares.admit(customer(), 0, now_);
    now_ += 3s;
    EXPECT_TRUE(shares.admit(customer(), Burst, now_).admitted);
    EXPECT_FALSE(shares.admit(customer(), Burst, now_).admitted);
    shares.refund("desk", Burst);
    EXPECT_TRUE(shares.admit(customer(), Burst, now_).admitted);
}

TEST_F(QuotaSharesTest, FirstRequestOfCustomerLongAfterStart_FullBurst_IsAdmitted)
{
    QuotaShares shares("vm-1", {});
    shares.onDivisionRead(settledFor({{"vm-1", {}}}), now_, now_);
    now_ += 3s;
    EXPECT_TRUE(shares.admit(customer(), Burst, now_).admitted);
}

TEST_F(QuotaSharesTest, FirstDivisionEver_FirstRequest_HasTheFullBurst)
{
    QuotaShares shares("vm-1", {});
    shares.onNoDivisionStored();
    shares.onDivisionRead(settledFor({{"vm-1", {}}}), now_, now_);
    EXPECT_TRUE(shares.admit(customer(), Burst, now_).admitted);
    EXPECT_FALSE(shares.admit(customer(), 1, now_).admitted);
}

TEST_F(QuotaSharesTest, SecondDivisionRead_FirstRequestOfCustomer_BucketStartsEmpty)
{
    const QuotaDivision first = settledFor({{"vm-1", {}}, {"vm-2", {}}});
    QuotaDivision second = first.successor(divideQuotas({{"vm-1", {{"desk", 100}}}, {"vm-2", {}}}));
    second.settled = true;
    QuotaShares shares("vm-1", {});
    shares.onNoDivisionStored();
    shares.onDivisionRead(first, now_, now_);
    shares.onDivisionRead(second, now_, now_);
    EXPECT_FALSE(shares.admit(customer(), 1, now_).admitted);
}

TEST_F(QuotaSharesTest, ShareWasZero_ShareReturns_NothingAccruedMeanwhile)
{
    const QuotaDivision withShare = settledFor({{"vm-1", {}}, {"vm-2", {}}});
    QuotaDivision withoutShare = withShare.successor(divideQuotas({{"vm-2", {}}}));
    withoutShare.settled = true;
    QuotaDivision withShareAgain = withoutShare.successor(divideQuotas({{"vm-1", {}}, {"vm-2", {}}}));
    withShareAgain.settled = true;
    QuotaShares shares("vm-1", {});
    shares.onDivisionRead(withShare, now_, now_);
    shares.admit(customer(), 0, now_);
    shares.onDivisionRead(withoutShare, now_, now_);
    now_ += 10s;
    shares.onDivisionRead(withShareAgain, now_, now_);
    EXPECT_FALSE(shares.admit(customer(), 1, now_).admitted);
}

TEST_F(QuotaSharesTest, CustomerAboveItsRate_RefusedRequests_AreToldIncreasingWaits)
{
    QuotaShares shares("vm-1", {});
    shares.onDivisionRead(settledFor({{"vm-1", {}}}), now_, now_);
    EXPECT_EQ(100ms, std::chrono::duration_cast<Milliseconds>(shares.admit(customer(), 100, now_).wait));
    EXPECT_EQ(200ms, std::chrono::duration_cast<Milliseconds>(shares.admit(customer(), 100, now_).wait));
    EXPECT_EQ(300ms, std::chrono::duration_cast<Milliseconds>(shares.admit(customer(), 100, now_).wait));
}

TEST_F(QuotaSharesTest, Division_SerialisedAndParsed_IsTheSame)
{
    const QuotaDivision division = settledFor({{"vm-1", {{"desk", 1}}}}).successor(divideQuotas({{"vm-2", {{"desk", 2}}}}));
    const auto read = QuotaDivision::fromText(division.toText());
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->fractions, division.fractions);
    EXPECT_EQ(read->previousVms, division.previousVms);
    EXPECT_FALSE(QuotaDivision::fromText("{}").ok());
    EXPECT_FALSE(QuotaDivision::fromText("[1").ok());
}

/**
 * Gateways read the stored division at random times, are cut off from the store and restarted, while the lease holder stores new divisions
 * at random times. Property: in any 8 s, all gateways together spend at most the rate times 8 s plus the burst.
 */
RC_GTEST_PROP(QuotaShares, AnyReadsCutsAndRestarts_AllGateways_StayWithinRateAndBurst, ())
{
    const QuotaShareOptions options;
    const std::vector<std::string> vms{"vm-1", "vm-2", "vm-3"};
    TimePoint now{1000s};
    QuotaDivision stored = divideQuotas({{"vm-1", {}}, {"vm-2", {}}, {"vm-3", {}}});
    stored.number = 1;
    stored.settled = true;
    TimePoint storedAt = now;
    std::map<std::string, std::unique_ptr<QuotaShares>> gateways;
    for (const auto &vm : vms) {
        gateways[vm] = std::make_unique<QuotaShares>(vm, options);
    }
    std::vector<std::pair<TimePoint, double>> spent;
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000));
    for (const int step : steps) {
        now += 50ms * (1 + step % 7);
        const std::string &vm = vms[static_cast<std::size_t>(step / 7 % 3)];
        QuotaShares &gateway = *gateways[vm];
        switch (step % 11) {
        case 0:
        case 1:
        case 2:
            gateway.onDivisionRead(stored, now, now);
            break;
        case 3:
            if (!stored.settled && now - storedAt >= options.settleTime) {
                stored.settled = true;
            } else if (stored.settled) {
                std::map<std::string, CustomerDemand> demand;
                for (std::size_t i = 0; i < vms.size(); ++i) {
                    demand[vms[i]] = {{"desk", static_cast<double>(step * (i + 1) % 97)}};
                }
                stored = stored.successor(divideQuotas(demand));
                storedAt = now;
            }
            break;
        case 4:
            if (step % 5 == 0) {
                gateways[vm] = std::make_unique<QuotaShares>(vm, options);
            }
            break;
        default:
            for (int i = 0; i < 50; ++i) {
                if (gateway.admit(customer(), 25, now).admitted) {
                    spent.emplace_back(now, 25);
                }
            }
        }
    }
    for (std::size_t first = 0; first < spent.size(); ++first) {
        double sum = 0;
        for (std::size_t i = first; i < spent.size() && spent[i].first - spent[first].first <= 8s; ++i) {
            sum += spent[i].second;
        }
        RC_ASSERT(sum <= Rate * 8 + Burst + 0.001);
    }
}

}

}

/**
 * Tests of QuotaShares: a gateway's share accrues only while the gateway may spend it, requests get all of their units or none, and large
 * requests are granted as often as small ones.
 */
#include "quotashares.h"
#include "routecatalogue.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 1000;
constexpr double Burst = 2000;

class QuotaSharesTest : public testing::Test
{
protected:
    QuotaSharesTest()
    {
        customer_.name = "desk";
        customer_.countsTokens = true;
        customer_.rate = Rate;
        customer_.burst = Burst;
    }

    static QuotaDivision settledAmong(const std::vector<std::string> &vms)
    {
        std::vector<GatewayAddress> gateways;
        for (const auto &vm : vms) {
            gateways.push_back({vm, "address of " + vm});
        }
        QuotaDivision division = QuotaDivision{}.successor(gateways);
        division.settled = true;
        return division;
    }

    void read(const QuotaDivision &division)
    {
        shares_.onDivisionRead(division, now_, now_);
    }

    bool take(double units)
    {
        return shares_.take(customer_, units, now_).granted;
    }

    TimePoint now_{1000s};
    CustomerQuota customer_;
    QuotaShares shares_{"vm-1", {}};
};

TEST_F(QuotaSharesTest, NoDivisionRead_Request_IsNotGranted)
{
    EXPECT_FALSE(shares_.isUsable(now_));
    const ShareDecision decision = shares_.take(customer_, 1, now_);
    EXPECT_FALSE(decision.granted);
    EXPECT_FALSE(decision.isHolder);
}

TEST_F(QuotaSharesTest, DivisionNotConfirmedForLong_Request_IsNotGranted)
{
    read(settledAmong({"vm-1"}));
    now_ += 1s;
    EXPECT_TRUE(take(1));
    now_ += QuotaShareOptions{}.maxAge;
    EXPECT_FALSE(take(1));
}

TEST_F(QuotaSharesTest, DivisionConfirmed_Request_IsGrantedBeyondTheMaximumAge)
{
    read(settledAmong({"vm-1"}));
    for (int i = 0; i < 10; ++i) {
        now_ += 2s;
        shares_.onDivisionConfirmed(now_, now_);
    }
    EXPECT_TRUE(take(1));
}

TEST_F(QuotaSharesTest, NotAHolder_Request_IsNotGrantedAndSaysSo)
{
    read(settledAmong({"vm-2", "vm-3"}));
    now_ += 5s;
    const ShareDecision decision = shares_.take(customer_, 1, now_);
    EXPECT_FALSE(decision.granted);
    EXPECT_FALSE(decision.isHolder);
}

TEST_F(QuotaSharesTest, CutOffWhileAnotherHeldTheShare_DivisionReadAgain_NothingAccruedMeanwhile)
{
    const QuotaDivision first = settledAmong({"vm-1"});
    read(first);
    now_ += 10s;
    shares_.onDivisionConfirmed(now_, now_);
    ASSERT_TRUE(take(Burst));
    // Two divisions follow while this gateway is cut off: the first one gives its share to another gateway, the second gives it back.
    QuotaDivision third = first.successor({{"vm-2", "b"}}).successor({{"vm-1", "a"}});
    third.settled = true;
    now_ += 30s;
    read(third);
    const double accruedWhileFresh = Rate * toSeconds(QuotaShareOptions{}.maxAge);
    ASSERT_GT(accruedWhileFresh, Burst);
    ASSERT_TRUE(take(Burst));
    EXPECT_FALSE(take(1));
}

TEST_F(QuotaSharesTest, StaleBetweenTwoRequests_ShareEmptyBefore_AccruesOnlyWhileFresh)
{
    QuotaShareOptions options;
    options.maxAge = 500ms;
    options.settleTime = 600ms;
    shares_ = QuotaShares("vm-1", options);
    read(settledAmong({"vm-1"}));
    now_ += 100ms;
    ASSERT_TRUE(take(100));
    now_ += 10s;
    shares_.onDivisionConfirmed(now_, now_);
    EXPECT_TRUE(take(400));
    EXPECT_FALSE(take(10));
}

TEST_F(QuotaSharesTest, DivisionNotSettled_NewHolder_SpendsNothingUntilItIsSettled)
{
    QuotaDivision division = settledAmong({"vm-2"}).successor({{"vm-1", "a"}});
    read(division);
    now_ += 2s;
    EXPECT_FALSE(take(1));
    division.settled = true;
    read(division);
    now_ += 1s;
    EXPECT_TRUE(take(900));
}

TEST_F(QuotaSharesTest, LeaseHolderLostBeforeSettling_SettleTimePasses_NewHolderSpends)
{
    read(settledAmong({"vm-2"}).successor({{"vm-1", "a"}}));
    for (Duration waited{}; waited < QuotaShareOptions{}.settleTime; waited += 1s) {
        EXPECT_FALSE(take(1));
        now_ += 1s;
        shares_.onDivisionConfirmed(now_, now_);
    }
    EXPECT_FALSE(take(1));
    now_ += 1s;
    EXPECT_TRUE(take(900));
}

TEST_F(QuotaSharesTest, FirstRequestOfCustomerLongAfterStart_FullBurst_IsGranted)
{
    read(settledAmong({"vm-1"}));
    now_ += 3s;
    EXPECT_TRUE(take(Burst));
}

TEST_F(QuotaSharesTest, FirstDivisionEver_FirstRequest_HasTheFullBurst)
{
    shares_.onNoDivisionStored();
    read(settledAmong({"vm-1"}));
    EXPECT_TRUE(take(Burst));
    EXPECT_FALSE(take(1));
}

TEST_F(QuotaSharesTest, SecondDivisionRead_FirstRequestOfCustomer_ShareStartsEmpty)
{
    const QuotaDivision first = settledAmong({"vm-1", "vm-2"});
    QuotaDivision second = first.successor({{"vm-1", "a"}, {"vm-2", "b"}, {"vm-3", "c"}});
    second.settled = true;
    shares_.onNoDivisionStored();
    read(first);
    read(second);
    EXPECT_FALSE(take(1));
}

TEST_F(QuotaSharesTest, ShareWasGivenAway_ShareReturns_NothingAccruedMeanwhile)
{
    const QuotaDivision withShare = settledAmong({"vm-1", "vm-2"});
    QuotaDivision withoutShare = withShare.successor({{"vm-2", "b"}});
    withoutShare.settled = true;
    QuotaDivision withShareAgain = withoutShare.successor({{"vm-1", "a"}, {"vm-2", "b"}});
    withShareAgain.settled = true;
    read(withShare);
    take(0);
    read(withoutShare);
    now_ += 5s;
    read(withShareAgain);
    EXPECT_FALSE(take(1));
}

TEST_F(QuotaSharesTest, RequestNotRun_Refunded_AnotherIsGranted)
{
    read(settledAmong({"vm-1"}));
    now_ += 3s;
    EXPECT_TRUE(take(Burst));
    EXPECT_FALSE(take(Burst));
    shares_.refund("desk", Burst, now_);
    EXPECT_TRUE(take(Burst));
}

TEST_F(QuotaSharesTest, GrantReturnedTwice_Share_CountsItOnce)
{
    read(settledAmong({"vm-1"}));
    now_ += 3s;
    ASSERT_TRUE(shares_.grant(customer_, {7, 1}, 1500, now_).granted);
    shares_.onGrantReturned("desk", {7, 1}, 1500, now_);
    shares_.onGrantReturned("desk", {7, 1}, 1500, now_);
    EXPECT_TRUE(take(Burst));
    EXPECT_FALSE(take(1));
}

TEST_F(QuotaSharesTest, CustomerAboveItsRate_RefusedRequests_AreToldIncreasingWaits)
{
    read(settledAmong({"vm-1"}));
    EXPECT_EQ(100ms, std::chrono::duration_cast<Milliseconds>(shares_.take(customer_, 100, now_).wait));
    EXPECT_EQ(200ms, std::chrono::duration_cast<Milliseconds>(shares_.take(customer_, 100, now_).wait));
    EXPECT_EQ(300ms, std::chrono::duration_cast<Milliseconds>(shares_.take(customer_, 100, now_).wait));
}

/** Pattern: a customer far above its limit sends many small requests and few that are twenty times as large. */
TEST_F(QuotaSharesTest, CustomerAboveItsRate_LargeRequestsAmongSmallOnes_AreGrantedAsOften)
{
    read(settledAmong({"vm-1"}));
    int small = 0;
    int smallGranted = 0;
    int large = 0;
    int largeGranted = 0;
    for (int i = 0; i < 60000; ++i) {
        now_ += 1ms;
        shares_.onDivisionConfirmed(now_, now_);
        const bool isLarge = i % 97 == 0;
        (isLarge ? large : small) += 1;
        (isLarge ? largeGranted : smallGranted) += take(isLarge ? 200 : 10) ? 1 : 0;
    }
    const double smallShare = static_cast<double>(smallGranted) / small;
    const double largeShare = static_cast<double>(largeGranted) / large;
    EXPECT_LT(smallShare, 0.5);
    EXPECT_GT(largeShare, smallShare * 0.5);
}

}

}

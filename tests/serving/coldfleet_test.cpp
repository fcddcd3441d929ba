/**
 * A cold endpoint behind 1 to 103 gateways that all want to send it more than it tolerates, while the division of gateways changes, half of
 * them hold an older one, gateways pause and the store is cut off.
 */
#include "coldstarts.h"
#include "quotashares.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 34;
constexpr double Over = 1.5;
constexpr double Slack = 5;
constexpr double Bound = Rate * Over + Slack;
constexpr Duration Step = 10ms;
const Duration MaxAge = QuotaShareOptions{}.maxAge;

std::string nameOfGateway(std::size_t number)
{
    return "entry-" + std::to_string(number);
}

QuotaDivision divisionOf(std::uint64_t number, std::size_t first, std::size_t count)
{
    QuotaDivision division;
    division.number = number;
    division.settled = true;
    for (std::size_t i = first; i < first + count; ++i) {
        division.gateways.push_back({nameOfGateway(i), "10.0.0.1:1"});
    }
    return division;
}

class ColdFleetTest : public testing::TestWithParam<std::size_t>
{
protected:
    struct Gateway
    {
        explicit Gateway(const std::string &vm)
            : starts(ColdShares(vm, MaxAge))
        {
            starts.setServices({{"app", {{Rate, Bound}, 1h}}});
        }

        ColdStarts starts;
        /** The store can be reached. */
        bool isConnected = true;
        TimePoint pausedUntil{};
        /** Units taken before a pause. */
        std::size_t unsent = 0;
        bool knowsDivision = false;
    };

    ColdFleetTest()
    {
        cold_.id = "app-1";
        cold_.service = "app";
        cold_.address = {"10.1.0.1", 80};
        cold_.startedAt = 1000;
        cold_.coldStartRemaining = 1h;
    }

    void addGateways(std::size_t count)
    {
        while (gateways_.size() < count) {
            gateways_.push_back(std::make_unique<Gateway>(nameOfGateway(gateways_.size())));
            gateways_.back()->starts.onAllEntries({cold_}, now_);
        }
    }

    void read(std::size_t gateway, const QuotaDivision &division)
    {
        gateways_[gateway]->starts.shares().onDivisionRead(division, now_, now_);
        gateways_[gateway]->knowsDivision = true;
    }

    void readAll(std::size_t count, const QuotaDivision &division)
    {
        for (std::size_t i = 0; i < count; ++i) {
            read(i, division);
        }
    }

    void send(Gateway &gateway)
    {
        gateway.starts.onSent(ColdStarts::runOf(cold_), now_);
        arrivals_.push_back(now_);
        ++sent_;
    }

    /** The gateway sends what it may; units that it took before a pause first. */
    void serve(Gateway &gateway)
    {
        for (; gateway.unsent > 0; --gateway.unsent) {
            if (gateway.starts.maySendTaken(cold_, now_)) {
                send(gateway);
            } else {
                gateway.starts.giveBack(ColdStarts::runOf(cold_));
            }
        }
        while (gateway.starts.take(cold_, now_)) {
            send(gateway);
        }
    }

    void step()
    {
        now_ += Step;
        for (const auto &gateway : gateways_) {
            if (now_ < gateway->pausedUntil) {
                continue;
            }
            if (gateway->isConnected && gateway->knowsDivision) {
                gateway->starts.shares().onDivisionConfirmed(now_);
            }
            serve(*gateway);
        }
        while (!arrivals_.empty() && now_ - arrivals_.front() >= 1s) {
            arrivals_.pop_front();
        }
        most_ = std::max(most_, arrivals_.size());
    }

    void run(Duration time)
    {
        const TimePoint end = now_ + time;
        while (now_ < end) {
            step();
        }
    }

    /** @return the requests that arrive in that time. */
    std::size_t sentWithin(Duration time)
    {
        const std::size_t before = sent_;
        run(time);
        return sent_ - before;
    }

    /** All gateways follow a change of the division as the holder of the duties writes it, each with a delay of its own. */
    void changeDivision(const QuotaDivision &before, QuotaDivision after, std::mt19937 &random, Duration maxDelay)
    {
        after.settled = false;
        after.previousVms = before.vms();
        followDivision(after, random, maxDelay);
        after.settled = true;
        followDivision(after, random, maxDelay);
    }

    void followDivision(const QuotaDivision &division, std::mt19937 &random, Duration maxDelay)
    {
        std::multimap<TimePoint, std::size_t> reads;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            const auto steps = std::uniform_int_distribution<std::int64_t>(0, maxDelay / Step)(random);
            reads.emplace(now_ + steps * Step, i);
        }
        for (const auto &[time, gateway] : reads) {
            while (now_ < time) {
                step();
            }
            if (gateways_[gateway]->isConnected) {
                read(gateway, division);
            }
        }
    }

    std::vector<std::unique_ptr<Gateway>> gateways_;
    EndpointRecord cold_;
    TimePoint now_{1h};
    std::deque<TimePoint> arrivals_;
    std::size_t sent_ = 0;
    std::size_t most_ = 0;
};

// Guards against shares that add up to more than the rate, and against rounding that leaves most of it unused.
TEST_P(ColdFleetTest, AllKnowTheDivision_RequestsInAnySecond_AreWithinTheRateAndUseMostOfIt)
{
    addGateways(GetParam());
    readAll(GetParam(), divisionOf(1, 0, GetParam()));
    run(2s);
    most_ = 0;
    run(5s);
    EXPECT_LE(most_, static_cast<std::size_t>(Rate));
    EXPECT_GE(most_, static_cast<std::size_t>(Rate * 0.9));
}

// Guards against a sum beyond the bound where half of the gateways don't know yet that one of them was replaced. Such a division isn't
// settled.
TEST_P(ColdFleetTest, HalfHoldTheOlderDivision_RequestsInAnySecond_AreWithinTheBoundAndSomeAreSent)
{
    const std::size_t count = GetParam();
    QuotaDivision newer = divisionOf(2, 1, count);
    newer.settled = false;
    newer.previousVms = divisionOf(1, 0, count).vms();
    for (const std::size_t firstToKnow : {0U, 1U}) {
        gateways_.clear();
        arrivals_.clear();
        addGateways(count + 1);
        readAll(count, divisionOf(1, 0, count));
        run(3s);
        for (std::size_t i = firstToKnow; i <= count; i += 2) {
            read(i, newer);
        }
        run(6s);
        // A gateway that is replaced may be the only one that knows it yet.
        const bool mayNoneSend = count == 1 && firstToKnow == 0;
        EXPECT_TRUE(sentWithin(2s) > 0 || mayNoneSend);
        EXPECT_LE(static_cast<double>(most_), Bound);
    }
}

// Guards against the same where one has joined, also if the newer division is taken for settled too early.
TEST_P(ColdFleetTest, HalfDoNotKnowThatOneHasJoined_RequestsInAnySecond_AreWithinTheBound)
{
    const std::size_t count = GetParam();
    addGateways(count + 1);
    readAll(count, divisionOf(1, 0, count));
    run(3s);
    for (std::size_t i = count % 2; i <= count; i += 2) {
        read(i, divisionOf(2, 0, count + 1));
    }
    run(6s);
    EXPECT_LE(static_cast<double>(most_), Bound);
    EXPECT_GT(sentWithin(2s), 0U);
}

// Guards against the same where the division changes wholly: a fleet that is replaced, grows from one gateway or shrinks to one.
TEST_P(ColdFleetTest, DivisionChangesWholly_RequestsInAnySecond_AreWithinTheBoundAndSomeAreSent)
{
    const std::size_t count = GetParam();
    std::mt19937 random(20261204);
    for (unsigned run = 0; run < 5; ++run) {
        gateways_.clear();
        arrivals_.clear();
        cold_.id = "app-" + std::to_string(run);
        addGateways(2 * count + 1);
        const std::vector<QuotaDivision> divisions{divisionOf(1, 0, 1),
                                                   divisionOf(2, 0, count),
                                                   divisionOf(3, count, count),
                                                   divisionOf(4, 0, 2 * count),
                                                   divisionOf(5, 2 * count, 1)};
        readAll(gateways_.size(), divisions.front());
        this->run(2s);
        for (std::size_t i = 1; i < divisions.size(); ++i) {
            changeDivision(divisions[i - 1], divisions[i], random, 800ms);
            EXPECT_GT(sentWithin(1500ms), 0U) << "division " << i + 1;
        }
    }
    EXPECT_LE(static_cast<double>(most_), Bound);
}

// Guards against gateways that send what they took before a pause, or apply a division that others have succeeded meanwhile.
TEST_P(ColdFleetTest, GatewaysPauseWhileTheDivisionChanges_RequestsInAnySecond_AreWithinTheBound)
{
    const std::size_t count = GetParam();
    std::mt19937 random(7);
    addGateways(count + 1);
    QuotaDivision current = divisionOf(1, 0, count);
    readAll(count, current);
    run(2s);
    for (std::uint64_t number = 2; number < 12; ++number) {
        for (const auto &gateway : gateways_) {
            if (random() % 3 == 0) {
                while (gateway->starts.take(cold_, now_)) {
                    ++gateway->unsent;
                }
                gateway->isConnected = false;
                gateway->pausedUntil = now_ + Milliseconds(random() % 3000);
            }
        }
        run(1s);
        // The division is settled without the paused ones only after the time for which they may apply the older one.
        const QuotaDivision next = divisionOf(number, number % 2, count);
        QuotaDivision open = next;
        open.settled = false;
        open.previousVms = current.vms();
        followDivision(open, random, 500ms);
        run(QuotaShareOptions{}.settleTime);
        followDivision(next, random, 500ms);
        run(1s);
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            gateways_[i]->isConnected = true;
            read(i, next);
        }
        current = next;
        run(1s);
    }
    EXPECT_LE(static_cast<double>(most_), Bound);
    EXPECT_GT(sentWithin(1s), 0U);
}

// Guards against a cut-off part of the fleet that goes on with whole shares beside the rest, and against one that sends nothing.
TEST_P(ColdFleetTest, PartIsCutOffFromTheStore_RequestsInAnySecond_AreWithinTheBound)
{
    const std::size_t count = GetParam();
    addGateways(2 * count);
    const QuotaDivision before = divisionOf(1, 0, 2 * count);
    readAll(2 * count, before);
    run(2s);
    for (std::size_t i = 0; i < count; ++i) {
        gateways_[i]->isConnected = false;
    }
    run(1s);
    QuotaDivision after = divisionOf(2, count, count);
    std::mt19937 random(3);
    after.settled = false;
    after.previousVms = before.vms();
    followDivision(after, random, 500ms);
    run(QuotaShareOptions{}.settleTime);
    after.settled = true;
    followDivision(after, random, 500ms);
    run(3s);
    EXPECT_LE(static_cast<double>(most_), Bound);
}

// Guards against endpoints that no gateway may use, since the store is down for all.
TEST_P(ColdFleetTest, StoreIsDownForAll_SomeGateway_MaySend)
{
    addGateways(GetParam());
    readAll(GetParam(), divisionOf(1, 0, GetParam()));
    for (const auto &gateway : gateways_) {
        gateway->isConnected = false;
    }
    run(10s);
    EXPECT_GE(sentWithin(1s), 10U);
    EXPECT_LE(static_cast<double>(most_), Bound);
}

// Guards against a choice of gateways that falls on the same ones for all endpoints.
TEST_P(ColdFleetTest, ManyEndpointsAreCold_EachGateway_IsChosenForSome)
{
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < GetParam(); ++i) {
        ColdShares shares(nameOfGateway(i), MaxAge);
        shares.onDivisionRead(divisionOf(1, 0, GetParam()), now_, now_ - 2s);
        bool isChosen = false;
        for (int run = 0; run < 1000 && !isChosen; ++run) {
            isChosen = shares.shareOf("app-" + std::to_string(run), {Rate, Bound}, now_) > 0;
        }
        chosen += isChosen ? 1 : 0;
    }
    EXPECT_EQ(chosen, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdFleetTest, testing::Values(1, 2, 3, 31, 103));

}

}

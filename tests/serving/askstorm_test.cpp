/**
 * A fleet of gateways with little processor time that ask each other for units of limits. Guards against an overload of the askers that
 * goes on by itself after its cause has ended: probes and new connections to holders that are only late must not cost more than the
 * gateways have. Processors and messages are modelled; there is no network.
 */
#include "quotacollector.h"
#include "reconnectpolicy.h"
#include "rendezvous.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Gateways = 40;
constexpr std::size_t Customers = 40;
constexpr std::size_t Holders = 4;
/** Elapsed time of work on a VM that has 0.09 of a processor. */
constexpr Duration RequestWork = 20ms;
constexpr Duration MessageWork = 3ms;
constexpr Duration HandshakeWork = 11ms;
constexpr Duration PollWork = 1ms;
constexpr Duration PollInterval = 40ms;
constexpr Duration Transit = 1ms;

/** One gateway. Its work is done one item after the other. */
struct AskingNode
{
    std::string vm;
    TimePoint busyUntil{};
    TimePoint timerDueAt{1000s};
    Duration lateness{};
    QuotaCollector collector{QuotaCollectorOptions{}};
    /** Number of the connection to each holder; answers on a former one are lost. */
    std::map<std::size_t, int> connections;
    std::map<std::size_t, ReconnectPolicy> reconnectPolicies;
};

class AskingFleet
{
public:
    AskingFleet()
    {
        std::vector<std::string> vms;
        for (std::size_t i = 0; i < Gateways; ++i) {
            nodes_.push_back(std::make_unique<AskingNode>());
            nodes_.back()->vm = std::to_string(i);
            vms.push_back(std::to_string(i));
            work(i, PollWork, [this, i] { onTimer(i); });
        }
        for (std::size_t i = 0; i < Customers; ++i) {
            holders_.push_back(rendezvous("customer-" + std::to_string(i), vms, Holders));
        }
    }

    /** Requests arrive evenly at all gateways. @param rate requests a second at each gateway. */
    void run(Duration time, double rate)
    {
        const TimePoint end = now_ + time;
        const Duration gap = fromSeconds(1 / rate / Gateways);
        for (TimePoint at = now_; at < end; at += gap) {
            events_.push({at, ++lastEvent_, [this] { onArrival(lastRequest_++ % Gateways); }});
        }
        while (!events_.empty() && events_.top().at < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        now_ = end;
    }

    /** All work of the gateway that comes from now on is done that much later. */
    void setLateness(std::size_t index, Duration lateness)
    {
        nodes_[index]->lateness = lateness;
    }

    /** The gateway does nothing for that long. */
    void standStill(std::size_t index, Duration time)
    {
        nodes_[index]->busyUntil = now_ + time;
    }

    std::vector<std::size_t> holdersOf(std::size_t customer) const
    {
        std::vector<std::size_t> result;
        for (const std::string &vm : holders_[customer]) {
            result.push_back(std::stoul(vm));
        }
        return result;
    }

    /** Of all customers, the smallest fraction of requests admitted of those decided since the last call. */
    double worstAdmittedFraction()
    {
        double worst = 1;
        for (Verdicts &each : verdicts_) {
            worst = each.decided == 0 ? worst : std::min(worst, static_cast<double>(each.admitted) / static_cast<double>(each.decided));
            each = {};
        }
        return worst;
    }

    std::uint64_t reconnects() const
    {
        return reconnects_;
    }

    std::uint64_t admitted() const
    {
        return admitted_;
    }

    std::uint64_t decided() const
    {
        return decided_;
    }

private:
    struct Verdicts
    {
        std::uint64_t decided = 0;
        std::uint64_t admitted = 0;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void after(Duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++lastEvent_, std::move(action)});
    }

    /** Does an item of work when the gateway has done all earlier ones. */
    void work(std::size_t index, Duration cost, std::function<void()> action)
    {
        TimePoint &busyUntil = nodes_[index]->busyUntil;
        busyUntil = std::max(busyUntil, now_) + cost;
        after(busyUntil - now_ + nodes_[index]->lateness, std::move(action));
    }

    void onArrival(std::size_t index)
    {
        // Gateways refuse requests while their event loops are late.
        if (nodes_[index]->busyUntil - now_ > 400ms) {
            return;
        }
        work(index, RequestWork, [this, index] {
            CollectionRequest request;
            request.id = ++lastId_;
            request.customer = "customer";
            request.units = 1;
            request.holders = rendezvous(nodes_[index]->vm, holders_[lastId_ % Customers], Holders);
            nodes_[index]->collector.start(std::move(request));
            poll(index);
        });
    }

    void onTimer(std::size_t index)
    {
        AskingNode &node = *nodes_[index];
        node.collector.expireAsks(now_, now_ - node.timerDueAt);
        poll(index);
        node.timerDueAt = now_ + PollInterval;
        after(PollInterval, [this, index] { work(index, PollWork, [this, index] { onTimer(index); }); });
    }

    void poll(std::size_t index)
    {
        AskingNode &node = *nodes_[index];
        for (bool hasActions = true; hasActions;) {
            const CollectorActions actions = node.collector.poll(now_);
            for (const std::string &holder : actions.silentHolders) {
                if (policyOf(index, std::stoul(holder)).onUnanswered(now_)) {
                    reconnect(index, std::stoul(holder));
                }
            }
            for (const QuotaAsk &ask : actions.asks) {
                send(index, std::stoul(ask.holder), ask.number);
            }
            for (const QuotaVerdict &verdict : actions.verdicts) {
                ++decided_;
                Verdicts &ofCustomer = verdicts_[verdict.request % Customers];
                ++ofCustomer.decided;
                ofCustomer.admitted += verdict.result == QuotaVerdict::Result::Admitted ? 1 : 0;
                admitted_ += verdict.result == QuotaVerdict::Result::Admitted ? 1 : 0;
            }
            hasActions = !actions.verdicts.empty();
        }
    }

    ReconnectPolicy &policyOf(std::size_t from, std::size_t to)
    {
        return nodes_[from]->reconnectPolicies.try_emplace(to, ReconnectOptions{}, from * Gateways + to).first->second;
    }

    void reconnect(std::size_t from, std::size_t to)
    {
        ++reconnects_;
        ++nodes_[from]->connections[to];
        work(from, HandshakeWork, [] {});
        after(Transit, [this, to] { work(to, HandshakeWork, [] {}); });
    }

    void send(std::size_t from, std::size_t to, std::uint64_t number)
    {
        const int connection = nodes_[from]->connections[to];
        after(Transit, [this, from, to, number, connection] {
            work(to, MessageWork, [this, from, to, number, connection] {
                after(Transit, [this, from, to, number, connection] { onAnswer(from, to, number, connection); });
            });
        });
    }

    void onAnswer(std::size_t index, std::size_t holder, std::uint64_t number, int connection)
    {
        if (nodes_[index]->connections[holder] != connection) {
            return;
        }
        work(index, MessageWork, [this, index, holder, number] {
            policyOf(index, holder).onHeard();
            nodes_[index]->collector.onAnswer(number, {true, true, {}}, now_);
            poll(index);
        });
    }

    TimePoint now_{1000s};
    std::vector<std::unique_ptr<AskingNode>> nodes_;
    std::vector<std::vector<std::string>> holders_;
    std::priority_queue<Event> events_;
    std::uint64_t lastEvent_ = 0;
    std::size_t lastRequest_ = 0;
    std::uint64_t lastId_ = 0;
    std::uint64_t reconnects_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t decided_ = 0;
    std::vector<Verdicts> verdicts_ = std::vector<Verdicts>(Customers);
};

class AskStormTest : public testing::Test
{
protected:
    void SetUp() override
    {
        fleet_.run(5s, UsualRate);
        fleet_.run(4s, 6 * UsualRate);
        fleet_.run(5s, UsualRate);
    }

    /** Requests a second at each gateway. */
    static constexpr double UsualRate = 10;

    AskingFleet fleet_;
};

TEST_F(AskStormTest, OverloadHasEnded_Requests_AreAdmittedAgain)
{
    const auto decidedBefore = fleet_.decided();
    const auto admittedBefore = fleet_.admitted();
    fleet_.run(10s, UsualRate);
    const auto decided = static_cast<double>(fleet_.decided() - decidedBefore);
    EXPECT_GT(decided, 0.9 * UsualRate * 10 * Gateways);
    EXPECT_GT(static_cast<double>(fleet_.admitted() - admittedBefore), 0.99 * decided);
}

TEST_F(AskStormTest, OverloadHasEnded_Connections_AreNotReplacedAnyMore)
{
    const auto before = fleet_.reconnects();
    fleet_.run(10s, UsualRate);
    EXPECT_EQ(before, fleet_.reconnects());
}

// Guards against a customer of whom almost nothing is served (SHORT) because the gateways that hold its limit are late.
class LateHoldersTest : public testing::TestWithParam<int>
{
protected:
    static constexpr double UsualRate = 10;

    AskingFleet fleet_;
};

TEST_P(LateHoldersTest, AllHoldersOfOneCustomerAreLate_EachCustomer_IsServed)
{
    for (const std::size_t holder : fleet_.holdersOf(0)) {
        fleet_.setLateness(holder, Milliseconds(GetParam()));
    }
    fleet_.run(5s, UsualRate);
    fleet_.worstAdmittedFraction();
    fleet_.run(10s, UsualRate);
    EXPECT_GT(fleet_.worstAdmittedFraction(), 0.9);
}

INSTANTIATE_TEST_SUITE_P(Milliseconds, LateHoldersTest, testing::Values(100, 200, 300));

// Guards against a gateway that stood still once and is then kept from answering by all others that renew their connections to it.
TEST_F(AskStormTest, OneGatewayStoodStill_FiveSecondsLater_AllAskItAndAreAnswered)
{
    fleet_.standStill(fleet_.holdersOf(0).front(), 7s);
    fleet_.run(12s, UsualRate);
    fleet_.worstAdmittedFraction();
    const auto before = fleet_.reconnects();
    fleet_.run(5s, UsualRate);
    EXPECT_GT(fleet_.worstAdmittedFraction(), 0.99);
    EXPECT_EQ(before, fleet_.reconnects());
}

}

}

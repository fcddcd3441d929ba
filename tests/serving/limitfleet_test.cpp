/**
 * A limit that an endpoint names, across 1 to 103 gateways that learn of it from their own answers and from each other's asks, while
 * messages are lost and late, gateways restart, demand is uneven, and the limit rises, falls and ends.
 */
#include "endpointlimits.h"
#include "quotacollector.h"
#include "quotashares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 5ms;
constexpr Duration Window = 4s;
/** From this time after an endpoint first named a limit, it must hold. */
constexpr Duration ContactTime = 3s;
/** Requests count from this time after their gateway passed on an answer that named the limit. */
constexpr Duration ToldTime = 500ms;
/** What the users' rule allows in a window, as a factor of the limit and a number of requests beyond it. */
constexpr double RuleFactor = 1.5;
constexpr double RuleSlack = 5;
/** What is to be kept while the limit doesn't change; a request is indivisible. */
constexpr double GoalFactor = 1.25;
constexpr double GoalSlack = 1;
/** The least of the limit that is to be used while there is demand. */
constexpr double LeastUse = 0.9;

/** Where requests for the endpoint come from. */
enum class Demand {
    /** The same at each gateway. */
    Even,
    /** All at one gateway. */
    One,
    /** Half of the gateways get most of it. */
    Uneven,
};

/** Faults of a design, to check that the tests detect them. */
enum class Fault {
    None,
    /** Each gateway keeps to the whole limit for itself. */
    LimitOfItsOwn,
    /** Each gateway keeps to an equal part of the limit. */
    EvenParts,
};

struct Scenario
{
    std::size_t gateways = 5;
    Demand demand = Demand::Even;
    /** Requests a second that all gateways together have for the endpoint. */
    double requestsPerSecond = 60;
    /** One message in as many is lost, another is late; 0 for none. */
    unsigned faultyMessages = 0;
    /** Time between two restarts of gateways; 0 for none. */
    Duration restartInterval{};
    Fault fault = Fault::None;
    unsigned seed = 1;
};

/** One gateway process. */
struct Node
{
    Node(const std::string &name, std::uint64_t number)
        : vm(name)
        , incarnation(number)
        , shares(name, EndpointLimits::shareOptions())
        , collector(EndpointLimits::collectorOptions())
    {
    }

    std::string vm;
    std::uint64_t incarnation;
    QuotaShares shares;
    QuotaCollector collector;
    EndpointLimits limits;
    /** When it first passed on an answer that named a limit; a process that has restarted has not. */
    std::optional<TimePoint> toldAt;
    /** For the faulty designs. */
    double ownUnits = 0;
    TimePoint ownUnitsAt{};
};

class LimitedFleet
{
public:
    explicit LimitedFleet(const Scenario &scenario)
        : scenario_(scenario)
        , random_(scenario.seed)
    {
        for (std::size_t i = 0; i < scenario.gateways; ++i) {
            division_.gateways.push_back({"vm-" + std::to_string(i), ""});
        }
        division_.number = 1;
        division_.settled = true;
        for (std::size_t i = 0; i < scenario.gateways; ++i) {
            nodes_.push_back(startNode(i));
        }
    }

    /** The endpoint names this limit from now on, or none. */
    void setLimit(std::optional<double> perSecond)
    {
        limit_ = perSecond;
        changes_.push_back({now_, perSecond});
    }

    void run(Duration time)
    {
        for (const TimePoint end = now_ + time; now_ < end;) {
            now_ += Step;
            restartNodes();
            sendRequests();
            deliver();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                poll(i);
            }
        }
    }

    TimePoint now() const
    {
        return now_;
    }

    /** Arrivals in [from, to) from gateways that had been told for long enough, or from all. */
    double arrivals(TimePoint from, TimePoint to, bool toldOnly) const
    {
        return static_cast<double>(std::count_if(arrivals_.begin(), arrivals_.end(), [&](const Arrival &arrival) {
            return arrival.at >= from && arrival.at < to && (arrival.isTold || !toldOnly);
        }));
    }

    /** The most by which the arrivals in any window that begins in [from, to) exceed this factor of what the limit allows. */
    double worstExcess(TimePoint from, TimePoint to, double factor) const
    {
        double worst = -1e9;
        for (const Arrival &first : arrivals_) {
            if (first.at >= from && first.at < to) {
                worst = std::max(worst, arrivals(first.at, first.at + Window, true) - factor * allowedIn(first.at, first.at + Window));
            }
        }
        return worst;
    }

private:
    struct Arrival
    {
        TimePoint at;
        bool isTold = false;
    };
    struct Change
    {
        TimePoint at;
        std::optional<double> perSecond;
    };
    /** An ask or its answer on the way, or an answer of the endpoint. */
    struct Message
    {
        enum class Kind {
            Ask,
            Grant,
            EndpointAnswer,
        };
        Kind kind = Kind::Ask;
        TimePoint dueAt;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        QuotaAsk ask;
        QuotaAnswer answer;
        std::optional<EndpointLimits::Observation> observation;
    };

    std::unique_ptr<Node> startNode(std::size_t index)
    {
        auto node = std::make_unique<Node>("vm-" + std::to_string(index), ++lastIncarnation_);
        node->shares.onDivisionRead(division_, now_, now_);
        return node;
    }

    /** What the limits that were in force allow in that time; practically unlimited where there was none. */
    double allowedIn(TimePoint from, TimePoint to) const
    {
        constexpr double Unlimited = 1e6;
        double sum = 0;
        for (std::size_t i = 0; i < changes_.size(); ++i) {
            // Requests that were decided just before a change arrive just after it, and gateways learn of it by their next answer.
            const TimePoint end = i + 1 < changes_.size() ? changes_[i + 1].at + ToldTime : TimePoint::max();
            const Duration overlap = std::min(to, end) - std::max(from, changes_[i].at);
            sum += overlap > Duration::zero() ? toSeconds(overlap) * changes_[i].perSecond.value_or(Unlimited) : 0;
        }
        return sum;
    }

    double demandOf(std::size_t index) const
    {
        const double even = scenario_.requestsPerSecond / static_cast<double>(scenario_.gateways);
        switch (scenario_.demand) {
        case Demand::Even:
            return even;
        case Demand::One:
            return index == scenario_.gateways / 2 ? scenario_.requestsPerSecond : 0;
        case Demand::Uneven:
            return index % 2 == 0 ? 1.8 * even : 0.2 * even;
        }
        return 0;
    }

    void restartNodes()
    {
        if (scenario_.restartInterval > Duration::zero() && now_ >= nextRestartAt_) {
            nextRestartAt_ = now_ + scenario_.restartInterval;
            const std::size_t index = random_() % nodes_.size();
            nodes_[index] = startNode(index);
        }
    }

    void sendRequests()
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            std::poisson_distribution<int> requests(demandOf(i) * toSeconds(Step));
            for (int left = requests(random_); left > 0; --left) {
                startRequest(i);
            }
        }
    }

    void startRequest(std::size_t index)
    {
        Node &node = *nodes_[index];
        const RateLimit *limit = node.limits.find(Run);
        if (limit == nullptr) {
            sendToEndpoint(index);
            return;
        }
        if (scenario_.fault != Fault::None) {
            const double parts = scenario_.fault == Fault::EvenParts ? static_cast<double>(nodes_.size()) : 1;
            takeOwnUnit(node, index, limit->rate / parts);
            return;
        }
        if (now_ < node.limits.usedUpUntil(Run)) {
            return;
        }
        const auto holders = node.shares.division().askingOrder(Run, node.vm, limit->maxHolders);
        node.collector.start({++lastRequest_, Run, 1, 0, holders});
        poll(index);
    }

    void takeOwnUnit(Node &node, std::size_t index, double rate)
    {
        node.ownUnits = std::min(1.0, node.ownUnits + rate * toSeconds(now_ - node.ownUnitsAt));
        node.ownUnitsAt = now_;
        if (node.ownUnits >= 1) {
            node.ownUnits -= 1;
            sendToEndpoint(index);
        }
    }

    void sendToEndpoint(std::size_t index)
    {
        const Node &node = *nodes_[index];
        const TimePoint at = now_ + 5ms;
        arrivals_.push_back({at, node.toldAt && at - *node.toldAt >= ToldTime});
        Message message;
        message.kind = Message::Kind::EndpointAnswer;
        message.to = index;
        message.incarnation = node.incarnation;
        message.dueAt = at + 1ms * (10 + random_() % 100);
        message.observation = EndpointLimits::Observation{limit_, message.dueAt};
        messages_.push_back(message);
    }

    void poll(std::size_t index)
    {
        Node &node = *nodes_[index];
        bool hasActions = true;
        while (hasActions) {
            const CollectorActions actions = node.collector.poll(now_);
            for (const QuotaAsk &ask : actions.asks) {
                performAsk(index, ask);
            }
            for (const QuotaVerdict &verdict : actions.verdicts) {
                onVerdict(index, verdict);
            }
            hasActions = !actions.asks.empty() || !actions.verdicts.empty();
        }
    }

    void onVerdict(std::size_t index, const QuotaVerdict &verdict)
    {
        if (verdict.result == QuotaVerdict::Result::Admitted) {
            sendToEndpoint(index);
        } else {
            nodes_[index]->limits.onUsedUp(Run, now_ + EndpointLimits::pauseAfter(verdict));
        }
    }

    void performAsk(std::size_t index, const QuotaAsk &ask)
    {
        Node &node = *nodes_[index];
        if (ask.holder == node.vm) {
            const RateLimit *limit = node.limits.find(Run);
            const ShareDecision decision = limit == nullptr ? ShareDecision{} : node.shares.take(*limit, ask.units, now_);
            node.collector.onAnswer(ask.number, {decision.isHolder, decision.granted, decision.wait}, now_);
            return;
        }
        Message message;
        message.kind = Message::Kind::Ask;
        message.from = index;
        message.to = static_cast<std::size_t>(std::stoi(ask.holder.substr(3)));
        message.incarnation = node.incarnation;
        message.ask = ask;
        send(message, node);
    }

    /** Sends a message between gateways, with what its sender knows of the limit. */
    void send(Message message, const Node &sender)
    {
        message.observation = sender.limits.newestOf(Run);
        if (message.observation) {
            // Gateways know the clock by which they compare times to some milliseconds.
            message.observation->seenAt += 1ms * (static_cast<int>(random_() % 21) - 10);
        }
        message.dueAt = now_ + 2ms;
        const unsigned luck = scenario_.faultyMessages > 0 ? static_cast<unsigned>(random_() % scenario_.faultyMessages) : 2;
        if (luck == 0) {
            return;
        }
        if (luck == 1) {
            message.dueAt = now_ + 1ms * (50 + random_() % 2000);
        }
        messages_.push_back(message);
    }

    void deliver()
    {
        // Messages that are sent meanwhile are due later.
        std::vector<Message> due;
        std::erase_if(messages_, [&](const Message &message) {
            const bool isDue = message.dueAt <= now_;
            if (isDue) {
                due.push_back(message);
            }
            return isDue;
        });
        for (const Message &message : due) {
            deliver(message);
        }
    }

    void deliver(const Message &message)
    {
        Node &node = *nodes_[message.to];
        if (message.kind == Message::Kind::EndpointAnswer) {
            if (message.incarnation == node.incarnation) {
                node.limits.observe(Run, {message.observation->perSecond, now_});
                node.toldAt = message.observation->perSecond && !node.toldAt ? now_ : node.toldAt;
            }
            return;
        }
        if (message.observation) {
            node.limits.observe(Run, {message.observation->perSecond, std::min(message.observation->seenAt, now_)});
        }
        if (message.kind == Message::Kind::Grant) {
            if (message.incarnation == node.incarnation) {
                node.collector.onAnswer(message.ask.number, message.answer, now_);
            }
            return;
        }
        Message reply = message;
        reply.kind = Message::Kind::Grant;
        reply.from = message.to;
        reply.to = message.from;
        const RateLimit *limit = node.limits.find(Run);
        const ShareDecision decision = limit == nullptr || message.ask.units <= 0
            ? ShareDecision{}
            : node.shares.grant(*limit, {message.incarnation, message.ask.number}, message.ask.units, now_);
        reply.answer = {decision.isHolder, decision.granted, decision.wait};
        send(reply, node);
    }

    inline static const std::string Run = "engine-1/1000";

    Scenario scenario_;
    std::mt19937_64 random_;
    TimePoint now_{1000s};
    QuotaDivision division_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::optional<double> limit_;
    std::vector<Change> changes_;
    std::deque<Message> messages_;
    std::vector<Arrival> arrivals_;
    TimePoint nextRestartAt_{};
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastIncarnation_ = 0;
};

struct Result
{
    /** The part of the limit that was used. */
    double use = 0;
    /** Requests beyond the goal, and beyond the users' rule, in the worst window. */
    double beyondGoal = 0;
    double beyondRule = 0;
};

/** The fleet meets a limit that doesn't change for 20 s. */
Result resultOf(const Scenario &scenario, double limit)
{
    LimitedFleet fleet(scenario);
    fleet.setLimit(std::nullopt);
    fleet.run(2s);
    fleet.setLimit(limit);
    const TimePoint from = fleet.now() + ContactTime;
    fleet.run(23s);
    const TimePoint to = fleet.now();
    Result result;
    result.use = fleet.arrivals(from, to, false) / (limit * toSeconds(to - from));
    result.beyondGoal = fleet.worstExcess(from, to - Window, GoalFactor);
    result.beyondRule = fleet.worstExcess(from, to - Window, RuleFactor);
    return result;
}

class LimitedFleetTest : public testing::TestWithParam<std::tuple<std::size_t, Demand, double>>
{
};

// Guards against an endpoint that gets more requests from all gateways together than the limit that it names, or far fewer.
TEST_P(LimitedFleetTest, MoreDemandThanLimit_AllGatewaysTogether_UseTheLimitAndKeepToIt)
{
    const auto [gateways, demand, limit] = GetParam();
    const Result result = resultOf({.gateways = gateways, .demand = demand, .requestsPerSecond = 3 * limit + 5}, limit);
    EXPECT_LE(result.beyondGoal, GoalSlack);
    EXPECT_GE(result.use, LeastUse);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         LimitedFleetTest,
                         testing::Combine(testing::Values(1, 2, 5, 30, 103),
                                          testing::Values(Demand::Even, Demand::One, Demand::Uneven),
                                          testing::Values(1.0, 5.0, 14.2, 60.0)));

TEST(LimitedFleetFaultsTest, EachGatewayKeepsToTheWholeLimit_RuleIsBroken)
{
    EXPECT_GT(resultOf({.gateways = 5, .requestsPerSecond = 100, .fault = Fault::LimitOfItsOwn}, 14.2).beyondRule, RuleSlack);
}

TEST(LimitedFleetFaultsTest, EachGatewayKeepsToAnEqualPart_OneGatewayGetsAllRequests_LimitIsHardlyUsed)
{
    EXPECT_LT(resultOf({.gateways = 5, .demand = Demand::One, .fault = Fault::EvenParts}, 14.2).use, LeastUse);
}

RC_GTEST_PROP(LimitedFleetFaultsTest, AnyFaultsAndChanges_AllGatewaysTogether_StayWithinTheRule, ())
{
    Scenario scenario;
    scenario.gateways = *rc::gen::element<std::size_t>(1, 2, 5, 30);
    scenario.demand = *rc::gen::element(Demand::Even, Demand::One, Demand::Uneven);
    scenario.faultyMessages = *rc::gen::element(0U, 8U, 40U);
    scenario.restartInterval = *rc::gen::element<Duration>(Duration::zero(), 1500ms, 400ms);
    scenario.seed = *rc::gen::inRange(1U, 1000000U);
    const auto limits = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 40));
    LimitedFleet fleet(scenario);
    fleet.setLimit(14.2);
    const TimePoint from = fleet.now() + ContactTime;
    fleet.run(7s);
    for (const int limit : limits) {
        fleet.setLimit(limit + 2.0);
        fleet.run(3s);
    }
    RC_ASSERT(fleet.worstExcess(from, fleet.now() - Window, RuleFactor) <= RuleSlack);
}

TEST(LimitedFleetFaultsTest, LimitEnds_Requests_ComeAsBefore)
{
    LimitedFleet fleet({.gateways = 30, .faultyMessages = 20});
    fleet.setLimit(5);
    fleet.run(6s);
    fleet.setLimit(std::nullopt);
    // Each gateway learns it from its next answer, or from those whose units it asks for.
    fleet.run(ContactTime);
    const TimePoint from = fleet.now();
    fleet.run(10s);
    EXPECT_GT(fleet.arrivals(from, fleet.now(), false), LeastUse * 60 * 10);
}

}

}

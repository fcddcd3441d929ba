/**
 * A customer's limit across all gateways, while messages between them are lost, late and doubled, gateways freeze, die, return and are cut
 * off from the store, and the division of quotas changes. In no window may more units be admitted, of requests that arrived in it, than the
 * rate times its length plus the burst.
 */
#include "quotacollector.h"
#include "quotadivider.h"
#include "quotashares.h"
#include "routecatalogue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 1000;
constexpr double Burst = 2000;
constexpr double SmallestRequest = 40;
/** Fits into one share of the burst, or needs several. */
constexpr double MediumRequest = 90;
constexpr double LargeRequest = 900;
constexpr std::size_t Gateways = 6;
constexpr Duration Window = 8s;
constexpr double MaxRoundingError = 0.001;

/** Faults injected into the simulated gateways to check that the oracle detects them. */
enum class Fault {
    None,
    /** A new holder spends before the former one is known to have stopped. */
    NotWaitingForSettling,
    /** A holder keeps the units that it grants. */
    GrantsNotDebited,
    /** Units of a returned grant are added as often as the message arrives. */
    ReturnsCountedTwice,
};

/** A message between two gateways. */
struct Message
{
    enum class Kind {
        Ask,
        Answer,
        Return,
    };
    Kind kind = Kind::Ask;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    QuotaAsk ask;
    QuotaAnswer answer;
    QuotaLot lot;
    TimePoint dueAt;
};

/** One gateway process. */
struct Node
{
    Node(const std::string &name, std::uint64_t number, const QuotaShareOptions &options)
        : vm(name)
        , incarnation(number)
        , shares(name, options)
        , collector(QuotaCollectorOptions{})
    {
    }

    std::string vm;
    std::uint64_t incarnation;
    QuotaShares shares;
    QuotaCollector collector;
    std::uint64_t divisionSeen = 0;
};

class Fleet
{
public:
    enum class Event {
        Freeze,
        Thaw,
        CutOff,
        Heal,
        Restart,
        Leave,
        Join,
        Pause,
        StoreDivision,
        ReadStore,
        SendRequests,
    };

    Fleet(Fault fault, double burst, double largestRequest, bool areLinksFaulty)
        : fault_(fault)
        , largestRequest_(largestRequest)
        , areLinksFaulty_(areLinksFaulty)
        , divider_({options_.settleTime})
    {
        customer_.name = "desk";
        customer_.rate = Rate;
        customer_.burst = burst;
        for (std::size_t i = 0; i < Gateways; ++i) {
            nodes_.push_back(std::make_unique<Node>(nameOfVm(i), ++lastIncarnation_, options_));
        }
    }

    /** Applies one random step. */
    void step(int number)
    {
        const auto random = static_cast<std::size_t>(number);
        now_ += 10ms * (1 + random % 9);
        const std::size_t index = random / 9 % Gateways;
        delivery_ = random;
        act(eventOf(random / 54 % 60), index);
    }

    void act(Event event, std::size_t index)
    {
        applyEvent(event, index);
        for (std::size_t i = 0; i < Gateways; ++i) {
            poll(i);
        }
        deliverMessages();
    }

    void readStoreEverywhere()
    {
        for (std::size_t i = 0; i < Gateways; ++i) {
            act(Event::ReadStore, i);
        }
    }

    /** All gateways read the store, and send more requests than the limit allows, for that time. */
    void runOverloaded(Duration time)
    {
        constexpr Duration Step = 20ms;
        for (Duration passed{}; passed < time; passed += Step) {
            now_ += Step;
            ++delivery_;
            readStoreEverywhere();
            act(Event::SendRequests, delivery_ % Gateways);
        }
    }

    /** The same, but all requests come to one gateway. */
    void runOverloadedAt(std::size_t index, Duration time)
    {
        constexpr Duration Step = 20ms;
        for (Duration passed{}; passed < time; passed += Step) {
            now_ += Step;
            readStoreEverywhere();
            startRequest(*nodes_[index], index, SmallestRequest);
            startRequest(*nodes_[index], index, SmallestRequest);
            act(Event::ReadStore, index);
        }
    }

    /** A gateway that holds no share of the limit. */
    std::size_t otherGateway() const
    {
        const auto holders = stored_.holdersOf(customer_.name);
        std::size_t index = 0;
        while (std::find(holders.begin(), holders.end(), nameOfVm(index)) != holders.end()) {
            ++index;
        }
        return index;
    }

    /** The index of one of the present holders of the limit. */
    std::size_t holder(std::size_t number) const
    {
        return indexOf(stored_.holdersOf(customer_.name).at(number));
    }

    /** Largest excess over the limit in any window that starts with the arrival of a request. */
    double worstOvershoot() const
    {
        double worst = 0;
        for (const Admission &first : admissions_) {
            double sum = 0;
            for (const Admission &other : admissions_) {
                const bool isInWindow = other.arrivedAt >= first.arrivedAt && other.admittedAt <= first.arrivedAt + Window;
                sum += isInWindow ? other.units : 0;
            }
            worst = std::max(worst, sum - customer_.burst - Rate * toSeconds(Window));
        }
        return worst;
    }

    double admittedUnits() const
    {
        double sum = 0;
        for (const Admission &admission : admissions_) {
            sum += admission.units;
        }
        return sum;
    }

private:
    struct Admission
    {
        TimePoint arrivedAt;
        TimePoint admittedAt;
        double units = 0;
    };

    /** Maps a number below 60 to an event; faults end sooner than they begin, and most events are requests. */
    static Event eventOf(std::size_t number)
    {
        static const std::vector<std::pair<std::size_t, Event>> lastNumbers{{0, Event::Freeze},
                                                                            {3, Event::Thaw},
                                                                            {4, Event::CutOff},
                                                                            {7, Event::Heal},
                                                                            {8, Event::Restart},
                                                                            {9, Event::Leave},
                                                                            {11, Event::Join},
                                                                            {12, Event::Pause},
                                                                            {17, Event::StoreDivision},
                                                                            {33, Event::ReadStore}};
        for (const auto &[last, event] : lastNumbers) {
            if (number <= last) {
                return event;
            }
        }
        return Event::SendRequests;
    }

    void applyEvent(Event event, std::size_t index)
    {
        switch (event) {
        case Event::Freeze:
        case Event::Thaw:
            isFrozen_[index] = event == Event::Freeze;
            break;
        case Event::CutOff:
        case Event::Heal:
            isCutOff_[index] = event == Event::CutOff;
            break;
        case Event::Restart:
            nodes_[index] = std::make_unique<Node>(nameOfVm(index), ++lastIncarnation_, options_);
            break;
        case Event::Leave:
        case Event::Join:
            isMember_[index] = event == Event::Join;
            break;
        case Event::Pause:
            now_ += 300ms;
            break;
        case Event::StoreDivision:
            storeDivision();
            break;
        case Event::ReadStore:
            readStore(index);
            break;
        case Event::SendRequests:
            for (std::size_t i = 0; i < 12; ++i) {
                startRequest(*nodes_[(index + i) % Gateways], (index + i) % Gateways, i % 3 == 0 ? largestRequest_ : SmallestRequest);
            }
            break;
        }
    }

    static std::string nameOfVm(std::size_t index)
    {
        return "vm-" + std::to_string(index);
    }

    std::map<std::string, GatewayStatus> statuses() const
    {
        std::map<std::string, GatewayStatus> result;
        for (std::size_t i = 0; i < Gateways; ++i) {
            GatewayStatus &status = result[nameOfVm(i)];
            status.address = nameOfVm(i);
            status.isUnresponsive = !isMember_[i];
            status.divisionSeen = nodes_[i]->divisionSeen;
        }
        return result;
    }

    void storeDivision()
    {
        auto division = divider_.nextDivision(statuses(), now_);
        if (!division) {
            return;
        }
        division->settled = division->settled || fault_ == Fault::NotWaitingForSettling;
        stored_ = *division;
        divider_.onDivisionRead(stored_, now_);
    }

    void readStore(std::size_t index)
    {
        if (isFrozen_[index] || isCutOff_[index]) {
            return;
        }
        Node &node = *nodes_[index];
        if (stored_.number == 0) {
            node.shares.onNoDivisionStored();
            return;
        }
        node.shares.onDivisionRead(stored_, now_, now_);
        node.divisionSeen = stored_.number;
    }

    void startRequest(Node &node, std::size_t index, double units)
    {
        if (isFrozen_[index] || node.divisionSeen == 0) {
            return;
        }
        requests_[++lastRequest_] = {now_, {}, units};
        const auto holders = node.shares.division().askingOrder(customer_.name, node.vm);
        const bool isFirstOwn = !holders.empty() && holders.front() == node.vm;
        node.collector.start({lastRequest_, customer_.name, units, node.shares.shareCapacity(customer_) / 2, holders, isFirstOwn});
        poll(index);
    }

    void poll(std::size_t index)
    {
        if (isFrozen_[index]) {
            return;
        }
        Node &node = *nodes_[index];
        node.collector.expireAsks(now_, Duration::zero());
        bool hasActions = true;
        while (hasActions) {
            const CollectorActions actions = node.collector.poll(now_);
            for (const QuotaAsk &ask : actions.asks) {
                performAsk(node, index, ask);
            }
            for (const QuotaReturn &item : actions.returns) {
                returnLot(node, index, item.lot);
            }
            for (const QuotaVerdict &verdict : actions.verdicts) {
                onVerdict(node, index, verdict);
            }
            hasActions = !actions.asks.empty() || !actions.verdicts.empty();
        }
    }

    void performAsk(Node &node, std::size_t index, const QuotaAsk &ask)
    {
        if (ask.holder == node.vm) {
            const ShareDecision decision = node.shares.take(customer_, ask.units, now_);
            node.collector.onAnswer(ask.number, {decision.isHolder, decision.granted, decision.wait}, now_);
            return;
        }
        Message message;
        message.kind = Message::Kind::Ask;
        message.from = index;
        message.to = indexOf(ask.holder);
        message.incarnation = node.incarnation;
        message.ask = ask;
        send(message);
    }

    void returnLot(Node &node, std::size_t index, const QuotaLot &lot)
    {
        if (lot.holder == node.vm) {
            node.shares.refund(customer_.name, lot.units, now_);
            return;
        }
        Message message;
        message.kind = Message::Kind::Return;
        message.from = index;
        message.to = indexOf(lot.holder);
        message.incarnation = node.incarnation;
        message.lot = lot;
        send(message);
    }

    void onVerdict(Node &node, std::size_t index, const QuotaVerdict &verdict)
    {
        const auto request = requests_.find(verdict.request);
        if (verdict.result == QuotaVerdict::Result::Admitted) {
            // Some admitted requests don't run, and their units go back.
            if (verdict.request % 7 == 0) {
                for (const QuotaLot &lot : verdict.lots) {
                    returnLot(node, index, lot);
                }
            } else {
                admissions_.push_back({request->second.arrivedAt, now_, request->second.units});
            }
        }
        requests_.erase(request);
    }

    /** Queues the message once, or while links are faulty twice, late or not at all. */
    void send(Message message)
    {
        ++sentMessages_;
        message.dueAt = now_ + 2ms;
        if (!areLinksFaulty_) {
            messages_.push_back(message);
            return;
        }
        const std::size_t luck = (delivery_ * 31 + sentMessages_ * 17) % 89;
        if (luck == 0) {
            return;
        }
        message.dueAt = now_ + (luck < 3 ? Milliseconds(400) : Milliseconds(luck / 4));
        messages_.push_back(message);
        if (luck == 5 || luck == 6) {
            message.dueAt += 30ms * luck;
            messages_.push_back(message);
        }
    }

    void deliverMessages()
    {
        for (bool hasDelivered = true; hasDelivered;) {
            hasDelivered = false;
            const auto due = std::find_if(messages_.begin(), messages_.end(), [this](const Message &message) {
                return message.dueAt <= now_ && !isFrozen_[message.to];
            });
            if (due != messages_.end()) {
                const Message message = *due;
                messages_.erase(due);
                deliver(message);
                hasDelivered = true;
            }
        }
    }

    void deliver(const Message &message)
    {
        Node &node = *nodes_[message.to];
        switch (message.kind) {
        case Message::Kind::Ask:
            answerAsk(node, message);
            break;
        case Message::Kind::Answer:
            // The answer to a former process does not reach its successor.
            if (message.incarnation == node.incarnation) {
                node.collector.onAnswer(message.ask.number, message.answer, now_);
                poll(message.to);
            }
            break;
        case Message::Kind::Return:
            if (fault_ == Fault::ReturnsCountedTwice) {
                node.shares.refund(customer_.name, 20 * message.lot.units, now_);
            } else {
                node.shares.onGrantReturned(customer_.name, {message.incarnation, message.lot.number}, message.lot.units, now_);
            }
            break;
        }
    }

    void answerAsk(Node &node, const Message &message)
    {
        Message reply = message;
        reply.kind = Message::Kind::Answer;
        reply.from = message.to;
        reply.to = message.from;
        const ShareDecision decision = node.shares.grant(customer_, {message.incarnation, message.ask.number}, message.ask.units, now_);
        reply.answer = {decision.isHolder, decision.granted && message.ask.units > 0, decision.wait};
        if (fault_ == Fault::GrantsNotDebited && decision.granted) {
            node.shares.refund(customer_.name, message.ask.units, now_);
            node.shares.onGrantReturned(customer_.name, {message.incarnation, message.ask.number}, message.ask.units, now_);
        }
        send(reply);
    }

    static std::size_t indexOf(const std::string &vm)
    {
        return static_cast<std::size_t>(std::stoi(vm.substr(3)));
    }

    Fault fault_;
    double largestRequest_;
    bool areLinksFaulty_;
    QuotaShareOptions options_;
    CustomerQuota customer_;
    TimePoint now_{1000s};
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<bool> isFrozen_ = std::vector<bool>(Gateways);
    std::vector<bool> isCutOff_ = std::vector<bool>(Gateways);
    std::vector<bool> isMember_ = std::vector<bool>(Gateways, true);
    QuotaDivider divider_;
    QuotaDivision stored_;
    std::vector<Message> messages_;
    std::map<std::uint64_t, Admission> requests_;
    std::vector<Admission> admissions_;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    std::size_t sentMessages_ = 0;
    std::size_t delivery_ = 0;
};

RC_GTEST_PROP(QuotaFleet, AnyFaults_AllGatewaysTogether_StayWithinRateAndBurst, ())
{
    const auto steps = *rc::gen::container<std::vector<int>>(250, rc::gen::inRange(0, 100000));
    Fleet fleet(Fault::None, Burst, LargeRequest, true);
    for (const int step : steps) {
        fleet.step(step);
    }
    RC_ASSERT(fleet.worstOvershoot() <= MaxRoundingError);
}

/** An overloaded fleet in which two holders are cut off from the store and replaced. */
class OverloadedFleetTest : public testing::TestWithParam<Fault>
{
protected:
    static double overshootOf(Fault fault)
    {
        Fleet fleet(fault, Burst, MediumRequest, false);
        fleet.readStoreEverywhere();
        fleet.act(Event::StoreDivision, 0);
        fleet.runOverloaded(4s);
        const std::size_t first = fleet.holder(0);
        const std::size_t second = fleet.holder(1);
        for (const std::size_t cutOff : {first, second}) {
            fleet.act(Event::CutOff, cutOff);
            fleet.act(Event::Leave, cutOff);
        }
        fleet.act(Event::StoreDivision, 0);
        fleet.runOverloaded(12s);
        fleet.act(Event::StoreDivision, 0);
        fleet.runOverloaded(12s);
        return fleet.worstOvershoot();
    }

    using Event = Fleet::Event;
};

TEST_F(OverloadedFleetTest, TwoHoldersReplaced_AllGatewaysTogether_StayWithinRateAndBurst)
{
    EXPECT_LE(overshootOf(Fault::None), MaxRoundingError);
}

TEST_P(OverloadedFleetTest, BrokenVariant_AllGatewaysTogether_ExceedRateAndBurst)
{
    EXPECT_GT(overshootOf(GetParam()), 1);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         OverloadedFleetTest,
                         testing::Values(Fault::NotWaitingForSettling, Fault::GrantsNotDebited, Fault::ReturnsCountedTwice));

// Guards against a customer that gets half of its limit because all of its requests come to one gateway, which asks the same two holders.
TEST_F(OverloadedFleetTest, AllRequestsComeToOneGateway_CustomerAboveItsLimit_GetsNearlyAllOfItsRate)
{
    for (const bool isHolder : {false, true}) {
        Fleet fleet(Fault::None, Burst, MediumRequest, false);
        fleet.readStoreEverywhere();
        fleet.act(Event::StoreDivision, 0);
        fleet.readStoreEverywhere();
        fleet.runOverloadedAt(isHolder ? fleet.holder(0) : fleet.otherGateway(), 20s);
        EXPECT_GT(fleet.admittedUnits(), 0.8 * (Rate * 20 + Burst)) << isHolder;
        EXPECT_LE(fleet.worstOvershoot(), MaxRoundingError) << isHolder;
    }
}

TEST_F(OverloadedFleetTest, NoFaults_CustomerAboveItsLimit_GetsNearlyAllOfItsRate)
{
    Fleet fleet(Fault::None, Burst, MediumRequest, false);
    fleet.readStoreEverywhere();
    fleet.act(Event::StoreDivision, 0);
    fleet.runOverloaded(20s);
    EXPECT_GT(fleet.admittedUnits(), 0.8 * (Rate * 20 + Burst));
}

}

}

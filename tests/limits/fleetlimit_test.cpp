/**
 * The rate limit across gateways, under lost, delayed and repeated messages, pauses, deaths, partitions, store outages and membership
 * changes: in no window is more admitted than burst + rate * t.
 */
#include "customerlimiter.h"
#include "membershipkeeper.h"
#include "shareguard.h"
#include "storefreshness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 200;
constexpr double Burst = 400;
constexpr std::size_t Gateways = 3;
constexpr Duration Proof = 400ms;
constexpr Duration GrantLifetime = 200ms;
const std::string Customer = "orders-desk";

/** What the wiring of the gateways does wrong, to show that the oracle sees it. */
enum class Fault {
    None,
    /** A holder keeps the tokens that it gives away. */
    GrantsAreNotDebited,
    SharesGrowAtOnce,
    ProofsNeverExpire,
};

/** The tokens that were admitted, by time. */
class Oracle
{
public:
    std::size_t spent(TimePoint at, double tokens)
    {
        events_.emplace_back(at, tokens);
        return events_.size() - 1;
    }

    void refund(std::size_t event, double tokens)
    {
        events_[event].second -= tokens;
    }

    double worstOvershoot() const
    {
        double worst = 0;
        for (std::size_t first = 0; first < events_.size(); ++first) {
            double sum = 0;
            for (std::size_t last = first; last < events_.size(); ++last) {
                sum += events_[last].second;
                worst = std::max(worst, sum - Burst - Rate * toSeconds(events_[last].first - events_[first].first));
            }
        }
        return worst;
    }

private:
    std::vector<std::pair<TimePoint, double>> events_;
};

struct Message
{
    enum class Kind {
        Ask,
        Grant,
        Return,
    };
    Kind kind = Kind::Ask;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    std::uint64_t epoch = 0;
    double amount = 0;
    double level = 0;
};

struct Store
{
    MembershipRow row;
    bool up = true;
};

struct Node
{
    Node(std::size_t index, std::uint64_t incarnation, TimePoint now)
        : self{{"entry-" + std::to_string(index), incarnation}, "", "dc"}
        , keeper(self, {300ms, 300ms, 3s}, now)
        , gate(self.identity, Proof + 40ms, GrantLifetime + 20ms)
        , proof(self.identity.name, Proof, 100ms)
        , limiter({GrantLifetime, 50ms, 16, 50ms, 40}, Rate, Burst)
    {
    }

    GatewayMember self;
    MembershipKeeper keeper;
    ShareGuard gate;
    StoreFreshness proof;
    CustomerLimiter limiter;
    bool alive = true;
    bool paused = false;
    bool storeReachable = true;
    /** Running answers: drawn so far and the oracle's events of the draws. */
    struct Answer
    {
        double drawn = 0;
        double delivered = 0;
        std::vector<std::pair<std::size_t, double>> draws;
    };
    std::map<std::uint64_t, Answer> answers;
};

class Fleet
{
public:
    explicit Fleet(Fault fault)
        : fault_(fault)
    {
        for (std::size_t i = 0; i < Gateways; ++i) {
            start(i);
        }
    }

    void start(std::size_t index)
    {
        nodes_[index] = std::make_unique<Node>(index, ++lastIncarnation_, now_);
    }

    void advance(Duration duration)
    {
        // Time passes in steps, and each step runs what the processes do by timer.
        const TimePoint end = now_ + duration;
        while (now_ < end) {
            now_ += std::min<Duration>(20ms, end - now_);
            for (std::size_t i = 0; i < Gateways; ++i) {
                tick(i);
            }
        }
    }

    void request(std::size_t index, double prompt, double output)
    {
        Node &node = *nodes_[index];
        if (!node.alive || node.paused) {
            return;
        }
        const std::uint64_t id = ++lastRequest_;
        node.limiter.request({id, prompt, output, ServiceClass::Standard, now_ + 1s}, now_);
        prompts_[id] = prompt;
        poll(index);
    }

    void deliver(std::size_t index, std::size_t choice, double tokens)
    {
        Node &node = *nodes_[index];
        if (!node.alive || node.paused || node.answers.empty()) {
            return;
        }
        const auto it = std::next(node.answers.begin(), static_cast<std::ptrdiff_t>(choice % node.answers.size()));
        const double amount = std::min(tokens, it->second.drawn - it->second.delivered);
        it->second.delivered += amount;
        refresh(index);
        node.limiter.delivered(it->first, amount, now_);
        poll(index);
    }

    void finish(std::size_t index, std::size_t choice)
    {
        Node &node = *nodes_[index];
        if (!node.alive || node.paused || node.answers.empty()) {
            return;
        }
        const auto it = std::next(node.answers.begin(), static_cast<std::ptrdiff_t>(choice % node.answers.size()));
        double unused = it->second.drawn - it->second.delivered;
        for (auto draw = it->second.draws.rbegin(); draw != it->second.draws.rend() && unused > 0; ++draw) {
            const double part = std::min(unused, draw->second);
            oracle_.refund(draw->first, part);
            unused -= part;
        }
        refresh(index);
        node.limiter.finished(it->first, now_);
        node.answers.erase(it);
        poll(index);
    }

    /** Delivers, or drops, or delivers and keeps, one message that is under way. */
    void network(std::size_t choice, std::size_t what)
    {
        if (messages_.empty()) {
            return;
        }
        const std::size_t index = choice % messages_.size();
        const Message message = messages_[index];
        const bool cut = cut_[message.from][message.to];
        if (what % 8 != 1) {
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        Node &node = *nodes_[message.to];
        if (what % 8 != 0 && !cut && node.alive && !node.paused) {
            receive(message);
        }
    }

    void exchangeStates()
    {
        for (std::size_t from = 0; from < Gateways; ++from) {
            for (std::size_t to = 0; to < Gateways; ++to) {
                tellState(from, to);
            }
        }
    }

    void kill(std::size_t index)
    {
        nodes_[index]->alive = false;
    }

    void restart(std::size_t index)
    {
        if (!nodes_[index]->alive) {
            start(index);
        }
    }

    void setPaused(std::size_t index, bool paused)
    {
        nodes_[index]->paused = paused;
    }

    void setCut(std::size_t left, std::size_t right, bool cut)
    {
        cut_[left][right] = cut;
        cut_[right][left] = cut;
    }

    void setStoreReachable(std::size_t index, bool reachable)
    {
        nodes_[index]->storeReachable = reachable;
    }

    void setStoreUp(bool up)
    {
        store_.up = up;
    }

    double worstOvershoot() const
    {
        return oracle_.worstOvershoot();
    }

    double admitted() const
    {
        return admitted_;
    }

private:
    bool runs(std::size_t index) const
    {
        return nodes_[index]->alive && !nodes_[index]->paused;
    }

    void tick(std::size_t index)
    {
        if (!runs(index)) {
            return;
        }
        Node &node = *nodes_[index];
        if (store_.up && node.storeReachable) {
            applyRow(index);
            node.proof.onReadSucceeded(now_, {0, store_.row.epoch});
            const auto proposal = node.keeper.proposal(node.gate.confirmedStoppedProcesses(now_), now_);
            if (proposal && proposal->epoch == store_.row.epoch + 1) {
                store_.row = *proposal;
                applyRow(index);
            }
        } else {
            node.proof.onReadFailed(now_);
        }
        for (std::size_t other = 0; other < Gateways; ++other) {
            tellState(other, index);
        }
        poll(index);
    }

    void applyRow(std::size_t index)
    {
        Node &node = *nodes_[index];
        node.keeper.setRow(store_.row, now_);
        node.gate.setMembership(store_.row, now_);
        node.proof.setMembership(store_.row);
    }

    void tellState(std::size_t from, std::size_t to)
    {
        if (from == to || cut_[from][to] || !runs(from) || !runs(to)) {
            return;
        }
        const Node &source = *nodes_[from];
        Node &target = *nodes_[to];
        target.keeper.onPeerState(source.self.identity, source.keeper.suspects(now_), now_);
        target.gate.onEpochAcknowledged(source.self.identity, source.gate.membership().epoch, now_);
        PeerReport report{source.self.identity.name, source.self.identity.incarnation, now_, source.gate.membership().epoch, 0};
        report.storeDown = source.proof.isStoreDown(now_);
        report.hasConfirmedRead = source.proof.hasConfirmedRead();
        report.confirmedReadAge = now_ - source.proof.confirmedReadTime();
        report.confirmedVersions = source.proof.confirmedVersions();
        target.proof.onPeerReport(report);
    }

    void refresh(std::size_t index)
    {
        Node &node = *nodes_[index];
        ShareAssignment shares;
        shares.ownFraction = node.gate.spendableFraction(Customer, now_);
        const auto holders = shareHolders(Customer, node.gate.membership());
        if (fault_ == Fault::SharesGrowAtOnce) {
            shares.ownFraction = holders.empty() ? 0 : 1.0 / static_cast<double>(holders.size());
        }
        for (const std::string &holder : holders) {
            if (holder != node.self.identity.name) {
                shares.others.push_back(holder);
            }
        }
        node.limiter.setShares(shares, now_);
        const bool valid = now_ <= node.proof.sharesValidUntil(now_) || fault_ == Fault::ProofsNeverExpire;
        node.limiter.setSuspended(!valid, now_);
    }

    void poll(std::size_t index)
    {
        refresh(index);
        Node &node = *nodes_[index];
        const LimiterActions actions = node.limiter.poll(now_);
        for (const AdmissionResult &result : actions.admissions) {
            if (result.verdict == AdmissionVerdict::Admitted) {
                oracle_.spent(now_, prompts_.at(result.id));
                admitted_ += prompts_.at(result.id);
                node.answers[result.id];
            }
        }
        for (const AnswerDraw &draw : actions.draws) {
            Node::Answer &answer = node.answers.at(draw.id);
            const double more = draw.total - answer.drawn;
            answer.drawn = draw.total;
            answer.draws.emplace_back(oracle_.spent(now_, more), more);
        }
        for (const TokenAsk &ask : actions.asks) {
            send({Message::Kind::Ask,
                  index,
                  indexOf(ask.holder),
                  node.self.identity.incarnation,
                  ask.number,
                  node.gate.membership().epoch,
                  ask.amount});
        }
        for (const TokenLot &lot : actions.returns) {
            send({Message::Kind::Return, index, indexOf(lot.holder), node.self.identity.incarnation, lot.number, 0, lot.amount});
        }
    }

    void send(const Message &message)
    {
        messages_.push_back(message);
    }

    static std::size_t indexOf(const std::string &name)
    {
        return static_cast<std::size_t>(std::stoul(name.substr(name.rfind('-') + 1)));
    }

    void receive(const Message &message)
    {
        Node &node = *nodes_[message.to];
        refresh(message.to);
        switch (message.kind) {
        case Message::Kind::Ask: {
            const bool sameEpoch = message.epoch == node.gate.membership().epoch;
            const double granted = sameEpoch ? node.limiter.grantTo({message.incarnation, message.number}, message.amount, now_) : 0;
            if (fault_ == Fault::GrantsAreNotDebited) {
                node.limiter.takeBack({message.incarnation, message.number}, granted, now_);
            }
            send({Message::Kind::Grant,
                  message.to,
                  message.from,
                  message.incarnation,
                  message.number,
                  0,
                  granted,
                  node.limiter.shareLevel(now_)});
            break;
        }
        case Message::Kind::Grant:
            if (message.incarnation == node.self.identity.incarnation) {
                node.limiter.onGrant(message.number, message.amount, message.level, now_);
                poll(message.to);
            }
            break;
        case Message::Kind::Return:
            node.limiter.takeBack({message.incarnation, message.number}, message.amount, now_);
            break;
        }
    }

    Fault fault_;
    TimePoint now_{1h};
    Store store_;
    std::unique_ptr<Node> nodes_[Gateways];
    bool cut_[Gateways][Gateways] = {};
    std::vector<Message> messages_;
    std::map<std::uint64_t, double> prompts_;
    Oracle oracle_;
    double admitted_ = 0;
    std::uint64_t lastIncarnation_ = 100;
    std::uint64_t lastRequest_ = 0;
};

struct Step
{
    std::size_t kind = 0;
    std::size_t gateway = 0;
    std::size_t other = 0;
    std::size_t amount = 0;
};

void showValue(const Step &step, std::ostream &out)
{
    out << "{" << step.kind << "," << step.gateway << "," << step.other << "," << step.amount << "}";
}

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    showValue(step, out);
    return out;
}

rc::Gen<Step> anyStep()
{
    return rc::gen::construct<Step>(rc::gen::inRange<std::size_t>(0, 32),
                                    rc::gen::inRange<std::size_t>(0, Gateways),
                                    rc::gen::inRange<std::size_t>(0, 64),
                                    rc::gen::inRange<std::size_t>(0, 200));
}

void apply(Fleet &fleet, const Step &step)
{
    const std::size_t gateway = step.gateway;
    switch (step.kind) {
    case 0:
        fleet.kill(gateway);
        break;
    case 1:
    case 2:
        fleet.restart(gateway);
        break;
    case 3:
        fleet.setPaused(gateway, true);
        break;
    case 4:
    case 5:
        fleet.setPaused(gateway, false);
        break;
    case 6:
    case 7:
        fleet.setCut(gateway, (gateway + 1) % Gateways, step.kind == 6 && step.other % 2 == 0);
        break;
    case 8:
    case 9:
        fleet.setStoreReachable(gateway, step.kind == 9 || step.other % 2 == 0);
        break;
    case 10:
        fleet.setStoreUp(step.other % 3 != 0);
        break;
    case 11:
    case 12:
    case 13:
    case 14:
    case 15:
    case 16:
    case 17:
        fleet.request(gateway, static_cast<double>(step.amount), static_cast<double>(step.other));
        break;
    case 18:
    case 19:
        fleet.deliver(gateway, step.other, static_cast<double>(step.amount % 32));
        break;
    case 20:
        fleet.finish(gateway, step.other);
        break;
    case 21:
    case 22:
    case 23:
    case 24:
    case 25:
    case 26:
        fleet.network(step.other, step.amount);
        break;
    default:
        fleet.advance(std::chrono::milliseconds(step.amount * 4));
        break;
    }
}

double worstOf(Fault fault, const std::vector<Step> &steps)
{
    Fleet fleet(fault);
    fleet.advance(3s);
    for (const Step &step : steps) {
        apply(fleet, step);
    }
    return fleet.worstOvershoot();
}

RC_GTEST_PROP(FleetLimit, AnyFaults_NeverAdmitMoreThanBurstAndRate, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    RC_ASSERT(worstOf(Fault::None, steps) <= 1e-3);
}

/** Finds whether some sequence from the same generator shows the fault. */
bool oracleSees(Fault fault, std::size_t sequences)
{
    for (std::size_t seed = 0; seed < sequences; ++seed) {
        const auto steps = rc::gen::container<std::vector<Step>>(200, anyStep())(rc::Random(seed), 100).value();
        if (worstOf(fault, steps) > 1e-3) {
            return true;
        }
    }
    return false;
}

TEST(FleetLimitOracle, GrantsThatAreNotDebited_AreSeen)
{
    EXPECT_TRUE(oracleSees(Fault::GrantsAreNotDebited, 2000));
}

TEST(FleetLimitOracle, SharesThatGrowAtOnce_AreSeen)
{
    EXPECT_TRUE(oracleSees(Fault::SharesGrowAtOnce, 2000));
}

TEST(FleetLimitOracle, ProofsThatNeverExpire_AreSeen)
{
    EXPECT_TRUE(oracleSees(Fault::ProofsNeverExpire, 2000));
}

TEST(FleetLimit, HealthyFleet_AdmitsTheWholeRate)
{
    Fleet fleet(Fault::None);
    fleet.advance(5s);
    for (int i = 0; i < 100; ++i) {
        fleet.request(0, 20, 0);
        for (int round = 0; round < 12; ++round) {
            fleet.network(0, 2);
        }
        fleet.advance(100ms);
    }
    // All demand stands at one gateway, and is 200 tokens a second: the whole rate.
    EXPECT_GE(fleet.admitted(), 0.95 * 100 * 20);
    EXPECT_LE(fleet.worstOvershoot(), 1e-3);
}

}

}

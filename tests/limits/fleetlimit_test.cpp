/**
 * The rate limit of a customer across all gateways, while messages are lost, delayed or duplicated, gateways pause or die, the network is
 * partitioned, the store is down and the membership changes. In no window of t seconds may more than burst + rate * t be admitted.
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
constexpr Duration FreshnessLifetime = 400ms;
constexpr Duration GrantLifetime = 200ms;
const std::string Customer = "orders-desk";

/** Faults injected into the simulated gateways to check that the oracle detects them. */
enum class Fault {
    None,
    /** A holder keeps the tokens that it grants. */
    GrantsNotDebited,
    /** A share grows before the processes of the earlier epoch are known to have stopped spending. */
    SharesGrowImmediately,
    /** A share is spent however old the last confirmed read is. */
    FreshnessNeverExpires,
};

/** Records the tokens spent, by time, and checks them against the limit. */
class Oracle
{
public:
    /** @return the index of the event, for refund(). */
    std::size_t recordSpent(TimePoint at, double tokens)
    {
        events_.emplace_back(at, tokens);
        return events_.size() - 1;
    }

    void refund(std::size_t event, double tokens)
    {
        events_[event].second -= tokens;
    }

    /** Largest excess over the limit in any window. */
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

/** A message between two gateways. */
struct Message
{
    enum class Kind {
        TokenRequest,
        Grant,
        Return,
    };
    Kind kind = Kind::TokenRequest;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    std::uint64_t epoch = 0;
    double amount = 0;
    double level = 0;
};

/** The table service with the membership row. */
struct Store
{
    MembershipRow row;
    bool up = true;
};

/** One gateway. */
struct Node
{
    Node(std::size_t index, std::uint64_t incarnation, TimePoint now)
        : self{{"entry-" + std::to_string(index), incarnation}, "", "dc"}
        , keeper(self, {300ms, 300ms, 3s}, now)
        , shareGuard(self.identity, FreshnessLifetime + 40ms, GrantLifetime + 20ms)
        , freshness(self.identity.name, FreshnessLifetime, 100ms)
        , limiter({GrantLifetime, 50ms, 16, 50ms, 40}, Rate, Burst)
    {
    }

    GatewayMember self;
    MembershipKeeper keeper;
    ShareGuard shareGuard;
    StoreFreshness freshness;
    CustomerLimiter limiter;
    bool alive = true;
    bool paused = false;
    bool storeReachable = true;
    /** A running answer: what was drawn so far, and the oracle's events of the draws with their tokens. */
    struct Answer
    {
        double drawn = 0;
        double delivered = 0;
        std::vector<std::pair<std::size_t, double>> draws;
    };
    std::map<std::uint64_t, Answer> answers;
};

/** Simulation of the gateways, the store and the network between them. */
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
        // Time advances in steps, and each step runs the timers of the processes.
        const TimePoint end = now_ + duration;
        while (now_ < end) {
            now_ += std::min<Duration>(20ms, end - now_);
            for (std::size_t i = 0; i < Gateways; ++i) {
                runTimers(i);
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
        node.limiter.requestAdmission({id, prompt, output, ServiceClass::Standard, now_ + 1s}, now_);
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
        updateLimiter(index);
        node.limiter.onTokensDelivered(it->first, amount, now_);
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
        updateLimiter(index);
        node.limiter.onRequestFinished(it->first, now_);
        node.answers.erase(it);
        poll(index);
    }

    /** Handles one message in flight: drops it, delivers it and keeps a copy in flight, or delivers it. */
    void deliverMessage(std::size_t choice, std::size_t action)
    {
        if (messages_.empty()) {
            return;
        }
        const std::size_t index = choice % messages_.size();
        const Message message = messages_[index];
        const bool isCut = isCut_[message.from][message.to];
        if (action % 8 != 1) {
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        Node &node = *nodes_[message.to];
        if (action % 8 != 0 && !isCut && node.alive && !node.paused) {
            receive(message);
        }
    }

    void exchangePeerStates()
    {
        for (std::size_t from = 0; from < Gateways; ++from) {
            for (std::size_t to = 0; to < Gateways; ++to) {
                sendPeerState(from, to);
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
        isCut_[left][right] = cut;
        isCut_[right][left] = cut;
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
    bool isRunning(std::size_t index) const
    {
        return nodes_[index]->alive && !nodes_[index]->paused;
    }

    void runTimers(std::size_t index)
    {
        if (!isRunning(index)) {
            return;
        }
        Node &node = *nodes_[index];
        if (store_.up && node.storeReachable) {
            applyRow(index);
            node.freshness.onReadSucceeded(now_, {0, store_.row.epoch});
            const auto proposal = node.keeper.proposal(node.shareGuard.confirmedStoppedProcesses(now_), now_);
            if (proposal && proposal->epoch == store_.row.epoch + 1) {
                store_.row = *proposal;
                applyRow(index);
            }
        } else {
            node.freshness.onReadFailed(now_);
        }
        for (std::size_t other = 0; other < Gateways; ++other) {
            sendPeerState(other, index);
        }
        poll(index);
    }

    void applyRow(std::size_t index)
    {
        Node &node = *nodes_[index];
        node.keeper.setRow(store_.row, now_);
        node.shareGuard.setMembership(store_.row, now_);
        node.freshness.setMembership(store_.row);
    }

    void sendPeerState(std::size_t from, std::size_t to)
    {
        if (from == to || isCut_[from][to] || !isRunning(from) || !isRunning(to)) {
            return;
        }
        const Node &source = *nodes_[from];
        Node &target = *nodes_[to];
        target.keeper.onPeerState(source.self.identity, source.keeper.suspects(now_), now_);
        target.shareGuard.onEpochAcknowledged(source.self.identity, source.shareGuard.membership().epoch, now_);
        PeerReport report{source.self.identity.name, source.self.identity.incarnation, now_, source.shareGuard.membership().epoch, 0};
        report.storeDown = source.freshness.isStoreDown(now_);
        report.hasConfirmedRead = source.freshness.hasConfirmedRead();
        report.confirmedReadAge = now_ - source.freshness.confirmedReadTime();
        report.confirmedVersions = source.freshness.confirmedVersions();
        target.freshness.onPeerReport(report);
    }

    void updateLimiter(std::size_t index)
    {
        Node &node = *nodes_[index];
        ShareAssignment shares;
        shares.ownFraction = node.shareGuard.spendableFraction(Customer, now_);
        const auto holders = shareHolders(Customer, node.shareGuard.membership());
        if (fault_ == Fault::SharesGrowImmediately) {
            shares.ownFraction = holders.empty() ? 0 : 1.0 / static_cast<double>(holders.size());
        }
        for (const std::string &holder : holders) {
            if (holder != node.self.identity.name) {
                shares.others.push_back(holder);
            }
        }
        node.limiter.setShares(shares, now_);
        const bool valid = now_ <= node.freshness.sharesValidUntil(now_) || fault_ == Fault::FreshnessNeverExpires;
        node.limiter.setSuspended(!valid, now_);
    }

    void poll(std::size_t index)
    {
        updateLimiter(index);
        Node &node = *nodes_[index];
        const LimiterActions actions = node.limiter.poll(now_);
        for (const AdmissionResult &result : actions.admissions) {
            if (result.verdict == AdmissionVerdict::Admitted) {
                oracle_.recordSpent(now_, prompts_.at(result.id));
                admitted_ += prompts_.at(result.id);
                node.answers[result.id];
            }
        }
        for (const AnswerAllowance &allowance : actions.allowances) {
            Node::Answer &answer = node.answers.at(allowance.id);
            const double more = allowance.total - answer.drawn;
            answer.drawn = allowance.total;
            answer.draws.emplace_back(oracle_.recordSpent(now_, more), more);
        }
        for (const TokenRequest &request : actions.tokenRequests) {
            send({Message::Kind::TokenRequest,
                  index,
                  indexOf(request.holder),
                  node.self.identity.incarnation,
                  request.number,
                  node.shareGuard.membership().epoch,
                  request.amount});
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
        updateLimiter(message.to);
        switch (message.kind) {
        case Message::Kind::TokenRequest: {
            const bool sameEpoch = message.epoch == node.shareGuard.membership().epoch;
            const double granted = sameEpoch ? node.limiter.grantTokens({message.incarnation, message.number}, message.amount, now_) : 0;
            if (fault_ == Fault::GrantsNotDebited) {
                node.limiter.onGrantReturned({message.incarnation, message.number}, granted, now_);
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
            node.limiter.onGrantReturned({message.incarnation, message.number}, message.amount, now_);
            break;
        }
    }

    Fault fault_;
    TimePoint now_{1h};
    Store store_;
    std::unique_ptr<Node> nodes_[Gateways];
    bool isCut_[Gateways][Gateways] = {};
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
        fleet.deliverMessage(step.other, step.amount);
        break;
    default:
        fleet.advance(std::chrono::milliseconds(step.amount * 4));
        break;
    }
}

double worstOvershootOf(Fault fault, const std::vector<Step> &steps)
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
    RC_ASSERT(worstOvershootOf(Fault::None, steps) <= 1e-3);
}

/** Whether the oracle detects the fault in one of @p sequences random sequences of the property's generator. The seeds are fixed. */
bool oracleDetects(Fault fault, std::size_t sequences)
{
    for (std::size_t seed = 0; seed < sequences; ++seed) {
        const auto steps = rc::gen::container<std::vector<Step>>(200, anyStep())(rc::Random(seed), 100).value();
        if (worstOvershootOf(fault, steps) > 1e-3) {
            return true;
        }
    }
    return false;
}

TEST(FleetLimitOracle, GrantsNotDebited_OvershootIsDetected)
{
    EXPECT_TRUE(oracleDetects(Fault::GrantsNotDebited, 2000));
}

TEST(FleetLimitOracle, SharesGrowImmediately_OvershootIsDetected)
{
    EXPECT_TRUE(oracleDetects(Fault::SharesGrowImmediately, 2000));
}

TEST(FleetLimitOracle, FreshnessNeverExpires_OvershootIsDetected)
{
    EXPECT_TRUE(oracleDetects(Fault::FreshnessNeverExpires, 2000));
}

TEST(FleetLimit, NoFaults_WholeRateIsAdmitted)
{
    Fleet fleet(Fault::None);
    fleet.advance(5s);
    for (int i = 0; i < 100; ++i) {
        fleet.request(0, 20, 0);
        for (int round = 0; round < 12; ++round) {
            fleet.deliverMessage(0, 2);
        }
        fleet.advance(100ms);
    }
    // All demand arrives at one gateway. It is 200 tokens per second, which is the whole rate.
    EXPECT_GE(fleet.admitted(), 0.95 * 100 * 20);
    EXPECT_LE(fleet.worstOvershoot(), 1e-3);
}

}

}

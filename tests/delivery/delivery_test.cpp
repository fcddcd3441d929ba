/**
 * One request's delivery between a gateway's flow and the sidecars' dispatchers, under loss, delay, repetition and reordering of messages
 * and deaths of sidecars and endpoints: a request that may not be repeated runs at most once, "not run" is true, and an answer that counts
 * as whole is whole.
 */
#include "dispatcher.h"
#include "requestflow.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Sidecars = 2;
constexpr std::uint64_t AnswerChunks = 3;

enum class Fault {
    None,
    /** A new sidecar process answers for the one before it. */
    IgnoresIncarnation,
    /** The sidecar forgets cancelled requests. */
    NoTombstones,
    /** Chunks are not numbered. */
    IgnoresSequence,
};

struct Message
{
    enum class Kind {
        Submit,
        Accepted,
        Refused,
        Chunk,
        End,
        Cancel,
        CancelReply,
    };
    Kind kind = Kind::Submit;
    RequestId id;
    std::size_t sidecar = 0;
    Tick tick;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    bool ran = false;
};

class World
{
public:
    World(Fault fault, bool idempotent)
        : fault_(fault)
        , flow_({200ms, 1s, 2s, 1s, 4}, idempotent, false, now_ + 2s)
    {
        for (std::size_t i = 0; i < Sidecars; ++i) {
            restart(i);
        }
        route();
    }

    void restart(std::size_t index)
    {
        clocks_[index] = std::make_unique<TickClock>(++incarnation_, 300ms);
        DispatcherOptions options;
        options.slots = 1;
        dispatchers_[index] = std::make_unique<Dispatcher>(options, *clocks_[index]);
        running_[index].clear();
    }

    void advance(Duration duration)
    {
        now_ += duration;
        if (now_ >= flow_.deadline()) {
            take(flow_.timeout(now_));
        }
        for (std::size_t i = 0; i < Sidecars; ++i) {
            for (const Refusal &refusal : dispatchers_[i]->expire(now_)) {
                send({Message::Kind::Refused, refusal.id, i});
            }
        }
    }

    void setDraining(std::size_t index, bool draining)
    {
        dispatchers_[index]->setDraining(draining);
    }

    void cancelAgain()
    {
        if (flow_.isCancelling()) {
            send({Message::Kind::Cancel, flow_.attemptId(), attemptSidecar_, attemptTick_});
        }
    }

    void loseLink()
    {
        take(flow_.linkLost(now_));
    }

    /** The endpoint takes what is next in the queue. */
    void dispatch(std::size_t index)
    {
        if (const auto id = dispatchers_[index]->dispatch(now_)) {
            ++runs_;
            running_[index].push_back(*id);
        }
    }

    /** A running request's answer comes out. */
    void finish(std::size_t index)
    {
        if (running_[index].empty()) {
            return;
        }
        const RequestId id = running_[index].back();
        running_[index].pop_back();
        dispatchers_[index]->finished(id, 10, 10, now_);
        for (std::uint64_t i = 0; i < AnswerChunks; ++i) {
            send({Message::Kind::Chunk, id, index, {}, i});
        }
        send({Message::Kind::End, id, index, {}, AnswerChunks});
    }

    void network(std::size_t choice, std::size_t what)
    {
        if (messages_.empty()) {
            return;
        }
        const std::size_t index = choice % messages_.size();
        const Message message = messages_[index];
        if (what % 6 != 1) {
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (what % 6 != 0) {
            receive(message);
        }
    }

    bool violated() const
    {
        return violated_;
    }

    std::uint64_t runs() const
    {
        return runs_;
    }

    bool saidNotRun() const
    {
        return notRun_;
    }

    bool isDone() const
    {
        return done_;
    }

private:
    void route()
    {
        const std::size_t index = ++attempts_ % Sidecars;
        attemptSidecar_ = index;
        const RequestId id{1, attempts_};
        chunks_.clear();
        flow_.attempt(id, std::to_string(index), clocks_[index]->incarnation(), 500ms, now_);
        attemptTick_ = clocks_[index]->issue(now_);
        send({Message::Kind::Submit, id, index, attemptTick_});
    }

    void take(const FlowStep &step)
    {
        if (done_) {
            return;
        }
        if (step.cancelLost) {
            send({Message::Kind::Cancel, flow_.attemptId(), attemptSidecar_, attemptTick_});
        }
        switch (step.action) {
        case FlowAction::Wait:
            break;
        case FlowAction::Route:
            route();
            break;
        case FlowAction::Cancel:
            cancelAgain();
            break;
        case FlowAction::Finish:
            done_ = true;
            violated_ = violated_ || chunks_ != std::vector<std::uint64_t>{0, 1, 2};
            break;
        case FlowAction::Fail:
            done_ = true;
            notRun_ = step.notRun;
            violated_ = violated_ || (notRun_ && runs_ > 0);
            break;
        }
    }

    void receive(const Message &message)
    {
        if (message.kind == Message::Kind::Submit || message.kind == Message::Kind::Cancel) {
            receiveAtSidecar(message);
            return;
        }
        if (done_ || message.id != flow_.attemptId()) {
            return;
        }
        switch (message.kind) {
        case Message::Kind::Accepted:
            take(flow_.accepted(now_));
            break;
        case Message::Kind::Refused:
            take(flow_.refused(0ms, now_));
            break;
        case Message::Kind::Chunk: {
            const std::uint64_t sequence = fault_ == Fault::IgnoresSequence ? chunks_.size() : message.sequence;
            const FlowStep step = flow_.chunk(sequence, now_);
            if (step.action == FlowAction::Wait) {
                chunks_.push_back(message.sequence);
            }
            take(step);
            break;
        }
        case Message::Kind::End:
            take(flow_.end(fault_ == Fault::IgnoresSequence ? chunks_.size() : message.sequence, now_));
            break;
        case Message::Kind::CancelReply: {
            std::uint64_t incarnation = message.incarnation;
            if (fault_ == Fault::IgnoresIncarnation) {
                incarnation = attemptTick_.incarnation;
            }
            if (flow_.isCancelling()) {
                take(flow_.cancelReply(message.ran, incarnation, now_));
            }
            break;
        }
        case Message::Kind::Submit:
        case Message::Kind::Cancel:
            break;
        }
    }

    void receiveAtSidecar(const Message &message)
    {
        Dispatcher &dispatcher = *dispatchers_[message.sidecar];
        if (message.kind == Message::Kind::Cancel) {
            bool ran = false;
            if (fault_ != Fault::NoTombstones) {
                const bool trusting = fault_ == Fault::IgnoresIncarnation;
                const Tick tick = trusting ? clocks_[message.sidecar]->issue(now_) : message.tick;
                ran = dispatcher.cancel(message.id, tick, now_) == CancelResult::Ran;
            }
            send({Message::Kind::CancelReply, message.id, message.sidecar, {}, 0, clocks_[message.sidecar]->incarnation(), ran});
            return;
        }
        SubmittedRequest request;
        request.id = message.id;
        request.tick = message.tick;
        request.customer = "desk";
        request.queueTimeout = 500ms;
        const SubmitDecision decision = dispatcher.submit(request, now_);
        if (decision.refusal == RefusalReason::None) {
            send({Message::Kind::Accepted, message.id, message.sidecar});
        } else if (decision.refusal != RefusalReason::Duplicate && decision.refusal != RefusalReason::Unknowable) {
            send({Message::Kind::Refused, message.id, message.sidecar});
        }
    }

    void send(const Message &message)
    {
        messages_.push_back(message);
    }

    Fault fault_;
    TimePoint now_{1h};
    RequestFlow flow_;
    std::unique_ptr<TickClock> clocks_[Sidecars];
    std::unique_ptr<Dispatcher> dispatchers_[Sidecars];
    std::vector<RequestId> running_[Sidecars];
    std::vector<Message> messages_;
    std::vector<std::uint64_t> chunks_;
    std::uint64_t incarnation_ = 100;
    std::uint64_t attempts_ = 0;
    std::size_t attemptSidecar_ = 0;
    Tick attemptTick_;
    std::uint64_t runs_ = 0;
    bool done_ = false;
    bool notRun_ = false;
    bool violated_ = false;
};

struct Step
{
    int kind = 0;
    std::size_t argument = 0;
    std::size_t what = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << "{" << step.kind << "," << step.argument << "," << step.what << "}";
}

rc::Gen<Step> anyStep()
{
    return rc::gen::construct<Step>(rc::gen::inRange(0, 15), rc::gen::inRange<std::size_t>(0, 64), rc::gen::inRange<std::size_t>(0, 12));
}

struct Verdict
{
    bool violated = false;
    std::uint64_t runs = 0;
    bool notRun = false;
};

Verdict play(Fault fault, bool idempotent, const std::vector<Step> &steps)
{
    World world(fault, idempotent);
    for (const Step &step : steps) {
        switch (step.kind) {
        case 0:
            world.restart(step.argument % Sidecars);
            break;
        case 14:
            world.setDraining(step.argument % Sidecars, step.what % 2 == 0);
            break;
        case 1:
            world.loseLink();
            break;
        case 2:
            world.cancelAgain();
            break;
        case 3:
        case 4:
            world.dispatch(step.argument % Sidecars);
            break;
        case 5:
            world.finish(step.argument % Sidecars);
            break;
        case 6:
        case 7:
            world.advance(std::chrono::milliseconds(step.argument * 5));
            break;
        default:
            world.network(step.argument, step.what);
            break;
        }
    }
    return {world.violated(), world.runs(), world.saidNotRun()};
}

bool isWrong(const Verdict &verdict, bool idempotent)
{
    return verdict.violated || (!idempotent && verdict.runs > 1) || (verdict.notRun && verdict.runs > 0);
}

RC_GTEST_PROP(Delivery, NonIdempotentRequest_RunsAtMostOnceAndNotRunIsTrue, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    RC_ASSERT(!isWrong(play(Fault::None, false, steps), false));
}

RC_GTEST_PROP(Delivery, IdempotentRequest_NotRunIsTrueAndAnswersAreWhole, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    RC_ASSERT(!isWrong(play(Fault::None, true, steps), true));
}

bool oracleSees(Fault fault, bool idempotent)
{
    for (std::size_t seed = 0; seed < 20000; ++seed) {
        const auto steps = rc::gen::container<std::vector<Step>>(60, anyStep())(rc::Random(seed), 100).value();
        if (isWrong(play(fault, idempotent, steps), idempotent)) {
            return true;
        }
    }
    return false;
}

TEST(DeliveryOracle, IncarnationsIgnored_SecondRunIsSeen)
{
    EXPECT_TRUE(oracleSees(Fault::IgnoresIncarnation, false));
}

TEST(DeliveryOracle, NoTombstones_SecondRunIsSeen)
{
    EXPECT_TRUE(oracleSees(Fault::NoTombstones, false));
}

TEST(DeliveryOracle, SequenceIgnored_CutAnswerIsSeen)
{
    EXPECT_TRUE(oracleSees(Fault::IgnoresSequence, true));
}

}

}

/**
 * The delivery of one request between the gateway's RequestFlow and the sidecars' Dispatchers, while messages are lost, delayed, duplicated
 * and reordered and sidecars restart. A request that isn't idempotent must run at most once, "not run" must be true, and an answer that is
 * accepted as whole must be whole.
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
    /** The reply of a restarted sidecar counts for the process before it. */
    IgnoresIncarnation,
    /** The sidecar keeps no record of cancelled requests. */
    NoTombstones,
    /** The numbers of chunks are not checked. */
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

class DeliverySimulation
{
public:
    DeliverySimulation(Fault fault, bool idempotent)
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
            perform(flow_.onTimeout(now_));
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
        perform(flow_.onLinkLost(now_));
    }

    /** The endpoint starts the next queued request. */
    void dispatch(std::size_t index)
    {
        if (const auto id = dispatchers_[index]->dispatch(now_)) {
            ++runs_;
            running_[index].push_back(*id);
        }
    }

    /** The endpoint answers the request that it started last. */
    void finish(std::size_t index)
    {
        if (running_[index].empty()) {
            return;
        }
        const RequestId id = running_[index].back();
        running_[index].pop_back();
        dispatchers_[index]->onFinished(id, 10, 10, now_);
        for (std::uint64_t i = 0; i < AnswerChunks; ++i) {
            send({Message::Kind::Chunk, id, index, {}, i});
        }
        send({Message::Kind::End, id, index, {}, AnswerChunks});
    }

    /** Loses, duplicates or delivers one of the messages in flight. */
    void stepNetwork(std::size_t choice, std::size_t variant)
    {
        if (messages_.empty()) {
            return;
        }
        const std::size_t index = choice % messages_.size();
        const Message message = messages_[index];
        if (variant % 6 != 1) {
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (variant % 6 != 0) {
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

    bool claimedNotRun() const
    {
        return claimedNotRun_;
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
        flow_.beginAttempt(id, std::to_string(index), clocks_[index]->incarnation(), 500ms, now_);
        attemptTick_ = clocks_[index]->issue(now_);
        send({Message::Kind::Submit, id, index, attemptTick_});
    }

    void perform(const FlowStep &step)
    {
        if (done_) {
            return;
        }
        if (step.cancelLostAttempt) {
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
            claimedNotRun_ = step.notRun;
            violated_ = violated_ || (claimedNotRun_ && runs_ > 0);
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
            perform(flow_.onAccepted(now_));
            break;
        case Message::Kind::Refused:
            perform(flow_.onRefused(0ms, now_));
            break;
        case Message::Kind::Chunk: {
            const std::uint64_t sequence = fault_ == Fault::IgnoresSequence ? chunks_.size() : message.sequence;
            const FlowStep step = flow_.onChunk(sequence, now_);
            if (step.action == FlowAction::Wait) {
                chunks_.push_back(message.sequence);
            }
            perform(step);
            break;
        }
        case Message::Kind::End:
            perform(flow_.onEnd(fault_ == Fault::IgnoresSequence ? chunks_.size() : message.sequence, now_));
            break;
        case Message::Kind::CancelReply: {
            std::uint64_t incarnation = message.incarnation;
            if (fault_ == Fault::IgnoresIncarnation) {
                incarnation = attemptTick_.incarnation;
            }
            if (flow_.isCancelling()) {
                perform(flow_.onCancelReply(message.ran, incarnation, now_));
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
                const bool ignoresIncarnation = fault_ == Fault::IgnoresIncarnation;
                const Tick tick = ignoresIncarnation ? clocks_[message.sidecar]->issue(now_) : message.tick;
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
    bool claimedNotRun_ = false;
    bool violated_ = false;
};

struct Step
{
    int kind = 0;
    std::size_t argument = 0;
    std::size_t variant = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << "{" << step.kind << "," << step.argument << "," << step.variant << "}";
}

rc::Gen<Step> anyStep()
{
    return rc::gen::construct<Step>(rc::gen::inRange(0, 15), rc::gen::inRange<std::size_t>(0, 64), rc::gen::inRange<std::size_t>(0, 12));
}

struct SimulationResult
{
    bool violated = false;
    std::uint64_t runs = 0;
    bool notRun = false;
};

SimulationResult simulate(Fault fault, bool idempotent, const std::vector<Step> &steps)
{
    DeliverySimulation simulation(fault, idempotent);
    for (const Step &step : steps) {
        switch (step.kind) {
        case 0:
            simulation.restart(step.argument % Sidecars);
            break;
        case 14:
            simulation.setDraining(step.argument % Sidecars, step.variant % 2 == 0);
            break;
        case 1:
            simulation.loseLink();
            break;
        case 2:
            simulation.cancelAgain();
            break;
        case 3:
        case 4:
            simulation.dispatch(step.argument % Sidecars);
            break;
        case 5:
            simulation.finish(step.argument % Sidecars);
            break;
        case 6:
        case 7:
            simulation.advance(std::chrono::milliseconds(step.argument * 5));
            break;
        default:
            simulation.stepNetwork(step.argument, step.variant);
            break;
        }
    }
    return {simulation.violated(), simulation.runs(), simulation.claimedNotRun()};
}

bool violatesGuarantee(const SimulationResult &result, bool idempotent)
{
    return result.violated || (!idempotent && result.runs > 1) || (result.notRun && result.runs > 0);
}

RC_GTEST_PROP(Delivery, NonIdempotentRequest_RunsAtMostOnceAndNotRunIsTrue, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    RC_ASSERT(!violatesGuarantee(simulate(Fault::None, false, steps), false));
}

RC_GTEST_PROP(Delivery, IdempotentRequest_NotRunIsTrueAndAnswersAreWhole, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    RC_ASSERT(!violatesGuarantee(simulate(Fault::None, true, steps), true));
}

bool violationIsDetected(Fault fault, bool idempotent)
{
    for (std::size_t seed = 0; seed < 20000; ++seed) {
        const auto steps = rc::gen::container<std::vector<Step>>(60, anyStep())(rc::Random(seed), 100).value();
        if (violatesGuarantee(simulate(fault, idempotent, steps), idempotent)) {
            return true;
        }
    }
    return false;
}

TEST(DeliveryOracle, IncarnationsIgnored_SecondRunIsDetected)
{
    EXPECT_TRUE(violationIsDetected(Fault::IgnoresIncarnation, false));
}

TEST(DeliveryOracle, NoTombstones_SecondRunIsDetected)
{
    EXPECT_TRUE(violationIsDetected(Fault::NoTombstones, false));
}

TEST(DeliveryOracle, SequenceIgnored_IncompleteAnswerIsDetected)
{
    EXPECT_TRUE(violationIsDetected(Fault::IgnoresSequence, true));
}

}

}

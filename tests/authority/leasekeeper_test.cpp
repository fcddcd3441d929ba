/**
 * The lease under lost answers, delayed writes, pauses and deaths: at no moment do two processes hold it.
 */
#include "leasekeeper.h"

#include "randomsteps.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

enum class Fault {
    None,
    /** Takes the lease without watching the row. */
    TakesAtOnce,
    /** Counts validity from the answer and not from the request. */
    CountsFromTheAnswer,
};

struct Process
{
    std::unique_ptr<LeaseKeeper> keeper;
    std::optional<LeaseWrite> write;
    TimePoint sentAt;
    bool applied = false;
    std::uint64_t incarnation = 0;
};

class World
{
public:
    explicit World(Fault fault)
        : fault_(fault)
    {
        start(0);
        start(1);
    }

    void start(std::size_t index)
    {
        LeaseOptions options;
        options.duration = fault_ == Fault::TakesAtOnce ? 0ms : 600ms;
        if (fault_ == Fault::TakesAtOnce) {
            options.margin = -600ms;
        } else {
            options.margin = 60ms;
        }
        options.renewEvery = 200ms;
        options.settle = 0ms;
        Process &process = processes_[index];
        // A write of the dead process may still take effect.
        if (process.write && !process.applied) {
            stray_.push_back(*process.write);
        }
        process = Process{std::make_unique<LeaseKeeper>("entry-" + std::to_string(index), ++lastIncarnation_, options),
                          std::nullopt,
                          {},
                          false,
                          lastIncarnation_};
    }

    void advance(Duration duration)
    {
        now_ += duration;
        check();
    }

    void observe(std::size_t index)
    {
        processes_[index].keeper->observed(version_ == 0 ? std::nullopt : std::optional(row_), version_, now_);
    }

    void poll(std::size_t index)
    {
        Process &process = processes_[index];
        if (process.write) {
            return;
        }
        process.write = process.keeper->poll(now_);
        process.sentAt = now_;
        process.applied = false;
    }

    /** The write reaches the store; its answer is still to come. */
    void apply(std::size_t index)
    {
        Process &process = processes_[index];
        if (process.write && !process.applied) {
            process.applied = true;
            success_[index] = write(*process.write);
        }
    }

    void applyStray()
    {
        if (!stray_.empty()) {
            write(stray_.back());
            stray_.pop_back();
        }
    }

    void answer(std::size_t index, bool lost)
    {
        Process &process = processes_[index];
        if (!process.write) {
            return;
        }
        if (lost || !process.applied) {
            if (!process.applied) {
                stray_.push_back(*process.write);
            }
            process.keeper->unknown();
        } else if (success_[index]) {
            process.keeper->committed(now_);
            if (fault_ == Fault::CountsFromTheAnswer) {
                lateness_[index] = now_ - process.sentAt;
            }
        } else {
            process.keeper->rejected();
        }
        process.write.reset();
        check();
    }

    bool hasConflict() const
    {
        return conflict_;
    }

private:
    bool write(const LeaseWrite &write)
    {
        if (write.replaces != version_) {
            return false;
        }
        row_ = write.row;
        ++version_;
        return true;
    }

    bool holds(std::size_t index) const
    {
        return processes_[index].keeper->isValid(now_ - lateness_[index]);
    }

    void check()
    {
        conflict_ = conflict_ || (holds(0) && holds(1));
    }

    Fault fault_;
    TimePoint now_{1h};
    LeaseRow row_;
    std::uint64_t version_ = 0;
    Process processes_[2];
    bool success_[2] = {};
    Duration lateness_[2] = {};
    std::vector<LeaseWrite> stray_;
    std::uint64_t lastIncarnation_ = 0;
    bool conflict_ = false;
};

constexpr int StepKinds = 16;

bool conflicts(Fault fault, const std::vector<Step> &steps)
{
    World world(fault);
    for (const Step &step : steps) {
        const std::size_t process = step.argument % 2;
        switch (step.kind) {
        case 0:
            world.start(process);
            break;
        case 1:
        case 2:
        case 3:
            world.observe(process);
            break;
        case 4:
        case 5:
        case 6:
            world.poll(process);
            break;
        case 7:
        case 8:
            world.apply(process);
            break;
        case 9:
        case 10:
            world.answer(process, false);
            break;
        case 11:
            world.answer(process, true);
            break;
        case 12:
            world.applyStray();
            break;
        default:
            world.advance(std::chrono::milliseconds(step.argument * 6));
            break;
        }
    }
    return world.hasConflict();
}

bool oracleSees(Fault fault)
{
    return anySequence(5000, 200, StepKinds, [fault](const std::vector<Step> &steps) { return conflicts(fault, steps); });
}

RC_GTEST_PROP(LeaseKeeper, AnyFaults_NeverTwoHolders, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep(StepKinds));
    RC_ASSERT(!conflicts(Fault::None, steps));
}

TEST(LeaseKeeperOracle, TakenWithoutWatching_ConflictIsSeen)
{
    EXPECT_TRUE(oracleSees(Fault::TakesAtOnce));
}

TEST(LeaseKeeperOracle, ValidityFromTheAnswer_ConflictIsSeen)
{
    EXPECT_TRUE(oracleSees(Fault::CountsFromTheAnswer));
}

TEST(LeaseKeeper, HolderDies_SuccessorTakesItAfterTheDuration)
{
    LeaseOptions options;
    const TimePoint start{1h};
    LeaseKeeper successor("b", 2, options);
    successor.observed(LeaseRow{"a", 1, 7, 3}, 9, start);
    EXPECT_FALSE(successor.poll(start + options.duration - 1ms).has_value());
    const auto write = successor.poll(start + options.duration);
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ(write->row.epoch, 8U);
    successor.committed(start + options.duration);
    EXPECT_TRUE(successor.isValid(start + options.duration));
    EXPECT_FALSE(successor.mayAct(start + options.duration));
    EXPECT_TRUE(successor.mayAct(start + options.duration + options.settle));
}

class ReleasedLease : public testing::Test
{
protected:
    /** The holder's renewal was committed, and its new version is not read back yet. */
    void holdAndRenew()
    {
        holder_.observed(std::nullopt, 0, start_);
        ASSERT_TRUE(holder_.poll(start_));
        holder_.committed(start_);
        holder_.observed(holder_.row(), 1, start_);
        now_ = start_ + options_.renewEvery;
        renewal_ = holder_.poll(now_);
        ASSERT_TRUE(renewal_);
    }

    LeaseOptions options_;
    TimePoint start_{1h};
    TimePoint now_{};
    LeaseKeeper holder_{"a", 1, options_};
    std::optional<LeaseWrite> renewal_;
};

TEST_F(ReleasedLease, RenewalIsInProgress_ItIsReadBack_LeaseIsGivenUpThen)
{
    holdAndRenew();
    holder_.release();
    EXPECT_FALSE(holder_.isValid(now_));
    EXPECT_FALSE(holder_.poll(now_).has_value());
    holder_.committed(now_);
    EXPECT_FALSE(holder_.poll(now_).has_value()) << "the version to replace is not known";
    holder_.observed(renewal_->row, 2, now_);
    const auto write = holder_.poll(now_);
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ("", write->row.holder);
    EXPECT_EQ(2U, write->replaces);
    EXPECT_FALSE(holder_.isValid(now_));
}

TEST_F(ReleasedLease, ItWasGivenUp_FurtherPolls_WriteNothing)
{
    holdAndRenew();
    holder_.committed(now_);
    holder_.observed(renewal_->row, 2, now_);
    holder_.release();
    const auto write = holder_.poll(now_);
    ASSERT_TRUE(write.has_value());
    holder_.committed(now_);
    holder_.observed(write->row, 3, now_);
    EXPECT_FALSE(holder_.poll(now_ + 1min).has_value());
}

TEST(LeaseKeeper, Released_SuccessorTakesItAtOnce)
{
    LeaseKeeper successor("b", 2, {});
    successor.observed(LeaseRow{"", 0, 7, 3}, 9, TimePoint{1h});
    EXPECT_TRUE(successor.poll(TimePoint{1h}).has_value());
}

}

}

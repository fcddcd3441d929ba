/**
 * Two processes contend for one lease while answers are lost, writes are delayed, and processes pause or die. At no time may both hold a
 * valid lease.
 */
#include "leasekeeper.h"

#include "randomsteps.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

/** Faults injected to check that the simulation detects a conflict. */
enum class Fault {
    None,
    /** A process acquires the lease without observing the row for the lease duration. */
    AcquiresWithoutObserving,
    /** A process counts validity from the answer to its write instead of from the request. */
    CountsFromAnswer,
};

struct Process
{
    std::unique_ptr<LeaseKeeper> keeper;
    std::optional<LeaseWrite> write;
    TimePoint sentAt;
    /** The store has applied the write. */
    bool applied = false;
    std::uint64_t incarnation = 0;
};

/** Two processes, the lease row and the writes in flight. */
class LeaseSimulation
{
public:
    explicit LeaseSimulation(Fault fault)
        : fault_(fault)
    {
        startProcess(0);
        startProcess(1);
    }

    void startProcess(std::size_t index)
    {
        LeaseOptions options;
        options.duration = fault_ == Fault::AcquiresWithoutObserving ? 0ms : 600ms;
        if (fault_ == Fault::AcquiresWithoutObserving) {
            options.driftMargin = -600ms;
        } else {
            options.driftMargin = 60ms;
        }
        options.renewInterval = 200ms;
        options.activationDelay = 0ms;
        Process &process = processes_[index];
        // An unfinished write of the previous process may still take effect.
        if (process.write && !process.applied) {
            delayedWrites_.push_back(*process.write);
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
        recordConflict();
    }

    void readRow(std::size_t index)
    {
        processes_[index].keeper->onRowRead(version_ == 0 ? std::nullopt : std::optional(row_), version_, now_);
    }

    void startWrite(std::size_t index)
    {
        Process &process = processes_[index];
        if (process.write) {
            return;
        }
        process.write = process.keeper->nextWrite(now_);
        process.sentAt = now_;
        process.applied = false;
    }

    /** The store applies the write; the process has not received the answer yet. */
    void applyWrite(std::size_t index)
    {
        Process &process = processes_[index];
        if (process.write && !process.applied) {
            process.applied = true;
            writeCommitted_[index] = commit(*process.write);
        }
    }

    void applyDelayedWrite()
    {
        if (!delayedWrites_.empty()) {
            commit(delayedWrites_.back());
            delayedWrites_.pop_back();
        }
    }

    void deliverAnswer(std::size_t index, bool lost)
    {
        Process &process = processes_[index];
        if (!process.write) {
            return;
        }
        if (lost || !process.applied) {
            if (!process.applied) {
                delayedWrites_.push_back(*process.write);
            }
            process.keeper->onWriteOutcomeUnknown();
        } else if (writeCommitted_[index]) {
            process.keeper->onWriteCommitted(now_);
            if (fault_ == Fault::CountsFromAnswer) {
                answerDelay_[index] = now_ - process.sentAt;
            }
        } else {
            process.keeper->onWriteRejected();
        }
        process.write.reset();
        recordConflict();
    }

    bool hasConflict() const
    {
        return conflict_;
    }

private:
    bool commit(const LeaseWrite &write)
    {
        if (write.expectedVersion != version_) {
            return false;
        }
        row_ = write.row;
        ++version_;
        return true;
    }

    bool holdsLease(std::size_t index) const
    {
        return processes_[index].keeper->isValid(now_ - answerDelay_[index]);
    }

    void recordConflict()
    {
        conflict_ = conflict_ || (holdsLease(0) && holdsLease(1));
    }

    Fault fault_;
    TimePoint now_{1h};
    LeaseRow row_;
    std::uint64_t version_ = 0;
    Process processes_[2];
    bool writeCommitted_[2] = {};
    Duration answerDelay_[2] = {};
    std::vector<LeaseWrite> delayedWrites_;
    std::uint64_t lastIncarnation_ = 0;
    bool conflict_ = false;
};

constexpr int StepKinds = 16;

bool conflicts(Fault fault, const std::vector<Step> &steps)
{
    LeaseSimulation simulation(fault);
    for (const Step &step : steps) {
        const std::size_t process = step.argument % 2;
        switch (step.kind) {
        case 0:
            simulation.startProcess(process);
            break;
        case 1:
        case 2:
        case 3:
            simulation.readRow(process);
            break;
        case 4:
        case 5:
        case 6:
            simulation.startWrite(process);
            break;
        case 7:
        case 8:
            simulation.applyWrite(process);
            break;
        case 9:
        case 10:
            simulation.deliverAnswer(process, false);
            break;
        case 11:
            simulation.deliverAnswer(process, true);
            break;
        case 12:
            simulation.applyDelayedWrite();
            break;
        default:
            simulation.advance(std::chrono::milliseconds(step.argument * 6));
            break;
        }
    }
    return simulation.hasConflict();
}

bool detectsConflict(Fault fault)
{
    return anySequenceMatches(5000, 200, StepKinds, [fault](const std::vector<Step> &steps) { return conflicts(fault, steps); });
}

RC_GTEST_PROP(LeaseKeeper, AnyFaults_NeverTwoHolders, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep(StepKinds));
    RC_ASSERT(!conflicts(Fault::None, steps));
}

TEST(LeaseKeeperOracle, AcquiredWithoutObserving_ConflictIsDetected)
{
    EXPECT_TRUE(detectsConflict(Fault::AcquiresWithoutObserving));
}

TEST(LeaseKeeperOracle, ValidityCountedFromAnswer_ConflictIsDetected)
{
    EXPECT_TRUE(detectsConflict(Fault::CountsFromAnswer));
}

TEST(LeaseKeeper, HolderStops_SuccessorAcquiresAfterLeaseDuration)
{
    LeaseOptions options;
    const TimePoint start{1h};
    LeaseKeeper successor("b", 2, options);
    successor.onRowRead(LeaseRow{"a", 1, 7, 3}, 9, start);
    EXPECT_FALSE(successor.nextWrite(start + options.duration - 1ms).has_value());
    const auto write = successor.nextWrite(start + options.duration);
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ(write->row.epoch, 8U);
    successor.onWriteCommitted(start + options.duration);
    EXPECT_TRUE(successor.isValid(start + options.duration));
    EXPECT_FALSE(successor.mayAct(start + options.duration));
    EXPECT_TRUE(successor.mayAct(start + options.duration + options.activationDelay));
}

class ReleasedLease : public testing::Test
{
protected:
    /** Acquires the lease and starts a renewal, whose outcome the test reports. */
    void acquireAndStartRenewal()
    {
        holder_.onRowRead(std::nullopt, 0, start_);
        ASSERT_TRUE(holder_.nextWrite(start_));
        holder_.onWriteCommitted(start_);
        holder_.onRowRead(holder_.row(), 1, start_);
        now_ = start_ + options_.renewInterval;
        renewal_ = holder_.nextWrite(now_);
        ASSERT_TRUE(renewal_);
    }

    LeaseOptions options_;
    TimePoint start_{1h};
    TimePoint now_{};
    LeaseKeeper holder_{"a", 1, options_};
    std::optional<LeaseWrite> renewal_;
};

TEST_F(ReleasedLease, ReleasedDuringRenewal_RowIsFreedAfterReadBack)
{
    acquireAndStartRenewal();
    holder_.release();
    EXPECT_FALSE(holder_.isValid(now_));
    EXPECT_FALSE(holder_.nextWrite(now_).has_value());
    holder_.onWriteCommitted(now_);
    EXPECT_FALSE(holder_.nextWrite(now_).has_value()) << "the row's version is unknown until the renewal is read back";
    holder_.onRowRead(renewal_->row, 2, now_);
    const auto write = holder_.nextWrite(now_);
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ("", write->row.holder);
    EXPECT_EQ(2U, write->expectedVersion);
    EXPECT_FALSE(holder_.isValid(now_));
}

TEST_F(ReleasedLease, RowIsFreed_NoFurtherWrites)
{
    acquireAndStartRenewal();
    holder_.onWriteCommitted(now_);
    holder_.onRowRead(renewal_->row, 2, now_);
    holder_.release();
    const auto write = holder_.nextWrite(now_);
    ASSERT_TRUE(write.has_value());
    holder_.onWriteCommitted(now_);
    holder_.onRowRead(write->row, 3, now_);
    EXPECT_FALSE(holder_.nextWrite(now_ + 1min).has_value());
}

TEST(LeaseKeeper, LeaseReleased_SuccessorAcquiresAtOnce)
{
    LeaseKeeper successor("b", 2, {});
    successor.onRowRead(LeaseRow{"", 0, 7, 3}, 9, TimePoint{1h});
    EXPECT_TRUE(successor.nextWrite(TimePoint{1h}).has_value());
}

}

}

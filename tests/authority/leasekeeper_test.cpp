/**
 * Two processes contend for one lease while answers are lost, writes are delayed, and processes pause or die. At no time may both hold a
 * valid lease.
 */
#include "leasekeeper.h"

#include "randomsteps.h"
#include "storeversion.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <tuple>
#include <utility>

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
    /** Processes don't know that the store has come back from an older copy. */
    IgnoresEras,
};

struct Process
{
    std::unique_ptr<LeaseKeeper> keeper;
    std::optional<LeaseWrite> write;
    TimePoint sentAt;
    /** The store has applied the write. */
    bool applied = false;
    std::uint64_t incarnation = 0;
    /** The highest era in which it has read the row. */
    std::uint64_t seenEra = 0;
    /** The era in which its write was formed. */
    std::uint64_t writeEra = 0;
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
            delayedWrites_.push_back({*process.write, process.writeEra});
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
        Process &process = processes_[index];
        const std::uint64_t era = fault_ == Fault::IgnoresEras ? 1 : era_;
        process.seenEra = era;
        process.keeper->onRowRead(version_ == 0 ? std::nullopt : std::optional(row_), StoreVersion::of(era, version_), now_, era);
    }

    void copyStore()
    {
        copy_ = {row_, version_};
    }

    /** The store comes back from its copy; versions are given out again. */
    void restoreStore()
    {
        std::tie(row_, version_) = copy_;
        ++era_;
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
        process.writeEra = fault_ == Fault::IgnoresEras ? era_ : process.seenEra;
    }

    /** The store applies the write; the process has not received the answer yet. */
    void applyWrite(std::size_t index)
    {
        Process &process = processes_[index];
        if (process.write && !process.applied) {
            process.applied = true;
            writeCommitted_[index] = commit(*process.write, process.writeEra);
        }
    }

    void applyDelayedWrite()
    {
        if (!delayedWrites_.empty()) {
            commit(delayedWrites_.back().first, delayedWrites_.back().second);
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
                delayedWrites_.push_back({*process.write, process.writeEra});
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
    /** @param era in which the write was formed; the client keeps one of an earlier era from taking effect. */
    bool commit(const LeaseWrite &write, std::uint64_t era)
    {
        const bool isOfEarlierEra = era > 0 && era < era_;
        if (isOfEarlierEra || StoreVersion::numberOf(write.expectedVersion) != version_) {
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
        for (const std::size_t index : {0, 1}) {
            if (holdsLease(index)) {
                recordHolder(processes_[index]);
            }
        }
    }

    /** An epoch must never be given out twice, nor a lower one after a higher one. */
    void recordHolder(const Process &process)
    {
        const std::uint64_t epoch = process.keeper->epoch();
        const auto [it, isNew] = holders_.emplace(epoch, process.incarnation);
        conflict_ = conflict_ || it->second != process.incarnation || (isNew && holders_.rbegin()->first != epoch);
    }

    Fault fault_;
    TimePoint now_{1h};
    LeaseRow row_;
    std::uint64_t version_ = 0;
    Process processes_[2];
    bool writeCommitted_[2] = {};
    Duration answerDelay_[2] = {};
    /** With the eras in which they were formed. */
    std::vector<std::pair<LeaseWrite, std::uint64_t>> delayedWrites_;
    std::pair<LeaseRow, std::uint64_t> copy_;
    std::uint64_t era_ = 1;
    /** Incarnations of holders by epoch. */
    std::map<std::uint64_t, std::uint64_t> holders_;
    std::uint64_t lastIncarnation_ = 0;
    bool conflict_ = false;
};

constexpr int StepKinds = 16;
/** With a store that comes back from older copies. */
constexpr int StepKindsWithCopies = 19;

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
        case 16:
            simulation.copyStore();
            break;
        case 17:
            simulation.restoreStore();
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

RC_GTEST_PROP(LeaseKeeper, StoreComesBackFromOlderCopies_NeverTwoHoldersAndNoEpochTwice, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep(StepKindsWithCopies));
    RC_ASSERT(!conflicts(Fault::None, steps));
}

TEST(LeaseKeeperOracle, ErasIgnored_ConflictIsDetected)
{
    EXPECT_TRUE(anySequenceMatches(
        5000, 200, StepKindsWithCopies, [](const std::vector<Step> &steps) { return conflicts(Fault::IgnoresEras, steps); }));
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

/** A holder whose lease the store has forgotten. */
class RestoredLease : public testing::Test
{
protected:
    static constexpr std::uint64_t OldVersion = StoreVersion::of(1, 50);
    static constexpr std::uint64_t NewVersion = StoreVersion::of(2, 40);

    LeaseOptions options_;
    TimePoint start_{1h};
    const LeaseRow older_{"a", 1, 7, 3};
    const LeaseRow newer_{"b", 2, 8, 0};
    LeaseKeeper keeper_{"c", 3, options_};
};

TEST_F(RestoredLease, ProcessKnowsNewerRow_OlderRowIsRead_NewerOneIsWrittenAgainAndNotTaken)
{
    keeper_.onRowRead(newer_, OldVersion, start_, 1);
    keeper_.onRowRead(older_, NewVersion, start_ + 1s, 2);
    const auto write = keeper_.nextWrite(start_ + 1s);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->row, newer_);
    EXPECT_EQ(write->expectedVersion, NewVersion);
    keeper_.onWriteCommitted(start_ + 1s);
    EXPECT_FALSE(keeper_.isValid(start_ + 1s));
    keeper_.onRowRead(newer_, NewVersion + 1, start_ + 2s, 2);
    EXPECT_FALSE(keeper_.nextWrite(start_ + 1s + options_.duration - 1ms));
    const auto acquisition = keeper_.nextWrite(start_ + 1s + options_.duration);
    ASSERT_TRUE(acquisition);
    EXPECT_GT(acquisition->row.epoch, newer_.epoch);
}

TEST_F(RestoredLease, HolderIsValid_OlderRowIsRead_LeaseGoesOnUnderItsEpoch)
{
    LeaseKeeper holder("b", 2, options_);
    holder.onRowRead(std::nullopt, 0, start_, 1);
    ASSERT_TRUE(holder.nextWrite(start_));
    holder.onWriteCommitted(start_);
    const auto epoch = holder.epoch();
    holder.onRowRead(std::nullopt, 0, start_ + 1s, 2);
    EXPECT_TRUE(holder.isValid(start_ + 1s));
    ASSERT_TRUE(holder.nextWrite(start_ + 1s));
    holder.onWriteCommitted(start_ + 1s);
    EXPECT_EQ(holder.epoch(), epoch);
    EXPECT_TRUE(holder.isValid(start_ + 1s + options_.duration - options_.driftMargin - 1ms));
}

TEST_F(RestoredLease, ProcessStartsInLaterEra_VacantRow_IsObservedFirstAndEpochIsAboveAllOfEarlierEras)
{
    keeper_.onRowRead(LeaseRow{"", 0, 7, 4}, NewVersion, start_, 2);
    EXPECT_FALSE(keeper_.nextWrite(start_ + options_.duration - 1ms));
    const auto write = keeper_.nextWrite(start_ + options_.duration);
    ASSERT_TRUE(write);
    EXPECT_GT(write->row.epoch, 10000U);
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

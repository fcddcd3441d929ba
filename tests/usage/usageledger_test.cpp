/**
 * Usage figures when replies to writes are lost and windows are sealed at any moment: nothing is counted twice, nothing stored is lost, and
 * a sealed window never changes.
 */
#include "usageledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

enum class Fault {
    None,
    /** On a conflict, the figures that were last confirmed as stored count, and not those that the row holds. */
    TrustsMemory,
};

/** A ledger and the rows of its gateway in the table service. */
class LedgerSimulation
{
public:
    explicit LedgerSimulation(Fault fault)
        : fault_(fault)
    {
    }

    void serve(std::uint64_t tokens)
    {
        ledger_.add(window_, "desk", {1, tokens, 0});
        served_ += tokens;
    }

    void nextWindow()
    {
        ++window_;
    }

    /** Seals the oldest window that has ended and is not sealed. */
    void seal()
    {
        if (sealed_ < window_) {
            ++sealed_;
        }
    }

    void beginFlush()
    {
        if (!flush_) {
            flush_ = ledger_.nextFlush();
            committed_ = false;
        }
    }

    void commitWrite()
    {
        if (flush_ && !committed_ && flush_->window >= sealed_) {
            rows_[flush_->window] = flush_->figures;
            committed_ = true;
        }
    }

    void receiveReply(bool lost)
    {
        if (!flush_) {
            return;
        }
        const WindowNumber window = flush_->window;
        if (lost || (!committed_ && window >= sealed_)) {
            // A write in flight may be committed before the next one is sent, but not after it, because its attempt has ended.
            ledger_.onFlushOutcomeUnknown();
        } else if (committed_) {
            ledger_.onFlushed();
            stored_[window] = rows_[window];
        } else {
            ledger_.onWindowSealed(window_, fault_ == Fault::TrustsMemory ? stored_[window] : rows_[window]);
        }
        flush_.reset();
    }

    /** Stores everything without faults and compares it with what was served. */
    bool storedEqualsServed()
    {
        for (int i = 0; i < 1000 && !ledger_.isFlushed(); ++i) {
            beginFlush();
            commitWrite();
            receiveReply(false);
        }
        std::uint64_t total = 0;
        for (const auto &[window, usage] : rows_) {
            for (const auto &[customer, figures] : usage) {
                total += figures.promptTokens;
            }
        }
        return total == served_;
    }

private:
    Fault fault_;
    UsageLedger ledger_;
    WindowNumber window_ = 1;
    /** Windows below this are sealed. */
    WindowNumber sealed_ = 0;
    std::map<WindowNumber, CustomerUsage> rows_;
    std::map<WindowNumber, CustomerUsage> stored_;
    std::optional<UsageFlush> flush_;
    bool committed_ = false;
    std::uint64_t served_ = 0;
};

bool eachTokenIsStoredOnce(Fault fault, const std::vector<int> &steps)
{
    LedgerSimulation simulation(fault);
    for (const int step : steps) {
        switch (step % 8) {
        case 0:
            simulation.nextWindow();
            break;
        case 1:
            simulation.seal();
            break;
        case 2:
            simulation.beginFlush();
            break;
        case 3:
            simulation.commitWrite();
            break;
        case 4:
            simulation.receiveReply(false);
            break;
        case 5:
            simulation.receiveReply(true);
            break;
        default:
            simulation.serve(static_cast<std::uint64_t>(step));
            break;
        }
    }
    return simulation.storedEqualsServed();
}

RC_GTEST_PROP(UsageLedger, AnyFaults_EachTokenIsStoredExactlyOnce, ())
{
    RC_ASSERT(eachTokenIsStoredOnce(Fault::None, *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))));
}

TEST(UsageLedgerOracle, MemoryTrustedOverRow_DoubleCountIsDetected)
{
    bool isDetected = false;
    for (std::size_t seed = 0; seed < 2000 && !isDetected; ++seed) {
        isDetected = !eachTokenIsStoredOnce(
            Fault::TrustsMemory, rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000))(rc::Random(seed), 100).value());
    }
    EXPECT_TRUE(isDetected);
}

TEST(UsageText, RoundTrip_KeepsFigures)
{
    const CustomerUsage usage{{"desk", {3, 100, 50}}};
    EXPECT_EQ(*usageFromText(usageToText(usage, "a")), usage);
    EXPECT_FALSE(usageFromText("{}").ok());
}

// Guards against figures that a store forgot which came back from an older copy.
TEST(UsageLedgerRestoredStore, FiguresWereStored_StoreForgetsThem_TheyAreFlushedAgain)
{
    UsageLedger ledger(LateUsagePolicy::Drop);
    for (const WindowNumber window : {5, 6}) {
        ledger.add(window, "desk", {3, 0, 0});
        ASSERT_TRUE(ledger.nextFlush());
        ledger.onFlushed();
    }
    EXPECT_TRUE(ledger.isFlushed());
    ledger.onStoreRestored(6);
    const auto flush = ledger.nextFlush();
    ASSERT_TRUE(flush);
    EXPECT_EQ(flush->window, 6U);
    EXPECT_EQ(flush->figures.at("desk").requests, 3U);
    ledger.onFlushed();
    EXPECT_TRUE(ledger.isFlushed());
}

}

}

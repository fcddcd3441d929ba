/**
 * Usage figures under lost answers, seals at any moment and deaths: nothing is counted twice, nothing stored is lost, a sealed window never
 * changes.
 */
#include "usageledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

enum class Fault {
    None,
    /** On a conflict, what the ledger believes is stored counts, and not what the row holds. */
    TrustsMemory,
};

/** The rows of one gateway in the table service. */
class World
{
public:
    explicit World(Fault fault)
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

    /** Seals the oldest window that is over. */
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
            landed_ = false;
        }
    }

    void land()
    {
        if (flush_ && !landed_ && flush_->window >= sealed_) {
            rows_[flush_->window] = flush_->figures;
            landed_ = true;
        }
    }

    void answer(bool lost)
    {
        if (!flush_) {
            return;
        }
        const WindowNumber window = flush_->window;
        if (lost || (!landed_ && window >= sealed_)) {
            // A write that is still under way may land before the next one is sent, but not after it: its attempt is over.
            ledger_.flushUnknown();
        } else if (landed_) {
            ledger_.flushed();
            stored_[window] = rows_[window];
        } else {
            ledger_.sealed(window_, fault_ == Fault::TrustsMemory ? stored_[window] : rows_[window]);
        }
        flush_.reset();
    }

    /** Stores everything without faults and compares. */
    bool isExact()
    {
        for (int i = 0; i < 1000 && !ledger_.isFlushed(); ++i) {
            beginFlush();
            land();
            answer(false);
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
    bool landed_ = false;
    std::uint64_t served_ = 0;
};

bool isExact(Fault fault, const std::vector<int> &steps)
{
    World world(fault);
    for (const int step : steps) {
        switch (step % 8) {
        case 0:
            world.nextWindow();
            break;
        case 1:
            world.seal();
            break;
        case 2:
            world.beginFlush();
            break;
        case 3:
            world.land();
            break;
        case 4:
            world.answer(false);
            break;
        case 5:
            world.answer(true);
            break;
        default:
            world.serve(static_cast<std::uint64_t>(step));
            break;
        }
    }
    return world.isExact();
}

RC_GTEST_PROP(UsageLedger, AnyFaults_EachTokenIsStoredExactlyOnce, ())
{
    RC_ASSERT(isExact(Fault::None, *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))));
}

TEST(UsageLedgerOracle, MemoryTrustedOverTheRow_DoubleCountIsSeen)
{
    bool seen = false;
    for (std::size_t seed = 0; seed < 2000 && !seen; ++seed) {
        seen = !isExact(Fault::TrustsMemory,
                        rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000))(rc::Random(seed), 100).value());
    }
    EXPECT_TRUE(seen);
}

TEST(UsageText, RoundTrip_KeepsFigures)
{
    const CustomerUsage usage{{"desk", {3, 100, 50}}};
    EXPECT_EQ(*usageFromText(usageToText(usage, "a")), usage);
    EXPECT_FALSE(usageFromText("{}").ok());
}

}

}

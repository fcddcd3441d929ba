/**
 * Requests with one prompt part that crash each engine which begins to answer them, at a fleet of gateways that exchange late reports,
 * beside ordinary crashes, killed gateways and frequent and rare parts. Few of the requests may reach engines once the gateways have had
 * time to tell each other of five crashes, and no part that was answered may stay blocked.
 */
#include "answerprogress.h"
#include "crashevidence.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr const char *Service = "model";
constexpr const char *DeadlyPart = "deadly";
constexpr Duration StepTime = 50ms;
constexpr Duration EngineRestartTime = 3s;
/** Time after the fifth crash within which all gateways must know the part. */
constexpr Duration ReportBound = 3s;
constexpr std::size_t CrashesKnown = 5;
constexpr int AllowedArrivals = 3;
/** Within this time the gateways that saw a part answered end its block, also if a write fails. */
constexpr Duration ClearBound = 1s;
constexpr Duration ReportDelay = 400ms;
/** Fraction of the sound requests that may be refused: that of the sessions which may go unserved (Starved). */
constexpr double MaxRefusedSound = 0.06;

/** Faults injected to check that the oracle detects them. */
enum class Fault {
    None,
    /** Gateways learn only from the crashes that they see themselves. */
    ReportsNotRead,
    /** Crashes at the same time count like crashes one after the other, and one is enough. */
    RoundsIgnored,
    /** Answers don't clear parts that are suspected already. */
    AnswersIgnored,
};

struct Load
{
    std::size_t gateways = 5;
    std::size_t engines = 6;
    double requestsPerSecond = 200;
    double deadlyFraction = 0.05;
    Duration answerTime = 100ms;
    /** Time after which a deadly request crashes its engine. */
    Duration deadlyTime = 50ms;
    /** Every so often half of the engines crash, and each gateway is killed with the same probability. */
    Duration disruptionInterval = 1h;
    bool areGatewaysKilled = true;
};

class CrashFleet
{
public:
    CrashFleet(Load load, std::uint64_t seed, Fault fault = Fault::None)
        : load_(load)
        , fault_(fault)
        , random_(seed)
        , engines_(load.engines)
    {
        for (std::size_t i = 0; i < load.gateways; ++i) {
            gateways_.push_back(newGateway(i));
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += StepTime) {
            endRuns();
            if (now_ >= nextDisruption_) {
                nextDisruption_ = now_ + load_.disruptionInterval;
                disrupt();
            }
            exchangeReports();
            sendRequests();
            checkBlockedParts();
        }
    }

    void setDeadlyFraction(double fraction)
    {
        load_.deadlyFraction = fraction;
    }

    /** Requests with the deadly part that reached engines although all gateways should have known the part. */
    int lateArrivals() const
    {
        return lateArrivals_;
    }

    /** Steps, summed over gateways, in which a part was still blocked although it had been answered. */
    int wronglyBlocked() const
    {
        return wronglyBlocked_;
    }

    std::size_t deadlyCrashes() const
    {
        return deadlyCrashes_.size();
    }

    /** Fraction of the requests without the deadly part that were refused because of another one. */
    double refusedSoundFraction() const
    {
        return soundRequests_ == 0 ? 0 : static_cast<double>(refusedSound_) / static_cast<double>(soundRequests_);
    }

    std::size_t reportsWritten() const
    {
        return reportsWritten_;
    }

private:
    struct Run
    {
        std::size_t gateway = 0;
        std::uint64_t gatewayIncarnation = 0;
        std::vector<PromptPart> parts;
        TimePoint sentAt;
        bool isDeadly = false;
        AnswerProgress progress;
    };
    struct Engine
    {
        std::uint64_t number = 0;
        TimePoint upAt{};
        std::vector<Run> runs;
    };
    struct Gateway
    {
        std::unique_ptr<CrashEvidence> evidence;
        std::uint64_t incarnation = 0;
        TimePoint nextWriteAt{};
        /** Reports that are on their way to it. */
        std::vector<std::pair<TimePoint, CrashReport>> inbox;
    };

    bool draw(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    std::size_t drawBelow(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    Gateway newGateway(std::size_t index)
    {
        CrashEvidenceOptions options;
        if (fault_ == Fault::RoundsIgnored) {
            options.roundsToProve = 1;
            options.crashesToBlock = 1;
            options.blockDelay = Duration::zero();
        }
        Gateway gateway;
        gateway.evidence = std::make_unique<CrashEvidence>(options, [index](const std::string &) { return index == 0; });
        gateway.incarnation = ++lastIncarnation_;
        for (std::size_t i = 0; i < stored_.size() && fault_ != Fault::ReportsNotRead; ++i) {
            if (i == index) {
                gateway.evidence->onOwnReport(stored_[i], now_, options.blockDelay);
            } else {
                gateway.evidence->onReport(stored_[i], now_, options.blockDelay);
            }
        }
        return gateway;
    }

    std::vector<PromptPart> drawPrompt(bool isDeadly)
    {
        constexpr std::size_t Sessions = 500;
        std::vector<PromptPart> parts{{"system", 100}, {"session" + std::to_string(drawBelow(Sessions)), 50}};
        if (isDeadly) {
            parts.push_back({DeadlyPart, 10});
        }
        parts.push_back({"own" + std::to_string(++lastRequest_), 5});
        return parts;
    }

    void sendRequests()
    {
        const double expected = load_.requestsPerSecond * toSeconds(StepTime);
        const int count = std::poisson_distribution<>(expected)(random_);
        for (int i = 0; i < count; ++i) {
            Run run;
            run.gateway = drawBelow(gateways_.size());
            run.gatewayIncarnation = gateways_[run.gateway].incarnation;
            run.isDeadly = draw(load_.deadlyFraction);
            run.parts = drawPrompt(run.isDeadly);
            run.sentAt = now_;
            Engine &engine = engines_[drawBelow(engines_.size())];
            if (engine.upAt > now_) {
                continue;
            }
            const bool isRefused = gateways_[run.gateway].evidence->blockedFor(Service, run.parts, now_).has_value();
            soundRequests_ += run.isDeadly ? 0 : 1;
            refusedSound_ += isRefused && !run.isDeadly ? 1 : 0;
            if (isRefused) {
                continue;
            }
            lateArrivals_ += run.isDeadly && isLate() ? 1 : 0;
            engine.runs.push_back(std::move(run));
        }
    }

    /** Whether all gateways should know the part, also one that was just started. */
    bool isLate() const
    {
        return deadlyCrashes_.size() >= CrashesKnown && now_ > deadlyCrashes_[CrashesKnown - 1] + ReportBound;
    }

    void endRuns()
    {
        for (Engine &engine : engines_) {
            const bool ends = std::any_of(engine.runs.begin(), engine.runs.end(), [this](const Run &run) {
                return run.isDeadly && now_ - run.sentAt >= load_.deadlyTime;
            });
            if (ends) {
                deadlyCrashes_.push_back(now_);
                crash(engine);
                continue;
            }
            std::erase_if(engine.runs, [this](Run &run) {
                const bool isWhole = now_ - run.sentAt >= load_.answerTime;
                if (run.progress.onPiece(now_) || isWhole) {
                    onAnswered(run);
                }
                return isWhole;
            });
        }
    }

    void onAnswered(const Run &run)
    {
        Gateway &gateway = gateways_[run.gateway];
        if (gateway.incarnation != run.gatewayIncarnation) {
            return;
        }
        if (fault_ != Fault::AnswersIgnored) {
            gateway.evidence->onAnswered(Service, run.parts, now_);
        }
        for (std::size_t i = 0; i + 1 < run.parts.size(); ++i) {
            answered_.insert(std::string(Service) + ' ' + run.parts[i].id);
        }
    }

    void crash(Engine &engine)
    {
        const std::string id = "run" + std::to_string(&engine - engines_.data()) + '/' + std::to_string(engine.number++);
        for (const Run &run : engine.runs) {
            Gateway &gateway = gateways_[run.gateway];
            if (gateway.incarnation == run.gatewayIncarnation) {
                gateway.evidence->onCrashed(id, Service, run.parts, run.sentAt, now_);
            }
        }
        engine.runs.clear();
        engine.upAt = now_ + EngineRestartTime;
    }

    void disrupt()
    {
        for (Engine &engine : engines_) {
            if (engine.upAt <= now_ && draw(0.5)) {
                crash(engine);
            }
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (load_.areGatewaysKilled && draw(0.2)) {
                gateways_[i] = newGateway(i);
            }
        }
    }

    void exchangeReports()
    {
        stored_.resize(gateways_.size());
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            Gateway &gateway = gateways_[i];
            std::erase_if(gateway.inbox, [&](const auto &message) {
                if (message.first > now_) {
                    return false;
                }
                gateway.evidence->onReport(message.second, now_);
                return true;
            });
            const CrashReport report = gateway.evidence->report();
            const bool isUrgent = report.cleared.size() > stored_[i].cleared.size();
            if (report.hasSameContent(stored_[i]) || (now_ < gateway.nextWriteAt && !isUrgent)) {
                continue;
            }
            gateway.nextWriteAt = now_ + ReportDelay;
            // Some writes fail and are repeated.
            if (!draw(0.1)) {
                stored_[i] = report;
                ++reportsWritten_;
                announce(i);
            }
        }
    }

    void announce(std::size_t from)
    {
        for (std::size_t i = 0; i < gateways_.size() && fault_ != Fault::ReportsNotRead; ++i) {
            if (i != from) {
                gateways_[i].inbox.emplace_back(now_ + 50ms * drawBelow(8), stored_[from]);
            }
        }
    }

    void checkBlockedParts()
    {
        std::map<std::pair<std::uint64_t, std::string>, TimePoint> blockedSince;
        for (const Gateway &gateway : gateways_) {
            for (const std::string &key : gateway.evidence->blockedParts(now_)) {
                if (!answered_.contains(key)) {
                    continue;
                }
                const auto block = std::pair(gateway.incarnation, key);
                const auto known = wronglyBlockedSince_.find(block);
                const TimePoint since = known == wronglyBlockedSince_.end() ? now_ : known->second;
                blockedSince.emplace(block, since);
                wronglyBlocked_ += now_ - since > ClearBound ? 1 : 0;
            }
        }
        wronglyBlockedSince_ = std::move(blockedSince);
    }

    Load load_;
    Fault fault_;
    std::mt19937_64 random_;
    TimePoint now_{1000s};
    TimePoint nextDisruption_ = now_ + 1s;
    std::vector<Engine> engines_;
    std::vector<Gateway> gateways_;
    std::vector<CrashReport> stored_;
    std::vector<TimePoint> deadlyCrashes_;
    /** Keys of parts that were answered. */
    std::set<std::string> answered_;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    std::size_t reportsWritten_ = 0;
    /** Blocks of answered parts by incarnation of the gateway and key. */
    std::map<std::pair<std::uint64_t, std::string>, TimePoint> wronglyBlockedSince_;
    int lateArrivals_ = 0;
    int wronglyBlocked_ = 0;
    int soundRequests_ = 0;
    int refusedSound_ = 0;
};

/** From a few to hundreds of gateways. */
class CrashFleetTest : public testing::TestWithParam<std::size_t>
{
protected:
    static Load loadOf(std::size_t gateways)
    {
        Load load;
        load.gateways = gateways;
        load.engines = 4 + gateways / 2;
        load.requestsPerSecond = 150 + 10 * static_cast<double>(gateways);
        return load;
    }
};

// Guards against requests of one kind that crash one engine after the other, at fleets where no gateway sees many of the crashes.
TEST_P(CrashFleetTest, PartCrashesEngines_AfterFifthCrashAndReports_FewRequestsReachEngines)
{
    for (const double fraction : {0.01, 0.05, 0.3}) {
        Load load = loadOf(GetParam());
        load.deadlyFraction = fraction;
        CrashFleet fleet(load, GetParam());
        fleet.run(20s);
        EXPECT_GT(fleet.deadlyCrashes(), 2U) << fraction;
        EXPECT_LE(fleet.lateArrivals(), AllowedArrivals) << fraction;
        EXPECT_EQ(fleet.wronglyBlocked(), 0) << fraction;
    }
}

// Guards against sound parts that are blamed for crashes which have other causes.
TEST_P(CrashFleetTest, HalfOfTheEnginesCrashAgainAndAgain_NoAnsweredPartIsBlocked)
{
    Load load = loadOf(GetParam());
    load.deadlyFraction = 0;
    load.disruptionInterval = 4s;
    CrashFleet fleet(load, GetParam());
    fleet.run(30s);
    EXPECT_EQ(fleet.wronglyBlocked(), 0);
}

/** Answers take seconds, and engines crash in the middle of them. */
class CrashInLongAnswersTest : public CrashFleetTest
{
};

// Guards against the same where each crash comes as late in an answer as it may without having proved anything.
TEST_P(CrashInLongAnswersTest, PartCrashesEngines_AfterFifthCrashAndReports_FewRequestsReachEngines)
{
    for (const double fraction : {0.01, 0.05, 0.3}) {
        Load load = loadOf(GetParam());
        load.deadlyFraction = 0;
        load.answerTime = 8s;
        load.deadlyTime = 1500ms;
        CrashFleet fleet(load, GetParam());
        fleet.run(4s);
        fleet.setDeadlyFraction(fraction);
        fleet.run(30s);
        EXPECT_GT(fleet.deadlyCrashes(), 2U) << fraction;
        EXPECT_LE(fleet.lateArrivals(), AllowedArrivals) << fraction;
        EXPECT_EQ(fleet.wronglyBlocked(), 0) << fraction;
        EXPECT_LE(fleet.refusedSoundFraction(), MaxRefusedSound) << fraction;
    }
}

// Guards against sound parts that are blamed for other crashes because their long answers are never completed.
TEST_P(CrashInLongAnswersTest, HalfOfTheEnginesCrashAgainAndAgain_NoAnsweredPartIsBlocked)
{
    Load load = loadOf(GetParam());
    load.deadlyFraction = 0;
    load.answerTime = 20s;
    load.disruptionInterval = 4s;
    load.areGatewaysKilled = false;
    CrashFleet fleet(load, GetParam());
    fleet.run(40s);
    EXPECT_LE(fleet.refusedSoundFraction(), MaxRefusedSound);
    EXPECT_EQ(fleet.wronglyBlocked(), 0);
}

class KilledGatewaysTest : public CrashFleetTest
{
};

// Guards against the same where gateways are killed too, and what they alone have seen answered ends with them. Fails: see KNOWN-RED.txt.
TEST_P(KilledGatewaysTest, HalfOfTheEnginesCrashAgainAndAgainInLongAnswers_NoAnsweredPartIsBlocked)
{
    Load load = loadOf(GetParam());
    load.deadlyFraction = 0;
    load.answerTime = 20s;
    load.disruptionInterval = 4s;
    CrashFleet fleet(load, GetParam());
    fleet.run(40s);
    EXPECT_LE(fleet.refusedSoundFraction(), MaxRefusedSound);
    EXPECT_EQ(fleet.wronglyBlocked(), 0);
}

INSTANTIATE_TEST_SUITE_P(Gateways, KilledGatewaysTest, testing::Values(1, 5, 30));
INSTANTIATE_TEST_SUITE_P(Gateways, CrashInLongAnswersTest, testing::Values(1, 5, 30));
INSTANTIATE_TEST_SUITE_P(Gateways, CrashFleetTest, testing::Values(1, 5, 30, 103));

RC_GTEST_PROP(CrashFleet, AnyMixOfCrashes_DeadlyPartIsStoppedAndAnsweredPartsAreNot, ())
{
    Load load;
    load.gateways = *rc::gen::inRange<std::size_t>(1, 12);
    load.engines = *rc::gen::inRange<std::size_t>(2, 10);
    load.requestsPerSecond = *rc::gen::inRange(50, 150);
    load.deadlyFraction = *rc::gen::inRange(1, 30) / 100.0;
    load.disruptionInterval = *rc::gen::inRange(2, 10) * 1s;
    CrashFleet fleet(load, *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(5s);
    RC_ASSERT(fleet.lateArrivals() <= AllowedArrivals);
    RC_ASSERT(fleet.wronglyBlocked() == 0);
}

class BrokenCrashFleetTest : public CrashFleetTest
{
};

TEST_F(BrokenCrashFleetTest, ReportsNotRead_RequestsKeepReachingEngines)
{
    CrashFleet fleet(loadOf(30), 1, Fault::ReportsNotRead);
    fleet.run(20s);
    EXPECT_GT(fleet.lateArrivals(), AllowedArrivals);
}

TEST_F(BrokenCrashFleetTest, RoundsIgnored_SoundPartsAreBlocked)
{
    Load load = loadOf(5);
    load.disruptionInterval = 2s;
    CrashFleet fleet(load, 1, Fault::RoundsIgnored);
    fleet.run(20s);
    EXPECT_GT(fleet.wronglyBlocked(), 0);
}

TEST_F(BrokenCrashFleetTest, AnswersIgnored_SoundPartsAreBlocked)
{
    Load load = loadOf(5);
    load.disruptionInterval = 2s;
    CrashFleet fleet(load, 1, Fault::AnswersIgnored);
    fleet.run(20s);
    EXPECT_GT(fleet.wronglyBlocked(), 0);
}

}

}

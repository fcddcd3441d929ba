/**
 * Tests which crashes block a prompt part at one gateway, and how it is allowed again.
 */
#include "crashevidence.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class CrashEvidenceTest : public testing::Test
{
protected:
    static constexpr const char *Service = "model";

    CrashEvidenceTest()
    {
        evidence_.onAnswered(Service, prompt("sound"), now_);
    }

    static std::vector<PromptPart> prompt(const std::string &part)
    {
        return {{"system", 10}, {part, 10}, {"own", 10}};
    }

    /** The engine ends under a request that was sent just before. */
    void crash(CrashEvidence &evidence, const std::string &run, const std::string &part = "deadly")
    {
        const TimePoint sentAt = now_;
        now_ += 100ms;
        evidence.onCrashed(run, Service, prompt(part), sentAt, now_);
        now_ += 100ms;
    }

    /** Whether the part is blocked once the other gateways have had time to clear it. */
    bool isBlocked(CrashEvidence &evidence, const std::string &part = "deadly")
    {
        now_ += options_.blockDelay;
        return evidence.blockedFor(Service, prompt(part), now_).has_value();
    }

    TimePoint now_{1000s};
    bool mayTry_ = false;
    CrashEvidenceOptions options_;
    CrashEvidence evidence_{options_, [this](const std::string &) { return mayTry_; }};
};

TEST_F(CrashEvidenceTest, CrashesOneAfterTheOther_Part_IsBlockedAndOthersAreNot)
{
    for (const char *run : {"a", "b", "c"}) {
        EXPECT_FALSE(isBlocked(evidence_));
        crash(evidence_, run);
    }
    EXPECT_TRUE(isBlocked(evidence_));
    EXPECT_FALSE(isBlocked(evidence_, "sound"));
    EXPECT_FALSE(isBlocked(evidence_, "new"));
    EXPECT_EQ(evidence_.blockedParts(now_), std::vector<std::string>{"model deadly"});
}

/** Many engines end at once, whatever the cause. */
class ManyCrashesTest : public CrashEvidenceTest
{
protected:
    ManyCrashesTest()
    {
        const TimePoint sentAt = now_;
        for (int i = 0; i < 20; ++i) {
            now_ += 5ms;
            evidence_.onCrashed("run" + std::to_string(i), Service, prompt("deadly"), sentAt, now_);
        }
    }
};

// Guards against a part that stays blamed for the failure of many endpoints at once.
TEST_F(ManyCrashesTest, OneRequestIsTriedAndAnswered_Part_IsNotBlocked)
{
    EXPECT_TRUE(isBlocked(evidence_));
    mayTry_ = true;
    EXPECT_FALSE(evidence_.blockedFor(Service, prompt("deadly"), now_));
    EXPECT_TRUE(evidence_.blockedFor(Service, prompt("deadly"), now_));
    evidence_.onAnswered(Service, prompt("deadly"), now_);
    EXPECT_FALSE(isBlocked(evidence_));
}

// Guards against a sound part that is found guilty because a request that was tried had the deadly part too.
TEST_F(CrashEvidenceTest, RequestHasTwoSuspectedParts_NeitherIsTriedNorProvedGuilty)
{
    const std::vector<PromptPart> both{{"deadly", 10}, {"also", 10}, {"own", 10}};
    for (const char *run : {"x", "y", "z"}) {
        evidence_.onCrashed(run, Service, both, now_, now_ + 1ms);
        now_ += 1s;
    }
    mayTry_ = true;
    now_ += options_.blockDelay;
    EXPECT_TRUE(evidence_.blockedFor(Service, both, now_));
    EXPECT_FALSE(isBlocked(evidence_, "also"));
    EXPECT_FALSE(isBlocked(evidence_, "deadly"));
}

// Guards against trials that end one engine after the other.
TEST_F(ManyCrashesTest, OneRequestIsTriedAndCrashesAnotherEngine_Part_IsTriedNoMore)
{
    mayTry_ = true;
    EXPECT_FALSE(isBlocked(evidence_));
    crash(evidence_, "another");
    EXPECT_TRUE(isBlocked(evidence_));
    now_ += options_.blockTime / 2;
    EXPECT_TRUE(isBlocked(evidence_));
}

TEST_F(CrashEvidenceTest, LastPartOfPrompts_IsNeverSuspected)
{
    for (const char *run : {"a", "b", "c", "d"}) {
        evidence_.onCrashed(run, Service, {{"only", 10}}, now_, now_ + 1ms);
        now_ += 1s;
    }
    EXPECT_FALSE(evidence_.blockedFor(Service, {{"only", 10}, {"own", 1}}, now_));
}

// Guards against evidence of the same crash that counts less because this gateway saw it earlier than the round was known.
TEST_F(CrashEvidenceTest, OtherGatewayKnowsAHigherRoundOfTheSameCrash_Part_IsTriedNoMore)
{
    CrashEvidence other(options_, [](const std::string &) { return false; });
    other.onAnswered(Service, prompt("sound"), now_);
    const TimePoint sentAt = now_;
    crash(other, "a");
    crash(other, "b");
    for (const char *run : {"a", "b", "c"}) {
        evidence_.onCrashed(run, Service, prompt("deadly"), sentAt, now_);
    }
    mayTry_ = true;
    EXPECT_FALSE(isBlocked(evidence_));
    evidence_.onReport(other.report(), now_);
    EXPECT_TRUE(isBlocked(evidence_));
}

TEST_F(CrashEvidenceTest, OtherGatewayHasSeenThePartAnswered_Block_EndsEverywhere)
{
    CrashEvidence other(options_, [](const std::string &) { return false; });
    other.onAnswered(Service, prompt("deadly"), now_);
    for (const char *run : {"a", "b", "c"}) {
        crash(evidence_, run);
    }
    EXPECT_TRUE(isBlocked(evidence_));
    other.onReport(evidence_.report(), now_);
    EXPECT_FALSE(isBlocked(other));
    evidence_.onReport(other.report(), now_);
    EXPECT_FALSE(isBlocked(evidence_));
    EXPECT_TRUE(evidence_.report().crashes.empty());
}

// Guards against two gateways that each withdraw their word for a part because the other one vouches for it.
TEST_F(CrashEvidenceTest, TwoGatewaysHaveSeenThePartAnswered_EachKnowsOfTheOther_BothGoOnToReportIt)
{
    CrashEvidence second(options_, [](const std::string &) { return false; });
    CrashEvidence third(options_, [](const std::string &) { return false; });
    for (const char *run : {"a", "b", "c"}) {
        crash(evidence_, run);
    }
    for (CrashEvidence *gateway : {&second, &third}) {
        gateway->onAnswered(Service, prompt("deadly"), now_);
        gateway->onReport(evidence_.report(), now_);
    }
    second.onReport(third.report(), now_);
    third.onReport(second.report(), now_);
    EXPECT_EQ(second.report().cleared.size(), 1U);
    EXPECT_EQ(third.report().cleared.size(), 1U);
}

TEST_F(CrashEvidenceTest, GatewayRestarted_OwnReport_BlocksThePartAgain)
{
    for (const char *run : {"a", "b", "c"}) {
        crash(evidence_, run);
    }
    const auto stored = CrashReport::fromText(evidence_.report().toText(0));
    ASSERT_TRUE(stored.ok());
    CrashEvidence restarted(options_, [](const std::string &) { return false; });
    restarted.onOwnReport(*stored, now_);
    EXPECT_TRUE(isBlocked(restarted));
    EXPECT_TRUE(restarted.report().hasSameContent(*stored));
}

TEST_F(CrashEvidenceTest, BlockTimeOver_OneGatewayTriesOneRequest_AnswerEndsTheBlock)
{
    for (const char *run : {"a", "b", "c"}) {
        crash(evidence_, run);
    }
    now_ += options_.blockTime;
    EXPECT_TRUE(isBlocked(evidence_));
    mayTry_ = true;
    EXPECT_FALSE(isBlocked(evidence_));
    EXPECT_TRUE(isBlocked(evidence_));
    evidence_.onAnswered(Service, prompt("deadly"), now_);
    EXPECT_FALSE(isBlocked(evidence_));
    EXPECT_EQ(evidence_.report().cleared.size(), 1U);
}

TEST_F(CrashEvidenceTest, BlockTimeOver_TriedRequestCrashesAnotherEngine_PartIsBlockedAgain)
{
    for (const char *run : {"a", "b", "c"}) {
        crash(evidence_, run);
    }
    now_ += options_.blockTime;
    mayTry_ = true;
    EXPECT_FALSE(isBlocked(evidence_));
    crash(evidence_, "d");
    now_ += options_.guiltyTrialInterval;
    EXPECT_TRUE(isBlocked(evidence_));
}

TEST_F(CrashEvidenceTest, NoCrashForLong_Part_IsForgotten)
{
    for (const char *run : {"a", "b", "c"}) {
        crash(evidence_, run);
    }
    now_ += options_.lifetime;
    evidence_.expire(now_);
    EXPECT_FALSE(isBlocked(evidence_));
    EXPECT_TRUE(evidence_.report().isEmpty());
}

TEST_F(CrashEvidenceTest, MillionsOfParts_MemoryAndReport_StayBounded)
{
    for (int i = 0; i < 100000; ++i) {
        evidence_.onAnswered(Service, prompt("answered" + std::to_string(i)), now_);
    }
    for (int i = 0; i < 5000; ++i) {
        crash(evidence_, "run" + std::to_string(i), "part" + std::to_string(i));
    }
    for (const char *run : {"a", "b", "c"}) {
        crash(evidence_, run);
    }
    EXPECT_TRUE(isBlocked(evidence_));
    EXPECT_LE(evidence_.report().crashes.size(), options_.maxReportedParts);
    EXPECT_LT(evidence_.report().toText(0).size(), 16384U);
}

TEST_F(CrashEvidenceTest, UnreadableReport_IsRejected)
{
    EXPECT_FALSE(CrashReport::fromText("").ok());
    EXPECT_FALSE(CrashReport::fromText("{}").ok());
    EXPECT_FALSE(CrashReport::fromText(R"({"crashes":{"a":[1]},"cleared":[],"writtenAt":0})").ok());
}

}

}

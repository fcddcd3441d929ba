/** Cold endpoints as one gateway sees them: entries that lag, answers, new runs, data centres taken back, and units given back. */
#include "coldstarts.h"

#include <gtest/gtest.h>

#include <cmath>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Rate = 34;
constexpr ColdLimit Limit{Rate, Rate * 1.5 + 5};
constexpr Duration ColdTime = 3s;

QuotaDivision divisionOf(std::uint64_t number, const std::vector<std::string> &vms, bool isSettled = true)
{
    QuotaDivision division;
    division.number = number;
    division.settled = isSettled;
    for (const std::string &vm : vms) {
        division.gateways.push_back({vm, "10.0.0.1:1"});
    }
    return division;
}

class ColdStartsTest : public testing::Test
{
protected:
    ColdStartsTest()
    {
        starts_.setServices({{"app", {Limit, ColdTime}}});
        starts_.shares().onDivisionRead(divisionOf(1, {"entry-1"}), start_, start_ - 1min);
    }

    static EndpointRecord entry(std::uint64_t startedAt, std::uint64_t sequence, Milliseconds remaining = 0ms)
    {
        EndpointRecord record;
        record.id = "app-1";
        record.service = "app";
        record.address = {"10.1.0.1", 80};
        record.dataCentre = "dc-1";
        record.startedAt = startedAt;
        record.sequence = sequence;
        record.coldStartRemaining = remaining;
        return record;
    }

    /** Takes units until there is none, and sends a request with each. @return their number. */
    std::size_t sendAll(const EndpointRecord &record, TimePoint now)
    {
        std::size_t sent = 0;
        while (sent < 1000 && starts_.take(record, now)) {
            starts_.onSent(ColdStarts::runOf(record), now);
            ++sent;
        }
        return sent;
    }

    const TimePoint start_{1h};
    ColdStarts starts_{ColdShares("entry-1", 1h)};
    const EndpointRecord cold_ = entry(1000, 1, 10min);
    const EndpointRecord warm_ = entry(1000, 1);
};

// Guards against two bursts on both sides of a second's boundary, which a count that restarts each second allows.
TEST_F(ColdStartsTest, BurstAtTheEndOfASecond_NextSecond_AllowsOnlyWhatLeavesTheWindow)
{
    starts_.onAllEntries({cold_}, start_);
    EXPECT_EQ(sendAll(cold_, start_ + 900ms), 34U);
    EXPECT_EQ(sendAll(cold_, start_ + 1100ms), 0U);
    EXPECT_EQ(starts_.nextUnitAt(cold_, start_ + 1100ms), start_ + 1900ms);
    EXPECT_FALSE(starts_.mayTake(cold_, start_ + 1899ms));
    EXPECT_EQ(sendAll(cold_, start_ + 1900ms), 34U);
}

// Guards against requests that wait for a connection and are then sent together with those of the next second.
TEST_F(ColdStartsTest, UnitsAreTakenAndSentLate_Units_CountFromTheirSend)
{
    starts_.onAllEntries({cold_}, start_);
    for (int i = 0; i < 34; ++i) {
        EXPECT_TRUE(starts_.take(cold_, start_));
    }
    EXPECT_FALSE(starts_.mayTake(cold_, start_ + 5s));
    for (int i = 0; i < 34; ++i) {
        EXPECT_TRUE(starts_.maySendTaken(cold_, start_ + 5s));
        starts_.onSent(ColdStarts::runOf(cold_), start_ + 5s);
    }
    EXPECT_FALSE(starts_.mayTake(cold_, start_ + 5999ms));
    EXPECT_TRUE(starts_.mayTake(cold_, start_ + 6s));
}

// Guards against units that are lost with each request that is not sent, so that the endpoint gets nothing while it is cold.
TEST_F(ColdStartsTest, RequestIsNotSent_UnitGivenBack_MayBeTakenAgain)
{
    starts_.onAllEntries({cold_}, start_);
    for (int i = 0; i < 1000; ++i) {
        ASSERT_TRUE(starts_.take(cold_, start_));
        starts_.giveBack(ColdStarts::runOf(cold_));
    }
    EXPECT_EQ(sendAll(cold_, start_), 34U);
    starts_.giveBack(ColdStarts::runOf(cold_));
    EXPECT_FALSE(starts_.mayTake(cold_, start_)) << "more given back than taken";
}

// Guards against units taken under a larger share that are sent under a smaller one.
TEST_F(ColdStartsTest, ShareFallsBeforeTheSend_UnitsTaken_MayNotBeSent)
{
    starts_.onAllEntries({cold_}, start_);
    for (int i = 0; i < 34; ++i) {
        EXPECT_TRUE(starts_.take(cold_, start_));
    }
    starts_.shares().onDivisionRead(divisionOf(2, {"entry-2", "entry-3"}), start_, start_);
    EXPECT_FALSE(starts_.maySendTaken(cold_, start_ + 2s));
}

// Guards against limits where nothing is cold, or where the service states none.
TEST_F(ColdStartsTest, EndpointIsWarmOrServiceStatesNoRate_Units_AreNotLimited)
{
    EndpointRecord other = cold_;
    other.id = "other-1";
    other.service = "other";
    starts_.onAllEntries({warm_, other}, start_);
    EXPECT_EQ(sendAll(warm_, start_), 1000U);
    EXPECT_EQ(sendAll(other, start_), 1000U);
    EXPECT_FALSE(starts_.isCold(other, start_));
    EXPECT_EQ(starts_.coldRuns(start_), 0U);
}

// Guards against an endpoint that crashes again, since the entry of its new run doesn't say yet that it is cold.
TEST_F(ColdStartsTest, EndpointReturnsAsNewRun_ItsEntryStatesNothing_IsColdUntilItsNextEntry)
{
    starts_.onAllEntries({warm_}, start_);
    starts_.remove(warm_, start_ + 10s);
    const EndpointRecord again = entry(2000, 1);
    starts_.onEntry(again, start_ + 20s);
    EXPECT_TRUE(starts_.isCold(again, start_ + 20s));
    EXPECT_FALSE(starts_.isCold(again, start_ + 20s + ColdTime));
    starts_.onEntry(again, start_ + 21s);
    EXPECT_TRUE(starts_.isCold(again, start_ + 21s)) << "the same entry, read once more";
    starts_.onEntry(entry(2000, 2), start_ + 21s);
    EXPECT_FALSE(starts_.isCold(again, start_ + 21s));
}

// Guards against a new process at a known address that is taken to be warm because its id is new.
TEST_F(ColdStartsTest, NewIdAtKnownAddress_ItsEntryStatesNothing_IsCold)
{
    starts_.onAllEntries({warm_}, start_);
    EndpointRecord next = entry(2000, 1);
    next.id = "app-2";
    starts_.onEntry(next, start_ + 20s);
    EXPECT_TRUE(starts_.isCold(next, start_ + 20s));
    EndpointRecord elsewhere = next;
    elsewhere.id = "app-3";
    elsewhere.address.port = 81;
    starts_.onEntry(elsewhere, start_ + 20s);
    EXPECT_FALSE(starts_.isCold(elsewhere, start_ + 20s)) << "its own entry says so";
}

// Guards against a gateway that starts and takes all endpoints for cold, or one that takes an older copy's entries for new runs.
TEST_F(ColdStartsTest, FirstReadOrOlderCopy_Entries_AreNoNewRuns)
{
    EndpointRecord other = entry(900, 1);
    other.id = "app-0";
    starts_.onAllEntries({other, warm_}, start_);
    EXPECT_FALSE(starts_.isCold(warm_, start_));
    starts_.onEntry(entry(500, 7), start_ + 1s);
    starts_.onEntry(warm_, start_ + 1s);
    EXPECT_FALSE(starts_.isCold(warm_, start_ + 1s));
}

// Guards against an entry that was written before the endpoint became cold and ends its cold time.
TEST_F(ColdStartsTest, AnswerStatesColdTimeAndEntryLags_ColdTime_IsTheAnswers)
{
    starts_.onAllEntries({warm_}, start_);
    starts_.onAnswer(warm_, 2s, start_ + 10s);
    starts_.onEntry(entry(1000, 2), start_ + 10100ms);
    EXPECT_TRUE(starts_.isCold(warm_, start_ + 11900ms));
    EXPECT_FALSE(starts_.isCold(warm_, start_ + 12s));
    starts_.onEntry(entry(1000, 3, 5s), start_ + 13s);
    starts_.onAnswer(warm_, 0s, start_ + 14s);
    EXPECT_FALSE(starts_.isCold(warm_, start_ + 14s)) << "an answer is newer than an entry";
}

// Guards against a full read of unchanged entries that begins their cold time anew.
TEST_F(ColdStartsTest, SameEntryIsReadAgain_ColdTime_IsCountedFromTheFirstRead)
{
    const EndpointRecord record = entry(1000, 1, 2s);
    starts_.onAllEntries({record}, start_);
    starts_.onAllEntries({record}, start_ + 1900ms);
    EXPECT_FALSE(starts_.isCold(record, start_ + 2s));
}

// Guards against a burst at endpoints of a data centre that is taken back while their entries still say that they are warm.
TEST_F(ColdStartsTest, DataCentreIsTakenBack_ItsEndpoints_AreColdWhateverTheirEntriesSay)
{
    EndpointRecord elsewhere = entry(900, 1);
    elsewhere.id = "app-9";
    elsewhere.address.port = 81;
    elsewhere.dataCentre = "dc-2";
    starts_.onAllEntries({warm_, elsewhere}, start_);
    starts_.onDataCentreReleased("dc-1", start_ + 10s);
    starts_.onEntry(entry(1000, 2), start_ + 11s);
    EXPECT_TRUE(starts_.isCold(warm_, start_ + 12900ms));
    EXPECT_FALSE(starts_.isCold(warm_, start_ + 13s));
    EXPECT_FALSE(starts_.isCold(elsewhere, start_ + 11s));
}

// Guards against a release that is forgotten because the configuration, or the endpoint's entry, is read after it.
TEST_F(ColdStartsTest, ConfigurationIsReadAfterTheRelease_Endpoints_AreCold)
{
    ColdStarts starts(ColdShares("entry-1", 1h));
    starts.onAllEntries({}, start_);
    starts.onDataCentreReleased("dc-1", start_);
    starts.onEntry(warm_, start_ + 1s);
    starts.setServices({{"app", {Limit, ColdTime}}});
    EXPECT_TRUE(starts.isCold(warm_, start_ + 2s));
}

// Guards against a gateway that starts and sends cold endpoints a whole rate beside those that others send.
TEST_F(ColdStartsTest, NoDivisionIsKnown_Share_IsNoneIfOneIsRequiredOrElseTheMargin)
{
    const ColdShares shares("entry-1", 4s);
    EXPECT_EQ(shares.shareOf("run", Limit, start_), 0U);
    ColdShares alone("entry-1", 4s);
    alone.setDivisionRequired(false);
    EXPECT_EQ(alone.shareOf("run", Limit, start_), 22U);
}

// Guards against gateways that send nothing to cold endpoints while the store is down, and against those that go on with a whole share.
TEST_F(ColdStartsTest, DivisionIsNotConfirmed_Share_FallsToTheMargin)
{
    ColdShares shares("entry-1", 4s);
    shares.onDivisionRead(divisionOf(1, {"entry-1"}), start_, start_);
    EXPECT_EQ(shares.shareOf("run", Limit, start_ + 2s), 34U);
    EXPECT_EQ(shares.shareOf("run", Limit, start_ + 4s), 22U);
    shares.onDivisionConfirmed(start_ + 5s);
    EXPECT_EQ(shares.shareOf("run", Limit, start_ + 6s), 34U);
}

// Guards against rates so small that every share of them is rounded to none.
TEST_F(ColdStartsTest, RateIsSmall_Share_IsAtLeastOneRequest)
{
    EXPECT_EQ(ColdShares::chosenCount(34, 103), 4U);
    EXPECT_EQ(ColdShares::chosenCount(34, 3), 3U);
    EXPECT_EQ(ColdShares::chosenCount(0.5, 103), 1U);
    EXPECT_EQ(ColdShares::chosenCount(1e300, 103), 103U);
    ColdShares shares("entry-1", 1h);
    shares.onDivisionRead(divisionOf(1, {"entry-1"}), start_, start_ - 1min);
    EXPECT_EQ(shares.shareOf("run", {0.5, 5.75}, start_), 1U);
}

// Guards against memory that grows with each endpoint that ever was, and against log lines that are missing or repeated.
TEST_F(ColdStartsTest, EndpointsComeAndGo_WhatIsKept_DoesNotGrowAndEachChangeIsToldOnce)
{
    starts_.onAllEntries({cold_}, start_);
    ASSERT_EQ(starts_.takeChanges(start_).size(), 1U);
    EXPECT_TRUE(starts_.takeChanges(start_ + 1s).empty());
    EXPECT_EQ(starts_.coldRuns(start_), 1U);
    const auto changes = starts_.takeChanges(start_ + 10min);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().isCold);
    starts_.remove(cold_, start_ + 11min);
    EXPECT_EQ(starts_.size(), 0U);
}

}

}

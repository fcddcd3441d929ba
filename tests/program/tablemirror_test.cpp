/**
 * Tests of TableMirror against a table whose answers the test gives: changes, confirmations, lost history and failures.
 */
#include "tablemirror.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

/** Keeps each call until the test answers it. */
class FakeTable
{
public:
    using PageHandler = std::function<void(absl::StatusOr<TablePage>)>;
    using ChangesHandler = std::function<void(absl::StatusOr<TableChanges>)>;

    struct Poll
    {
        std::uint64_t after = 0;
        Milliseconds wait{};
        bool freshConnection = false;
        ChangesHandler onChanges;
    };

    void getPage(const std::string &, const std::string &, const std::string &, PageHandler onPage)
    {
        reads.push_back(std::move(onPage));
    }

    void getChanges(const std::string &, std::uint64_t after, Milliseconds wait, bool freshConnection, ChangesHandler onChanges)
    {
        polls.push_back({after, wait, freshConnection, std::move(onChanges)});
    }

    std::deque<PageHandler> reads;
    std::deque<Poll> polls;
};

class TableMirrorTest : public testing::Test
{
protected:
    TableMirrorTest()
        : mirror_(context_,
                  table_,
                  log_,
                  "table",
                  "",
                  "",
                  options(),
                  {[this](const TableRows &rows) {
                       rows_.clear();
                       for (const auto &[key, row] : rows) {
                           rows_[key] = row.value;
                       }
                   },
                   [this](const auto &changes) {
                       EXPECT_TRUE(isReachable_);
                       for (const auto &change : changes) {
                           if (change.value) {
                               rows_[change.key] = *change.value;
                           } else {
                               rows_.erase(change.key);
                           }
                       }
                   },
                   [this](TimePoint time) { confirmedAt_ = time; },
                   [this](bool reachable) { isReachable_ = reachable; }})
    {
        mirror_.start();
    }

    static TableMirrorOptions options()
    {
        TableMirrorOptions options;
        options.pollRetryInterval = 10ms;
        options.coalescingPause = 1ms;
        return options;
    }

    void answerRead(const TableRows &rows, std::uint64_t version)
    {
        ASSERT_FALSE(table_.reads.empty());
        const auto handler = table_.reads.front();
        table_.reads.pop_front();
        TablePage page;
        page.rows = rows;
        page.version = version;
        handler(page);
    }

    void answerPoll(const absl::StatusOr<TableChanges> &changes)
    {
        ASSERT_FALSE(table_.polls.empty());
        const auto handler = table_.polls.front().onChanges;
        table_.polls.pop_front();
        handler(changes);
    }

    /** Runs timers until the next poll is sent. */
    void awaitPoll()
    {
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (table_.polls.empty() && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(10ms);
        }
        ASSERT_FALSE(table_.polls.empty());
    }

    static TableChanges change(const std::string &key, std::optional<std::string> value, std::uint64_t version)
    {
        return {{{key, std::move(value), version}}, version, std::nullopt};
    }

    asio::io_context context_;
    FakeTable table_;
    Log log_{"test", LogLevel::Error};
    std::map<std::string, std::string> rows_;
    std::optional<TimePoint> confirmedAt_;
    bool isReachable_ = false;
    TableMirror<FakeTable> mirror_;
};

TEST_F(TableMirrorTest, ChangesArePolled_Rows_FollowThem)
{
    answerRead({{"a", {"1", 3}}, {"b", {"1", 4}}}, 4);
    EXPECT_EQ(4U, table_.polls.front().after);
    answerPoll(change("a", "2", 5));
    awaitPoll();
    EXPECT_EQ(5U, table_.polls.front().after);
    answerPoll(change("b", std::nullopt, 6));
    EXPECT_EQ((std::map<std::string, std::string>{{"a", "2"}}), rows_);
}

TEST_F(TableMirrorTest, PollReturnsNoChanges_Copy_IsConfirmedSinceThePollWasSentAtTheLatest)
{
    answerRead({}, 4);
    const TimePoint polledAfter = suspendAwareNow();
    std::this_thread::sleep_for(5ms);
    confirmedAt_.reset();
    answerPoll(TableChanges{{}, 4, std::nullopt});
    ASSERT_TRUE(confirmedAt_);
    EXPECT_LE(*confirmedAt_, polledAfter);
}

TEST_F(TableMirrorTest, OldChangesRepeated_Rows_KeepTheNewerValues)
{
    answerRead({{"a", {"2", 9}}}, 9);
    answerPoll(change("a", "1", 8));
    EXPECT_EQ("2", rows_["a"]);
}

TEST_F(TableMirrorTest, HistoryLost_WholeTable_IsReadAgain)
{
    answerRead({{"a", {"1", 3}}}, 3);
    answerPoll(absl::OutOfRangeError("history lost"));
    answerRead({{"b", {"1", 50}}}, 50);
    EXPECT_EQ((std::map<std::string, std::string>{{"b", "1"}}), rows_);
    awaitPoll();
    EXPECT_EQ(50U, table_.polls.front().after);
}

TEST_F(TableMirrorTest, OnePollFails_Table_StaysReachableAndIsAskedAtOnceOnANewConnection)
{
    answerRead({}, 3);
    answerPoll(absl::UnavailableError("silent"));
    EXPECT_TRUE(isReachable_);
    awaitPoll();
    EXPECT_EQ(0ms, table_.polls.front().wait);
    EXPECT_TRUE(table_.polls.front().freshConnection);
    answerPoll(TableChanges{{}, 3, std::nullopt});
    awaitPoll();
    EXPECT_EQ(options().longPollTimeout, table_.polls.front().wait);
}

TEST_F(TableMirrorTest, PollsKeepFailing_Table_IsUnreachableUntilOneSucceeds)
{
    answerRead({}, 3);
    answerPoll(absl::UnavailableError("down"));
    awaitPoll();
    answerPoll(absl::UnavailableError("down"));
    EXPECT_FALSE(isReachable_);
    awaitPoll();
    // Entries that expired during the outage are reported as removed once the table is reachable again.
    answerPoll(change("a", std::nullopt, 4));
    EXPECT_TRUE(isReachable_);
}

TEST_F(TableMirrorTest, ServiceAnswersAtOnceWithoutChanges_NextPoll_WaitsForThePause)
{
    answerRead({}, 3);
    answerPoll(TableChanges{{}, 3, std::nullopt});
    EXPECT_TRUE(table_.polls.empty());
    awaitPoll();
}

// Guards against a copy that stays as it was because the service's versions went back.
TEST_F(TableMirrorTest, ServiceComesBackFromOlderCopy_HistoryIsLost_RowsAreReplaced)
{
    answerRead({{"a", {"1", StoreVersion::of(1, 90)}}}, StoreVersion::of(1, 100));
    answerPoll(absl::OutOfRangeError("no history"));
    answerRead({{"a", {"0", StoreVersion::of(2, 40)}}}, StoreVersion::of(2, 50));
    EXPECT_EQ((std::map<std::string, std::string>{{"a", "0"}}), rows_);
    awaitPoll();
    EXPECT_EQ(StoreVersion::of(2, 50), table_.polls.front().after);
}

// Guards against changes that are missed because the service's versions have passed those of the copy.
TEST_F(TableMirrorTest, ServiceComesBackFromOlderCopy_PollIsAnswered_WholeTableIsRead)
{
    answerRead({{"a", {"1", StoreVersion::of(1, 90)}}}, StoreVersion::of(1, 100));
    answerPoll(change("b", "2", StoreVersion::of(2, 101)));
    EXPECT_FALSE(rows_.contains("b"));
    answerRead({{"a", {"0", StoreVersion::of(2, 40)}}, {"b", {"2", StoreVersion::of(2, 101)}}}, StoreVersion::of(2, 101));
    EXPECT_EQ((std::map<std::string, std::string>{{"a", "0"}, {"b", "2"}}), rows_);
}

}

}

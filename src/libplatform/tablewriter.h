/**
 * Writes a transaction until its outcome is certain. The transaction puts a witness row whose value contains the attempt's id; after a
 * lost answer the witness is read back. The transaction is conditional, so that sending it again can't make it happen twice.
 */
#pragma once

#include "suspendclock.h"
#include "tableservice.h"
#include "timepoint.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <utility>

namespace Chestnutcove {

struct TableWrite
{
    TableTransaction transaction;
    /** A row that only this attempt writes with this text in it. */
    std::string witnessKey;
    std::string attempt;
};

template<TableService Table>
class TableWriter
{
public:
    /** @param giveUpAfter time after which an outcome that is still not certain is reported as Unknown. */
    TableWriter(asio::any_io_executor executor, Table &table, Duration giveUpAfter)
        : executor_(std::move(executor))
        , table_(table)
        , giveUpAfter_(giveUpAfter)
    {
    }

    void write(TableWrite write, CommitHandler onOutcome)
    {
        auto state = std::make_shared<State>(State{std::move(write), std::move(onOutcome), asio::steady_timer(executor_), {}, false});
        state->deadline = suspendAwareNow() + giveUpAfter_;
        send(state);
    }

private:
    static constexpr std::chrono::milliseconds RetryDelay{100};

    struct State
    {
        TableWrite write;
        CommitHandler onOutcome;
        asio::steady_timer timer;
        TimePoint deadline;
        /** Some attempt went out without an answer, so that a conflict may be with ourselves. */
        bool uncertain;
    };
    using StatePointer = std::shared_ptr<State>;

    void send(const StatePointer &state)
    {
        table_.commit(state->write.transaction, [this, state](CommitOutcome outcome) {
            if (outcome == CommitOutcome::Unknown) {
                state->uncertain = true;
            }
            const bool settled = outcome == CommitOutcome::Committed || (!state->uncertain && outcome != CommitOutcome::Unknown);
            if (settled) {
                state->onOutcome(outcome);
                return;
            }
            readBack(state);
        });
    }

    void readBack(const StatePointer &state)
    {
        std::vector<std::string> keys{state->write.witnessKey};
        for (const auto &condition : state->write.transaction.conditions) {
            keys.push_back(condition.key);
        }
        table_.get(std::move(keys), [this, state](const absl::StatusOr<TableRows> &rows) {
            if (!rows.ok()) {
                retryLater(state);
                return;
            }
            const auto witness = rows->find(state->write.witnessKey);
            if (witness != rows->end() && witness->second.value.find(state->write.attempt) != std::string::npos) {
                state->onOutcome(CommitOutcome::Committed);
                return;
            }
            if (!conditionsHold(state->write.transaction, *rows)) {
                state->onOutcome(CommitOutcome::Conflict);
                return;
            }
            retryLater(state);
        });
    }

    static bool conditionsHold(const TableTransaction &transaction, const TableRows &rows)
    {
        for (const auto &condition : transaction.conditions) {
            const auto it = rows.find(condition.key);
            if ((it == rows.end() ? 0 : it->second.version) != condition.version) {
                return false;
            }
        }
        return true;
    }

    void retryLater(const StatePointer &state)
    {
        if (suspendAwareNow() >= state->deadline) {
            state->onOutcome(CommitOutcome::Unknown);
            return;
        }
        state->timer.expires_after(RetryDelay);
        state->timer.async_wait([this, state](const std::error_code &error) {
            if (!error) {
                send(state);
            }
        });
    }

    asio::any_io_executor executor_;
    Table &table_;
    Duration giveUpAfter_;
};

}

/**
 * Sends a transaction until its outcome is known. The transaction writes a marker row whose value contains a unique attempt id. When a
 * response is lost, the marker row is read back to find out whether the transaction took effect. The transaction is conditional, so sending
 * it again can't apply it twice.
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
    /** Key of a row that only this transaction writes with attemptId in its value. */
    std::string markerKey;
    std::string attemptId;
};

template<TableService Table>
class TableWriter
{
public:
    /** @param outcomeTimeout time after which an outcome that is still uncertain is reported as Unknown. */
    TableWriter(asio::any_io_executor executor, Table &table, Duration outcomeTimeout)
        : executor_(std::move(executor))
        , table_(table)
        , outcomeTimeout_(outcomeTimeout)
    {
    }

    void write(TableWrite write, CommitHandler onOutcome)
    {
        auto state = std::make_shared<State>(State{std::move(write), std::move(onOutcome), asio::steady_timer(executor_), {}, false});
        state->deadline = suspendAwareNow() + outcomeTimeout_;
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
        /** An earlier send had an unknown outcome, so a conflict may be caused by this same transaction. */
        bool hasUnknownSend;
    };
    using StatePointer = std::shared_ptr<State>;

    void send(const StatePointer &state)
    {
        table_.commit(state->write.transaction, [this, state](CommitOutcome outcome) {
            if (outcome == CommitOutcome::Unknown) {
                state->hasUnknownSend = true;
            }
            const bool isCertain = outcome == CommitOutcome::Committed || (!state->hasUnknownSend && outcome != CommitOutcome::Unknown);
            if (isCertain) {
                state->onOutcome(outcome);
                return;
            }
            readMarkerAndConditions(state);
        });
    }

    void readMarkerAndConditions(const StatePointer &state)
    {
        std::vector<std::string> keys{state->write.markerKey};
        for (const auto &condition : state->write.transaction.conditions) {
            keys.push_back(condition.key);
        }
        table_.get(std::move(keys), [this, state](const absl::StatusOr<TableRows> &rows) {
            if (!rows.ok()) {
                retryLater(state);
                return;
            }
            const auto marker = rows->find(state->write.markerKey);
            if (marker != rows->end() && marker->second.value.find(state->write.attemptId) != std::string::npos) {
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
    Duration outcomeTimeout_;
};

}

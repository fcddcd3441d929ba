#include "catalogueeditor.h"

#include <absl/strings/str_format.h>

#include <memory>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr int MaxAttempts = 20;
constexpr Milliseconds RetryDelay{20};

std::uint64_t parseHeadVersion(const TableRows &rows)
{
    const auto it = rows.find(catalogueHeadKey());
    if (it == rows.end()) {
        return 0;
    }
    const auto json = nlohmann::json::parse(it->second.value, nullptr, false);
    return json.is_object() ? json.value("version", std::uint64_t{0}) : 0;
}

}

CatalogueEditor::CatalogueEditor(asio::any_io_executor executor,
                                 HttpTable &table,
                                 const Snapshot<Catalogue> &catalogue,
                                 CatalogueSync &sync,
                                 std::uint64_t seed,
                                 Duration writeTimeout)
    : executor_(executor)
    , table_(table)
    , catalogue_(catalogue)
    , catalogueSync_(sync)
    , writer_(std::move(executor), table, writeTimeout)
    , random_(seed)
{
}

void CatalogueEditor::submitEdit(CatalogueEdit edit, DoneHandler onDone)
{
    if (!edit.expectedVersion) {
        edit.expectedVersion = catalogue_.read()->entryVersion(edit.kind, edit.name);
    }
    tryEdit(edit, onDone, MaxAttempts);
}

void CatalogueEditor::tryEdit(const CatalogueEdit &edit, const DoneHandler &onDone, int attemptsLeft)
{
    if (attemptsLeft == 0) {
        onDone(absl::UnavailableError("the catalogue changes too fast for this edit; nothing was written"));
        return;
    }
    table_.get({catalogueHeadKey()}, [this, edit, onDone, attemptsLeft](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok()) {
            onDone(absl::UnavailableError("the store can't be reached; nothing was written"));
            return;
        }
        const std::uint64_t head = parseHeadVersion(*rows);
        if (head > catalogue_.read()->version()) {
            catalogueSync_.onStoreVersion(head);
            retryLater(edit, onDone, attemptsLeft - 1);
            return;
        }
        const std::uint64_t currentVersion = catalogue_.read()->entryVersion(edit.kind, edit.name);
        if (currentVersion != *edit.expectedVersion) {
            onDone(absl::AbortedError("conflict: the entry was changed in version " + std::to_string(currentVersion)));
            return;
        }
        const auto row = rows->find(catalogueHeadKey());
        commitEdit(edit, onDone, attemptsLeft, row == rows->end() ? 0 : row->second.version);
    });
}

void CatalogueEditor::retryLater(const CatalogueEdit &edit, const DoneHandler &onDone, int attemptsLeft)
{
    auto timer = std::make_shared<asio::steady_timer>(executor_, RetryDelay);
    timer->async_wait([this, timer, edit, onDone, attemptsLeft](const std::error_code &error) {
        if (!error) {
            tryEdit(edit, onDone, attemptsLeft);
        }
    });
}

void CatalogueEditor::commitEdit(const CatalogueEdit &edit, const DoneHandler &onDone, int attemptsLeft, std::uint64_t headRowVersion)
{
    CatalogueChange change;
    change.version = catalogue_.read()->version() + 1;
    change.kind = edit.kind;
    change.name = edit.name;
    change.entry = edit.entry;
    change.attempt = absl::StrFormat("%016x", random_());
    TableWrite write;
    write.attemptId = change.attempt;
    write.markerKey = catalogueChangeKey(change.version);
    write.transaction.conditions = {{catalogueHeadKey(), headRowVersion}, {write.markerKey, 0}};
    write.transaction.puts = {{catalogueHeadKey(), nlohmann::json{{"version", change.version}}.dump()}, {write.markerKey, change.toText()}};
    writer_.write(std::move(write), [this, edit, onDone, attemptsLeft, version = change.version](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            catalogueSync_.onStoreVersion(version);
            onDone(version);
            break;
        case CommitOutcome::Conflict:
            retryLater(edit, onDone, attemptsLeft - 1);
            break;
        case CommitOutcome::NotSent:
            onDone(absl::UnavailableError("the store can't be reached; nothing was written"));
            break;
        case CommitOutcome::Unknown:
            onDone(absl::UnknownError("the store does not answer; version " + std::to_string(version) + " may hold the edit or not"));
            break;
        }
    });
}

}

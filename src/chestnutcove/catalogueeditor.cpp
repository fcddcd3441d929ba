#include "catalogueeditor.h"

#include <absl/strings/str_format.h>

#include <memory>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr int MaxTries = 20;
constexpr Milliseconds SyncPause{20};

std::uint64_t readHead(const TableRows &rows)
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
                                 Duration giveUpAfter)
    : executor_(executor)
    , table_(table)
    , catalogue_(catalogue)
    , sync_(sync)
    , writer_(std::move(executor), table, giveUpAfter)
    , random_(seed)
{
}

void CatalogueEditor::edit(CatalogueEdit edit, DoneHandler onDone)
{
    if (!edit.expectedVersion) {
        edit.expectedVersion = catalogue_.read()->entryVersion(edit.kind, edit.name);
    }
    attempt(edit, onDone, MaxTries);
}

void CatalogueEditor::attempt(const CatalogueEdit &edit, const DoneHandler &onDone, int triesLeft)
{
    if (triesLeft == 0) {
        onDone(absl::UnavailableError("the catalogue changes too fast for this edit; nothing was written"));
        return;
    }
    table_.get({catalogueHeadKey()}, [this, edit, onDone, triesLeft](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok()) {
            onDone(absl::UnavailableError("the store can't be reached; nothing was written"));
            return;
        }
        const std::uint64_t head = readHead(*rows);
        if (head > catalogue_.read()->version()) {
            sync_.storeHas(head);
            waitForVersion(edit, onDone, triesLeft - 1);
            return;
        }
        const std::uint64_t known = catalogue_.read()->entryVersion(edit.kind, edit.name);
        if (known != *edit.expectedVersion) {
            onDone(absl::AbortedError("conflict: the entry was changed in version " + std::to_string(known)));
            return;
        }
        const auto row = rows->find(catalogueHeadKey());
        commit(edit, onDone, triesLeft, row == rows->end() ? 0 : row->second.version);
    });
}

void CatalogueEditor::waitForVersion(const CatalogueEdit &edit, const DoneHandler &onDone, int triesLeft)
{
    auto timer = std::make_shared<asio::steady_timer>(executor_, SyncPause);
    timer->async_wait([this, timer, edit, onDone, triesLeft](const std::error_code &error) {
        if (!error) {
            attempt(edit, onDone, triesLeft);
        }
    });
}

void CatalogueEditor::commit(const CatalogueEdit &edit, const DoneHandler &onDone, int triesLeft, std::uint64_t headRowVersion)
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
    writer_.write(std::move(write), [this, edit, onDone, triesLeft, version = change.version](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            sync_.storeHas(version);
            onDone(version);
            break;
        case CommitOutcome::Conflict:
            waitForVersion(edit, onDone, triesLeft - 1);
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

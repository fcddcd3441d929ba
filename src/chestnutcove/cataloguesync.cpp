#include "cataloguesync.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace Chestnutcove {

namespace {

constexpr std::uint64_t MaxChangesPerFetch = 200;
constexpr std::size_t MaxRecentChanges = 1000;

}

std::string catalogueHeadKey()
{
    return "catalogue/head";
}

std::string catalogueChangeKey(std::uint64_t version)
{
    return absl::StrFormat("catalogue/change/%012d", version);
}

CatalogueSync::CatalogueSync(HttpTable &table, Snapshot<Catalogue> &catalogue, const Log &log, AppliedHandler onApplied)
    : table_(table)
    , catalogue_(catalogue)
    , log_(log)
    , onApplied_(std::move(onApplied))
{
}

std::uint64_t CatalogueSync::version() const
{
    return catalogue_.read()->version();
}

void CatalogueSync::onStoreVersion(std::uint64_t version)
{
    storeVersion_ = std::max(storeVersion_, version);
    fetchMissingChanges();
}

void CatalogueSync::fetchMissingChanges()
{
    const std::uint64_t current = version();
    if (isFetching_ || current >= storeVersion_) {
        return;
    }
    std::vector<std::string> keys;
    for (std::uint64_t next = current + 1; next <= std::min(storeVersion_, current + MaxChangesPerFetch); ++next) {
        keys.push_back(catalogueChangeKey(next));
    }
    isFetching_ = true;
    table_.get(std::move(keys), [this](const absl::StatusOr<TableRows> &rows) {
        isFetching_ = false;
        if (!rows.ok()) {
            return;
        }
        bool progress = false;
        for (const auto &[key, row] : *rows) {
            const auto change = CatalogueChange::fromText(row.value);
            if (!change.ok()) {
                log_.error("catalogue change unreadable", {{"row", key}, {"reason", std::string(change.status().message())}});
                return;
            }
            progress = applyChange(*change) || progress;
        }
        if (progress) {
            fetchMissingChanges();
        }
    });
}

bool CatalogueSync::applyChange(const CatalogueChange &change)
{
    auto next = catalogue_.read()->apply(change);
    if (!next.ok()) {
        return false;
    }
    catalogue_.replace(*next);
    recentChanges_.push_back(change);
    if (recentChanges_.size() > MaxRecentChanges) {
        recentChanges_.pop_front();
    }
    log_.info(
        "catalogue version in force",
        {{"version", std::to_string(change.version)}, {"kind", std::string(nameOf(EntryKindNames, change.kind))}, {"name", change.name}});
    onApplied_(*next);
    return true;
}

void CatalogueSync::onPeerChanges(const wire::Changes &changes)
{
    if (changes.snapshot_version() > version()) {
        auto snapshot = Catalogue::fromText(changes.snapshot());
        if (!snapshot.ok()) {
            log_.error("catalogue snapshot unreadable", {{"reason", std::string(snapshot.status().message())}});
            return;
        }
        recentChanges_.clear();
        catalogue_.replace(*snapshot);
        log_.info("catalogue snapshot applied from a peer", {{"version", std::to_string(snapshot->version())}});
        onApplied_(*snapshot);
    }
    for (const auto &item : changes.changes()) {
        const auto change = CatalogueChange::fromText(item.json());
        if (change.ok()) {
            applyChange(*change);
        }
    }
}

wire::Changes CatalogueSync::changesAfter(std::uint64_t version) const
{
    wire::Changes result;
    const auto catalogue = catalogue_.read();
    if (version >= catalogue->version()) {
        return result;
    }
    const std::uint64_t oldest = catalogue->version() - recentChanges_.size();
    if (version < oldest) {
        result.set_snapshot(catalogue->toText());
        result.set_snapshot_version(catalogue->version());
        return result;
    }
    for (const CatalogueChange &change : recentChanges_) {
        if (change.version > version) {
            auto *item = result.add_changes();
            item->set_version(change.version);
            item->set_json(change.toText());
        }
    }
    return result;
}

}

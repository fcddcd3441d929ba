#include "cataloguesync.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace Chestnutcove {

namespace {

constexpr std::uint64_t FetchBatch = 200;
constexpr std::size_t RecentChanges = 1000;

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

void CatalogueSync::storeHas(std::uint64_t version)
{
    target_ = std::max(target_, version);
    fetch();
}

void CatalogueSync::fetch()
{
    const std::uint64_t current = version();
    if (fetching_ || current >= target_) {
        return;
    }
    std::vector<std::string> keys;
    for (std::uint64_t next = current + 1; next <= std::min(target_, current + FetchBatch); ++next) {
        keys.push_back(catalogueChangeKey(next));
    }
    fetching_ = true;
    table_.get(std::move(keys), [this](const absl::StatusOr<TableRows> &rows) {
        fetching_ = false;
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
            progress = apply(*change) || progress;
        }
        if (progress) {
            fetch();
        }
    });
}

bool CatalogueSync::apply(const CatalogueChange &change)
{
    auto next = catalogue_.read()->apply(change);
    if (!next.ok()) {
        return false;
    }
    catalogue_.replace(*next);
    recent_.push_back(change);
    if (recent_.size() > RecentChanges) {
        recent_.pop_front();
    }
    log_.info(
        "catalogue version in force",
        {{"version", std::to_string(change.version)}, {"kind", std::string(nameOf(EntryKindNames, change.kind))}, {"name", change.name}});
    onApplied_(*next);
    return true;
}

void CatalogueSync::received(const wire::Changes &changes)
{
    if (changes.snapshot_version() > version()) {
        auto snapshot = Catalogue::fromText(changes.snapshot());
        if (!snapshot.ok()) {
            log_.error("catalogue snapshot unreadable", {{"reason", std::string(snapshot.status().message())}});
            return;
        }
        recent_.clear();
        catalogue_.replace(*snapshot);
        log_.info("catalogue taken from a peer", {{"version", std::to_string(snapshot->version())}});
        onApplied_(*snapshot);
    }
    for (const auto &item : changes.changes()) {
        const auto change = CatalogueChange::fromText(item.json());
        if (change.ok()) {
            apply(*change);
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
    const std::uint64_t oldest = catalogue->version() - recent_.size();
    if (version < oldest) {
        result.set_snapshot(catalogue->toText());
        result.set_snapshot_version(catalogue->version());
        return result;
    }
    for (const CatalogueChange &change : recent_) {
        if (change.version > version) {
            auto *item = result.add_changes();
            item->set_version(change.version);
            item->set_json(change.toText());
        }
    }
    return result;
}

}

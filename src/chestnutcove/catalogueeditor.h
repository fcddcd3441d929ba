/**
 * Commits operators' edits to the catalogue's log. An edit is reported as accepted only when its commit is certain. Of two concurrent edits
 * of one entry, one gets a conflict that names the newer version.
 */
#pragma once

#include "cataloguesync.h"
#include "tablewriter.h"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace Chestnutcove {

struct CatalogueEdit
{
    EntryKind kind = EntryKind::Customer;
    std::string name;
    /** The new contents; without a value the entry is removed. */
    std::optional<Entry> entry;
    /** The entry's version that the operator saw; without a value, the version in force when the edit arrives. */
    std::optional<std::uint64_t> expectedVersion;
};

class CatalogueEditor
{
public:
    using DoneHandler = std::function<void(absl::StatusOr<std::uint64_t> version)>;

    CatalogueEditor(asio::any_io_executor executor,
                    HttpTable &table,
                    const Snapshot<Catalogue> &catalogue,
                    CatalogueSync &sync,
                    std::uint64_t seed,
                    Duration writeTimeout);

    /**
     * Reports through @p onDone the new version, Aborted on a conflict, Unavailable if the store can't be reached and nothing was written,
     * or Unknown if it is not known whether the edit was written.
     */
    void submitEdit(CatalogueEdit edit, DoneHandler onDone);

private:
    void tryEdit(const CatalogueEdit &edit, const DoneHandler &onDone, int attemptsLeft);
    void commitEdit(const CatalogueEdit &edit, const DoneHandler &onDone, int attemptsLeft, std::uint64_t headRowVersion);
    void retryLater(const CatalogueEdit &edit, const DoneHandler &onDone, int attemptsLeft);

    asio::any_io_executor executor_;
    HttpTable &table_;
    const Snapshot<Catalogue> &catalogue_;
    CatalogueSync &catalogueSync_;
    TableWriter<HttpTable> writer_;
    std::mt19937_64 random_;
};

}

/**
 * Commits operators' edits to the catalogue's log. An edit is accepted only when its commit is certain; of two racing edits of one entry,
 * one gets a conflict that names the newer version.
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
    /** Nothing removes the entry. */
    std::optional<Entry> entry;
    /** The entry's version that the operator saw; nothing takes the one in force when the edit arrives. */
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
                    Duration giveUpAfter);

    /**
     * @return through @p onDone the new version, Aborted on a conflict, Unavailable when the store can't be reached and nothing was
     * written, Unknown when it can't be told whether it was.
     */
    void edit(CatalogueEdit edit, DoneHandler onDone);

private:
    void attempt(const CatalogueEdit &edit, const DoneHandler &onDone, int triesLeft);
    void commit(const CatalogueEdit &edit, const DoneHandler &onDone, int triesLeft, std::uint64_t headRowVersion);
    void waitForVersion(const CatalogueEdit &edit, const DoneHandler &onDone, int triesLeft);

    asio::any_io_executor executor_;
    HttpTable &table_;
    const Snapshot<Catalogue> &catalogue_;
    CatalogueSync &sync_;
    TableWriter<HttpTable> writer_;
    std::mt19937_64 random_;
};

}

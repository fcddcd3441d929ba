/**
 * Keeps this gateway's catalogue up to date with the committed log of changes, read from the store, or from peers while the store is down.
 * Versions are applied strictly in order and never go back.
 */
#pragma once

#include "catalogue.h"
#include "httptable.h"
#include "log.h"
#include "snapshot.h"
#include "wire.pb.h"

#include <deque>
#include <functional>

namespace Chestnutcove {

/** Keys of the catalogue's rows in the table service. */
std::string catalogueHeadKey();
std::string catalogueChangeKey(std::uint64_t version);

class CatalogueSync
{
public:
    using AppliedHandler = std::function<void(const Catalogue &)>;

    CatalogueSync(HttpTable &table, Snapshot<Catalogue> &catalogue, const Log &log, AppliedHandler onApplied);

    /** The store is known to hold all versions up to @p version; fetches the missing ones. */
    void onStoreVersion(std::uint64_t version);
    /** Applies the changes or the snapshot that a peer sent. */
    void onPeerChanges(const wire::Changes &changes);
    /** The changes after @p version, or a snapshot if they are no longer kept, for a peer that has this version. */
    wire::Changes changesAfter(std::uint64_t version) const;
    std::uint64_t version() const;

private:
    void fetchMissingChanges();
    bool applyChange(const CatalogueChange &change);

    HttpTable &table_;
    Snapshot<Catalogue> &catalogue_;
    const Log &log_;
    AppliedHandler onApplied_;
    std::uint64_t storeVersion_ = 0;
    bool isFetching_ = false;
    /** The last changes, without gaps up to the current version, to be sent to peers. */
    std::deque<CatalogueChange> recentChanges_;
};

}

/**
 * Keeps this gateway's catalogue in step with the committed log of changes: from the store, or from peers while the store is down. Versions
 * are applied strictly in order and never downwards.
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

/** Rows of the catalogue in the table service. */
std::string catalogueHeadKey();
std::string catalogueChangeKey(std::uint64_t version);

class CatalogueSync
{
public:
    using AppliedHandler = std::function<void(const Catalogue &)>;

    CatalogueSync(HttpTable &table, Snapshot<Catalogue> &catalogue, const Log &log, AppliedHandler onApplied);

    /** The store is known to hold versions up to this one. */
    void storeHas(std::uint64_t version);
    /** What a peer sent. */
    void received(const wire::Changes &changes);
    /** The answer to a peer that has this version. */
    wire::Changes changesAfter(std::uint64_t version) const;
    std::uint64_t version() const;

private:
    void fetch();
    bool apply(const CatalogueChange &change);

    HttpTable &table_;
    Snapshot<Catalogue> &catalogue_;
    const Log &log_;
    AppliedHandler onApplied_;
    std::uint64_t target_ = 0;
    bool fetching_ = false;
    /** The last changes, for peers; dense and ending at the current version. */
    std::deque<CatalogueChange> recent_;
};

}

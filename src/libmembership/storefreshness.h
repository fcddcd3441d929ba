/**
 * How long a gateway may act on its last view of the store: serve requests with keys, and spend shares of rate limits.
 *
 * The view is confirmed by a read of the store's versions, made by this gateway or reported by a peer. While the store is down for every
 * gateway, nothing in it can change; this is assumed while a majority of the committed epoch's electors report that their own reads fail. A
 * gateway that was removed from the membership finds no such majority, because electors confirm an outage only for the epoch that they
 * know, and a newer epoch takes effect only after a majority of the previous electors knows it (see ShareGuard).
 */
#pragma once

#include "membershiprow.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <string>

namespace Chestnutcove {

/** Versions of the stored data, as returned by one read. */
struct StoreVersions
{
    std::uint64_t catalogueVersion = 0;
    std::uint64_t membershipEpoch = 0;
};

/** State of a peer, as reported in its reply to a request of this gateway. */
struct PeerReport
{
    std::string name;
    std::uint64_t incarnation = 0;
    /** When this gateway sent the request. The reported state was true at this time or later. */
    TimePoint requestedAt;
    std::uint64_t membershipEpoch = 0;
    std::uint64_t catalogueVersion = 0;
    bool storeDown = false;
    bool hasConfirmedRead = false;
    Duration confirmedReadAge{};
    StoreVersions confirmedVersions;
};

class StoreFreshness
{
public:
    /**
     * @param lifetime how long a confirmed read remains valid.
     * @param downAfter time without a successful read after which the store counts as down.
     */
    StoreFreshness(std::string ownName, Duration lifetime, Duration downAfter);

    void setMembership(const MembershipRow &row);
    void setCatalogueVersion(std::uint64_t version);

    /** @param startedAt when the read was sent. */
    void onReadSucceeded(TimePoint startedAt, const StoreVersions &versions);
    void onReadFailed(TimePoint now);
    void onPeerReport(const PeerReport &report);

    /** Until when requests that need a key may be served. */
    TimePoint keysValidUntil(TimePoint now) const;
    /** Until when the shares of the current epoch may be spent. */
    TimePoint sharesValidUntil(TimePoint now) const;

    bool isStoreDown(TimePoint now) const;
    /** Whether any read was confirmed. The newest one is reported to the peers. */
    bool hasConfirmedRead() const;
    TimePoint confirmedReadTime() const;
    const StoreVersions &confirmedVersions() const;

private:
    /** What a peer reported last. */
    struct PeerStatus
    {
        TimePoint reportedAt;
        std::uint64_t epoch = 0;
        std::uint64_t catalogueVersion = 0;
        bool storeDown = false;
    };

    /** Keeps the read if it is newer than the newest confirmed one. */
    void updateConfirmedRead(TimePoint time, const StoreVersions &versions);
    /** Until when a majority of the electors confirms that the store is down; a default TimePoint where there is no majority. */
    TimePoint outageConfirmedUntil(TimePoint now) const;
    bool anyPeerHasNewerCatalogue() const;

    std::string ownName_;
    Duration lifetime_;
    Duration downAfter_;
    MembershipRow membership_;
    std::uint64_t catalogueVersion_ = 0;
    bool hasConfirmedRead_ = false;
    TimePoint confirmedReadTime_;
    StoreVersions confirmedVersions_;
    TimePoint lastOwnReadAt_;
    std::uint32_t consecutiveFailures_ = 0;
    std::map<std::string, PeerStatus> peerStatuses_;
};

inline bool StoreFreshness::hasConfirmedRead() const
{
    return hasConfirmedRead_;
}

inline TimePoint StoreFreshness::confirmedReadTime() const
{
    return confirmedReadTime_;
}

inline const StoreVersions &StoreFreshness::confirmedVersions() const
{
    return confirmedVersions_;
}

}

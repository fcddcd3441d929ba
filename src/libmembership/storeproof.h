/**
 * How long a gateway may act on what it last read from the store: serve requests with keys, and spend shares of rate limits.
 *
 * A proof is a read of the store's heads, by this gateway or by a peer that told of it. When the store is down for everyone nothing can
 * have changed in it; that holds while a majority of the committed epoch's electors say that their own reads fail. A gateway that the
 * others removed can't find such a majority, because electors vouch only for the epoch that they know, and a newer epoch counts only after
 * a majority of the old electors know it (see ShareGate).
 */
#pragma once

#include "membershiprow.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <string>

namespace Chestnutcove {

/** What one store read, at one moment, showed. */
struct StoreHeads
{
    std::uint64_t catalogueVersion = 0;
    std::uint64_t membershipEpoch = 0;
};

/** What a peer said in answer to a question of ours. */
struct PeerReport
{
    std::string name;
    std::uint64_t incarnation = 0;
    /** When we asked: what the peer says was true at this time or later. */
    TimePoint askedAt;
    std::uint64_t membershipEpoch = 0;
    std::uint64_t catalogueVersion = 0;
    bool storeDown = false;
    bool hasProof = false;
    Duration proofAge{};
    StoreHeads proof;
};

class StoreProof
{
public:
    /** @param lifetime how long a proof holds. @param downAfter time without a successful read after which the store counts as down. */
    StoreProof(std::string ownName, Duration lifetime, Duration downAfter);

    void setMembership(const MembershipRow &row);
    void setCatalogueVersion(std::uint64_t version);

    /** @param startedAt when the read was sent. */
    void readSucceeded(TimePoint startedAt, const StoreHeads &heads);
    void readFailed(TimePoint now);
    void peerReported(const PeerReport &report);

    /** Keyed requests may be served until then. */
    TimePoint keysValidUntil(TimePoint now) const;
    /** The share of the current epoch may be spent until then. */
    TimePoint sharesValidUntil(TimePoint now) const;

    bool isStoreDown(TimePoint now) const;
    /** The newest proof, to tell peers of. */
    bool hasProof() const;
    TimePoint proofTime() const;
    const StoreHeads &proofHeads() const;

private:
    struct Vouch
    {
        TimePoint at;
        std::uint64_t epoch = 0;
        std::uint64_t catalogueVersion = 0;
        bool storeDown = false;
    };

    void consider(TimePoint time, const StoreHeads &heads);
    TimePoint outageVouchedUntil(TimePoint now) const;
    bool vouchersAreNewer() const;

    std::string ownName_;
    Duration lifetime_;
    Duration downAfter_;
    MembershipRow membership_;
    std::uint64_t catalogueVersion_ = 0;
    bool hasProof_ = false;
    TimePoint proofTime_;
    StoreHeads proofHeads_;
    TimePoint lastOwnRead_;
    std::uint32_t failuresInRow_ = 0;
    std::map<std::string, Vouch> vouches_;
};

inline bool StoreProof::hasProof() const
{
    return hasProof_;
}

inline TimePoint StoreProof::proofTime() const
{
    return proofTime_;
}

inline const StoreHeads &StoreProof::proofHeads() const
{
    return proofHeads_;
}

}

/**
 * State machine of one duty's lease. The lease is a row of the table service that names the holder and an epoch, which is the fencing
 * token.
 *
 * The holder counts validity from the time at which it sent the renewal, and ends it early by a margin for clock drift. Another process
 * acquires the lease only after it observed the row unchanged for the whole lease duration on its own clock. The clocks of the processes
 * need not be synchronised.
 *
 * A store that comes back from an older copy shows an older row. The newest row that any process knows is written again by those that know
 * it; nobody acquires the lease before the row has stood unchanged for the lease duration in the new era, so that they have the time.
 * Epochs of a later era are above all of an earlier one, also above those that no living process knows.
 */
#pragma once

#include "timepoint.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Chestnutcove {

/** The stored state of a lease. */
struct LeaseRow
{
    /** Name of the process that holds the lease; empty after a release. */
    std::string holder;
    std::uint64_t incarnation = 0;
    /** Fencing token; rises with each acquisition. */
    std::uint64_t epoch = 0;
    /** Rises with each renewal, so that a renewed row differs from the previous one. */
    std::uint64_t renewals = 0;

    auto operator<=>(const LeaseRow &) const = default;
    std::string toText(const std::string &attempt) const;
    static absl::StatusOr<LeaseRow> fromText(const std::string &text);
};

struct LeaseOptions
{
    Duration duration = std::chrono::seconds(6);
    /** The holder treats the lease as expired this much before its end, to allow for clock drift. */
    Duration driftMargin = std::chrono::milliseconds(600);
    Duration renewInterval = std::chrono::seconds(2);
    /** Time between an acquisition and the first order, after which every receiver finds a previous holder's orders stale. */
    Duration activationDelay = std::chrono::seconds(3);
};

/** A conditional write of the lease row, to be sent by the caller of LeaseKeeper::nextWrite(). */
struct LeaseWrite
{
    LeaseRow row;
    /** Condition of the write: the version that the row must have; 0 where there must be no row. */
    std::uint64_t expectedVersion = 0;
};

class LeaseKeeper
{
public:
    LeaseKeeper(std::string holder, std::uint64_t incarnation, LeaseOptions options);

    /** Passes on the row as it was read; version 0 where there is no row. @param era the store's (see StoreVersion), 0 if it states none.
     */
    void onRowRead(const std::optional<LeaseRow> &row, std::uint64_t version, TimePoint now, std::uint64_t era = 0);
    /** The write to send now, if any. There is no further write until the outcome of this one is reported by an onWrite...() function. */
    std::optional<LeaseWrite> nextWrite(TimePoint now);
    /** The write took effect. The row's new version becomes known with the next read. */
    void onWriteCommitted(TimePoint now);
    /** The write certainly had no effect. */
    void onWriteRejected();
    /** The write may have taken effect, or may still take effect later. */
    void onWriteOutcomeUnknown();
    /**
     * Releases the lease for a planned stop. As soon as the row's version is known, nextWrite() returns the write that lets another process
     * acquire the lease at once.
     */
    void release();

    /** Whether this process certainly holds the lease at this time. */
    bool isValid(TimePoint now) const;
    /** Whether the lease is valid and every receiver finds the orders of previous holders stale. */
    bool mayAct(TimePoint now) const;
    TimePoint validUntil() const;
    std::uint64_t epoch() const;
    const LeaseRow &row() const;

private:
    /** Whether the row names this incarnation of the process as the holder. */
    bool ownsRow() const;
    /** The epoch of an acquisition: above all epochs known, and above those of earlier eras. */
    std::uint64_t nextEpoch() const;

    std::string holder_;
    std::uint64_t incarnation_;
    LeaseOptions options_;
    /** The newest row known: read, or written by this process. */
    LeaseRow row_;
    /** The version that was read last; that of the stored row only while rowKnown_ is true. */
    std::uint64_t version_ = 0;
    /** The highest era in which the row was read. */
    std::uint64_t era_ = 0;
    /** The stored row is older than row_. */
    bool isStoredOlder_ = false;
    /** The row was not seen to change in this era, so also a vacant one may be out of date. */
    bool mustObserve_ = false;
    /** This process has written the row since it read version_. */
    bool hasCommitted_ = false;
    /** Whether the row was read after the outcome of the last write. */
    bool rowKnown_ = false;
    /** When this process first saw the current content of the row in this era, on its own clock. */
    TimePoint unchangedSince_;
    /** End of validity; extended only by a committed write of this process. */
    TimePoint validUntil_{};
    TimePoint acquiredAt_{};
    TimePoint renewAt_{};
    struct Pending
    {
        LeaseWrite write;
        TimePoint sentAt;
        /** The write acquires or renews the lease, rather than writing an older row again. */
        bool extendsValidity = true;
    };
    std::optional<Pending> pending_;
    /** release() was called. */
    bool released_ = false;
};

inline TimePoint LeaseKeeper::validUntil() const
{
    return validUntil_;
}

inline std::uint64_t LeaseKeeper::epoch() const
{
    return row_.epoch;
}

inline const LeaseRow &LeaseKeeper::row() const
{
    return row_;
}

}

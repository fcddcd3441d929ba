/**
 * One duty's lease: a row of the table service with a holder and an epoch, which is the fencing token.
 *
 * The holder counts validity from before it sent the renewal and stops early by a margin for clock drift. Another process takes the lease
 * only after it saw the row unchanged for the whole duration on its own clock. No synchronised clocks are needed.
 */
#pragma once

#include "timepoint.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Chestnutcove {

struct LeaseRow
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    /** Rises with each renewal. */
    std::uint64_t beat = 0;

    auto operator<=>(const LeaseRow &) const = default;
    std::string toText(const std::string &attempt) const;
    static absl::StatusOr<LeaseRow> fromText(const std::string &text);
};

struct LeaseOptions
{
    Duration duration = std::chrono::seconds(6);
    /** The holder stops this much before the end. */
    Duration margin = std::chrono::milliseconds(600);
    Duration renewEvery = std::chrono::seconds(2);
    /** Time after an acquisition before the first order, so that older ones are stale everywhere. */
    Duration settle = std::chrono::seconds(3);
};

/** A conditional write that the owner is to send. */
struct LeaseWrite
{
    LeaseRow row;
    /** The row's version that it replaces; 0 where there is no row. */
    std::uint64_t replaces = 0;
};

class LeaseKeeper
{
public:
    LeaseKeeper(std::string holder, std::uint64_t incarnation, LeaseOptions options);

    /** The row as it was read; version 0 where there is none. */
    void observed(const std::optional<LeaseRow> &row, std::uint64_t version, TimePoint now);
    /** The write to send now, if any. No other is given until its outcome is told. */
    std::optional<LeaseWrite> poll(TimePoint now);
    /** The write took effect; the next read tells the row's new version. */
    void committed(TimePoint now);
    /** It certainly had no effect. */
    void rejected();
    /** It may have had an effect, or may yet have one. */
    void unknown();
    /** Gives the lease up, for a planned stop; poll() returns the write that lets others take it at once, as soon as one can be made. */
    void release();

    /** The lease is held for certain at this time. */
    bool isValid(TimePoint now) const;
    /** Valid, and older holders' orders are stale everywhere. */
    bool mayAct(TimePoint now) const;
    TimePoint validUntil() const;
    std::uint64_t epoch() const;
    const LeaseRow &row() const;

private:
    bool isOurs() const;

    std::string holder_;
    std::uint64_t incarnation_;
    LeaseOptions options_;
    LeaseRow row_;
    /** Meaningful while known_. */
    std::uint64_t version_ = 0;
    bool known_ = false;
    /** Since when the row's version has not changed, on our clock. */
    TimePoint unchangedSince_;
    /** End of validity; only a committed write of ours moves it. */
    TimePoint validUntil_{};
    TimePoint acquiredAt_{};
    TimePoint renewAt_{};
    struct Pending
    {
        LeaseWrite write;
        TimePoint sentAt;
    };
    std::optional<Pending> pending_;
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

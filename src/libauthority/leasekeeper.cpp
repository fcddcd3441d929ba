#include "leasekeeper.h"

#include "jsonfield.h"
#include "storeversion.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** Acquisitions in one era have epochs that differ in these bits only. */
constexpr unsigned EpochBits = 16;

bool isOlder(const LeaseRow &left, const LeaseRow &right)
{
    return left.epoch < right.epoch || (left.epoch == right.epoch && left.renewals < right.renewals);
}

}

std::string LeaseRow::toText(const std::string &attempt) const
{
    return nlohmann::json{{"holder", holder}, {"incarnation", incarnation}, {"epoch", epoch}, {"beat", renewals}, {"attempt", attempt}}
        .dump();
}

absl::StatusOr<LeaseRow> LeaseRow::fromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("epoch") || !json["epoch"].is_number_unsigned()) {
        return absl::DataLossError("unreadable lease row");
    }
    return LeaseRow{fieldOr(json, "holder", ""),
                    fieldOr(json, "incarnation", std::uint64_t{0}),
                    json["epoch"].get<std::uint64_t>(),
                    fieldOr(json, "beat", std::uint64_t{0})};
}

LeaseKeeper::LeaseKeeper(std::string holder, std::uint64_t incarnation, LeaseOptions options)
    : holder_(std::move(holder))
    , incarnation_(incarnation)
    , options_(options)
{
}

bool LeaseKeeper::ownsRow() const
{
    return row_.holder == holder_ && row_.incarnation == incarnation_;
}

std::uint64_t LeaseKeeper::nextEpoch() const
{
    const std::uint64_t firstOfEra = era_ > StoreVersion::FirstEra ? era_ << EpochBits : 0;
    return std::max(row_.epoch + 1, firstOfEra);
}

void LeaseKeeper::onRowRead(const std::optional<LeaseRow> &row, std::uint64_t version, TimePoint now, std::uint64_t era)
{
    const bool isNewEra = era > era_;
    const bool isOutOfDate = era < era_ || (!isNewEra && (rowKnown_ || hasCommitted_) && version <= version_);
    if (pending_ || isOutOfDate) {
        return;
    }
    if (isNewEra && era > StoreVersion::FirstEra) {
        mustObserve_ = true;
        unchangedSince_ = now;
    }
    era_ = era;
    rowKnown_ = true;
    hasCommitted_ = false;
    version_ = version;
    const LeaseRow read = row.value_or(LeaseRow{});
    isStoredOlder_ = isOlder(read, row_);
    if (isStoredOlder_) {
        return;
    }
    if (read != row_) {
        row_ = read;
        unchangedSince_ = now;
        mustObserve_ = mustObserve_ && isNewEra;
    }
    if (!ownsRow()) {
        validUntil_ = {};
    }
}

std::optional<LeaseWrite> LeaseKeeper::nextWrite(TimePoint now)
{
    if (!rowKnown_ || pending_ || (released_ && !ownsRow())) {
        return std::nullopt;
    }
    LeaseWrite write{row_, version_};
    bool extendsValidity = true;
    if (released_) {
        write.row = LeaseRow{"", 0, row_.epoch, row_.renewals + 1};
    } else if (ownsRow() && isValid(now)) {
        if (now < renewAt_ && !isStoredOlder_) {
            return std::nullopt;
        }
        ++write.row.renewals;
    } else if (isStoredOlder_) {
        extendsValidity = false;
    } else {
        const bool isVacant = row_.holder.empty() && !mustObserve_;
        if (!isVacant && now - unchangedSince_ < options_.duration) {
            return std::nullopt;
        }
        // An own lease that expired is acquired again under a new epoch, because another process may have acted in the meantime.
        write.row = LeaseRow{holder_, incarnation_, nextEpoch(), 0};
    }
    pending_ = Pending{write, now, extendsValidity};
    return write;
}

void LeaseKeeper::onWriteCommitted(TimePoint now)
{
    if (!pending_) {
        return;
    }
    const Pending pending = *std::exchange(pending_, std::nullopt);
    const bool acquired = pending.write.row.epoch != row_.epoch;
    row_ = pending.write.row;
    rowKnown_ = false;
    hasCommitted_ = true;
    isStoredOlder_ = false;
    unchangedSince_ = now;
    if (released_) {
        validUntil_ = {};
        return;
    }
    if (!pending.extendsValidity) {
        return;
    }
    mustObserve_ = false;
    validUntil_ = pending.sentAt + options_.duration - options_.driftMargin;
    renewAt_ = pending.sentAt + options_.renewInterval;
    if (acquired) {
        acquiredAt_ = now;
    }
}

void LeaseKeeper::onWriteRejected()
{
    // The row was changed by another write; its content is unknown until the next read.
    pending_.reset();
    rowKnown_ = false;
    validUntil_ = {};
}

void LeaseKeeper::onWriteOutcomeUnknown()
{
    // If the write took effect, it is the row's next version, which the next read returns. Validity is not extended.
    pending_.reset();
    rowKnown_ = false;
}

void LeaseKeeper::release()
{
    released_ = true;
    validUntil_ = {};
}

bool LeaseKeeper::isValid(TimePoint now) const
{
    return now < validUntil_;
}

bool LeaseKeeper::mayAct(TimePoint now) const
{
    return isValid(now) && now - acquiredAt_ >= options_.activationDelay;
}

}

#include "leasekeeper.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Chestnutcove {

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
    return LeaseRow{json.value("holder", ""),
                    json.value("incarnation", std::uint64_t{0}),
                    json["epoch"].get<std::uint64_t>(),
                    json.value("beat", std::uint64_t{0})};
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

void LeaseKeeper::onRowRead(const std::optional<LeaseRow> &row, std::uint64_t version, TimePoint now)
{
    if (pending_ || (rowKnown_ && version <= version_)) {
        return;
    }
    rowKnown_ = true;
    version_ = version;
    const LeaseRow read = row.value_or(LeaseRow{});
    if (read != row_) {
        row_ = read;
        unchangedSince_ = now;
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
    if (released_) {
        write.row = LeaseRow{"", 0, row_.epoch, row_.renewals + 1};
    } else if (ownsRow() && isValid(now)) {
        if (now < renewAt_) {
            return std::nullopt;
        }
        ++write.row.renewals;
    } else {
        const bool vacant = row_.holder.empty();
        if (!vacant && now - unchangedSince_ < options_.duration) {
            return std::nullopt;
        }
        // An own lease that expired is acquired again under a new epoch, because another process may have acted in the meantime.
        write.row = LeaseRow{holder_, incarnation_, row_.epoch + 1, 0};
    }
    pending_ = Pending{write, now};
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
    unchangedSince_ = now;
    if (released_) {
        validUntil_ = {};
        return;
    }
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

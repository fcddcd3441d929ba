#include "sharedrows.h"

#include "stageorders.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *SharedTable = "chestnutcove-shared";
constexpr const char *DivisionKey = "quota/division";
constexpr const char *LinkKeysKey = "links/keys";
/** Leaves time to confirm the division anew within QuotaShareOptions::maxAge if a poll is not answered. */
constexpr Milliseconds LongPollTimeout{3000};
constexpr Milliseconds KeyWriteInterval{700};
/** Time that a gateway leaves to each gateway before it to write again what the store has forgotten. */
constexpr Milliseconds RestoreDelay{150};
constexpr std::size_t MaxRestoreRank = 6;
/** Time between two tries. */
constexpr Milliseconds RestoreInterval{500};
/** Rows of several gateways that change at about the same time are fetched together. */
constexpr Milliseconds CoalescingPause{100};

TableMirrorOptions mirrorOptions()
{
    TableMirrorOptions options;
    options.longPollTimeout = LongPollTimeout;
    options.coalescingPause = CoalescingPause;
    return options;
}

}

SharedRows::SharedRows(asio::io_context &context, HttpClient &client, const PlatformOptions &store, const Log &log, Handlers handlers)
    : log_(log)
    , handlers_(std::move(handlers))
    , table_(client, store, Platform::StoreFormat(SharedTable))
    , mirror_(context,
              table_,
              log,
              SharedTable,
              "",
              "",
              mirrorOptions(),
              {[this](const TableRows &rows) {
                   hasRead_ = true;
                   if (!rows.contains(DivisionKey)) {
                       onDivisionForgotten(0);
                   }
                   if (!rows.contains(LinkKeysKey)) {
                       onKeysMissing();
                   }
                   for (const auto &[key, row] : rows) {
                       onRow(key, row.value, row.version);
                   }
                   isRestored_ = false;
                   handlers_.onTableRead(rows);
               },
               [this](const auto &changes) {
                   for (const auto &change : changes) {
                       if (change.value && !onRow(change.key, *change.value, change.version)) {
                           handlers_.onOtherRow(change.key, *change.value, change.version);
                       }
                   }
               },
               [this](TimePoint time) { onConfirmed(time); },
               [](bool) {},
               [this] { isRestored_ = true; }})
{
}

void SharedRows::start()
{
    mirror_.start();
}

void SharedRows::tick(TimePoint now)
{
    if (hasRead_ && !linkKeys_ && now >= nextKeyWriteAt_) {
        nextKeyWriteAt_ = now + KeyWriteInterval;
        writeLinkKeys();
    }
    if (restoreDivisionAt_ && now >= *restoreDivisionAt_) {
        restoreDivisionAt_ = now + RestoreInterval;
        writeDivision(knownDivision_);
    }
}

bool SharedRows::onRow(const std::string &key, const std::string &value, std::uint64_t version)
{
    if (key == DivisionKey) {
        onDivision(value, version);
        return true;
    }
    if (key == StageOrders::AnnouncementKey) {
        onAnnouncement(value, version);
        return true;
    }
    if (key == LinkKeysKey) {
        onKeys(value);
        return true;
    }
    return false;
}

void SharedRows::onDivision(const std::string &value, std::uint64_t version)
{
    auto division = QuotaDivision::fromText(value);
    if (!division.ok()) {
        log_.error("division of quotas unreadable", {{"reason", std::string(division.status().message())}});
        return;
    }
    if (division->number < knownDivision_.number) {
        onDivisionForgotten(version);
        return;
    }
    divisionVersion_ = version;
    restoreDivisionAt_.reset();
    newDivision_ = std::move(*division);
}

void SharedRows::onDivisionForgotten(std::uint64_t version)
{
    divisionVersion_ = version;
    if (knownDivision_.number == 0) {
        handlers_.onNoDivisionStored();
        return;
    }
    log_.warning("the store holds an older division of quotas than the known one", {{"known", std::to_string(knownDivision_.number)}});
    restoreDivisionAt_ = suspendAwareNow() + RestoreDelay * static_cast<int>(std::min(handlers_.rankFor(DivisionKey), MaxRestoreRank));
}

void SharedRows::onConfirmed(TimePoint time)
{
    if (newDivision_) {
        knownDivision_ = *std::exchange(newDivision_, std::nullopt);
        handlers_.onDivision(knownDivision_, time);
    } else if (divisionVersion_ > 0 && !restoreDivisionAt_) {
        handlers_.onDivisionConfirmed(time);
    }
}

void SharedRows::onAnnouncement(const std::string &value, std::uint64_t version)
{
    if (version <= announcementVersion_) {
        return;
    }
    const bool isFirst = announcementVersion_ == 0;
    announcementVersion_ = version;
    if (isRestored_ && !isFirst) {
        // An older announcement, whose changes were ordered before.
        return;
    }
    const auto stages = StageOrders::parseAnnouncement(value);
    if (!stages.ok()) {
        log_.error("announcement of stage changes unreadable", {{"reason", std::string(stages.status().message())}});
        return;
    }
    handlers_.onStagesAnnounced(*stages, isFirst);
}

void SharedRows::onKeys(const std::string &value)
{
    if (linkKeys_) {
        return;
    }
    const auto json = nlohmann::json::parse(value, nullptr, false);
    const bool isComplete = json.is_object() && json.contains("public") && json["public"].is_string() && json.contains("secret")
        && json["secret"].is_string();
    if (!isComplete) {
        log_.error("keys of the links between gateways unreadable", {});
        return;
    }
    LinkKeys keys{json["public"].get<std::string>(), json["secret"].get<std::string>()};
    if (!checkLinkKey(keys.publicKey).ok() || !checkLinkKey(keys.secretKey).ok()) {
        log_.error("keys of the links between gateways are no valid keys", {});
        return;
    }
    linkKeys_ = keys;
    handlers_.onLinkKeys(keys);
}

void SharedRows::onKeysMissing()
{
    if (linkKeys_) {
        storeLinkKeys(*linkKeys_);
    }
}

void SharedRows::writeLinkKeys()
{
    const auto keys = generateLinkKeys();
    if (!keys.ok()) {
        log_.error("no keys for the links between gateways", {{"reason", std::string(keys.status().message())}});
        return;
    }
    storeLinkKeys(*keys);
}

void SharedRows::storeLinkKeys(const LinkKeys &keys)
{
    TableTransaction transaction;
    transaction.conditions = {{LinkKeysKey, 0}};
    transaction.puts = {{LinkKeysKey, nlohmann::json{{"public", keys.publicKey}, {"secret", keys.secretKey}}.dump()}};
    // Whichever gateway's pair was stored first, the mirror delivers it to all.
    table_.commit(transaction, [](CommitOutcome) {});
}

void SharedRows::writeDivision(const QuotaDivision &division)
{
    if (std::exchange(isWritingDivision_, true)) {
        return;
    }
    TableTransaction transaction;
    transaction.conditions = {{DivisionKey, divisionVersion_}};
    transaction.puts = {{DivisionKey, division.toText()}};
    table_.commit(transaction, [this, number = division.number, settled = division.settled](CommitOutcome outcome) {
        // Whatever the outcome, the mirror delivers the division that is stored.
        isWritingDivision_ = false;
        log_.info("division of quotas written",
                  {{"number", std::to_string(number)},
                   {"settled", settled ? "yes" : "no"},
                   {"committed", outcome == CommitOutcome::Committed ? "yes" : "not for certain"}});
    });
}

bool SharedRows::isWritingDivision() const
{
    return isWritingDivision_;
}

const RemoteClock &SharedRows::clock() const
{
    return mirror_.clock();
}

PlatformTable &SharedRows::table()
{
    return table_;
}

}

#include "operatorrows.h"

#include "rowdecoder.h"
#include "storeversion.h"
#include "suspendclock.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

/** Time that remains to confirm the rows anew if a poll for changes is not answered. */
constexpr Milliseconds ConfirmationMargin{1300};
/** Time after the store's return from an older copy within which the operator has written the newest rows again. */
constexpr Milliseconds RewriteTime{2200};
/** Keys are accepted only while the last confirmed read is younger than the bound of key revocation minus this margin. */
constexpr Milliseconds RevocationMargin{700};

Milliseconds maxReadAge(const Platform::PlatformSettings &settings)
{
    return settings.keyRevocation - RevocationMargin;
}

TableMirrorOptions mirrorOptions(const Platform::PlatformSettings &settings)
{
    const Milliseconds freshness = std::min(maxReadAge(settings), settings.evacuationDelay - RevocationMargin);
    TableMirrorOptions options;
    options.longPollTimeout = std::max(MinLongPoll, std::min(longPollTimeout(settings), freshness - ConfirmationMargin));
    return options;
}

std::string millisecondsText(Duration time)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(time).count());
}

}

OperatorRows::OperatorRows(const Platform::PlatformSettings &settings,
                           asio::io_context &context,
                           PlatformTable &table,
                           EndpointDirectory &directory,
                           Metrics &metrics,
                           const Log &log,
                           Handlers handlers)
    : settings_(settings)
    , directory_(directory)
    , log_(log)
    , handlers_(std::move(handlers))
    , freshness_(maxReadAge(settings))
    , evacuations_({.rewriteTime = RewriteTime},
                   [this](const auto &dataCentre, TimePoint now, Duration lasted) { this->onReleased(dataCentre, now, lasted); })
    , mirror_(context, table, log, Platform::OperatorTable, "", "", mirrorOptions(settings), mirrorHandlers())
{
    metrics.gauge("evacuated_data_centres", [this] {
        return static_cast<double>(
            std::count_if(evacuated_.begin(), evacuated_.end(), [this](const auto &dataCentre) { return isKnown(dataCentre); }));
    });
}

TableMirror<PlatformTable>::Handlers OperatorRows::mirrorHandlers()
{
    return {[this](const TableRows &rows) { onRows(rows); },
            [this](const auto &changes) { onChanges(changes); },
            [this](TimePoint time) { onConfirmed(time); },
            [](bool) {},
            [this] { onRestored(); }};
}

void OperatorRows::start()
{
    mirror_.start();
}

void OperatorRows::tick(TimePoint now)
{
    evacuations_.releaseExpired(now);
    applyEvacuations(now);
}

bool OperatorRows::isNewEnoughToDeny(TimePoint now) const
{
    const auto age = freshness_.age(now);
    return age && *age <= std::min(settings_.configurationDelay, maxReadAge(settings_));
}

void OperatorRows::onRows(const TableRows &rows)
{
    const TimePoint now = suspendAwareNow();
    std::set<std::string> dataCentres;
    for (const auto &[key, row] : rows) {
        if (auto dataCentre = Platform::evacuatedDataCentre(key)) {
            dataCentres.insert(std::move(*dataCentre));
        }
    }
    evacuations_.replaceAll(dataCentres, now);
    applyEvacuations(now);
    if (const auto it = rows.find(Platform::ConfigurationKey); it != rows.end()) {
        onConfiguration(it->second.value, it->second.version);
    }
}

void OperatorRows::onChanges(const TableMirror<PlatformTable>::Changes &changes)
{
    const TimePoint now = suspendAwareNow();
    for (const auto &change : changes) {
        onChange(change, now);
    }
    applyEvacuations(now);
}

void OperatorRows::onChange(const TableChanges::Change &change, TimePoint now)
{
    if (change.key == Platform::ConfigurationKey && change.value) {
        restoredAt_.reset();
        onConfiguration(*change.value, change.version);
        return;
    }
    const auto dataCentre = Platform::evacuatedDataCentre(change.key);
    if (!dataCentre) {
        return;
    }
    if (change.value) {
        evacuations_.onRowWritten(*dataCentre, now);
    } else {
        evacuations_.onRowRemoved(*dataCentre, now);
    }
}

void OperatorRows::onConfirmed(TimePoint time)
{
    // An older copy of the store may lack the newest configuration until the operator has written it again, so it proves nothing.
    const bool mayBeOutOfDate = restoredAt_ && suspendAwareNow() - *restoredAt_ < RewriteTime;
    if (catalogue_ && !mayBeOutOfDate) {
        freshness_.recordRead(time);
    }
}

void OperatorRows::onRestored()
{
    restoredAt_ = suspendAwareNow();
    evacuations_.onStoreRestored(*restoredAt_);
}

void OperatorRows::onConfiguration(const std::string &value, std::uint64_t rowVersion)
{
    auto configuration = Platform::decodeConfiguration(value);
    if (!configuration.ok()) {
        log_.error("configuration unreadable", {{"reason", std::string(configuration.status().message())}});
        return;
    }
    const bool isInForce = catalogue_ && configuration->version == catalogue_->version();
    if (isInForce && StoreVersion::numberOf(rowVersion) != StoreVersion::numberOf(configurationRowVersion_)) {
        // The operator has written it again since the store's return.
        restoredAt_.reset();
    }
    // Versions only increase. A read whose result arrives late must not restore an older version.
    if (catalogue_ && configuration->version <= catalogue_->version()) {
        return;
    }
    log_.info("configuration in force",
              {{"version", std::to_string(configuration->version)},
               {"before", catalogue_ ? std::to_string(catalogue_->version()) : "none"},
               {"routes", std::to_string(configuration->routes.size())},
               {"customers", std::to_string(configuration->customers.size())}});
    catalogue_ = std::make_shared<const RouteCatalogue>(std::move(*configuration));
    handlers_.onCatalogue(*catalogue_);
    configurationRowVersion_ = rowVersion;
}

void OperatorRows::onReleased(const std::string &dataCentre, TimePoint now, Duration lasted)
{
    if (isKnown(dataCentre)) {
        log_.info("data centre taken back", {{"evacuated", dataCentre}, {"sinceReadMs", millisecondsText(lasted)}});
    }
    handlers_.onReleased(dataCentre, now, lasted);
}

void OperatorRows::applyEvacuations(TimePoint readAt)
{
    auto dataCentres = evacuations_.dataCentres();
    if (dataCentres == evacuated_) {
        return;
    }
    directory_.setEvacuated(dataCentres);
    const auto before = std::exchange(evacuated_, std::move(dataCentres));
    for (const auto &dataCentre : evacuated_) {
        if (!before.contains(dataCentre)) {
            logEvacuation(dataCentre, readAt);
        }
    }
}

void OperatorRows::logEvacuation(const std::string &dataCentre, TimePoint readAt) const
{
    if (isKnown(dataCentre)) {
        log_.info("data centre evacuated", {{"evacuated", dataCentre}, {"sinceReadMs", millisecondsText(suspendAwareNow() - readAt)}});
    } else {
        log_.warning("evacuation of an unknown data centre", {{"evacuated", dataCentre}});
    }
}

bool OperatorRows::isKnown(const std::string &dataCentre) const
{
    return settings_.regions.empty() || settings_.regions.contains(dataCentre);
}

}

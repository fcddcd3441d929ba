/**
 * What the gateways do together through the store: they tell what they were asked for, one of them holds the lease of the duties (dividing
 * quotas, reporting usage, giving engines their stages), and all of them take over the division of quotas.
 */
#pragma once

#include "dutylease.h"
#include "endpointdirectory.h"
#include "gatewaystatus.h"
#include "httptable.h"
#include "operationsapi.h"
#include "platformsettings.h"
#include "quotadivider.h"
#include "quotashares.h"
#include "stageorders.h"
#include "usagereporter.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Chestnutcove {

class FleetCoordinator
{
public:
    using CatalogueReader = std::function<std::shared_ptr<const RouteCatalogue>()>;

    FleetCoordinator(const Platform::PlatformSettings &settings,
                     asio::io_context &context,
                     PlatformTable &table,
                     HttpClient &client,
                     EndpointPool &pool,
                     EndpointDirectory &directory,
                     QuotaShares &quotas,
                     CatalogueReader catalogue,
                     std::uint64_t incarnation,
                     Metrics &metrics,
                     const Log &log);

    // Work of this gateway since the last status.
    void requestRan(const std::string &customer);
    void workDone(const std::string &service, const EngineWork &work);

    /** To be called several times a second. */
    void tick(TimePoint now);
    /** Gives the lease up; requests still go on. */
    void beginLeaving();
    /** Stores usage and the last status, once the last request has ended; from then on none may begin. */
    void finishLeaving();
    bool isLeaving() const;
    bool hasLeft() const;
    /** Gateways that share the fleet's limits, as far as this one knows; at least 1. */
    std::size_t gateways() const;

private:
    void poll(TimePoint now);
    void onHeads(const TableRows &rows, TimePoint startedAt);
    void onDivision(const TableRow &row, TimePoint startedAt, TimePoint now);
    void onAnnouncement(const TableRow &row, TimePoint now);
    void writeStatus(TimePoint now);
    void readStatuses();
    void lead(TimePoint now);
    bool isStatusDue(TimePoint now) const;
    void divide(TimePoint now);
    void store(QuotaDivision division);
    /** The last status, once all usage is stored. */
    void sayFarewell();
    /** Whether all gateways have stored their figures of a window. */
    bool isUsageStored(WindowNumber window) const;
    std::optional<EngineWork> workOf(const std::string &service, TimePoint now) const;

    const Platform::PlatformSettings &settings_;
    PlatformTable &table_;
    EndpointDirectory &directory_;
    QuotaShares &quotas_;
    CatalogueReader catalogue_;
    std::uint64_t incarnation_;
    Metrics &metrics_;
    const Log &log_;

    BasicDutyLease<PlatformTable> lease_;
    Platform::OperationsApi operations_;
    BasicUsageReporter<PlatformTable, Platform::OperationsApi> usage_;
    StageOrders stages_;
    GatewayLiveness liveness_;
    QuotaDivider divider_;

    GatewayStatus status_;
    /** Since the last status, by service: tokens, and milliseconds of slots. */
    std::map<std::string, EngineWork> work_;
    TimePoint statusAt_{};
    TimePoint nextPoll_{};
    TimePoint nextStatus_{};
    TimePoint nextLead_{};
    bool polling_ = false;
    bool dividing_ = false;
    /** Version of the division's row; 0 where there is none. */
    std::uint64_t divisionVersion_ = 0;
    /** The announcement row's version that was taken over; 0 for none. */
    std::uint64_t announcementVersion_ = 0;
    bool headsKnown_ = false;
    /** Statuses were read since the lease was acquired. */
    bool statusesKnown_ = false;
    bool leaving_ = false;
    bool saidFarewell_ = false;
    bool hasLeft_ = false;
};

}

/**
 * Coordinates the gateways through the store. Each gateway writes a status row with its demand and work. One of them holds the lease of the
 * duties: it divides the quotas, reports usage and orders engines to change their stages. All gateways apply the stored division of quotas.
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

    /** Adds a request that ran to the customer's usage. */
    void recordRequest(const std::string &customer);
    /** Adds to the work of the service that this gateway's next status reports. */
    void recordWork(const std::string &service, const EngineWork &work);

    /** To be called several times a second. */
    void tick(TimePoint now);
    /** Releases the lease for a planned stop, while requests are still handled. */
    void releaseLease();
    /** Stores the remaining usage and then the leave notice. To be called once the last request has ended; no other may begin after it. */
    void flushAndLeave();
    bool isLeaving() const;
    /** Whether the write of the leave notice has ended, or the store is down. */
    bool hasLeft() const;
    /** Number of gateways that share the fleet's limits, as far as this one knows; at least 1. */
    std::size_t gatewayCount() const;

private:
    /** Reads the rows that all gateways follow: the lease, the division of quotas and the announcement of stage changes. */
    void pollSharedRows(TimePoint now);
    void onSharedRows(const TableRows &rows, TimePoint startedAt);
    void onDivisionRow(const TableRow &row, TimePoint startedAt, TimePoint now);
    void onAnnouncementRow(const TableRow &row, TimePoint now);
    void writeStatus(TimePoint now);
    void readStatuses();
    /** Performs the lease holder's duties other than reporting usage. */
    void performDuties(TimePoint now);
    bool isStatusDue(TimePoint now) const;
    void updateDivision(TimePoint now);
    void writeDivision(QuotaDivision division);
    /** Writes the leave notice, which is a last status, once all usage is stored. */
    void sendLeaveNotice();
    /** Whether all gateways have stored their figures of a window. */
    bool isUsageStoredByAll(WindowNumber window) const;
    /** Work of a service over all live gateways; empty if it contains no prompt tokens. */
    std::optional<EngineWork> fleetWork(const std::string &service, TimePoint now) const;

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
    BasicUsageReporter<PlatformTable, Platform::OperationsApi> usageReporter_;
    StageOrders stageOrders_;
    GatewayLiveness liveness_;
    QuotaDivider divider_;

    GatewayStatus status_;
    /** Work since the last status by service: tokens and, in busySlots, milliseconds of busy slots. */
    std::map<std::string, EngineWork> work_;
    TimePoint statusWrittenAt_{};
    TimePoint nextPollAt_{};
    TimePoint nextStatusAt_{};
    TimePoint nextDutiesAt_{};
    bool isPolling_ = false;
    bool isWritingDivision_ = false;
    /** Version of the row with the division of quotas; 0 if there is none. */
    std::uint64_t divisionVersion_ = 0;
    /** Version of the announcement row that was applied last; 0 for none. */
    std::uint64_t announcementVersion_ = 0;
    bool hasReadSharedRows_ = false;
    /** Whether the statuses were read since the lease was acquired. */
    bool hasReadStatuses_ = false;
    bool isLeaving_ = false;
    bool hasSentLeaveNotice_ = false;
    bool hasLeft_ = false;
};

}

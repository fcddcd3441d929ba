/**
 * Coordinates the gateways through the store. Each gateway writes a status row with its work. One of them holds the lease of the
 * duties: it divides the quotas, reports usage and orders engines to change their stages. All gateways apply the stored division of quotas.
 */
#pragma once

#include "coordinationintervals.h"
#include "crashreporter.h"
#include "dutylease.h"
#include "endpointadmission.h"
#include "endpointdirectory.h"
#include "endpointspeeds.h"
#include "gatewaystatus.h"
#include "httptable.h"
#include "limitadmission.h"
#include "limitreporter.h"
#include "operationsapi.h"
#include "platformsettings.h"
#include "quotadivider.h"
#include "quotalinks.h"
#include "routecatalogue.h"
#include "sharedrows.h"
#include "stageorders.h"
#include "usagereporter.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

class FleetCoordinator
{
public:
    using CatalogueReader = std::function<std::shared_ptr<const RouteCatalogue>()>;

    FleetCoordinator(const Platform::PlatformSettings &settings,
                     asio::io_context &context,
                     PlatformTable &table,
                     HttpClient &client,
                     const PlatformOptions &store,
                     EndpointPool &pool,
                     EndpointDirectory &directory,
                     QuotaLinks &links,
                     LimitAdmission &quotas,
                     EndpointAdmission &endpoints,
                     const EndpointSpeeds &speeds,
                     CatalogueReader catalogue,
                     std::uint64_t incarnation,
                     Metrics &metrics,
                     const Log &log);

    /** Begins to follow the rows that all gateways share. */
    void start();
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
    /** Knows the prompts that crash endpoints. */
    CrashReporter &crashReporter();
    /** The store's clock, by which gateways compare times. */
    const RemoteClock &storeClock() const;

private:
    void readLease();
    void onDivision(const QuotaDivision &division, TimePoint readAt);
    void onDivisionConfirmed(TimePoint readAt);
    void onNoDivisionStored();
    void onStagesAnnounced(const std::map<std::string, EngineStage> &stages, bool isFirst);
    void onLinkKeys(const LinkKeys &keys);
    /** This gateway's place in an order of all gateways that depends on the key. */
    std::size_t rankFor(const std::string &key) const;
    /** Whether this gateway tries requests with a prompt part that was blocked; there is one such gateway for each part. */
    bool isTrialGateway(const std::string &part) const;
    /** Adapts the intervals of all calls to the number of gateways. */
    void updateIntervals(TimePoint now);
    /** Whether this gateway is among those that stand ready to take over the duties. */
    bool isDutyCandidate() const;
    void writeStatus(TimePoint now);
    void readStatuses();
    /** Performs the lease holder's duties other than reporting usage. */
    void performDuties(TimePoint now);
    bool isStatusDue(TimePoint now) const;
    void updateDivision(TimePoint now);
    /** Writes the leave notice, which is a last status, once all usage is stored. */
    void sendLeaveNotice();
    /** Whether all gateways have stored their figures of a window. */
    bool isUsageStoredByAll(WindowNumber window) const;
    /** Work of a service over all live gateways; empty if it contains no prompt tokens. */
    std::optional<EngineWork> fleetWork(const std::string &service, TimePoint now) const;

    const Platform::PlatformSettings &settings_;
    PlatformTable &table_;
    EndpointDirectory &directory_;
    QuotaLinks &links_;
    EndpointAdmission &endpoints_;
    /** All that apply the division of limits. */
    std::vector<LimitAdmission *> limits_;
    CatalogueReader catalogue_;
    std::uint64_t incarnation_;
    Metrics &metrics_;
    const Log &log_;

    SharedRows sharedRows_;
    CrashReporter crashReporter_;
    LimitReporter limitReporter_;
    BasicDutyLease<PlatformTable> lease_;
    Platform::OperationsApi operations_;
    BasicUsageReporter<PlatformTable, Platform::OperationsApi> usageReporter_;
    StageOrders stageOrders_;
    GatewayLiveness liveness_;
    QuotaDivider divider_;

    GatewayStatus status_;
    /** Work since the last status by service: tokens and, in busySlots, milliseconds of busy slots. */
    std::map<std::string, EngineWork> work_;
    CoordinationIntervals intervals_;
    TimePoint statusWrittenAt_{};
    TimePoint nextLeaseReadAt_{};
    TimePoint nextStatusAt_{};
    TimePoint nextDutiesAt_{};
    bool isReadingLease_ = false;
    /** Whether the statuses were read since the lease was acquired. */
    bool hasReadStatuses_ = false;
    bool isLeaving_ = false;
    bool hasSentLeaveNotice_ = false;
    bool hasLeft_ = false;
};

}

/**
 * The state that all forwarded requests of a gateway share: the endpoints that they may be sent to and the limits that apply to them
 * together.
 */
#pragma once

#include "allowedregions.h"
#include "bytebudget.h"
#include "endpointadmission.h"
#include "endpointdirectory.h"
#include "endpointloads.h"
#include "endpointpool.h"
#include "fleetcoordinator.h"
#include "log.h"
#include "metrics.h"
#include "placement.h"
#include "quotaadmission.h"
#include "retrybudget.h"
#include "routecatalogue.h"
#include "speedobserver.h"
#include "stopschedule.h"

#include <asio/io_context.hpp>

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace Chestnutcove {

class ForwardedRequest;

struct ForwardingContext
{
    asio::io_context &ioContext;
    const Log &log;
    Metrics &metrics;
    EndpointPool &pool;
    EndpointDirectory &directory;
    EndpointLoads &loads;
    PlacementPolicy &placement;
    SpeedObserver &speeds;
    std::string dataCentre;
    const RegionsByDataCentre &regions;
    FleetCoordinator &fleet;
    QuotaAdmission &quotas;
    EndpointAdmission &endpoints;
    /** For the bytes of endpoints' answers that are kept and not forwarded yet. */
    ByteBudget &keptAnswers;
    const StopSchedule &stopSchedule;
    /** Retries that each first attempt allows. */
    double retryRatio = 0;
    /** Retries beyond that ratio, over all gateways. */
    double retryReserve = 0;
    /** Those in progress. */
    std::unordered_set<ForwardedRequest *> requests;
    /** By service. */
    std::map<std::string, RetryBudget> retryBudgets;

    /** Gives an answer of the gateway to each request that has none yet. */
    void endRequests();
    /** The endpoints of a service that accept requests, in regions where the request may be processed. */
    std::vector<EndpointRecord> endpointsFor(const std::string &service, const AllowedRegions &allowed, TimePoint now) const;
    RetryBudget &retryBudget(const std::string &service);
    /** Connections that this gateway may have open to one endpoint: its share of those that the endpoint accepts. */
    unsigned connectionLimit(const RoutedService &service) const;
};

}

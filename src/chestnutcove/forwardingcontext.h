/**
 * The state that all forwarded requests of a gateway share: the endpoints that they may be sent to and the limits that apply to them
 * together.
 */
#pragma once

#include "bytebudget.h"
#include "endpointadmission.h"
#include "endpointdirectory.h"
#include "endpointloads.h"
#include "endpointpool.h"
#include "fleetcoordinator.h"
#include "hedgepolicy.h"
#include "log.h"
#include "metrics.h"
#include "placement.h"
#include "quotaadmission.h"
#include "retrybudget.h"
#include "routecatalogue.h"
#include "stopschedule.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_set>

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
    std::string dataCentre;
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
    /** Hedges that each first attempt allows; 0 for none. */
    double hedgeRatio = 0;
    /** Whether the event loop is so late that requests are refused. */
    std::function<bool()> isLate;
    /** Those in progress. */
    std::unordered_set<ForwardedRequest *> requests;
    /** By service. */
    std::map<std::string, RetryBudget> retryBudgets;
    std::map<std::string, HedgePolicy> hedgePolicies;

    /** Gives an answer of the gateway to each request that has none yet. */
    void endRequests();
    RetryBudget &retryBudget(const std::string &service);
    /** Null if there are no hedges. */
    HedgePolicy *hedgePolicy(const std::string &service);
    /** Connections that this gateway may have open to one endpoint: its share of those that the endpoint accepts. */
    unsigned connectionLimit(const RoutedService &service) const;
};

}

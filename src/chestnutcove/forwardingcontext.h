/**
 * What all requests that a gateway forwards have in common: where they may go, and the limits that they share.
 */
#pragma once

#include "endpointdirectory.h"
#include "endpointloads.h"
#include "endpointpool.h"
#include "fleetcoordinator.h"
#include "log.h"
#include "metrics.h"
#include "placement.h"
#include "quotashares.h"
#include "retrybudget.h"
#include "routecatalogue.h"

#include <asio/io_context.hpp>

#include <map>
#include <string>

namespace Chestnutcove {

struct ForwardingContext
{
    asio::io_context &events;
    const Log &log;
    Metrics &metrics;
    EndpointPool &pool;
    EndpointDirectory &directory;
    EndpointLoads &loads;
    PlacementPolicy &placement;
    std::string dataCentre;
    FleetCoordinator &fleet;
    QuotaShares &quotas;
    /** Repeats for each first attempt, and repeats beyond that, over all gateways. */
    double retryRatio = 0;
    double retryReserve = 0;
    /** By service. */
    std::map<std::string, RetryBudget> retryBudgets;

    RetryBudget &retryBudget(const std::string &service);
    /** Connections that this gateway may open to one endpoint. */
    unsigned connectionLimit(const RoutedService &service) const;
};

}

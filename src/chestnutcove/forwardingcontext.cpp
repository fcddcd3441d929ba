#include "forwardingcontext.h"

#include <algorithm>
#include <cmath>

namespace Chestnutcove {

namespace {

/** Callers are not spread evenly over gateways. */
constexpr double ConnectionSkew = 1.2;

}

RetryBudget &ForwardingContext::retryBudget(const std::string &service)
{
    const auto gateways = static_cast<double>(fleet.gateways());
    return retryBudgets.try_emplace(service, retryRatio, retryReserve / gateways).first->second;
}

unsigned ForwardingContext::connectionLimit(const RoutedService &service) const
{
    const auto gateways = static_cast<double>(fleet.gateways());
    return static_cast<unsigned>(std::ceil(service.maxConnections * std::min(1.0, ConnectionSkew / gateways)));
}

}

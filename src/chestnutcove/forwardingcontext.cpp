#include "forwardingcontext.h"

#include "forwardedrequest.h"

#include <algorithm>
#include <cmath>

namespace Chestnutcove {

namespace {

/** Callers aren't spread evenly over gateways, so each gateway may use somewhat more than an even share of the connections. */
constexpr double ConnectionSkew = 1.2;

}

void ForwardingContext::endRequests()
{
    // Each of them leaves the set when it ends, and may be destroyed then.
    const auto current = requests;
    for (ForwardedRequest *request : current) {
        if (requests.contains(request)) {
            request->endForStop();
        }
    }
}

RetryBudget &ForwardingContext::retryBudget(const std::string &service)
{
    const auto gateways = static_cast<double>(fleet.gatewayCount());
    return retryBudgets.try_emplace(service, retryRatio, retryReserve / gateways).first->second;
}

HedgePolicy *ForwardingContext::hedgePolicy(const std::string &service)
{
    if (hedgeRatio <= 0) {
        return nullptr;
    }
    HedgePolicyOptions options;
    options.ratio = hedgeRatio;
    return &hedgePolicies.try_emplace(service, options).first->second;
}

unsigned ForwardingContext::connectionLimit(const RoutedService &service) const
{
    const auto gateways = static_cast<double>(fleet.gatewayCount());
    return static_cast<unsigned>(std::ceil(service.maxConnections * std::min(1.0, ConnectionSkew / gateways)));
}

}

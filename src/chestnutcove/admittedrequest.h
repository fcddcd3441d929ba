/**
 * A request that passed the checks of route, key and quota.
 */
#pragma once

#include "crashreporter.h"
#include "limitadmission.h"
#include "requestcodec.h"
#include "routecatalogue.h"

#include <memory>
#include <string>

namespace Chestnutcove {

/** A request that passed the checks of route, key and quota. */
struct AdmittedRequest
{
    Platform::RequestMetadata facts;
    /** Keeps the route and the service alive. */
    std::shared_ptr<const RouteCatalogue> catalogue;
    const Route *route = nullptr;
    const RoutedService *service = nullptr;
    RequestContent content;
    /** Empty where the route needs no key. */
    std::string customer;
    /** What it took of the customer's quota; refunded if the request did not run. */
    LimitCharge quota;
};

}

/**
 * Applies the customers' rate limits at one gateway.
 */
#pragma once

#include "limitadmission.h"
#include "routecatalogue.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

class QuotaAdmission
{
public:
    using CatalogueReader = std::function<std::shared_ptr<const RouteCatalogue>()>;

    /** @param vm name of this gateway. @param incarnation of this process. */
    QuotaAdmission(asio::io_context &context,
                   std::string vm,
                   std::uint64_t incarnation,
                   QuotaShareOptions options,
                   QuotaLinks &links,
                   CatalogueReader catalogue,
                   Metrics &metrics,
                   const Log &log);

    LimitAdmission &limits();
    const LimitAdmission &limits() const;

private:
    /** The customer's quota in the catalogue in force, or null. */
    const RateLimit *quotaOf(const std::string &customer);

    CatalogueReader catalogue_;
    /** The catalogue for which quotas_ was made. */
    std::shared_ptr<const RouteCatalogue> quotaCatalogue_;
    std::unordered_map<std::string, const RateLimit *> quotas_;
    LimitAdmission limits_;
};

}

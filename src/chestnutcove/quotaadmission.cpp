#include "quotaadmission.h"

#include <utility>

namespace Chestnutcove {

QuotaAdmission::QuotaAdmission(asio::io_context &context,
                               std::string vm,
                               std::uint64_t incarnation,
                               QuotaShareOptions options,
                               QuotaLinks &links,
                               CatalogueReader catalogue,
                               Metrics &metrics,
                               const Log &log)
    : catalogue_(std::move(catalogue))
    , limits_(context,
              std::move(vm),
              incarnation,
              {wire::CUSTOMER, options, QuotaCollectorOptions{}, true, "quota"},
              links,
              {[this](const std::string &customer) { return quotaOf(customer); }, nullptr, nullptr, nullptr, nullptr},
              metrics,
              log)
{
}

LimitAdmission &QuotaAdmission::limits()
{
    return limits_;
}

const LimitAdmission &QuotaAdmission::limits() const
{
    return limits_;
}

const RateLimit *QuotaAdmission::quotaOf(const std::string &customer)
{
    const auto catalogue = catalogue_();
    if (!catalogue) {
        return nullptr;
    }
    if (catalogue != quotaCatalogue_) {
        quotaCatalogue_ = catalogue;
        quotas_.clear();
        for (const CustomerQuota &quota : catalogue->customers()) {
            quotas_.emplace(quota.name, &quota);
        }
    }
    const auto it = quotas_.find(customer);
    return it == quotas_.end() ? nullptr : it->second;
}

}

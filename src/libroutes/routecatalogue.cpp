#include "routecatalogue.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Chestnutcove {

namespace {

std::string normalisedHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return result;
}

}

RouteCatalogue::RouteCatalogue(RouteCatalogueData data)
    : data_(std::move(data))
{
    for (std::size_t i = 0; i < data_.routes.size(); ++i) {
        routesByHost_[normalisedHost(data_.routes[i].host)].push_back(i);
    }
    for (auto &[host, indices] : routesByHost_) {
        std::stable_sort(indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) {
            return data_.routes[left].pathPrefix.size() > data_.routes[right].pathPrefix.size();
        });
    }
}

const Route *RouteCatalogue::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = routesByHost_.find(normalisedHost(host));
    if (it == routesByHost_.end()) {
        return nullptr;
    }
    for (const std::size_t index : it->second) {
        const Route &route = data_.routes[index];
        if (path.starts_with(route.pathPrefix)) {
            return &route;
        }
    }
    return nullptr;
}

const RoutedService *RouteCatalogue::findService(std::string_view name) const
{
    const auto it
        = std::find_if(data_.services.begin(), data_.services.end(), [name](const auto &service) { return service.name == name; });
    return it == data_.services.end() ? nullptr : &*it;
}

const CustomerQuota *RouteCatalogue::findCustomer(const std::string &key) const
{
    const auto it = data_.customerIndexByKey.find(key);
    return it == data_.customerIndexByKey.end() ? nullptr : &data_.customers[it->second];
}

bool RouteCatalogue::needsKeys() const
{
    return data_.keyRequirement == KeyRequirement::Required;
}

bool RouteCatalogue::hasQuotas() const
{
    return std::any_of(data_.customers.begin(), data_.customers.end(), [](const auto &customer) { return customer.rate > 0; });
}

}

#include "allowedregions.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

}

void AllowedRegions::restrictTo(const std::vector<std::string> &regions)
{
    if (regions.empty()) {
        return;
    }
    if (!names_) {
        names_ = regions;
        return;
    }
    std::erase_if(*names_, [&](const std::string &name) { return !contains(regions, name); });
}

bool AllowedRegions::permits(const std::string &dataCentre, const RegionsByDataCentre &regions) const
{
    if (!names_) {
        return true;
    }
    const auto it = regions.find(dataCentre);
    return it != regions.end() && contains(*names_, it->second);
}

std::vector<EndpointRecord> AllowedRegions::permitted(std::vector<EndpointRecord> endpoints, const RegionsByDataCentre &regions) const
{
    std::erase_if(endpoints, [&](const EndpointRecord &endpoint) { return !permits(endpoint.dataCentre, regions); });
    return endpoints;
}

}

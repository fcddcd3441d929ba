/**
 * The regions in which a request may be processed. A route and a customer may each be confined to some regions; both bind, for the prefill
 * of a prompt as for its run, since the prompt's KV cache would leave the region otherwise.
 */
#pragma once

#include "endpointrecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

using RegionsByDataCentre = std::map<std::string, std::string>;

class AllowedRegions
{
public:
    /** Confines the request to these regions in addition to earlier calls. An empty list restricts nothing. */
    void restrictTo(const std::vector<std::string> &regions);
    /** Whether endpoints in the data centre may be used. One whose region is unknown is in no region. */
    bool permits(const std::string &dataCentre, const RegionsByDataCentre &regions) const;
    /** Leaves out the endpoints that may not be used. */
    std::vector<EndpointRecord> permitted(std::vector<EndpointRecord> endpoints, const RegionsByDataCentre &regions) const;

private:
    /** Not set while nothing is restricted; empty if the lists have no region in common. */
    std::optional<std::vector<std::string>> names_;
};

}

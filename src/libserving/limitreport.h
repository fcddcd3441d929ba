/**
 * What one gateway tells the others about the limits that endpoints name, so that those learn of them that have got no answer of the
 * endpoint. Each gateway stores its report in a row of its own.
 */
#pragma once

#include "timepoint.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <string>

namespace Chestnutcove {

struct ReportedLimit
{
    /** Requests a second, or nothing if the endpoint named no limit any more. */
    std::optional<double> perSecond;
    /** When the head of the answer was received, by the store's clock. */
    Milliseconds seenAt{0};
};

struct LimitReport
{
    /** By run of an endpoint. */
    std::map<std::string, ReportedLimit> limits;

    std::string toText() const;
    static absl::StatusOr<LimitReport> fromText(const std::string &text);
};

}

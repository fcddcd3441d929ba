/**
 * Decides which new requests a gateway refuses at once while its event loop is late. A late loop has more work than processor time; what it
 * accepts then makes everything later, also requests in progress, callers' closes and configuration changes.
 */
#pragma once

#include "timepoint.h"

#include <string>

namespace Chestnutcove {

struct LoadShedderOptions
{
    /** Lateness up to which all requests are accepted. */
    Duration acceptAll = std::chrono::milliseconds(100);
    /** Lateness from which on the largest fraction is refused; the fraction rises evenly in between. */
    Duration refuseMost = std::chrono::milliseconds(400);
    /** Some requests always pass, so that the gateway's state is seen by callers as soon as it is better. */
    double largestFraction = 0.9;
};

class LoadShedder
{
public:
    explicit LoadShedder(LoadShedderOptions options);

    /** The fraction of new requests that is refused. @param lateness of the event loop. */
    double refusedFraction(Duration lateness) const;
    /** The same for each request id, and for a later attempt of the caller another choice. */
    bool mustRefuse(Duration lateness, const std::string &requestId) const;

private:
    LoadShedderOptions options_;
};

}

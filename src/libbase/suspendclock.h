/**
 * A monotonic clock that also counts the time during which the VM was suspended. Whatever must not outlive a suspension (leases, proofs of
 * freshness, deadlines) is measured on it.
 */
#pragma once

#include "timepoint.h"

namespace Chestnutcove {

/** Time since the VM's boot, with suspensions. */
TimePoint suspendAwareNow();

}

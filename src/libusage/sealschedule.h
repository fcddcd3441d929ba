/**
 * When the figures of a window are summed up for good: as soon as every gateway has stored its own, and in any case early enough for the
 * report to arrive in time.
 */
#pragma once

#include "timepoint.h"

namespace Chestnutcove {

struct SealSchedule
{
    /** Times after the window's end. */
    Milliseconds earliest{10000};
    Milliseconds latest{10000};

    bool isDue(Duration sinceEnd, bool allStored) const
    {
        return sinceEnd >= (allStored ? earliest : latest);
    }
};

}

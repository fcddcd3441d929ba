/**
 * When a usage window is sealed, that is, summed up finally: as soon as every gateway has stored its figures, and at the latest early
 * enough for the report to arrive in time.
 */
#pragma once

#include "timepoint.h"

namespace Chestnutcove {

struct SealSchedule
{
    /** Times after the end of the window: earliest applies once all figures are stored, latest while some are missing. */
    Milliseconds earliest{10000};
    Milliseconds latest{10000};

    bool isDue(Duration sinceEnd, bool allStored) const
    {
        return sinceEnd >= (allStored ? earliest : latest);
    }
};

}

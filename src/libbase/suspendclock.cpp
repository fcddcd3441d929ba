#include "suspendclock.h"

#include <ctime>

namespace Chestnutcove {

TimePoint suspendAwareNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}

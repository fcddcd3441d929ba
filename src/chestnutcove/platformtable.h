/**
 * The client of the users' platform's table service.
 */
#pragma once

#include "httptable.h"
#include "platformsettings.h"
#include "storeformat.h"

#include <algorithm>

namespace Chestnutcove {

using PlatformTable = BasicHttpTable<Platform::StoreFormat>;

inline constexpr Milliseconds MinLongPoll{1000};

/** How long the service may hold a poll. Silence is noticed while the platform doesn't count this VM as in touch anyway. */
inline Milliseconds longPollTimeout(const Platform::PlatformSettings &settings)
{
    constexpr Milliseconds Margin{1200};
    return std::max(MinLongPoll, settings.contactTime - Margin);
}

}

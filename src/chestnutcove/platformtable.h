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

/** Longest time for which the store may hold a poll: the contact time less a margin, so that a dead link is noticed within it. */
inline Milliseconds longPollTimeout(const Platform::PlatformSettings &settings)
{
    constexpr Milliseconds Margin{1200};
    return std::max(MinLongPoll, settings.contactTime - Margin);
}

}

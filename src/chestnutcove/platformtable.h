/**
 * The client of the users' platform's table service.
 */
#pragma once

#include "httptable.h"
#include "storeformat.h"

namespace Chestnutcove {

using PlatformTable = BasicHttpTable<Platform::StoreFormat>;

}

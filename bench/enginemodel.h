/**
 * Model of an engine like the stand-in engine: sequential prefill, concurrent decode and a prefix cache of limited size.
 */
#pragma once

#include "dispatcher.h"
#include "entry.h"
#include "tickclock.h"
#include "timepoint.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>

namespace Chestnutcove {

struct EngineModel
{
    EndpointEntry entry;
    std::unique_ptr<TickClock> clock;
    std::unique_ptr<Dispatcher> dispatcher;
    EndpointRole role = EndpointRole::Mixed;
    std::optional<EndpointRole> pendingRole;
    TimePoint prefillFreeAt;
    TimePoint availableAt;
    bool up = true;
    /** Incremented when the engine goes down, so that completions of lost answers are ignored. */
    std::uint64_t generation = 0;
    /** Prefix groups in the cache, the least recently used first. */
    std::list<std::uint64_t> cachedGroups;
    double promptTotal = 0;
    double outputTotal = 0;
};

}

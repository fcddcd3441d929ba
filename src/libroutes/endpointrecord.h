/**
 * An endpoint as it registers itself in the store, and the load that it reports with its responses.
 */
#pragma once

#include "nametable.h"
#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Chestnutcove {

/** The phase of inference that an engine is assigned to. */
enum class EngineStage {
    Prefill,
    Decode,
};

inline constexpr NameTable<EngineStage, 2> EngineStageNames{{
    {EngineStage::Prefill, "prefill"},
    {EngineStage::Decode, "decode"},
}};

struct NetworkAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const NetworkAddress &) const = default;
    std::string text() const;
};

struct EndpointRecord
{
    /** Unique among running endpoints. A restarted endpoint may reuse its id, with a different startedAt. */
    std::string id;
    std::string service;
    NetworkAddress address;
    std::string dataCentre;
    /** Maximum number of requests that it processes concurrently. */
    unsigned slots = 1;
    /** The endpoint is about to stop and accepts no new requests. */
    bool draining = false;
    /** Set for model engines only. */
    std::optional<EngineStage> stage;
    /** Start time of this run, in milliseconds since the Unix epoch; 0 if the endpoint doesn't report it. */
    std::uint64_t startedAt = 0;
    /** Rises with each entry that this run of the endpoint writes; 0 if the endpoint doesn't report it. */
    std::uint64_t sequence = 0;
    /** Time until the cold start ends; until then the endpoint tolerates only a limited rate of requests. */
    Milliseconds coldStartRemaining{0};

    /** Whether both records describe the same run of the same endpoint, with no restart between them. */
    bool isSameRun(const EndpointRecord &other) const;
};

/** The load that an endpoint reports with a response. */
struct ReportedLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /** Factor on the time that work takes at the endpoint at present, 1 in the usual case; set only by endpoints that report it. */
    std::optional<double> slowdown{};
};

inline std::string NetworkAddress::text() const
{
    return ip + ':' + std::to_string(port);
}

inline bool EndpointRecord::isSameRun(const EndpointRecord &other) const
{
    return id == other.id && startedAt == other.startedAt && address == other.address && service == other.service;
}

}

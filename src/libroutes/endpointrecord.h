/**
 * An endpoint as it announces itself.
 */
#pragma once

#include "nametable.h"
#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Chestnutcove {

/** The part of a request's work that an engine does. */
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
    /** Unique among running endpoints; a restarted one may have it again with another startedAt. */
    std::string id;
    std::string service;
    NetworkAddress address;
    std::string dataCentre;
    /** Requests that it works on at the same time. */
    unsigned slots = 1;
    /** It leaves soon and takes no new work. */
    bool draining = false;
    /** Present for engines. */
    std::optional<EngineStage> stage;
    /** When this run of the endpoint began, in milliseconds since 1970; 0 where it doesn't tell. */
    std::uint64_t startedAt = 0;
    /** How much longer it is slow after its start. */
    Milliseconds coldRemaining{0};

    /** The same run of the same endpoint. */
    bool isSameRun(const EndpointRecord &other) const;
};

/** What an endpoint tells of its load with an answer. */
struct ReportedLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
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

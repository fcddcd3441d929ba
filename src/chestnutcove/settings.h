/**
 * Settings of each role. A settings file is checked completely before the process starts its work.
 */
#pragma once

#include "catalogue.h"
#include "fleetplanner.h"
#include "log.h"
#include "timepoint.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Chestnutcove {

struct ListenSettings
{
    std::string address;
    std::uint16_t port = 0;
};

/** Listener and keys of the links between the system's processes; see LinkContext. */
struct LinkSettings
{
    ListenSettings listen;
    std::string publicKey;
    std::string secretKey;
    std::string gatewayKey;
    /** Empty in a sidecar's settings. */
    std::string sidecarKey;
};

struct GatewayTiming
{
    Milliseconds poll{1000};
    /** Age of the last confirmed read of the store above which requests with keys are refused and rate-limit shares are not spent. */
    Milliseconds freshness{4000};
    Milliseconds peerInterval{250};
    Milliseconds peerTimeout{3000};
    Milliseconds endpointHeartbeat{250};
    Milliseconds endpointTimeout{1500};
    Milliseconds leaseDuration{6000};
    /** Maximum age of an order or a request that a sidecar still accepts. */
    Milliseconds orderFreshness{3000};
    Milliseconds grantLifetime{500};
    Milliseconds usageFlush{2000};
    Milliseconds usageWindow{60000};
    Milliseconds usageGrace{10000};
    Milliseconds planInterval{1000};
    Milliseconds drainNotice{500};
    Milliseconds acceptTimeout{500};
    Milliseconds answerSilence{15000};
};

/** Longest useful wait of a request for an endpoint, by service class. */
struct MaxWaitSettings
{
    Milliseconds urgent{2000};
    Milliseconds standard{5000};
    Milliseconds bulk{20000};
};

struct GatewaySettings
{
    std::string name;
    std::string dataCentre;
    ListenSettings callers;
    std::uint64_t callerThreads = 2;
    std::uint64_t maxBodyBytes = 4U << 20U;
    Milliseconds readTimeout{15000};
    ListenSettings operators;
    std::string operatorToken;
    LinkSettings link;
    std::string platformUrl;
    Milliseconds platformTimeout{1000};
    std::string keyPepper;
    /** Link addresses of gateways to connect to at the start, in case the store is down. */
    std::vector<std::string> peers;
    GatewayTiming timing;
    MaxWaitSettings maxWait;
    FleetPlannerOptions planner;
    LogLevel logLevel = LogLevel::Info;

    Duration maxWaitOf(ServiceClass serviceClass) const;
};

enum class EndpointKind {
    Engine,
    Plain,
};

inline constexpr NameTable<EndpointKind, 2> EndpointKindNames{{
    {EndpointKind::Engine, "engine"},
    {EndpointKind::Plain, "plain"},
}};

struct SidecarSettings
{
    std::string name;
    std::string dataCentre;
    LinkSettings link;
    EndpointKind kind = EndpointKind::Engine;
    std::string endpointUrl;
    /** Whether the endpoint itself rejects orders with an outdated fencing token. */
    bool checksFencing = false;
    std::uint64_t slots = 16;
    std::uint64_t maxQueued = 512;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 40;
    Milliseconds probeInterval{500};
    Milliseconds orderFreshness{3000};
    Milliseconds requestTimeout{600000};
    Milliseconds answerSilence{10000};
    Milliseconds gatewayTimeout{5000};
    LogLevel logLevel = LogLevel::Info;
};

enum class SettingsRole {
    Gateway,
    Sidecar,
};

inline constexpr NameTable<SettingsRole, 2> SettingsRoleNames{{
    {SettingsRole::Gateway, "gateway"},
    {SettingsRole::Sidecar, "sidecar"},
}};

/** Reads and checks a settings file. The error has one line per fault: file, key path, value and what is allowed. */
absl::StatusOr<GatewaySettings> readGatewaySettings(const std::string &path);
absl::StatusOr<SidecarSettings> readSidecarSettings(const std::string &path);

}

#include "settings.h"

#include "documentreader.h"
#include "link.h"
#include "settingsfile.h"

#include <limits>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr NameTable<LogLevel, 4> LogLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

constexpr std::size_t MinSecretLength = 16;

ListenSettings readListen(DocumentReader &reader)
{
    ListenSettings result;
    const std::string address = reader.address("listen");
    const auto colon = address.rfind(':');
    if (colon != std::string::npos) {
        result.address = address.substr(0, colon);
        result.port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    }
    return result;
}

std::string readLinkKey(DocumentReader &reader, const std::string &key)
{
    std::string value = reader.text(key);
    if (!value.empty() && !checkLinkKey(value).ok()) {
        reader.fault(key, "a Z85 key of 40 characters, as printed by \"chestnutcove keypair\"");
    }
    return value;
}

LinkSettings readLink(DocumentReader reader, SettingsRole role)
{
    LinkSettings link;
    link.listen = readListen(reader);
    link.publicKey = readLinkKey(reader, "publicKey");
    link.secretKey = readLinkKey(reader, "secretKey");
    link.gatewayKey = readLinkKey(reader, "gatewayKey");
    if (role == SettingsRole::Gateway) {
        link.sidecarKey = readLinkKey(reader, "sidecarKey");
    }
    reader.finish();
    return link;
}

std::string readSecret(DocumentReader &reader, const std::string &key)
{
    std::string value = reader.text(key);
    if (!value.empty() && value.size() < MinSecretLength) {
        reader.fault(key, "a secret of at least 16 characters");
    }
    return value;
}

std::string readUrl(DocumentReader &reader, const std::string &key)
{
    std::string value = reader.text(key);
    if (!value.empty() && !value.starts_with("http://") && !value.starts_with("https://")) {
        reader.fault(key, "a URL that starts with http:// or https://");
    }
    while (value.ends_with('/')) {
        value.pop_back();
    }
    return value;
}

GatewayTiming readTiming(DocumentReader reader)
{
    GatewayTiming timing;
    timing.poll = reader.duration("poll", timing.poll, 50ms, 5s);
    timing.freshness = reader.duration("freshness", timing.freshness, 200ms, 5s);
    timing.peerInterval = reader.duration("peerInterval", timing.peerInterval, 20ms, 2s);
    timing.peerTimeout = reader.duration("peerTimeout", timing.peerTimeout, 100ms, 30s);
    timing.endpointHeartbeat = reader.duration("endpointHeartbeat", timing.endpointHeartbeat, 20ms, 2s);
    timing.endpointTimeout = reader.duration("endpointTimeout", timing.endpointTimeout, 100ms, 10s);
    timing.leaseDuration = reader.duration("leaseDuration", timing.leaseDuration, 200ms, 60s);
    timing.orderFreshness = reader.duration("orderFreshness", timing.orderFreshness, 100ms, 30s);
    timing.grantLifetime = reader.duration("grantLifetime", timing.grantLifetime, 50ms, 5s);
    timing.usageFlush = reader.duration("usageFlush", timing.usageFlush, 50ms, 60s);
    timing.usageWindow = reader.duration("usageWindow", timing.usageWindow, 500ms, 1h);
    timing.usageGrace = reader.duration("usageGrace", timing.usageGrace, 100ms, 10min);
    timing.planInterval = reader.duration("planInterval", timing.planInterval, 50ms, 60s);
    timing.drainNotice = reader.duration("drainNotice", timing.drainNotice, 0ms, 60s);
    timing.acceptTimeout = reader.duration("acceptTimeout", timing.acceptTimeout, 20ms, 10s);
    timing.answerSilence = reader.duration("answerSilence", timing.answerSilence, 200ms, 10min);
    if (timing.freshness < 2 * timing.poll) {
        reader.fault("freshness", "at least twice the poll interval");
    }
    reader.finish();
    return timing;
}

MaxWaitSettings readMaxWait(DocumentReader reader)
{
    MaxWaitSettings maxWait;
    maxWait.urgent = reader.duration("urgent", maxWait.urgent, 0ms, 5min);
    maxWait.standard = reader.duration("standard", maxWait.standard, 0ms, 5min);
    maxWait.bulk = reader.duration("bulk", maxWait.bulk, 0ms, 5min);
    reader.finish();
    return maxWait;
}

FleetPlannerOptions readPlanner(DocumentReader reader)
{
    FleetPlannerOptions options;
    const auto milliseconds = [](Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); };
    options.tunedGain = reader.number("tunedGain", options.tunedGain, 1, 10);
    options.tunedLoss = reader.number("tunedLoss", options.tunedLoss, 0.05, 1);
    options.roleChangeTime = reader.duration("roleChangeTime", milliseconds(options.roleChangeTime), 100ms, 10min);
    options.horizon = reader.duration("horizon", milliseconds(options.horizon), 1s, 1h);
    options.minInterval = reader.duration("dwell", milliseconds(options.minInterval), 1s, 24h);
    options.acceptableUtilisation = reader.number("comfortableUse", options.acceptableUtilisation, 0.1, 2);
    options.targetUtilisation = reader.number("targetUse", options.targetUtilisation, 0.1, 1);
    options.longAverage = reader.duration("longAverage", milliseconds(options.longAverage), 10s, 24h);
    options.scaleDownDelay = reader.duration("giveBackAfter", milliseconds(options.scaleDownDelay), 1min, 24h);
    options.minEndpoints = reader.integer("minEndpoints", options.minEndpoints, 1, 100'000);
    reader.finish();
    return options;
}

GatewaySettings readGateway(DocumentReader &reader)
{
    GatewaySettings settings;
    settings.name = reader.text("name");
    settings.dataCentre = reader.text("dataCentre");

    DocumentReader callers = reader.object("callers");
    settings.callers = readListen(callers);
    settings.callerThreads = callers.integer("threads", settings.callerThreads, 1, 64);
    settings.maxBodyBytes = callers.integer("maxBodyBytes", settings.maxBodyBytes, 1024, 64U << 20U);
    settings.readTimeout = callers.duration("readTimeout", settings.readTimeout, 100ms, 5min);
    callers.finish();

    DocumentReader operators = reader.object("operators");
    settings.operators = readListen(operators);
    settings.operatorToken = readSecret(operators, "token");
    operators.finish();

    settings.link = readLink(reader.object("link"), SettingsRole::Gateway);

    DocumentReader platform = reader.object("platform");
    settings.platformUrl = readUrl(platform, "url");
    settings.platformTimeout = platform.duration("timeout", settings.platformTimeout, 50ms, 10s);
    platform.finish();

    settings.keyPepper = readSecret(reader, "keyPepper");
    settings.peers = reader.texts("peers");
    settings.timing = readTiming(reader.object("timing"));
    settings.maxWait = readMaxWait(reader.object("patience"));
    settings.planner = readPlanner(reader.object("planner"));
    settings.logLevel = reader.choice("logLevel", LogLevelNames, LogLevel::Info);
    reader.finish();
    return settings;
}

SidecarSettings readSidecar(DocumentReader &reader)
{
    constexpr double MaxTokensPerSecond = 1e7;
    SidecarSettings settings;
    settings.name = reader.text("name");
    settings.dataCentre = reader.text("dataCentre");
    settings.link = readLink(reader.object("link"), SettingsRole::Sidecar);

    DocumentReader endpoint = reader.object("endpoint");
    settings.kind = endpoint.choice("kind", EndpointKindNames, EndpointKind::Engine);
    settings.endpointUrl = readUrl(endpoint, "url");
    settings.checksFencing = endpoint.flag("checksFencing", false);
    settings.slots = endpoint.integer("slots", settings.slots, 1, 4096);
    settings.prefillTokensPerSecond = endpoint.number("prefillTokensPerSecond", settings.prefillTokensPerSecond, 1, MaxTokensPerSecond);
    settings.decodeTokensPerSecond = endpoint.number("decodeTokensPerSecond", settings.decodeTokensPerSecond, 0.1, MaxTokensPerSecond);
    settings.probeInterval = endpoint.duration("probeInterval", settings.probeInterval, 20ms, 10s);
    settings.requestTimeout = endpoint.duration("requestTimeout", settings.requestTimeout, 1s, 1h);
    settings.answerSilence = endpoint.duration("answerSilence", settings.answerSilence, 1s, 10min);
    endpoint.finish();

    settings.maxQueued = reader.integer("maxQueued", settings.maxQueued, 1, 100'000);
    settings.orderFreshness = reader.duration("orderFreshness", settings.orderFreshness, 100ms, 30s);
    settings.gatewayTimeout = reader.duration("gatewayTimeout", settings.gatewayTimeout, 200ms, 60s);
    settings.logLevel = reader.choice("logLevel", LogLevelNames, LogLevel::Info);
    reader.finish();
    return settings;
}

template<typename Settings, typename Read>
absl::StatusOr<Settings> readChecked(const std::string &path, Read read)
{
    const auto json = readSettingsFile(path);
    if (!json.ok()) {
        return json.status();
    }
    DocumentFaults faults(path);
    DocumentReader reader(*json, faults);
    Settings settings = read(reader);
    if (!faults.isEmpty()) {
        return faults.status();
    }
    return settings;
}

}

Duration GatewaySettings::maxWaitOf(ServiceClass serviceClass) const
{
    switch (serviceClass) {
    case ServiceClass::Urgent:
        return maxWait.urgent;
    case ServiceClass::Standard:
        return maxWait.standard;
    case ServiceClass::Bulk:
        return maxWait.bulk;
    }
    return maxWait.standard;
}

absl::StatusOr<GatewaySettings> readGatewaySettings(const std::string &path)
{
    return readChecked<GatewaySettings>(path, readGateway);
}

absl::StatusOr<SidecarSettings> readSidecarSettings(const std::string &path)
{
    return readChecked<SidecarSettings>(path, readSidecar);
}

}

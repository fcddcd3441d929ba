#include "gatewaystatus.h"

#include "jsonfield.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

nlohmann::json toJson(const EngineWork &work)
{
    return {{"read", work.prefilledTokens},
            {"moved", work.transferredTokens},
            {"whole", work.decodePrefilledTokens},
            {"busySlots", work.busySlots}};
}

EngineWork workOf(const nlohmann::json &json)
{
    return {fieldOr(json, "read", 0.0), fieldOr(json, "moved", 0.0), fieldOr(json, "whole", 0.0), fieldOr(json, "busySlots", 0.0)};
}

}

std::string GatewayStatus::toText() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[service, each] : work) {
        services[service] = toJson(each);
    }
    return nlohmann::json{{"incarnation", incarnation},
                          {"beat", heartbeat},
                          {"address", address},
                          {"leaving", isLeaving},
                          {"work", std::move(services)},
                          {"usageStoredThrough", usageStoredThrough},
                          {"divisionSeen", divisionSeen}}
        .dump();
}

absl::StatusOr<GatewayStatus> GatewayStatus::fromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        GatewayStatus status;
        json.at("incarnation").get_to(status.incarnation);
        json.at("beat").get_to(status.heartbeat);
        json.at("address").get_to(status.address);
        json.at("leaving").get_to(status.isLeaving);
        json.at("usageStoredThrough").get_to(status.usageStoredThrough);
        json.at("divisionSeen").get_to(status.divisionSeen);
        for (const auto &[service, each] : json.at("work").items()) {
            status.work[service] = workOf(each);
        }
        return status;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable status of a gateway: ") + error.what());
    }
}

GatewayLiveness::GatewayLiveness(Duration timeout, Duration retention)
    : timeout_(timeout)
    , retention_(retention)
{
}

void GatewayLiveness::setTimeout(Duration timeout)
{
    timeout_ = timeout;
}

void GatewayLiveness::update(const std::map<std::string, GatewayStatus> &statuses, TimePoint now)
{
    const Duration sinceUpdate = now - std::exchange(updatedAt_, now);
    std::erase_if(observations_, [&statuses](const auto &item) { return !statuses.contains(item.first); });
    for (const auto &[vm, status] : statuses) {
        const auto it = observations_.find(vm);
        const bool changed = it == observations_.end() || it->second.status.incarnation != status.incarnation
            || it->second.status.heartbeat != status.heartbeat;
        if (changed) {
            observations_[vm] = Observation{status, now};
        } else if (sinceUpdate >= timeout_ / 2) {
            it->second.changedAt = std::min(it->second.changedAt + sinceUpdate, now);
        }
    }
}

std::map<std::string, GatewayStatus> GatewayLiveness::liveGateways(TimePoint now) const
{
    std::map<std::string, GatewayStatus> result;
    for (const auto &[vm, observation] : observations_) {
        if (now - observation.changedAt < timeout_) {
            result[vm] = observation.status;
        }
    }
    return result;
}

std::map<std::string, GatewayStatus> GatewayLiveness::expectedGateways(TimePoint now) const
{
    std::map<std::string, GatewayStatus> result;
    for (const auto &[vm, observation] : observations_) {
        const Duration unchangedFor = now - observation.changedAt;
        if (unchangedFor >= retention_) {
            continue;
        }
        GatewayStatus &status = result[vm];
        status = observation.status;
        status.isUnresponsive = unchangedFor >= timeout_;
        if (status.isUnresponsive) {
            status.work.clear();
        }
    }
    return result;
}

bool GatewayLiveness::haveAllStoredUsage(std::uint64_t window, Duration timeout, TimePoint now) const
{
    return std::all_of(observations_.begin(), observations_.end(), [&](const auto &item) {
        const Observation &observation = item.second;
        return now - observation.changedAt >= timeout || observation.status.usageStoredThrough >= window;
    });
}

}

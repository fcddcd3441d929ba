#include "gatewaystatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Chestnutcove {

namespace {

nlohmann::json toJson(const EngineWork &work)
{
    return {{"read", work.readTokens}, {"moved", work.movedTokens}, {"whole", work.wholeTokens}, {"busySlots", work.busySlots}};
}

EngineWork workOf(const nlohmann::json &json)
{
    return {json.value("read", 0.0), json.value("moved", 0.0), json.value("whole", 0.0), json.value("busySlots", 0.0)};
}

}

std::string GatewayStatus::toText() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[service, each] : work) {
        services[service] = toJson(each);
    }
    return nlohmann::json{{"incarnation", incarnation},
                          {"beat", beat},
                          {"demand", demand},
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
        json.at("beat").get_to(status.beat);
        json.at("demand").get_to(status.demand);
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

GatewayLiveness::GatewayLiveness(Duration silence, Duration memory)
    : silence_(silence)
    , memory_(memory)
{
}

void GatewayLiveness::observed(const std::map<std::string, GatewayStatus> &statuses, TimePoint now)
{
    std::erase_if(seen_, [&statuses](const auto &item) { return !statuses.contains(item.first); });
    for (const auto &[vm, status] : statuses) {
        const auto it = seen_.find(vm);
        const bool changed
            = it == seen_.end() || it->second.status.incarnation != status.incarnation || it->second.status.beat != status.beat;
        if (changed) {
            seen_[vm] = Seen{status, now};
        }
    }
}

std::map<std::string, GatewayStatus> GatewayLiveness::living(TimePoint now) const
{
    std::map<std::string, GatewayStatus> result;
    for (const auto &[vm, seen] : seen_) {
        if (now - seen.changedAt < silence_) {
            result[vm] = seen.status;
        }
    }
    return result;
}

std::map<std::string, GatewayStatus> GatewayLiveness::expected(TimePoint now) const
{
    std::map<std::string, GatewayStatus> result;
    for (const auto &[vm, seen] : seen_) {
        const Duration silent = now - seen.changedAt;
        if (silent >= memory_) {
            continue;
        }
        GatewayStatus &status = result[vm];
        status = seen.status;
        status.isAway = silent >= silence_;
        if (status.isAway) {
            status.demand.clear();
            status.work.clear();
        }
    }
    return result;
}

bool GatewayLiveness::haveStoredUsage(std::uint64_t window, Duration silence, TimePoint now) const
{
    return std::all_of(seen_.begin(), seen_.end(), [&](const auto &item) {
        const Seen &seen = item.second;
        return now - seen.changedAt >= silence || seen.status.usageStoredThrough >= window;
    });
}

}

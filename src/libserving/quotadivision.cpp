#include "quotadivision.h"

#include "rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

double fractionAmong(std::vector<std::string> vms, const std::string &limit, const std::string &vm, std::size_t maxHolders)
{
    const auto holders = rendezvous(limit, std::move(vms), maxHolders);
    const bool holds = std::find(holders.begin(), holders.end(), vm) != holders.end();
    return holds ? 1.0 / static_cast<double>(holders.size()) : 0;
}

}

std::vector<std::string> QuotaDivision::vms() const
{
    std::vector<std::string> result;
    result.reserve(gateways.size());
    for (const GatewayAddress &gateway : gateways) {
        result.push_back(gateway.vm);
    }
    return result;
}

std::vector<std::string> QuotaDivision::holdersOf(const std::string &limit, std::size_t maxHolders) const
{
    return rendezvous(limit, vms(), maxHolders);
}

std::vector<std::string> QuotaDivision::askingOrder(const std::string &limit, const std::string &vm, std::size_t maxHolders) const
{
    auto order = rendezvous(vm + '/' + limit, holdersOf(limit, maxHolders), maxHolders);
    const auto own = std::find(order.begin(), order.end(), vm);
    if (own != order.end()) {
        std::rotate(order.begin(), own, own + 1);
    }
    return order;
}

std::size_t QuotaDivision::holderCount(std::size_t maxHolders) const
{
    return std::min(gateways.size(), maxHolders);
}

double QuotaDivision::fractionOf(const std::string &limit, const std::string &vm, std::size_t maxHolders) const
{
    return fractionAmong(vms(), limit, vm, maxHolders);
}

double QuotaDivision::unsettledFractionOf(const std::string &limit, const std::string &vm, std::size_t maxHolders) const
{
    return std::min(fractionOf(limit, vm, maxHolders), fractionAmong(previousVms, limit, vm, maxHolders));
}

QuotaDivision QuotaDivision::successor(std::vector<GatewayAddress> successors) const
{
    QuotaDivision result;
    result.number = number + 1;
    result.gateways = std::move(successors);
    result.previousVms = vms();
    return result;
}

std::string QuotaDivision::toText() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const GatewayAddress &gateway : gateways) {
        members.push_back({gateway.vm, gateway.address});
    }
    nlohmann::json text{{"number", number}, {"settled", settled}, {"gateways", std::move(members)}};
    if (!settled) {
        text["previousVms"] = previousVms;
    }
    return text.dump();
}

absl::StatusOr<QuotaDivision> QuotaDivision::fromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        QuotaDivision division;
        json.at("number").get_to(division.number);
        json.at("settled").get_to(division.settled);
        for (const auto &member : json.at("gateways")) {
            division.gateways.push_back({member.at(0).get<std::string>(), member.at(1).get<std::string>()});
        }
        if (!division.settled) {
            json.at("previousVms").get_to(division.previousVms);
        }
        return division;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable division of quotas: ") + error.what());
    }
}

}

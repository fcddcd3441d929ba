/**
 * The stored assignment of limits, those of customers and those that endpoints name, to gateways. Each limit is held in equal shares by a
 * few gateways, the share holders, which rendezvous hashing chooses from the gateways of the division. All gateways that have read a
 * division therefore know the holders of each limit, and the row's size doesn't depend on the number of limits.
 *
 * A share moves to another gateway only when the division is settled, that is, when no gateway applies the previous division any more. The
 * shares in use therefore never add up to more than the limit.
 */
#pragma once

#include "ratelimit.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Chestnutcove {

/** A gateway and the "IP:port" at which the others reach it. */
struct GatewayAddress
{
    std::string vm;
    std::string address;

    bool operator==(const GatewayAddress &) const = default;
};

struct QuotaDivision
{
    /** Incremented with each division that is stored; 0 for none. */
    std::uint64_t number = 0;
    /** Every gateway is known to have read this division or to have stopped spending from the previous one. */
    bool settled = false;
    /** The gateways that hold shares, ordered by VM. */
    std::vector<GatewayAddress> gateways;
    /** VMs of the previous division, which was settled and which some gateways may still apply. Unused once this division is settled. */
    std::vector<std::string> previousVms;

    std::vector<std::string> vms() const;
    /** The VMs that hold shares of the limit. */
    std::vector<std::string> holdersOf(const std::string &limit, std::size_t maxHolders = MaxQuotaHolders) const;
    /** The same in the order in which a VM asks them: itself first, and the others in an order of its own, so that all get as many asks. */
    std::vector<std::string> askingOrder(const std::string &limit, const std::string &vm, std::size_t maxHolders = MaxQuotaHolders) const;
    /** Number of holders of each limit. */
    std::size_t holderCount(std::size_t maxHolders = MaxQuotaHolders) const;
    /** A VM's fraction of the limit in this division, ignoring the previous one. */
    double fractionOf(const std::string &limit, const std::string &vm, std::size_t maxHolders = MaxQuotaHolders) const;
    /** The fraction that a VM may spend while the division is not settled: the smaller one of this and the previous division. */
    double unsettledFractionOf(const std::string &limit, const std::string &vm, std::size_t maxHolders = MaxQuotaHolders) const;
    /** The division among @p successors that follows this one: numbered, not settled, and with this division as the previous one. */
    QuotaDivision successor(std::vector<GatewayAddress> successors) const;
    std::string toText() const;
    static absl::StatusOr<QuotaDivision> fromText(const std::string &text);
};

}

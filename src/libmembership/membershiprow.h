/**
 * The committed set of gateways, stored as one row of the table service that is changed only by conditional writes. The epoch rises with
 * every change.
 */
#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Identity of one gateway process. A restarted gateway keeps its name and has a new incarnation. */
struct GatewayIdentity
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const GatewayIdentity &) const = default;
};

struct GatewayMember
{
    GatewayIdentity identity;
    /** "host:port" at which the other gateways reach it. */
    std::string address;
    std::string dataCentre;
};

/** A process that was removed from the membership and that not every member knows to have stopped. */
struct RetiredMember
{
    GatewayIdentity identity;
    /** The last epoch of which it was a member. */
    std::uint64_t lastEpoch = 0;
    /** Electors of that epoch, whose majority could confirm a store outage to it. */
    std::vector<std::string> electors;
};

struct MembershipRow
{
    std::uint64_t epoch = 0;
    std::vector<GatewayMember> members;
    std::vector<RetiredMember> retired;

    const GatewayMember *findMember(const std::string &name) const;
    bool contains(const GatewayIdentity &identity) const;
    std::vector<std::string> memberNames() const;
    /** The members of whom a majority can confirm that the store is down. */
    std::vector<std::string> electors() const;

    /** The next row, in which the member replaces an older process of its name. */
    MembershipRow withMember(const GatewayMember &member) const;
    /** The next row, in which the member of that name is retired. */
    MembershipRow withoutMember(const std::string &name) const;

    /** @param attempt id of the write, by which the writer recognises it after an unknown outcome. */
    std::string toText(const std::string &attempt) const;
    static absl::StatusOr<MembershipRow> fromText(const std::string &text);
};

/** Names of the members that hold shares of a customer's token bucket. */
std::vector<std::string> shareHolders(const std::string &customer, const MembershipRow &row);

inline constexpr std::size_t MaxElectors = 5;
inline constexpr std::size_t MaxShareHolders = 4;

}

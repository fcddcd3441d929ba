/**
 * The committed set of gateways: one row of the table service, changed only by conditional writes. Its epoch rises with every change.
 */
#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chestnutcove {

/** One process: a restarted gateway has the same name and another incarnation. */
struct GatewayIdentity
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const GatewayIdentity &) const = default;
};

struct GatewayMember
{
    GatewayIdentity identity;
    /** "host:port" of its link. */
    std::string address;
    std::string dataCentre;
};

/** A process that was removed and is not yet known to have stopped by every member. */
struct RetiredMember
{
    GatewayIdentity identity;
    /** The last epoch that it belonged to, and those who could have vouched for it then. */
    std::uint64_t lastEpoch = 0;
    std::vector<std::string> electors;
};

struct MembershipRow
{
    std::uint64_t epoch = 0;
    std::vector<GatewayMember> members;
    std::vector<RetiredMember> retired;

    const GatewayMember *find(const std::string &name) const;
    bool contains(const GatewayIdentity &identity) const;
    std::vector<std::string> names() const;
    /** The members whose majority may vouch that the store is down. */
    std::vector<std::string> electors() const;

    /** The row with the member added in place of an older process of that name. */
    MembershipRow with(const GatewayMember &member) const;
    MembershipRow without(const std::string &name) const;

    std::string toText(const std::string &attempt) const;
    static absl::StatusOr<MembershipRow> fromText(const std::string &text);
};

/** Members that hold shares of a customer's bucket. */
std::vector<std::string> shareHolders(const std::string &customer, const MembershipRow &row);

inline constexpr std::size_t MaxElectors = 5;
inline constexpr std::size_t MaxShareHolders = 4;

}

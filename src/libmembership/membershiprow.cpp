#include "membershiprow.h"

#include "rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Chestnutcove {

const GatewayMember *MembershipRow::findMember(const std::string &name) const
{
    const auto it
        = std::find_if(members.begin(), members.end(), [&name](const GatewayMember &member) { return member.identity.name == name; });
    return it == members.end() ? nullptr : &*it;
}

bool MembershipRow::contains(const GatewayIdentity &identity) const
{
    const GatewayMember *member = findMember(identity.name);
    return member != nullptr && member->identity == identity;
}

std::vector<std::string> MembershipRow::memberNames() const
{
    std::vector<std::string> result;
    for (const GatewayMember &member : members) {
        result.push_back(member.identity.name);
    }
    return result;
}

std::vector<std::string> MembershipRow::electors() const
{
    return rendezvous("electors", memberNames(), MaxElectors);
}

MembershipRow MembershipRow::withMember(const GatewayMember &member) const
{
    MembershipRow next = findMember(member.identity.name) != nullptr ? withoutMember(member.identity.name) : *this;
    next.epoch = epoch + 1;
    next.members.push_back(member);
    return next;
}

MembershipRow MembershipRow::withoutMember(const std::string &name) const
{
    MembershipRow next = *this;
    next.epoch = epoch + 1;
    const GatewayMember *member = findMember(name);
    if (member != nullptr) {
        next.retired.push_back({member->identity, epoch, electors()});
        std::erase_if(next.members, [&name](const GatewayMember &other) { return other.identity.name == name; });
    }
    return next;
}

std::string MembershipRow::toText(const std::string &attempt) const
{
    nlohmann::json memberList = nlohmann::json::array();
    for (const GatewayMember &member : members) {
        memberList.push_back({{"name", member.identity.name},
                              {"incarnation", member.identity.incarnation},
                              {"address", member.address},
                              {"dataCentre", member.dataCentre}});
    }
    nlohmann::json retiredList = nlohmann::json::array();
    for (const RetiredMember &member : retired) {
        retiredList.push_back({{"name", member.identity.name},
                               {"incarnation", member.identity.incarnation},
                               {"lastEpoch", member.lastEpoch},
                               {"electors", member.electors}});
    }
    return nlohmann::json{{"epoch", epoch}, {"members", std::move(memberList)}, {"retired", std::move(retiredList)}, {"attempt", attempt}}
        .dump();
}

absl::StatusOr<MembershipRow> MembershipRow::fromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        MembershipRow row;
        row.epoch = json.at("epoch").get<std::uint64_t>();
        for (const auto &item : json.at("members")) {
            row.members.push_back({{item.at("name").get<std::string>(), item.at("incarnation").get<std::uint64_t>()},
                                   item.at("address").get<std::string>(),
                                   item.at("dataCentre").get<std::string>()});
        }
        for (const auto &item : json.at("retired")) {
            row.retired.push_back({{item.at("name").get<std::string>(), item.at("incarnation").get<std::uint64_t>()},
                                   item.at("lastEpoch").get<std::uint64_t>(),
                                   item.at("electors").get<std::vector<std::string>>()});
        }
        return row;
    } catch (const nlohmann::json::exception &error) {
        return absl::DataLossError(std::string("unreadable membership row: ") + error.what());
    }
}

std::vector<std::string> shareHolders(const std::string &customer, const MembershipRow &row)
{
    return rendezvous(customer, row.memberNames(), MaxShareHolders);
}

}

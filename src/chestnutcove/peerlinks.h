/**
 * Links between gateways: periodic states that serve as heartbeats, catalogue changes, and moved tokens.
 */
#pragma once

#include "link.h"
#include "log.h"
#include "membershiprow.h"
#include "storefreshness.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

class PeerLinks
{
public:
    struct Handlers
    {
        /** This gateway's state, to be sent; number, reply and name are filled in here. */
        std::function<wire::PeerState()> ownState;
        /** Something was heard from a peer. */
        std::function<void(const wire::PeerState &)> onState;
        /** A peer answered a question of ours. */
        std::function<void(const PeerReport &)> onReport;
        /** Any other message; the function sends the reply. */
        std::function<void(const wire::Envelope &, const std::function<void(const wire::Envelope &)> &reply)> onMessage;
    };

    /** @param seeds addresses to try while no membership is known. */
    PeerLinks(
        LinkContext &links, const Log &log, GatewayMember self, std::string gatewayKey, std::vector<std::string> seeds, Handlers handlers);

    absl::Status listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    /** The own address is known only after listen(). */
    void setSelf(const GatewayMember &self);

    void setMembers(const MembershipRow &row);
    /** Sends states to all peers and replaces silent connections. */
    void beat(TimePoint now, Duration timeout);
    /** False when the peer is not connected. */
    bool send(const std::string &name, const wire::Envelope &message);
    /** Sends to any one connected peer. */
    bool sendToAny(const wire::Envelope &message);

    /** Name to highest catalogue version heard of, for the operators' view. */
    std::map<std::string, std::uint64_t> catalogueVersions() const;
    struct PeerView
    {
        std::string name;
        std::string address;
        bool alive = false;
        TimePoint lastHeard;
    };
    std::vector<PeerView> views() const;

private:
    struct Peer
    {
        std::string name;
        std::unique_ptr<LinkClient> client;
        bool alive = false;
        bool wanted = true;
        TimePoint lastHeard;
        TimePoint connectedAt;
        std::uint64_t numbers = 0;
        std::deque<std::pair<std::uint64_t, TimePoint>> asked;
        std::uint64_t catalogueVersion = 0;
    };

    void connect(const std::string &address);
    void serve(const LinkServer::PeerId &peer, const wire::Envelope &message);
    void receive(const std::string &address, const wire::Envelope &message);
    void onReply(Peer &peer, const wire::PeerState &state, TimePoint now);

    LinkContext &links_;
    const Log &log_;
    GatewayMember self_;
    std::string gatewayKey_;
    std::vector<std::string> seeds_;
    Handlers handlers_;
    LinkServer server_;
    /** By address. */
    std::map<std::string, Peer> peers_;
};

}

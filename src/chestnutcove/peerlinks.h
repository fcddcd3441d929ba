/**
 * Links between gateways. They carry periodic states, which serve as heartbeats, catalogue changes, and tokens of rate limits.
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
        /** Returns this gateway's state; PeerLinks sets its number and reply_to. */
        std::function<wire::PeerState()> ownState;
        /** Called for each state that a peer sent. */
        std::function<void(const wire::PeerState &)> onState;
        /** Called when a peer replied to a state of this gateway. */
        std::function<void(const PeerReport &)> onReport;
        /** Called for any other message; @p reply sends an answer to its sender. */
        std::function<void(const wire::Envelope &, const std::function<void(const wire::Envelope &)> &reply)> onMessage;
    };

    /** @param seeds addresses to connect to even if no membership is known. */
    PeerLinks(
        LinkContext &links, const Log &log, GatewayMember self, std::string gatewayKey, std::vector<std::string> seeds, Handlers handlers);

    absl::Status listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    /** Sets this gateway's identity and connects to the seeds. Its address is known only after listen(). */
    void setSelf(const GatewayMember &self);

    void setMembers(const MembershipRow &row);
    /** Sends this gateway's state to all peers and reconnects unresponsive links. */
    void sendHeartbeats(TimePoint now, Duration timeout);
    /** @return false if the peer is not connected. */
    bool send(const std::string &name, const wire::Envelope &message);
    /** Sends to one connected peer; @return false if there is none. */
    bool sendToAny(const wire::Envelope &message);

    /** The catalogue version that each connected peer last reported, by gateway name; shown to operators. */
    std::map<std::string, std::uint64_t> catalogueVersions() const;
    struct PeerStatus
    {
        std::string name;
        std::string address;
        bool isAlive = false;
        TimePoint lastHeard;
    };
    std::vector<PeerStatus> peerStatuses() const;

private:
    struct Peer
    {
        std::string name;
        std::unique_ptr<LinkClient> client;
        bool isAlive = false;
        bool isWanted = true;
        TimePoint lastHeard;
        TimePoint connectStartedAt;
        std::uint64_t lastStateNumber = 0;
        std::deque<std::pair<std::uint64_t, TimePoint>> unansweredStates;
        std::uint64_t catalogueVersion = 0;
    };

    void connect(const std::string &address);
    void onServerMessage(const LinkServer::PeerId &peer, const wire::Envelope &message);
    void onClientMessage(const std::string &address, const wire::Envelope &message);
    void onStateReply(Peer &peer, const wire::PeerState &state, TimePoint now);

    LinkContext &linkContext_;
    const Log &log_;
    GatewayMember self_;
    std::string gatewayKey_;
    std::vector<std::string> seeds_;
    Handlers handlers_;
    LinkServer server_;
    /** Peers by address. */
    std::map<std::string, Peer> peers_;
};

}

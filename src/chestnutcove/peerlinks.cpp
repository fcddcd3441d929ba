#include "peerlinks.h"

#include "suspendclock.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

constexpr std::chrono::seconds ConnectTimeout{1};
constexpr std::size_t MaxUnansweredStates = 64;

}

PeerLinks::PeerLinks(
    LinkContext &links, const Log &log, GatewayMember self, std::string gatewayKey, std::vector<std::string> seeds, Handlers handlers)
    : linkContext_(links)
    , log_(log)
    , self_(std::move(self))
    , gatewayKey_(std::move(gatewayKey))
    , seeds_(std::move(seeds))
    , handlers_(std::move(handlers))
    , server_(links, [this](const LinkServer::PeerId &peer, const wire::Envelope &message) { onServerMessage(peer, message); })
{
}

absl::Status PeerLinks::listen(const std::string &address, std::uint16_t port)
{
    return server_.bind(address, port);
}

std::uint16_t PeerLinks::port() const
{
    return server_.port();
}

void PeerLinks::setSelf(const GatewayMember &self)
{
    self_ = self;
    for (const std::string &seed : seeds_) {
        connect(seed);
    }
}

void PeerLinks::connect(const std::string &address)
{
    if (address == self_.address || peers_.contains(address)) {
        return;
    }
    Peer peer;
    peer.connectStartedAt = suspendAwareNow();
    peer.client = std::make_unique<LinkClient>(
        linkContext_, address, gatewayKey_, [this, address](const wire::Envelope &message) { onClientMessage(address, message); });
    peers_.emplace(address, std::move(peer));
}

void PeerLinks::setMembers(const MembershipRow &row)
{
    for (auto &[address, peer] : peers_) {
        peer.isWanted = std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
    }
    for (const GatewayMember &member : row.members) {
        connect(member.address);
        const auto it = peers_.find(member.address);
        if (it != peers_.end()) {
            it->second.isWanted = true;
            it->second.name = member.identity.name;
        }
    }
}

void PeerLinks::sendHeartbeats(TimePoint now, Duration timeout)
{
    std::erase_if(peers_, [](const auto &item) { return !item.second.isWanted; });
    wire::Envelope message;
    *message.mutable_peer_state() = handlers_.ownState();
    for (auto &[address, peer] : peers_) {
        message.mutable_peer_state()->set_number(++peer.lastStateNumber);
        const bool sent = peer.client->send(message);
        if (sent) {
            peer.unansweredStates.emplace_back(peer.lastStateNumber, now);
        }
        if (peer.unansweredStates.size() > MaxUnansweredStates) {
            peer.unansweredStates.pop_front();
        }
        const bool isUnresponsive = peer.isAlive && (!sent || now - peer.lastHeard > timeout);
        const bool isConnectTimedOut = !peer.isAlive && now - peer.connectStartedAt > ConnectTimeout;
        if (!isUnresponsive && !isConnectTimedOut) {
            continue;
        }
        if (isUnresponsive) {
            log_.warning("link to gateway lost", {{"gateway", peer.name}});
        }
        peer.isAlive = false;
        peer.unansweredStates.clear();
        peer.connectStartedAt = now;
        peer.client->reconnect();
    }
}

void PeerLinks::onServerMessage(const LinkServer::PeerId &peer, const wire::Envelope &message)
{
    const auto reply = [this, peer](const wire::Envelope &answer) { server_.send(peer, answer); };
    if (message.body_case() != wire::Envelope::kPeerState) {
        handlers_.onMessage(message, reply);
        return;
    }
    handlers_.onState(message.peer_state());
    wire::Envelope answer;
    *answer.mutable_peer_state() = handlers_.ownState();
    answer.mutable_peer_state()->set_reply_to(message.peer_state().number());
    reply(answer);
}

void PeerLinks::onClientMessage(const std::string &address, const wire::Envelope &message)
{
    const auto it = peers_.find(address);
    if (it == peers_.end()) {
        return;
    }
    const auto now = suspendAwareNow();
    it->second.lastHeard = now;
    if (message.body_case() == wire::Envelope::kPeerState) {
        onStateReply(it->second, message.peer_state(), now);
        return;
    }
    handlers_.onMessage(message, [this, address](const wire::Envelope &answer) {
        const auto peer = peers_.find(address);
        if (peer != peers_.end()) {
            peer->second.client->send(answer);
        }
    });
}

void PeerLinks::onStateReply(Peer &peer, const wire::PeerState &state, TimePoint now)
{
    (void)now;
    if (!peer.isAlive) {
        log_.info("link to gateway up", {{"gateway", state.name()}});
    }
    peer.isAlive = true;
    peer.name = state.name();
    peer.catalogueVersion = state.catalogue_version();
    handlers_.onState(state);
    while (!peer.unansweredStates.empty() && peer.unansweredStates.front().first < state.reply_to()) {
        peer.unansweredStates.pop_front();
    }
    if (peer.unansweredStates.empty() || peer.unansweredStates.front().first != state.reply_to()) {
        return;
    }
    PeerReport report;
    report.name = state.name();
    report.incarnation = state.incarnation();
    report.requestedAt = peer.unansweredStates.front().second;
    report.membershipEpoch = state.membership_epoch();
    report.catalogueVersion = state.catalogue_version();
    report.storeDown = state.store_down();
    report.hasConfirmedRead = state.has_proof();
    report.confirmedReadAge = Milliseconds(state.proof_age_ms());
    report.confirmedVersions = {state.proof_version(), state.proof_epoch()};
    handlers_.onReport(report);
}

bool PeerLinks::send(const std::string &name, const wire::Envelope &message)
{
    for (auto &[address, peer] : peers_) {
        if (peer.name == name && peer.isAlive) {
            return peer.client->send(message);
        }
    }
    return false;
}

bool PeerLinks::sendToAny(const wire::Envelope &message)
{
    return std::any_of(
        peers_.begin(), peers_.end(), [&message](auto &item) { return item.second.isAlive && item.second.client->send(message); });
}

std::map<std::string, std::uint64_t> PeerLinks::catalogueVersions() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[address, peer] : peers_) {
        if (peer.isAlive) {
            result[peer.name] = peer.catalogueVersion;
        }
    }
    return result;
}

std::vector<PeerLinks::PeerStatus> PeerLinks::peerStatuses() const
{
    std::vector<PeerStatus> result;
    for (const auto &[address, peer] : peers_) {
        result.push_back({peer.name, address, peer.isAlive, peer.lastHeard});
    }
    return result;
}

}
